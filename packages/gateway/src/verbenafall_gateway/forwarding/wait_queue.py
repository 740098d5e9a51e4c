"""Order in which waiting requests get a free slot; pure."""

from collections.abc import Sequence
from typing import NamedTuple


class QueueEntry(NamedTuple):
    """A request that waits for a slot; times in seconds.

    Attributes:
        urgency: 0 is most urgent.
        on_time_until: Latest start at which its answer is still on time.
        useful_until: Latest start at which an answer is still of use.
    """

    number: int
    urgency: int
    arrived: float
    on_time_until: float
    useful_until: float


def pick_next(waiting: Sequence[QueueEntry], now: float) -> QueueEntry | None:
    """Return the request that gets a slot now.

    Answers a load above capacity: requests that can still be on time go
    first, the one with the least time left before the others, so that a
    backlog does not make every later request late too. Late ones follow in
    the order of their arrival, so that none waits for ever.
    """
    useful = [item for item in waiting if item.useful_until > now]
    if not useful:
        return None
    return min(useful, key=lambda item: rank(item, now))


def rank(item: QueueEntry, now: float) -> tuple[bool, int, float]:
    """Return the sort key of a waiting request; the least goes first."""
    late = item.on_time_until <= now
    return late, item.urgency, item.arrived if late else item.on_time_until


class QueueState(NamedTuple):
    """What decides whether a request may join the line.

    Attributes:
        waiting: Requests that wait in this gateway.
        slots: Slots of all usable endpoints.
        mean_duration: Seconds for which a request holds a slot.
        gateways: Gateways that share the slots.
    """

    waiting: int
    slots: int
    mean_duration: float
    gateways: int


def expected_wait(state: QueueState) -> float:
    """Return the seconds that a request waits if it joins the line now."""
    if state.slots <= 0:
        return float("inf")
    per_second = state.slots / max(state.mean_duration, 0.001)
    return (state.waiting + 1) * max(state.gateways, 1) / per_second
