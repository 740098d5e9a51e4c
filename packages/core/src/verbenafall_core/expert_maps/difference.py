"""Finds where an engine's state differs from what it was ordered; pure."""

from collections.abc import Mapping
import enum

from verbenafall_core import messages
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import switch


class Difference(enum.StrEnum):
    """How the state of an engine differs.

    NO_MAP: The ranks hold without a map; they were replaced.
    OTHER_MAP: The ranks run on a map that the record does not name.
    OTHER_ARMED: The ranks hold before a step that the record does not name.
    HELD_AGAIN: The ranks hold before a step that they were released for.
    NOT_ARMED: The ranks took an arm order and do not hold.
    NOT_PREPARED: The ranks took a prepare order and lack the weights.
    """

    NO_MAP = "no_map"
    OTHER_MAP = "other_map"
    OTHER_ARMED = "other_armed"
    HELD_AGAIN = "held_again"
    NOT_ARMED = "not_armed"
    NOT_PREPARED = "not_prepared"


Taken = Mapping[switch.OrderKind, switch.Order]


def find_differences(
    record: record_lib.MapRecord, own: messages.GroupMember, taken: Taken
) -> tuple[Difference, ...]:
    """Return how an engine differs from the record and from its orders.

    Args:
        record: Newest record known.
        own: State of the engine.
        taken: The last order of each kind that the engine took from this
            process since it was last replaced.
    """
    if own.epoch > record.epoch:
        return ()  # Ordered by a process that knows a newer record.
    found = (_differ_map(record, own), _differ_armed(record, own, taken))
    lost = _lost_weights(own, taken)
    return tuple(item for item in (*found, lost) if item is not None)


def _differ_map(
    record: record_lib.MapRecord, own: messages.GroupMember
) -> Difference | None:
    if own.map_version == 0:
        return Difference.NO_MAP
    named = {record.map_version}
    if record.phase is record_lib.Phase.SWITCHING:
        named.add(record.target_version)
    return None if own.map_version in named else Difference.OTHER_MAP


def _differ_armed(
    record: record_lib.MapRecord, own: messages.GroupMember, taken: Taken
) -> Difference | None:
    boundary = record.boundary_step
    if record.phase is not record_lib.Phase.SWITCHING:
        return Difference.OTHER_ARMED if own.armed_step else None
    if own.armed_step not in (0, boundary):
        return Difference.OTHER_ARMED
    released = _is_for(taken.get(switch.OrderKind.RELEASE), record)
    if released:
        return Difference.HELD_AGAIN if own.armed_step else None
    ordered = _is_for(taken.get(switch.OrderKind.ARM), record)
    return Difference.NOT_ARMED if ordered and not own.armed_step else None


def _is_for(order: switch.Order | None, record: record_lib.MapRecord) -> bool:
    return order is not None and order.step == record.boundary_step


def _lost_weights(own: messages.GroupMember, taken: Taken) -> Difference | None:
    order = taken.get(switch.OrderKind.PREPARE)
    lost = order is not None and order.map_version not in own.prepared
    return Difference.NOT_PREPARED if lost else None
