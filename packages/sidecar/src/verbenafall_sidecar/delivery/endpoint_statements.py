"""What the endpoint says of itself in its answers; no I/O.

An endpoint may say that it leaves, or, as it turns a request away, for how long
it wants no further one. Either way it is closed to new calls for a time.
"""

import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core import messages
from verbenafall_core import retry_after

UNAVAILABLE: Final = 503
# An endpoint that stays up after it has said that it leaves is called again
# after this time; usually its process ends before.
LEAVING_RECHECK: Final = datetime.timedelta(seconds=30)
# Longest pause that a duration can hold without an overflow of later sums.
MAX_PAUSE: Final = datetime.timedelta(days=365)


class Statement(NamedTuple):
    """A statement of the endpoint.

    Attributes:
        leaving: Whether it leaves; otherwise it pauses.
        closed_for: For how long it gets no calls.
    """

    leaving: bool
    closed_for: datetime.timedelta


def read_statement(status: int, headers: messages.Headers) -> Statement | None:
    """Return what an answer says, None if nothing or nothing readable."""
    if ("x-leaving", "1") in ((name.lower(), value) for name, value in headers):
        return Statement(True, LEAVING_RECHECK)
    values = [value for name, value in headers if name.lower() == "retry-after"]
    if status != UNAVAILABLE or not values:
        return None
    answered_at = next(
        (value for name, value in headers if name.lower() == "date"), None
    )
    seconds = retry_after.parse_retry_after(values, answered_at)
    if not seconds:
        return None
    limit = min(seconds, MAX_PAUSE.total_seconds())
    return Statement(False, datetime.timedelta(seconds=limit))


class ClosedTime:
    """The time for which the endpoint gets no calls.

    Attributes:
        until: Its end.
    """

    def __init__(self) -> None:
        """Create the state of an endpoint that is open."""
        self.until = datetime.timedelta()

    def close(
        self, duration: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Close the endpoint; return whether that makes a difference."""
        if now + duration <= self.until:
            return False
        self.until = now + duration
        return True

    def open(self) -> None:
        """Open the endpoint, as another process has taken its place."""
        self.until = datetime.timedelta()

    def left(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return what is left of the time, zero if the endpoint is open."""
        return max(self.until - now, datetime.timedelta())


def create_closed_time() -> ClosedTime:
    """Create the state of an endpoint that is open."""
    return ClosedTime()
