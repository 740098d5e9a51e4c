"""What the other sidecars of a rank group have told over their links."""

from verbenafall_core import link as link_lib
from verbenafall_core import messages


class Peer:
    """An open link to another sidecar, and what was heard over it."""

    def __init__(self, link: link_lib.Link, instance: str) -> None:
        """Create a peer that was not heard from."""
        self.link = link
        self.instance = instance
        self.member: messages.GroupMember | None = None


class GroupPeers:
    """Open links to the other sidecars in the order of opening; no lock."""

    def __init__(self) -> None:
        """Create a set without peers."""
        self.peers: list[Peer] = []

    def add(self, link: link_lib.Link, instance: str) -> None:
        """Add a link; what earlier links of the instance told is dropped."""
        for peer in self.peers:
            if peer.instance == instance:
                peer.member = None
        self.peers.append(Peer(link, instance))

    def remove(self, link: link_lib.Link) -> None:
        """Remove a link that was closed."""
        self.peers = [peer for peer in self.peers if peer.link is not link]

    def take(self, link: link_lib.Link, member: messages.GroupMember) -> bool:
        """Take a state if it came on the instance's newest link."""
        for peer in reversed(self.peers):
            if peer.instance == member.instance:
                if peer.link is not link:
                    return False
                peer.member = member
                return True
        return False

    def links(self) -> list[link_lib.Link]:
        """Return the open links."""
        return [peer.link for peer in self.peers]

    def members_but(self, instance: str) -> tuple[messages.GroupMember, ...]:
        """Return the states that were told, without those of an instance."""
        newest = {peer.instance: peer.member for peer in self.peers}
        return tuple(
            member
            for name, member in newest.items()
            if member is not None and name != instance
        )
