"""Converts rank updates and orders to link messages and back."""

from verbenafall_core import messages
from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.expert_maps import replica_map
from verbenafall_sidecar.steering import rank_agent

_NOT_HELD = -1


def encode_update(update: rank_agent.RankUpdate) -> messages.RankStatus:
    """Return the link message that carries a rank update."""
    report = update.report
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
        term=update.term,
        cleared_term=update.cleared_term,
        impossible_version=update.impossible_version,
        experts=update.experts,
        slowdown=report.slowdown,
    )


def decode_update(status: messages.RankStatus) -> rank_agent.RankUpdate:
    """Return the rank update that a link message carries."""
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
        slowdown=status.slowdown,
    )
    return rank_agent.RankUpdate(
        report,
        status.term,
        status.cleared_term,
        status.impossible_version,
        status.experts,
    )


def to_view(update: rank_agent.RankUpdate) -> pass_switch.RankView:
    """Return the part of a rank update that switch decisions use."""
    return pass_switch.RankView(
        update.report, update.cleared_term, update.impossible_version
    )


def encode_order(
    group: str,
    order: rank_state.RankOrder,
    base_version: int,
    base: replica_map.Placement | None,
) -> messages.RankOrder:
    """Return the link message that carries an order.

    Args:
        group: Name of the rank group.
        order: The order.
        base_version: Version of `base`, 0 for none.
        base: Map that the receiver has already; the order's map is sent as
            changes to it. None to send the complete map.
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
    """Keeps the last received map, to which the next order's changes apply."""

    def __init__(self) -> None:
        """Create a decoder that has received no map."""
        self.last: tuple[int, replica_map.Placement] | None = None

    def decode_order(
        self, message: messages.RankOrder
    ) -> rank_state.RankOrder | None:
        """Return the order in a message, None when its map cannot be built.

        The map cannot be built when it is missing, or sent as changes to a map
        that was not the last one received.

        Raises:
            ValueError: The kind of order is unknown.
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
