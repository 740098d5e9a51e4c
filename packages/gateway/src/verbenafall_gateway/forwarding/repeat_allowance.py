"""Limits the repeats of all gateways together; no I/O.

Each gateway earns repeats: a fraction of one with each request, and its share
of the extra repeats as time passes. It starts with none and holds few. Within
any window, all gateways together use no more than what they held before it and
earn in it. That does not depend on what a gateway remembers of the time before
its start, so the limit also holds while gateways restart.
"""

from collections.abc import Callable
from typing import Final
from typing import NamedTuple

# Fraction of the allowance that is used. The rest covers gateways that do not
# know of a new one yet, and requests that were sent before a window.
USED_FRACTION: Final = 0.9
# Fraction of the extra repeats that all gateways may hold together, for many
# failures at once. The rest is earned within a window.
HELD_FRACTION: Final = 0.5
# Repeats that a gateway may hold at least; with less it could never use one.
MIN_HELD: Final = 1.0


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


def share_of(limits: RepeatLimits, gateways: int | None) -> Share:
    """Return the share of each gateway.

    Args:
        limits: Limits of all gateways together.
        gateways: Number of gateways; None if it is not known, in which case
            repeats are earned by requests only.
    """
    if limits.ratio == limits.extra == 0:
        return Share(0.0, 0.0)
    if gateways is None:
        return Share(MIN_HELD, 0.0)
    extra = USED_FRACTION * limits.extra / gateways
    held = max(MIN_HELD, HELD_FRACTION * extra)
    return Share(held, max(0.0, extra - held) / limits.window)


class Reserve:
    """Repeats of one gateway to one service.

    Attributes:
        earned: Repeats that can be acquired.
        pending: Acquired repeats that were not sent yet.
        settled_at: Time up to which `earned` is computed.
        share: The gateway's share at that time.
    """

    def __init__(self, now: float, share: Share) -> None:
        """Create an empty reserve."""
        self.earned = 0.0
        self.pending = 0
        self.settled_at = now
        self.share = share

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
        share = share_of(self.limits, self.gateways())
        reserve = self.reserves.get(service)
        if reserve is None:
            reserve = self.reserves[service] = Reserve(now, share)
        reserve.settle(now, share)
        return reserve

    def record_request(self, service: str, now: float) -> None:
        """Earn a fraction of a repeat with a new request."""
        self.reserve_of(service, now).add(USED_FRACTION * self.limits.ratio)

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
