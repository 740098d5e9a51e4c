"""Detects when none of a service's endpoints makes progress; no I/O.

The ranks of a group run each pass together, so a single rank that is missing
or held stops all of them. Requests that arrive during such a stall would wait
until their clients time out.
"""

from typing import Final

# Time without events, with requests open, that counts as a stall. Passes take
# 60 to 150 ms, and each of them produces events at some endpoint of the group.
STALL_SECONDS: Final = 0.6
# With this many rejections and no progress in between, the service counts as
# stalled at once. A group that works makes progress every few milliseconds, so
# a wrong verdict ends as soon.
STALL_REJECTIONS: Final = 4
# During a stall, one request per interval is sent as a probe.
PROBE_INTERVAL_SECONDS: Final = 0.2
# Requests wait for the end of a stall up to this age. A group whose ranks have
# all started again is back within two to three seconds.
WAIT_SECONDS: Final = 3.0
# Range of the retry-after time during a stall. An engine recovers within a few
# seconds, and a client that retries too early is refused permanently.
MIN_RETRY_DELAY_SECONDS: Final = 2.0
MAX_RETRY_DELAY_SECONDS: Final = 2.65


class ServiceLiveness:
    """Progress and rejections of one service.

    All times are in seconds of one clock.
    """

    def __init__(self) -> None:
        """Create the liveness of a service without open requests."""
        self.waiting_since: float | None = None
        self.rejections = 0
        self.last_probe = float("-inf")

    def record_sent(self, now: float) -> None:
        """Start the stall timer if it is not running."""
        if self.waiting_since is None:
            self.waiting_since = now

    def record_progress(self, now: float) -> None:
        """Restart the stall timer on an event or a complete answer."""
        self.waiting_since = now
        self.rejections = 0

    def record_rejection(self) -> None:
        """Count an attempt that the endpoint did not run."""
        self.rejections += 1

    def record_idle(self) -> None:
        """Stop the stall timer when no request is open.

        After many rejections it keeps running, as rejected requests are not
        open although the service is stalled.
        """
        if self.rejections < STALL_REJECTIONS:
            self.waiting_since = None

    def is_stalled(self, now: float) -> bool:
        """Return whether the service currently makes no progress."""
        if self.waiting_since is None:
            return False
        return (
            self.rejections >= STALL_REJECTIONS
            or now - self.waiting_since > STALL_SECONDS
        )

    def is_worth_waiting(self, now: float) -> bool:
        """Return whether a current stall may end soon."""
        return (
            self.waiting_since is not None
            and now - self.waiting_since < WAIT_SECONDS
        )

    def is_probe_due(self, now: float) -> bool:
        """Return whether a probe is due during a stall."""
        return now - self.last_probe >= PROBE_INTERVAL_SECONDS

    def may_probe(self, now: float) -> bool:
        """Return whether a probe is due during a stall, and count it if so."""
        if not self.is_probe_due(now):
            return False
        self.last_probe = now
        return True


def retry_delay(draw: float) -> float:
    """Return the seconds after which a refused client should retry.

    Args:
        draw: Random number from 0 to 1 that spreads the retries.
    """
    return (
        MIN_RETRY_DELAY_SECONDS
        + (MAX_RETRY_DELAY_SECONDS - MIN_RETRY_DELAY_SECONDS) * draw
    )
