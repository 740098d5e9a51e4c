"""Points in time of a request, in seconds of the event loop's clock."""

import datetime
from typing import NamedTuple

from verbenafall_core.routes import model


class RequestTimes(NamedTuple):
    """When a request came and when its answer is due.

    Attributes:
        target_at: Until then the answer, or its first event, is on time.
        deadline: Until then the client gets a final answer.
    """

    received: float
    target_at: float
    deadline: float


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
    return RequestTimes(
        received,
        received + route.latency_target.total_seconds(),
        received + wait.total_seconds(),
    )


def parse_milliseconds(text: str | None) -> datetime.timedelta | None:
    """Read a whole number of milliseconds; None when it is none."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    return datetime.timedelta(milliseconds=int(text[:12]))
