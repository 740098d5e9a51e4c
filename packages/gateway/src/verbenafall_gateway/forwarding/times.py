"""Time limits of a request, in seconds of the event loop's clock."""

import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core.routes import model

# Clients close a stream after the longest of these times without an event, as
# the user documentation states: this minimum, a multiple of the route's latency
# target and a multiple of its event gap target.
MIN_STREAM_TIMEOUT: Final = datetime.timedelta(seconds=2)
STREAM_TIMEOUT_LATENCY_TARGETS: Final = 4
STREAM_TIMEOUT_EVENT_GAPS: Final = 8


class RequestTimes(NamedTuple):
    """When a request was received and when its answer is due.

    Attributes:
        target_at: When the answer, or its first event, is due by the route's
            latency target.
        deadline: When the client must have a final answer.
        client_timeout_at: When a client that has received nothing times out.
    """

    received: float
    target_at: float
    deadline: float
    client_timeout_at: float


def request_times(
    received: float, time_left: datetime.timedelta | None, route: model.Route
) -> RequestTimes:
    """Return the time limits of a request.

    Args:
        received: When the first byte of the request arrived.
        time_left: Time that the client states it will wait, if it does.
        route: Route of the request; its timeout is an upper bound.
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
    """Return how long clients of a route wait for a first event or answer."""
    if route.kind is not model.RequestKind.STREAM:
        return route.timeout
    gap = route.event_gap_target or datetime.timedelta()
    return max(
        MIN_STREAM_TIMEOUT,
        route.latency_target * STREAM_TIMEOUT_LATENCY_TARGETS,
        gap * STREAM_TIMEOUT_EVENT_GAPS,
    )


def parse_milliseconds(text: str | None) -> datetime.timedelta | None:
    """Parse a whole number of milliseconds; return None if it is invalid."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    return datetime.timedelta(milliseconds=int(text[:12]))
