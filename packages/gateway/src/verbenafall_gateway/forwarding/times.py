"""Points in time of a request, in seconds of the event loop's clock."""

import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core.routes import model

# A client leaves a stream after the longest of these without an event, as the
# users' pages state it.
MIN_STREAM_TIMEOUT: Final = datetime.timedelta(seconds=2)
STREAM_TIMEOUT_LATENCY_TARGETS: Final = 4
STREAM_TIMEOUT_EVENT_GAPS: Final = 8


class RequestTimes(NamedTuple):
    """When a request came and when its answer is due.

    Attributes:
        target_at: Until then the answer, or its first event, is on time.
        deadline: Until then the client gets a final answer.
        patience_until: When the client leaves if nothing has come.
    """

    received: float
    target_at: float
    deadline: float
    client_timeout_at: float


def request_times(
    received: float, time_left: datetime.timedelta | None, route: model.Route
) -> RequestTimes:
    """Return the times of a request.

    Args:
        received: When its first byte came.
        time_left: What the client said that it waits, if it did.
        route: Its route, which bounds the wait as well.
    """
    wait = route.timeout
    if time_left is not None:
        wait = min(wait, time_left)
    longest_silence = min(wait, client_timeout(route))
    return RequestTimes(
        received,
        received + route.latency_target.total_seconds(),
        received + wait.total_seconds(),
        received + longest_silence.total_seconds(),
    )


def client_timeout(route: model.Route) -> datetime.timedelta:
    """Return how long a client waits for the first event, or the answer."""
    if route.kind is not model.RequestKind.STREAM:
        return route.timeout
    gap = route.event_gap_target or datetime.timedelta()
    return max(
        MIN_STREAM_TIMEOUT,
        route.latency_target * STREAM_TIMEOUT_LATENCY_TARGETS,
        gap * STREAM_TIMEOUT_EVENT_GAPS,
    )


def parse_milliseconds(text: str | None) -> datetime.timedelta | None:
    """Read a whole number of milliseconds; None when it is none."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    return datetime.timedelta(milliseconds=int(text[:12]))
