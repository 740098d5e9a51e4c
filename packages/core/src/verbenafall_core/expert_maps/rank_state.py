"""What is known of a rank, and the states that it can be ordered into."""

import enum
from typing import NamedTuple

from verbenafall_core.expert_maps import replica_map


class Armed(NamedTuple):
    """A rank switches to a map version as a pass begins."""

    version: int
    step: int


class RankReport(NamedTuple):
    """A rank as its engine reports it.

    Attributes:
        group: Name of the rank group.
        size: Ranks of the group.
        epoch: Counts the times that the group was formed.
        open: Whether the group runs passes.
        step: Last pass that was begun.
        map_version: Map in use, 0 for the first one.
        prepared: Map version whose experts are all copied, 0 for none.
        held: Pass that the group does not begin before it is released.
        slowdown: Time that the rank needs for work, against the usual one.
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
    """The state that a rank shall be in.

    PREPARE: The experts of a map version are copied.
    HOLD: The group does not begin a pass.
    ARM: The rank switches to a prepared map as a pass begins.
    DISARM: The rank does not switch.
    RELEASE: The group may begin a held pass.
    """

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    DISARM = "disarm"
    RELEASE = "release"


class RankOrder(NamedTuple):
    """An order to a rank; it names the state that is wanted.

    Attributes:
        term: Number of the leadership; ranks refuse lower ones.
        version: Map version, 0 where none is meant.
        step: Pass, 0 where none is meant.
        placement: The whole map, for PREPARE only.
    """

    kind: OrderKind
    term: int
    epoch: int
    version: int
    step: int
    placement: replica_map.Placement


class OrderAnswer(enum.StrEnum):
    """What an engine says to an order.

    ACCEPTED: The order has begun or is done.
    CONFLICT: It does not fit the state of the rank.
    FENCED: The engine knows a higher term.
    UNANSWERED: It may have been taken, and may take effect later.
    INVALID: The engine does not know it.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FENCED = "fenced"
    UNANSWERED = "unanswered"
    INVALID = "invalid"


class OrderStatus(enum.Enum):
    """How far a rank is from the state that an order names."""

    OPEN = "open"
    DONE = "done"
    IMPOSSIBLE = "impossible"


def order_status(order: RankOrder, report: RankReport) -> OrderStatus:
    """Return whether a rank is in the state that an order names.

    DISARM counts as open even when nothing is armed: a late order of an
    earlier leader is void only after the engine has accepted one of this.
    """
    if report.epoch != order.epoch:
        return OrderStatus.IMPOSSIBLE
    match order.kind:
        case OrderKind.PREPARE:
            done = report.prepared == order.version
            late = max(report.map_version, report.prepared) > order.version
            return choose(done, late)
        case OrderKind.HOLD:
            done = report.held == order.step
            return choose(done, not done and report.step >= order.step)
        case OrderKind.ARM:
            done = (
                report.armed == Armed(order.version, order.step)
                or report.map_version == order.version
            )
            return choose(done, report.step >= order.step)
        case OrderKind.RELEASE:
            return choose(report.held != order.step, False)
        case OrderKind.DISARM:
            return OrderStatus.OPEN


def choose(done: bool, impossible: bool) -> OrderStatus:
    """Return the fulfilment for two conditions; the first one counts."""
    if done:
        return OrderStatus.DONE
    return OrderStatus.IMPOSSIBLE if impossible else OrderStatus.OPEN
