"""Compares an engine's state with the group record and its orders; pure."""

from collections.abc import Mapping
import enum

from verbenafall_core import messages
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import switch


class Difference(enum.StrEnum):
    """How the state of an engine differs from the expected one.

    NO_MAP: The ranks were replaced and hold until they get a map.
    OTHER_MAP: The ranks use a map that is not in the record.
    OTHER_ARMED: The ranks are armed for a step that is not in the record.
    HELD_AGAIN: The ranks are armed for a step that they were released for.
    NOT_ARMED: The ranks accepted an arm order but are not armed.
    NOT_PREPARED: The ranks accepted a prepare order but lack the weights.
    """

    NO_MAP = "no_map"
    OTHER_MAP = "other_map"
    OTHER_ARMED = "other_armed"
    HELD_AGAIN = "held_again"
    NOT_ARMED = "not_armed"
    NOT_PREPARED = "not_prepared"


AcceptedOrders = Mapping[switch.OrderKind, switch.Order]


def find_differences(
    record: record_lib.MapRecord,
    own: messages.GroupMember,
    accepted: AcceptedOrders,
) -> tuple[Difference, ...]:
    """Return the differences of an engine from its record and its orders.

    Args:
        record: Newest record known.
        own: State of the engine.
        accepted: The last order of each kind that the engine accepted from
            this process since its ranks were last replaced.
    """
    if own.epoch > record.epoch:
        return ()  # Another process with a newer record has sent orders.
    found = (
        _compare_map(record, own),
        _compare_armed_step(record, own, accepted),
    )
    lost = _find_lost_weights(own, accepted)
    return tuple(item for item in (*found, lost) if item is not None)


def _compare_map(
    record: record_lib.MapRecord, own: messages.GroupMember
) -> Difference | None:
    if own.map_version == 0:
        return Difference.NO_MAP
    expected_versions = {record.map_version}
    if record.phase is record_lib.Phase.SWITCHING:
        expected_versions.add(record.target_version)
    return (
        None if own.map_version in expected_versions else Difference.OTHER_MAP
    )


def _compare_armed_step(
    record: record_lib.MapRecord,
    own: messages.GroupMember,
    accepted: AcceptedOrders,
) -> Difference | None:
    boundary = record.boundary_step
    if record.phase is not record_lib.Phase.SWITCHING:
        return Difference.OTHER_ARMED if own.armed_step else None
    if own.armed_step not in (0, boundary):
        return Difference.OTHER_ARMED
    released = _is_for(accepted.get(switch.OrderKind.RELEASE), record)
    if released:
        return Difference.HELD_AGAIN if own.armed_step else None
    ordered = _is_for(accepted.get(switch.OrderKind.ARM), record)
    return Difference.NOT_ARMED if ordered and not own.armed_step else None


def _is_for(order: switch.Order | None, record: record_lib.MapRecord) -> bool:
    return order is not None and order.step == record.boundary_step


def _find_lost_weights(
    own: messages.GroupMember, accepted: AcceptedOrders
) -> Difference | None:
    order = accepted.get(switch.OrderKind.PREPARE)
    lost = order is not None and order.map_version not in own.prepared
    return Difference.NOT_PREPARED if lost else None
