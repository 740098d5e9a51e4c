"""Limits repeated sends to a share of the requests; no I/O."""

import collections
from typing import Final
from typing import NamedTuple

# Part of the allowance that is used, as counting windows differ.
ALLOWANCE_FRACTION: Final = 0.7
BUCKETS_PER_WINDOW: Final = 10


class RepeatLimits(NamedTuple):
    """Repeats that all gateways together may send to a service.

    Attributes:
        ratio: Repeats for each request within a window.
        extra: Repeats within a window besides these.
        window: Seconds.
    """

    ratio: float
    extra: float
    window: float


class RepeatAllowance:
    """Counts requests and repeats of one gateway by service.

    Each gateway uses its own requests' share and an equal part of the extra
    repeats, so that they need no message to keep the common limit.
    """

    def __init__(self, limits: RepeatLimits) -> None:
        """Create an allowance without counts."""
        self.limits = limits
        self.requests: dict[str, collections.deque[tuple[int, int]]] = {}
        self.repeats: dict[str, collections.deque[tuple[int, int]]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        self.add(self.requests, service, now)

    def try_acquire(self, service: str, gateways: int, now: float) -> bool:
        """Count a repeat if it is allowed; return whether it is."""
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
        """Return the number of the bucket at a time."""
        return int(now / self.limits.window * BUCKETS_PER_WINDOW)

    def add(
        self,
        counts: dict[str, collections.deque[tuple[int, int]]],
        service: str,
        now: float,
    ) -> None:
        """Add one to the present bucket."""
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
        """Return the count within the last window."""
        buckets = counts.get(service)
        if not buckets:
            return 0
        oldest = self.bucket(now) - BUCKETS_PER_WINDOW
        while buckets and buckets[0][0] <= oldest:
            buckets.popleft()
        return sum(count for _, count in buckets)


def create_repeat_allowance(limits: RepeatLimits) -> RepeatAllowance:
    """Create an allowance without counts."""
    return RepeatAllowance(limits)
