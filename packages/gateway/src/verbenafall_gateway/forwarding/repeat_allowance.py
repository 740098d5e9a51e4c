"""Limits repeated attempts to a fraction of the requests; no I/O."""

import collections
from typing import Final
from typing import NamedTuple

# Fraction of the allowance that is used. The rest covers the differences
# between the counting windows of the gateways.
ALLOWANCE_FRACTION: Final = 0.7
BUCKETS_PER_WINDOW: Final = 10


class RepeatLimits(NamedTuple):
    """Limits on the repeats of all gateways together to one service.

    Attributes:
        ratio: Repeats allowed per request within a window.
        extra: Further repeats allowed within a window.
        window: Length of the window in seconds.
    """

    ratio: float
    extra: float
    window: float


class RepeatAllowance:
    """Counts the requests and repeats of one gateway by service.

    Each gateway may use the repeats for its own requests and an equal part of
    the extra repeats, so the common limit holds without any communication.
    """

    def __init__(self, limits: RepeatLimits) -> None:
        """Create an allowance with all counts at zero."""
        self.limits = limits
        self.requests: dict[str, collections.deque[tuple[int, int]]] = {}
        self.repeats: dict[str, collections.deque[tuple[int, int]]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        self.add(self.requests, service, now)

    def try_acquire(self, service: str, gateways: int, now: float) -> bool:
        """Count a repeat if the limit allows it; return whether it does."""
        made = self.total(self.repeats, service, now)
        requests = self.total(self.requests, service, now)
        allowed = ALLOWANCE_FRACTION * (
            self.limits.ratio * requests + self.limits.extra / max(gateways, 1)
        )
        if made + 1 > allowed:
            return False
        self.add(self.repeats, service, now)
        return True

    def bucket(self, now: float) -> int:
        """Return the number of the bucket that a time falls into."""
        return int(now / self.limits.window * BUCKETS_PER_WINDOW)

    def add(
        self,
        counts: dict[str, collections.deque[tuple[int, int]]],
        service: str,
        now: float,
    ) -> None:
        """Add one to the current bucket of a service."""
        buckets = counts.setdefault(service, collections.deque())
        number = self.bucket(now)
        if buckets and buckets[-1][0] == number:
            buckets[-1] = (number, buckets[-1][1] + 1)
        else:
            buckets.append((number, 1))

    def total(
        self,
        counts: dict[str, collections.deque[tuple[int, int]]],
        service: str,
        now: float,
    ) -> int:
        """Drop expired buckets and return the count of the last window."""
        buckets = counts.get(service)
        if not buckets:
            return 0
        oldest = self.bucket(now) - BUCKETS_PER_WINDOW
        while buckets and buckets[0][0] <= oldest:
            buckets.popleft()
        return sum(count for _, count in buckets)


def create_repeat_allowance(limits: RepeatLimits) -> RepeatAllowance:
    """Create an allowance with all counts at zero."""
    return RepeatAllowance(limits)
