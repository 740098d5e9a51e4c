"""State that a rank reports, and orders that change it."""

import enum
from typing import NamedTuple

from verbenafall_core.expert_maps import replica_map


class Armed(NamedTuple):
    """The map version that a rank switches to at the start of a pass."""

    version: int
    step: int


class RankReport(NamedTuple):
    """State of a rank as reported by its engine.

    Attributes:
        group: Name of the rank group.
        size: Number of ranks in the group.
        epoch: Incremented each time the group is formed.
        open: Whether the group runs passes.
        step: Number of the last pass that was started.
        map_version: Map in use, 0 for the initial one.
        prepared: Map version whose experts are all copied, 0 for none.
        held: Pass that the group does not start until it is released.
        slowdown: Time that the rank needs for its work, divided by the time
            of a normal rank.
    """

    group: str
    rank: int
    size: int
    epoch: int
    open: bool
    step: int
    map_version: int
    prepared: int
    armed: Armed | None
    held: int | None
    slowdown: float = 1.0


class OrderKind(enum.StrEnum):
    """The state that an order requests.

    PREPARE: The experts of a map version are copied.
    HOLD: The group does not start the given pass.
    ARM: The rank switches to a prepared map at the start of a pass.
    DISARM: The rank does not switch.
    RELEASE: The group may start a held pass.
    """

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    DISARM = "disarm"
    RELEASE = "release"


class RankOrder(NamedTuple):
    """An order to a rank, which specifies the requested state.

    Attributes:
        term: The leader's term; ranks reject orders with a lower one.
        version: Map version, 0 if not applicable.
        step: Number of the pass, 0 if not applicable.
        placement: The complete map for PREPARE, else empty.
    """

    kind: OrderKind
    term: int
    epoch: int
    version: int
    step: int
    placement: replica_map.Placement


class OrderAnswer(enum.StrEnum):
    """Answer of an engine to an order.

    ACCEPTED: The order is in progress or done.
    CONFLICT: The order is not possible in the current state of the rank.
    FENCED: The engine has seen a higher term.
    UNANSWERED: No answer; the order may have been accepted, and may take
        effect later.
    INVALID: The engine does not support the order.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FENCED = "fenced"
    UNANSWERED = "unanswered"
    INVALID = "invalid"


class OrderStatus(enum.Enum):
    """Whether a rank is in, or can still reach, the state of an order."""

    OPEN = "open"
    DONE = "done"
    IMPOSSIBLE = "impossible"


def order_status(order: RankOrder, report: RankReport) -> OrderStatus:
    """Compare the state of a rank with the state that an order requests.

    DISARM is open even if nothing is armed: late orders of an earlier leader
    are fenced off only once the engine has accepted an order of this term.
    """
    if report.epoch != order.epoch:
        return OrderStatus.IMPOSSIBLE
    match order.kind:
        case OrderKind.PREPARE:
            done = report.prepared == order.version
            late = max(report.map_version, report.prepared) > order.version
            return to_order_status(done, late)
        case OrderKind.HOLD:
            done = report.held == order.step
            return to_order_status(done, not done and report.step >= order.step)
        case OrderKind.ARM:
            done = (
                report.armed == Armed(order.version, order.step)
                or report.map_version == order.version
            )
            return to_order_status(done, report.step >= order.step)
        case OrderKind.RELEASE:
            return to_order_status(report.held != order.step, False)
        case OrderKind.DISARM:
            return OrderStatus.OPEN


def to_order_status(done: bool, impossible: bool) -> OrderStatus:
    """Return the status for two conditions, of which done has priority."""
    if done:
        return OrderStatus.DONE
    return OrderStatus.IMPOSSIBLE if impossible else OrderStatus.OPEN
