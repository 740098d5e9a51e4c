"""Order in which queued requests are placed; pure functions."""

from collections.abc import Sequence
from typing import NamedTuple


class QueueEntry(NamedTuple):
    """A request that waits for a slot; times are in seconds.

    Attributes:
        urgency: Priority; 0 is the most urgent.
        on_time_until: Latest start at which the latency target is still met.
        useful_until: Latest start at which the client still gets an answer.
    """

    number: int
    urgency: int
    arrived: float
    on_time_until: float
    useful_until: float


def pick_next(waiting: Sequence[QueueEntry], now: float) -> QueueEntry | None:
    """Return the queued request to place next, or None.

    Under overload, requests that can still meet their latency target come
    first, by urgency and then earliest deadline, so that a backlog does not
    delay every later request as well. Late requests follow by urgency and
    order of arrival. Requests past `useful_until` are never returned.
    """
    useful = [item for item in waiting if item.useful_until > now]
    if not useful:
        return None
    return min(useful, key=lambda item: sort_key(item, now))


def count_ahead(
    entry: QueueEntry, waiting: Sequence[QueueEntry], now: float
) -> int:
    """Return how many queued requests are placed before another one."""
    own = sort_key(entry, now)
    return sum(sort_key(item, now) <= own for item in waiting)


def sort_key(item: QueueEntry, now: float) -> tuple[bool, int, float]:
    """Return the sort key of a queued request; the smallest goes first."""
    late = item.on_time_until <= now
    return late, item.urgency, item.arrived if late else item.on_time_until


class QueueState(NamedTuple):
    """Input to the estimate of the waiting time in a queue.

    Attributes:
        waiting: Requests queued in this gateway that are placed first.
        per_second: Requests that the usable endpoints complete per second.
        gateways: Number of gateways that share the endpoints.
    """

    waiting: int
    per_second: float
    gateways: int


def expected_wait(state: QueueState) -> float:
    """Return the expected wait of a request queued now, in seconds.

    Assumes that the other gateways have queues of the same length.
    """
    if state.per_second <= 0:
        return float("inf")
    return (state.waiting + 1) * max(state.gateways, 1) / state.per_second
