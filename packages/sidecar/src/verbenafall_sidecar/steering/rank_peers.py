"""Ways from the leader to a rank, and from a rank to its leader."""

import datetime

from verbenafall_core import clock as clock_lib
from verbenafall_core import link as link_lib
from verbenafall_core import messages
from verbenafall_core.expert_maps import demand
from verbenafall_core.expert_maps import rank_port
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.expert_maps import replica_map
from verbenafall_sidecar.steering import group_leader
from verbenafall_sidecar.steering import rank_agent
from verbenafall_sidecar.steering import rank_messages


class LinkPeer:
    """A rank whose sidecar is linked with the leader."""

    def __init__(self, group: str, link: link_lib.Link) -> None:
        """Wrap a link to a sidecar."""
        self.group = group
        self.link = link
        self.host = link.address.host
        self.base: tuple[int, replica_map.Placement] | None = None

    def send_order(
        self, order: rank_state.RankOrder, given_elsewhere: bool = False
    ) -> bool:
        """Send an order; maps go as changes to the last one."""
        del given_elsewhere  # Only a leader's own rank holds the group.
        base_version, base = self.base or (0, None)
        sent = self.link.send(
            rank_messages.encode_order(self.group, order, base_version, base)
        )
        if sent and order.placement:
            self.base = (order.version, order.placement)
        return sent


class OwnPeer:
    """The rank beside the leader."""

    def __init__(self, agent: rank_agent.RankAgent, host: str) -> None:
        """Wrap the agent of this process."""
        self.agent = agent
        self.host = host

    def send_order(
        self, order: rank_state.RankOrder, given_elsewhere: bool = False
    ) -> bool:
        """Hand an order to the agent."""
        return self.agent.accept(order, given_elsewhere)


class DirectPeer:
    """A rank that is ordered from here while its sidecar has no link."""

    def __init__(
        self,
        port: rank_port.RankPort,
        host: str,
        clock: clock_lib.Clock,
        leader: group_leader.GroupLeader,
    ) -> None:
        """Create a peer whose thread is not yet running."""
        self.host = host
        self.leader = leader
        listener = OwnListener(leader, self)
        self.agent = rank_agent.create_rank_agent(
            port, clock, lambda: listener, rank_agent.DIRECT_ORDER_LIMIT
        )
        self.agent.note_leader(leader.term)

    def send_order(
        self, order: rank_state.RankOrder, given_elsewhere: bool = False
    ) -> bool:
        """Hand an order to the agent."""
        return self.agent.accept(order, given_elsewhere)

    def close(self) -> None:
        """End the thread soon, and let the leader forget the rank."""
        self.agent.stop(datetime.timedelta())
        self.leader.put(group_leader.Gone(self))


class LinkListener:
    """Tells a leader in another process."""

    def __init__(self, group: str, link: link_lib.Link) -> None:
        """Wrap the link to the leader."""
        self.group = group
        self.link = link

    def on_news(self, news: rank_agent.RankNews) -> None:
        """Send a change of the rank's state."""
        self.link.send(rank_messages.encode_news(news))

    def on_counts(self, epoch: int, counts: tuple[int, ...]) -> None:
        """Send increments of the counts."""
        chosen = demand.choose_counts(counts)
        self.link.send(
            messages.RankCounts(
                self.group, epoch, chosen.counts, chosen.indices
            )
        )


class OwnListener:
    """Tells the leader in this process."""

    def __init__(
        self, leader: group_leader.GroupLeader, peer: group_leader.RankPeer
    ) -> None:
        """Wrap the leader."""
        self.leader = leader
        self.peer = peer

    def on_news(self, news: rank_agent.RankNews) -> None:
        """Hand over a change of the rank's state."""
        self.leader.put(group_leader.News(self.peer, news))

    def on_counts(self, epoch: int, counts: tuple[int, ...]) -> None:
        """Hand over increments of the counts."""
        self.leader.put(
            group_leader.Counts(epoch, demand.ChosenCounts((), counts))
        )
