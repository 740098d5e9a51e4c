"""Decides the steps of a map switch; pure.

Every sidecar calls `decide_order` for its own ranks. The holder of the
group's lease also calls `decide_write`. A step of the engine is the last step
that ran. A rank that was replaced has map 0 and holds until it is released
with step 0, which starts it on a map and changes nothing on a running rank.
"""

from collections.abc import Sequence
import enum
from typing import Final
from typing import NamedTuple

from verbenafall_core import messages
from verbenafall_core.expert_maps import record as record_lib

# Steps take about 50 ms; the record and the orders need up to 2 s to spread.
MARGIN_STEPS: Final = 64
START_STEP: Final = 0


class OrderKind(enum.StrEnum):
    """What an order asks of an engine."""

    PREPARE = "prepare"
    ARM = "arm"
    RELEASE = "release"
    DISARM = "disarm"


class Order(NamedTuple):
    """The state that an engine shall be in.

    Attributes:
        step: Boundary step; 0 for prepare, START_STEP to start a rank.
    """

    epoch: int
    kind: OrderKind
    map_version: int
    step: int


class Step(enum.StrEnum):
    """Steps of a switch; START puts a replaced rank on the group's map."""

    PREPARING = "preparing"
    PREPARE = "prepare"
    SWITCHING = "switching"
    ARM = "arm"
    RELEASE = "release"
    STABLE = "stable"
    START = "start"


def step_of_order(order: Order) -> Step | None:
    """Return the step that an order belongs to, None for a disarm."""
    if order.kind is OrderKind.DISARM:
        return None
    if order.kind is OrderKind.RELEASE and order.step == START_STEP:
        return Step.START
    return Step(order.kind.value)


class Coverage(NamedTuple):
    """Ranks that are not claimed by exactly one block."""

    unclaimed: tuple[int, ...]
    doubled: tuple[int, ...]

    def complete(self) -> bool:
        """Return whether each rank is claimed once."""
        return not self.unclaimed and not self.doubled


class View(NamedTuple):
    """What one sidecar knows when it decides.

    Attributes:
        own: State of its own ranks; None while it is not known.
        others: States received over the links that are open now.
        ranks: Number of ranks of the group.
        confirmed: Whether this process has read the record from the store,
            or has heard from the blocks of all other ranks, so that no
            process still counts on what its ranks did before it started.
    """

    record: record_lib.MapRecord
    own: messages.GroupMember | None
    others: tuple[messages.GroupMember, ...]
    ranks: int
    confirmed: bool

    def members(self) -> tuple[messages.GroupMember, ...]:
        """Return all known states."""
        return self.others if self.own is None else (self.own, *self.others)


def check_coverage(
    members: Sequence[messages.GroupMember], ranks: int
) -> Coverage:
    """Return which ranks no block or more than one block claims."""
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
    """Return the next order to the own engine, None when it needs none."""
    if view.own is None or view.own.epoch > view.record.epoch:
        return None  # The ranks know a newer record than this process.
    if view.record.phase is record_lib.Phase.SWITCHING:
        return _order_in_switch(view, view.own)
    return _order_outside_switch(view, view.own)


def _order_outside_switch(
    view: View, own: messages.GroupMember
) -> Order | None:
    record = view.record
    if own.map_version == 0:
        return _start(view, own, record.map_version)
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
        return _hold_none(view, own)
    if own.step >= boundary:
        return _order_after_boundary(view, own)
    return _order_before_boundary(view, own)


def _order_before_boundary(
    view: View, own: messages.GroupMember
) -> Order | None:
    record = view.record
    target, boundary = record.target_version, record.boundary_step
    # A rank without a map is armed before it is started: it may have been
    # armed before it was replaced, and others may count on that.
    if own.armed_step != boundary:
        return _order(record, OrderKind.ARM, target, boundary)
    if own.map_version == 0:
        return _start(view, own, record.map_version)
    if all_committed(view):
        return _order(record, OrderKind.RELEASE, target, boundary)
    return None


def _order_after_boundary(
    view: View, own: messages.GroupMember
) -> Order | None:
    # A rank without a map is started only when it is known on which map the
    # boundary step ran; otherwise the lease holder writes a new record.
    target = view.record.target_version
    known = any(other.map_version == target for other in view.others)
    return _start(view, own, target) if own.map_version == 0 and known else None


def _hold_none(view: View, own: messages.GroupMember) -> Order | None:
    # A late repeated arm order can hold a rank that was released already.
    if not own.armed_step or not all_committed(view):
        return None
    return _order(
        view.record, OrderKind.RELEASE, own.map_version, own.armed_step
    )


def _start(
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
    """Return whether no rank can run the boundary step on the old map."""
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
    """Return the boundary step if it ran on the old map, else 0."""
    boundary = record.boundary_step
    if record.phase is not record_lib.Phase.SWITCHING:
        return 0
    if own.step < boundary or own.armed_step == boundary:
        return 0
    if own.map_version == record.map_version:
        return boundary
    heard = any(other.passed_step == boundary for other in others)
    return boundary if own.map_version == 0 and heard else 0


def decide_write(
    view: View, wanted: int, allowed: frozenset[int], overdue: bool
) -> record_lib.MapRecord | None:
    """Return the record that the lease holder writes now, if any.

    Args:
        view: What this process knows.
        wanted: Map to switch to, 0 for none.
        allowed: Map versions that the bundle allows.
        overdue: Whether preparing has taken too long.
    """
    record = view.record
    if record.phase is record_lib.Phase.STABLE:
        if wanted in allowed and wanted != record.map_version:
            return _prepare(record, wanted)
        return None
    if record.phase is record_lib.Phase.PREPARING:
        return _write_in_preparing(view, allowed, overdue)
    return _write_in_switch(view)


def _write_in_preparing(
    view: View, allowed: frozenset[int], overdue: bool
) -> record_lib.MapRecord | None:
    record = view.record
    if record.target_version not in allowed or overdue:
        return _settle(record, record.map_version)
    if not check_coverage(view.members(), view.ranks).complete():
        return None
    if not all(
        record.target_version in member.prepared for member in view.members()
    ):
        return None
    return _switch(view, MARGIN_STEPS)


def _write_in_switch(view: View) -> record_lib.MapRecord | None:
    record, members = view.record, view.members()
    if not check_coverage(members, view.ranks).complete():
        return None
    if all(member.map_version == record.target_version for member in members):
        return _settle(record, record.target_version)
    if all(member.passed_step == record.boundary_step for member in members):
        late = max(member.step for member in members) - record.boundary_step
        return _switch(view, MARGIN_STEPS + 2 * late)
    # Nobody knows on which map the boundary ran, so any common map is right.
    if all(
        member.map_version == 0 and member.step >= record.boundary_step
        for member in members
    ):
        return _settle(record, record.target_version)
    return None


def _prepare(record: record_lib.MapRecord, target: int) -> record_lib.MapRecord:
    return record._replace(
        epoch=record.epoch + 1,
        phase=record_lib.Phase.PREPARING,
        target_version=target,
    )


def _switch(view: View, margin: int) -> record_lib.MapRecord:
    # Above each step ever named, so that no late order can name it again.
    known = [max(member.step, member.armed_step) for member in view.members()]
    return view.record._replace(
        epoch=view.record.epoch + 1,
        phase=record_lib.Phase.SWITCHING,
        boundary_step=max(*known, view.record.boundary_step) + margin,
    )


def _settle(
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
    """Return the first record of a group that has none.

    The map is the one that all ranks run on, or the lowest allowed one when
    no rank has a map yet.
    """
    if not check_coverage(members, ranks).complete():
        return None
    in_use = {member.map_version for member in members} - {0}
    if len(in_use) > 1:
        return None
    version = next(iter(in_use), min(allowed, default=0))
    return record_lib.first_record(version) if version else None
