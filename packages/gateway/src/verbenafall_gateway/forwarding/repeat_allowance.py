"""Limits the repeats of all gateways together; no I/O.

Each gateway earns repeats: a fraction of one with each request, and its share
of the extra repeats as time passes. It starts with none and holds few: a part
of its share, and a tenth of what its latest requests allow. Within any window,
all gateways together use no more than what they held before it and earn in it.
That does not depend on what a gateway remembers of the time before its start,
so the limit also holds while gateways restart, nor on the number of gateways.
"""

import collections
from collections.abc import Callable
import math
from typing import Final
from typing import NamedTuple

# Fraction of the allowance that is earned. The rest of the extra repeats covers
# requests that were sent before the window in which they arrive.
EARNED_FRACTION: Final = 0.9
# Fraction of what the requests of the last window allow that may be held; with
# the earned fraction, the whole.
HELD_BY_REQUESTS: Final = 0.1
# Fraction of the earned extra repeats that all gateways may hold together, for
# many failures at once.
HELD_FRACTION: Final = 0.5
# A gateway whose share is smaller than this holds all of it: with less than one
# held repeat it can never use any.
MIN_HELD: Final = 1.0
# Steps in which requests leave the window.
STEPS_PER_WINDOW: Final = 10


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


class Share(NamedTuple):
    """One gateway's share of the extra repeats to a service.

    Attributes:
        held: Repeats that it may hold.
        rate: Repeats that it earns per second.
    """

    held: float
    rate: float


def share_of(
    limits: RepeatLimits, gateways: int | None, requests: int
) -> Share:
    """Return the share of a gateway.

    Args:
        limits: Limits of all gateways together.
        gateways: Number of gateways; None if it is not known, in which case
            repeats are earned by requests only.
        requests: Requests that this gateway has received within a window.
    """
    held_by_requests = HELD_BY_REQUESTS * limits.ratio * requests
    if gateways is None:
        return Share(held_by_requests, 0.0)
    extra = EARNED_FRACTION * limits.extra / gateways
    held = max(HELD_FRACTION * extra, min(MIN_HELD, extra))
    return Share(held + held_by_requests, (extra - held) / limits.window)


class RecentRequests:
    """Number of requests within the last window.

    It leaves out requests of the oldest, incomplete step.

    Attributes:
        window: Length of the window in seconds.
        steps: Number of each step in time and its requests, oldest first.
        total: Requests of all steps.
    """

    def __init__(self) -> None:
        """Create a window without requests."""
        self.window = 0.0
        self.steps: collections.deque[tuple[int, int]] = collections.deque()
        self.total = 0

    def add(self, now: float, window: float) -> None:
        """Count a request."""
        self.count(now, window)
        step = step_of(now, window)
        count = 1
        if self.steps and self.steps[-1][0] == step:
            count += self.steps.pop()[1]
        self.steps.append((step, count))
        self.total += 1

    def count(self, now: float, window: float) -> int:
        """Return the requests within the window that ends now."""
        if window != self.window:
            self.window = window
            self.steps.clear()
            self.total = 0
        oldest = step_of(now, window) - STEPS_PER_WINDOW
        while self.steps and self.steps[0][0] <= oldest:
            self.total -= self.steps.popleft()[1]
        return self.total


def step_of(now: float, window: float) -> int:
    """Return the number of the step that contains a time, in seconds."""
    return math.floor(now * STEPS_PER_WINDOW / window)


class Reserve:
    """Repeats of one gateway to one service.

    Attributes:
        earned: Repeats that can be acquired.
        pending: Acquired repeats that were not sent yet.
        settled_at: Time up to which `earned` is computed.
        share: The gateway's share at that time.
        requests: The latest requests to the service.
    """

    def __init__(self, now: float, share: Share) -> None:
        """Create an empty reserve."""
        self.earned = 0.0
        self.pending = 0
        self.settled_at = now
        self.share = share
        self.requests = RecentRequests()

    def settle(self, now: float, share: Share) -> None:
        """Add what was earned since the last call."""
        rate = min(self.share.rate, share.rate)
        self.share = share
        self.add(rate * max(0.0, now - self.settled_at))
        self.settled_at = now

    def add(self, repeats: float) -> None:
        """Add earned repeats, of which those beyond the share are lost.

        Pending repeats count as held: they may be sent within a later window.
        """
        room = max(0.0, self.share.held - self.pending)
        self.earned = min(self.earned + repeats, room)


class RepeatAllowance:
    """The repeats that one gateway may send, by service.

    Not thread-safe: call it on the event loop only.

    Attributes:
        limits: Limits of all gateways together.
        gateways: Returns the number of gateways, None if it is not known.
    """

    def __init__(
        self, limits: RepeatLimits, gateways: Callable[[], int | None]
    ) -> None:
        """Create an allowance that has earned nothing yet."""
        self.limits = limits
        self.gateways = gateways
        self.reserves: dict[str, Reserve] = {}

    def reserve_of(self, service: str, now: float) -> Reserve:
        """Return the settled reserve of a service."""
        reserve = self.reserves.get(service)
        if reserve is None:
            reserve = self.reserves[service] = Reserve(now, Share(0.0, 0.0))
        requests = reserve.requests.count(now, self.limits.window)
        reserve.settle(now, share_of(self.limits, self.gateways(), requests))
        return reserve

    def record_request(self, service: str, now: float) -> None:
        """Earn a fraction of a repeat with a new request."""
        reserve = self.reserve_of(service, now)
        reserve.requests.add(now, self.limits.window)
        # The share has grown by this request.
        reserve = self.reserve_of(service, now)
        reserve.add(EARNED_FRACTION * self.limits.ratio)

    def try_acquire(self, service: str, now: float) -> bool:
        """Acquire a repeat if there is one; return whether there is.

        It must be passed to record_sent() or give_back() later.
        """
        reserve = self.reserve_of(service, now)
        if reserve.earned < 1.0:
            return False
        reserve.earned -= 1.0
        reserve.pending += 1
        return True

    def record_sent(self, service: str) -> None:
        """Record that an acquired repeat is sent."""
        self.reserves[service].pending -= 1

    def give_back(self, service: str) -> None:
        """Return an acquired repeat that is not sent."""
        reserve = self.reserves[service]
        reserve.pending -= 1
        reserve.add(1.0)


def create_repeat_allowance(
    limits: RepeatLimits, gateways: Callable[[], int | None]
) -> RepeatAllowance:
    """Create an allowance that has earned nothing yet.

    Args:
        limits: Limits of all gateways together.
        gateways: Returns the number of gateways, None if it is not known.
    """
    return RepeatAllowance(limits, gateways)
