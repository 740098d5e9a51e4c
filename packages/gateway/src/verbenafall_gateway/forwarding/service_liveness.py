"""Notices when a service as a whole does no work; no I/O.

The ranks of a group run each pass together, so one that is gone or held stops
all of them. Requests that come then would wait until their callers leave.
"""

from typing import Final

# Passes take 60 to 150 ms; while requests are open, events come from some
# endpoint of the group all the time.
STALL_SECONDS: Final = 0.6
# Rejections without any progress between them that count as a stall.
STALL_REJECTIONS: Final = 4
# While the service does no work, one request goes through in this time.
PROBE_INTERVAL_SECONDS: Final = 0.3
# Time to come back, in seconds. An engine is back after some seconds, and a
# caller that comes back too early is refused for good.
MIN_RETRY_DELAY_SECONDS: Final = 2.0
MAX_RETRY_DELAY_SECONDS: Final = 2.65


class ServiceLiveness:
    """Progress and rejections of one service, in seconds of one clock."""

    def __init__(self) -> None:
        """Create a pulse of a service that has done nothing yet."""
        self.waiting_since: float | None = None
        self.rejections = 0
        self.last_probe = float("-inf")

    def record_sent(self, now: float) -> None:
        """Take that a request was sent."""
        if self.waiting_since is None:
            self.waiting_since = now

    def record_progress(self, now: float) -> None:
        """Take an event or an answer."""
        self.waiting_since = now
        self.rejections = 0

    def record_rejection(self) -> None:
        """Take that an endpoint did not run a request."""
        self.rejections += 1

    def record_idle(self) -> None:
        """Take that no request is open any more."""
        if self.rejections < STALL_REJECTIONS:
            self.waiting_since = None

    def is_stalled(self, now: float) -> bool:
        """Return whether the service does no work at the moment."""
        if self.waiting_since is None:
            return False
        silent = now - self.waiting_since
        if self.rejections >= STALL_REJECTIONS:
            return silent > STALL_SECONDS / 2
        return silent > STALL_SECONDS

    def may_probe(self, now: float) -> bool:
        """Return whether a request may go through while it is stalled."""
        if now - self.last_probe < PROBE_INTERVAL_SECONDS:
            return False
        self.last_probe = now
        return True


def retry_delay(draw: float) -> float:
    """Return when a refused caller should come back, for a draw from 0 to 1."""
    return (
        MIN_RETRY_DELAY_SECONDS
        + (MAX_RETRY_DELAY_SECONDS - MIN_RETRY_DELAY_SECONDS) * draw
    )
