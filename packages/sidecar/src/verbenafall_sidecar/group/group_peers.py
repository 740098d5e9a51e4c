"""Links to the other sidecars of a rank group, and their states."""

from verbenafall_core import link as link_lib
from verbenafall_core import messages


class PeerLink:
    """An open link to another sidecar.

    Attributes:
        member: Newest state received on the link; None before the first, and
            once a newer link of the same instance is open.
    """

    def __init__(self, link: link_lib.Link, instance: str) -> None:
        """Create a link without a received state."""
        self.link = link
        self.instance = instance
        self.member: messages.GroupMember | None = None


class GroupPeers:
    """Open links to the other sidecars in order of opening. Not thread-safe."""

    def __init__(self) -> None:
        """Create an object without links."""
        self.peer_links: list[PeerLink] = []

    def add(self, link: link_lib.Link, instance: str) -> None:
        """Add a link and discard states from earlier links of the instance."""
        for peer in self.peer_links:
            if peer.instance == instance:
                peer.member = None
        self.peer_links.append(PeerLink(link, instance))

    def remove(self, link: link_lib.Link) -> None:
        """Remove a closed link with the state received on it."""
        self.peer_links = [
            peer for peer in self.peer_links if peer.link is not link
        ]

    def accept(self, link: link_lib.Link, member: messages.GroupMember) -> bool:
        """Store a state if it was received on the instance's newest link.

        Returns:
            Whether the state was stored.
        """
        for peer in reversed(self.peer_links):
            if peer.instance == member.instance:
                if peer.link is not link:
                    return False
                peer.member = member
                return True
        return False

    def links(self) -> list[link_lib.Link]:
        """Return the open links."""
        return [peer.link for peer in self.peer_links]

    def members_except(self, instance: str) -> tuple[messages.GroupMember, ...]:
        """Return the received states except that of one instance."""
        newest = {peer.instance: peer.member for peer in self.peer_links}
        return tuple(
            member
            for name, member in newest.items()
            if member is not None and name != instance
        )
