"""Turns rank reports and orders into link messages and back."""

from verbenafall_core import messages
from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.expert_maps import replica_map
from verbenafall_sidecar.steering import rank_agent

_NOT_HELD = -1


def encode_news(news: rank_agent.RankNews) -> messages.RankStatus:
    """Return the message for a rank's state."""
    report = news.report
    armed = report.armed or rank_state.Armed(0, 0)
    return messages.RankStatus(
        group=report.group,
        rank=report.rank,
        size=report.size,
        epoch=report.epoch,
        open=report.open,
        step=report.step,
        map_version=report.map_version,
        prepared=report.prepared,
        armed_version=armed.version,
        armed_step=armed.step,
        held_step=_NOT_HELD if report.held is None else report.held,
        term=news.term,
        cleared_term=news.cleared_term,
        impossible_version=news.impossible_version,
        experts=news.experts,
        pace=report.slowdown,
    )


def decode_news(status: messages.RankStatus) -> rank_agent.RankNews:
    """Return the state in a message."""
    armed = None
    if status.armed_version:
        armed = rank_state.Armed(status.armed_version, status.armed_step)
    report = rank_state.RankReport(
        group=status.group,
        rank=status.rank,
        size=status.size,
        epoch=status.epoch,
        open=status.open,
        step=status.step,
        map_version=status.map_version,
        prepared=status.prepared,
        armed=armed,
        held=None if status.held_step == _NOT_HELD else status.held_step,
        slowdown=status.pace,
    )
    return rank_agent.RankNews(
        report,
        status.term,
        status.cleared_term,
        status.impossible_version,
        status.experts,
    )


def view_of(news: rank_agent.RankNews) -> pass_switch.RankView:
    """Return what the decisions need of a rank's state."""
    return pass_switch.RankView(
        news.report, news.cleared_term, news.impossible_version
    )


def encode_order(
    group: str,
    order: rank_state.RankOrder,
    base_version: int,
    base: replica_map.Placement | None,
) -> messages.RankOrder:
    """Return the message for an order.

    Args:
        group: Name of the rank group.
        order: The order.
        base_version: Map that the receiver knows, 0 for none.
        base: That map; only the changes to it are sent.
    """
    changes: tuple[replica_map.Change, ...] = ()
    placement = order.placement
    if base is not None and placement:
        changes = replica_map.difference(base, placement)
        placement = ()
    return messages.RankOrder(
        group,
        order.kind,
        order.term,
        order.epoch,
        order.version,
        order.step,
        base_version if base is not None else 0,
        changes,
        placement,
    )


class ReceivedMaps:
    """Maps that were received, as bases for later changes."""

    def __init__(self) -> None:
        """Create a store without maps."""
        self.last: tuple[int, replica_map.Placement] | None = None

    def decode_order(
        self, message: messages.RankOrder
    ) -> rank_state.RankOrder | None:
        """Return the order in a message; None when its base is not known.

        Raises:
            ValueError: The kind of order is not known.
        """
        kind = rank_state.OrderKind(message.kind)
        placement = message.placement
        if kind is rank_state.OrderKind.PREPARE:
            if message.base_version:
                if self.last is None or self.last[0] != message.base_version:
                    return None
                placement = replica_map.apply_changes(
                    self.last[1],
                    [replica_map.Change(*item) for item in message.changes],
                )
            if not placement:
                return None
            self.last = (message.version, placement)
        return rank_state.RankOrder(
            kind,
            message.term,
            message.epoch,
            message.version,
            message.step,
            placement,
        )
