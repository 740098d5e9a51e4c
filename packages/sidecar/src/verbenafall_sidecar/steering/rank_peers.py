"""Connects a leader with its ranks, over a link or within the process."""

import datetime

from verbenafall_core import clock as clock_lib
from verbenafall_core import link as link_lib
from verbenafall_core import messages
from verbenafall_core.expert_maps import demand_levels
from verbenafall_core.expert_maps import rank_port
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.expert_maps import replica_map
from verbenafall_sidecar.steering import group_leader
from verbenafall_sidecar.steering import rank_agent
from verbenafall_sidecar.steering import rank_messages


class LinkPeer:
    """A rank that the leader reaches over the link to its sidecar."""

    def __init__(self, group: str, link: link_lib.Link) -> None:
        """Create a peer for a rank of a group."""
        self.group = group
        self.link = link
        self.host = link.address.host
        self.base: tuple[int, replica_map.Placement] | None = None

    def send_order(
        self, order: rank_state.RankOrder, delegated: bool = False
    ) -> bool:
        """Send an order; maps are sent as changes to the last one sent."""
        del delegated  # Only the leader's own rank holds the group.
        base_version, base = self.base or (0, None)
        sent = self.link.send(
            rank_messages.encode_order(self.group, order, base_version, base)
        )
        if sent and order.placement:
            self.base = (order.version, order.placement)
        return sent


class LocalPeer:
    """The leader's own rank, whose agent runs in this process."""

    def __init__(self, agent: rank_agent.RankAgent, host: str) -> None:
        """Create a peer for the agent of this process."""
        self.agent = agent
        self.host = host

    def send_order(
        self, order: rank_state.RankOrder, delegated: bool = False
    ) -> bool:
        """Pass an order to the agent; return whether it was accepted."""
        return self.agent.accept(order, delegated)


class DirectPeer:
    """A rank whose engine the leader calls, as its sidecar has no link."""

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
        listener = LocalListener(leader, self)
        self.agent = rank_agent.create_rank_agent(
            port, clock, lambda: listener, rank_agent.DIRECT_ORDER_TIMEOUT
        )
        self.agent.accept_leader(leader.term)

    def send_order(
        self, order: rank_state.RankOrder, delegated: bool = False
    ) -> bool:
        """Pass an order to the agent; return whether it was accepted."""
        return self.agent.accept(order, delegated)

    def close(self) -> None:
        """Stop the agent without waiting; remove the rank from the leader."""
        self.agent.stop(datetime.timedelta())
        self.leader.put(group_leader.PeerLost(self))


class LinkListener:
    """Sends updates and counts of a rank to a leader in another process."""

    def __init__(self, group: str, link: link_lib.Link) -> None:
        """Create a listener that sends to the leader."""
        self.group = group
        self.link = link
        self.encoder = demand_levels.LevelEncoder()

    def on_update(self, update: rank_agent.RankUpdate) -> None:
        """Send a rank update."""
        self.link.send(rank_messages.encode_update(update))

    def on_counts(self, epoch: int, counts: tuple[int, ...]) -> None:
        """Send the increments, rounded to levels."""
        levels = self.encoder.encode(counts)
        self.link.send(messages.RankDemand(self.group, epoch, *levels))


class LocalListener:
    """Passes updates and counts of a rank to the leader in this process."""

    def __init__(
        self, leader: group_leader.GroupLeader, peer: group_leader.RankPeer
    ) -> None:
        """Create a listener for one rank of the leader."""
        self.leader = leader
        self.peer = peer

    def on_update(self, update: rank_agent.RankUpdate) -> None:
        """Queue a rank update for the leader."""
        self.leader.put(group_leader.UpdateReceived(self.peer, update))

    def on_counts(self, epoch: int, counts: tuple[int, ...]) -> None:
        """Queue the increments of the counts for the leader."""
        self.leader.put(group_leader.CountsReceived(epoch, counts))
