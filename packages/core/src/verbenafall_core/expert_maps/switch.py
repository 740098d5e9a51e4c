"""Decides the orders and record writes of a map switch; pure.

Every sidecar calls `decide_order` for its own ranks. The holder of the
group's lease also calls `decide_write`. The step reported by an engine is the
last step that ran. A replaced rank has map 0 and holds until it is released
with step 0. That order starts it on a map and has no effect on a running rank.
"""

from collections.abc import Sequence
import enum
from typing import Final
from typing import NamedTuple

from verbenafall_core import messages
from verbenafall_core.expert_maps import record as record_lib

# A step takes about 50 ms, and the record and the orders take up to 2 s to
# reach all ranks.
MARGIN_STEPS: Final = 64
START_STEP: Final = 0


class OrderKind(enum.StrEnum):
    """The operation that an order requests from an engine.

    PREPARE: Load the weights of a map.
    ARM: Hold before the boundary step.
    RELEASE: Run the boundary step on the target map, or start a replaced rank.
    DISARM: Cancel an arm order.
    """

    PREPARE = "prepare"
    ARM = "arm"
    RELEASE = "release"
    DISARM = "disarm"


class Order(NamedTuple):
    """An order to an engine, which specifies the requested state.

    Attributes:
        epoch: Epoch of the record behind the order; its fencing token.
        step: Boundary step; 0 for prepare, START_STEP to start a rank.
    """

    epoch: int
    kind: OrderKind
    map_version: int
    step: int


class Stage(enum.StrEnum):
    """Stages of a switch; START starts a replaced rank on the group's map."""

    PREPARING = "preparing"
    PREPARE = "prepare"
    SWITCHING = "switching"
    ARM = "arm"
    RELEASE = "release"
    STABLE = "stable"
    START = "start"


def stage_of_order(order: Order) -> Stage | None:
    """Return the stage that an order belongs to, None for a disarm."""
    if order.kind is OrderKind.DISARM:
        return None
    if order.kind is OrderKind.RELEASE and order.step == START_STEP:
        return Stage.START
    return Stage(order.kind.value)


class Coverage(NamedTuple):
    """Ranks that are not claimed by exactly one sidecar."""

    unclaimed: tuple[int, ...]
    duplicated: tuple[int, ...]

    def complete(self) -> bool:
        """Return whether each rank is claimed exactly once."""
        return not self.unclaimed and not self.duplicated


class View(NamedTuple):
    """The input of a sidecar's decisions.

    Attributes:
        own: State of the sidecar's own ranks, None until it is known.
        others: States received over the links that are currently open.
        ranks: Number of ranks of the group.
        confirmed: Whether this process has read the record from the store or
            has received the state of all other ranks. Until then, other
            processes may still rely on what its ranks did before it started.
    """

    record: record_lib.MapRecord
    own: messages.GroupMember | None
    others: tuple[messages.GroupMember, ...]
    ranks: int
    confirmed: bool

    def members(self) -> tuple[messages.GroupMember, ...]:
        """Return this sidecar's state, if known, and the received ones."""
        return self.others if self.own is None else (self.own, *self.others)


def check_coverage(
    members: Sequence[messages.GroupMember], ranks: int
) -> Coverage:
    """Return the ranks claimed by no member and by more than one."""
    claims = [0] * ranks
    for member in members:
        for rank in member.ranks:
            if 0 <= rank < ranks:
                claims[rank] += 1
    return Coverage(
        tuple(rank for rank, count in enumerate(claims) if count == 0),
        tuple(rank for rank, count in enumerate(claims) if count > 1),
    )


def decide_order(view: View) -> Order | None:
    """Return the next order to the sidecar's own engine, None if none."""
    if view.own is None or view.own.epoch > view.record.epoch:
        return None  # Another process with a newer record sent orders.
    if view.record.phase is record_lib.Phase.SWITCHING:
        return _order_in_switch(view, view.own)
    return _order_outside_switch(view, view.own)


def _order_outside_switch(
    view: View, own: messages.GroupMember
) -> Order | None:
    record = view.record
    if own.map_version == 0:
        return _start_rank(view, own, record.map_version)
    if own.armed_step and view.confirmed:
        return _order(record, OrderKind.DISARM, own.map_version, own.armed_step)
    target = record.target_version
    if target and target not in own.prepared:
        return _order(record, OrderKind.PREPARE, target, 0)
    return None


def _order_in_switch(view: View, own: messages.GroupMember) -> Order | None:
    record = view.record
    target, boundary = record.target_version, record.boundary_step
    if target not in own.prepared:
        return _order(record, OrderKind.PREPARE, target, 0)
    if own.map_version == target:
        return _release_rearmed(view, own)
    if own.step >= boundary:
        return _order_after_boundary(view, own)
    return _order_before_boundary(view, own)


def _order_before_boundary(
    view: View, own: messages.GroupMember
) -> Order | None:
    record = view.record
    target, boundary = record.target_version, record.boundary_step
    # A replaced rank is armed before it is started: it may have been armed
    # before, and other ranks may have been released because of that.
    if own.armed_step != boundary:
        return _order(record, OrderKind.ARM, target, boundary)
    if own.map_version == 0:
        return _start_rank(view, own, record.map_version)
    if all_committed(view):
        return _order(record, OrderKind.RELEASE, target, boundary)
    return None


def _order_after_boundary(
    view: View, own: messages.GroupMember
) -> Order | None:
    # A replaced rank is started only if another rank shows that the boundary
    # step ran on the target; otherwise the lease holder writes a new record.
    target = view.record.target_version
    known = any(other.map_version == target for other in view.others)
    return (
        _start_rank(view, own, target)
        if own.map_version == 0 and known
        else None
    )


def _release_rearmed(view: View, own: messages.GroupMember) -> Order | None:
    # A duplicate arm order that arrives late can hold a released rank again.
    if not own.armed_step or not all_committed(view):
        return None
    return _order(
        view.record, OrderKind.RELEASE, own.map_version, own.armed_step
    )


def _start_rank(
    view: View, own: messages.GroupMember, map_version: int
) -> Order | None:
    if map_version not in own.prepared:
        return _order(view.record, OrderKind.PREPARE, map_version, 0)
    if not view.confirmed:
        return None
    return _order(view.record, OrderKind.RELEASE, map_version, START_STEP)


def _order(
    record: record_lib.MapRecord, kind: OrderKind, version: int, step: int
) -> Order:
    return Order(record.epoch, kind, version, step)


def all_committed(view: View) -> bool:
    """Return whether no rank can run the boundary step on the old map.

    That is the case when every rank is armed for it or uses the target.
    """
    record = view.record
    return check_coverage(view.members(), view.ranks).complete() and all(
        member.armed_step == record.boundary_step
        or member.map_version == record.target_version
        for member in view.members()
    )


def find_passed_boundary(
    record: record_lib.MapRecord,
    own: messages.GroupMember,
    others: Sequence[messages.GroupMember],
) -> int:
    """Return the boundary step if it ran on the old map, else 0.

    A replaced rank relies on the reports of the others.
    """
    boundary = record.boundary_step
    if record.phase is not record_lib.Phase.SWITCHING:
        return 0
    if own.step < boundary or own.armed_step == boundary:
        return 0
    if own.map_version == record.map_version:
        return boundary
    reported = any(other.passed_step == boundary for other in others)
    return boundary if own.map_version == 0 and reported else 0


def decide_write(
    view: View, wanted: int, allowed: frozenset[int], overdue: bool
) -> record_lib.MapRecord | None:
    """Return the record that the lease holder should write, None if none.

    Args:
        view: The record and the known states of the ranks.
        wanted: Map to switch to, 0 for none.
        allowed: Map versions that the bundle allows.
        overdue: Whether preparing has exceeded its time limit.
    """
    record = view.record
    if record.phase is record_lib.Phase.STABLE:
        if wanted in allowed and wanted != record.map_version:
            return _start_preparing(record, wanted)
        return None
    if record.phase is record_lib.Phase.PREPARING:
        return _write_in_preparing(view, allowed, overdue)
    return _write_in_switch(view)


def _write_in_preparing(
    view: View, allowed: frozenset[int], overdue: bool
) -> record_lib.MapRecord | None:
    record = view.record
    if record.target_version not in allowed or overdue:
        return _make_stable(record, record.map_version)
    if not check_coverage(view.members(), view.ranks).complete():
        return None
    if not all(
        record.target_version in member.prepared for member in view.members()
    ):
        return None
    return _start_switching(view, MARGIN_STEPS)


def _write_in_switch(view: View) -> record_lib.MapRecord | None:
    record, members = view.record, view.members()
    if not check_coverage(members, view.ranks).complete():
        return None
    if all(member.map_version == record.target_version for member in members):
        return _make_stable(record, record.target_version)
    if all(member.passed_step == record.boundary_step for member in members):
        steps_late = (
            max(member.step for member in members) - record.boundary_step
        )
        return _start_switching(view, MARGIN_STEPS + 2 * steps_late)
    # All ranks were replaced, so no rank knows on which map the boundary step
    # ran, and any common map is correct.
    if all(
        member.map_version == 0 and member.step >= record.boundary_step
        for member in members
    ):
        return _make_stable(record, record.target_version)
    return None


def _start_preparing(
    record: record_lib.MapRecord, target: int
) -> record_lib.MapRecord:
    return record._replace(
        epoch=record.epoch + 1,
        phase=record_lib.Phase.PREPARING,
        target_version=target,
    )


def _start_switching(view: View, margin: int) -> record_lib.MapRecord:
    # Above every step used before, so that no late order can refer to it.
    known = [max(member.step, member.armed_step) for member in view.members()]
    return view.record._replace(
        epoch=view.record.epoch + 1,
        phase=record_lib.Phase.SWITCHING,
        boundary_step=max(*known, view.record.boundary_step) + margin,
    )


def _make_stable(
    record: record_lib.MapRecord, map_version: int
) -> record_lib.MapRecord:
    return record._replace(
        epoch=record.epoch + 1,
        phase=record_lib.Phase.STABLE,
        map_version=map_version,
        target_version=0,
    )


def decide_first_record(
    members: Sequence[messages.GroupMember],
    ranks: int,
    allowed: frozenset[int],
) -> record_lib.MapRecord | None:
    """Return the first record of a group, None if it cannot be decided yet.

    The map is the one that all ranks use, or the allowed one with the lowest
    version if no rank has a map. None if some rank is not claimed exactly
    once, if the ranks use different maps, or if there is no map.
    """
    if not check_coverage(members, ranks).complete():
        return None
    in_use = {member.map_version for member in members} - {0}
    if len(in_use) > 1:
        return None
    version = next(iter(in_use), min(allowed, default=0))
    return record_lib.first_record(version) if version else None
