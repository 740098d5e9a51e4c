"""Estimates how old the information in a load report is (no I/O).

The gateway knows when a report arrived but not when it was created, because
the monotonic clocks of two instances have no common origin. As both clocks
advance at the same rate, it can compare the delay of a message with the
shortest delay seen on the link.
"""

import datetime
from typing import Final
from typing import NamedTuple

# Relative clock drift to allow for: twice the largest rate error that NTP
# corrects (500 ppm). Without it, a fast receiver clock would look like a delay
# that grows for as long as the link is open. In turn, a constant excess delay
# decays at this rate.
CLOCK_DRIFT: Final = 0.001

_ZERO: Final = datetime.timedelta()


class LinkDelay(NamedTuple):
    """Estimated delay of the messages on a link.

    Attributes:
        shortest: Smallest difference between the receiver's and the sender's
            clock reading, corrected for drift.
        observed_at: Receiver's clock reading at the last observation.
        excess: Delay of the last message beyond the shortest one.
    """

    shortest: datetime.timedelta
    observed_at: datetime.timedelta
    excess: datetime.timedelta


def observe_delay(
    before: LinkDelay | None,
    sent_at: datetime.timedelta,
    received_at: datetime.timedelta,
) -> LinkDelay:
    """Return the link's delay, updated by a message with a send time.

    Args:
        before: Previous delay; None for the first such message.
        sent_at: Reading of the sender's monotonic clock.
        received_at: Reading of the receiver's monotonic clock.
    """
    difference = received_at - sent_at
    if before is None:
        return LinkDelay(difference, received_at, _ZERO)
    drift = (received_at - before.observed_at) * CLOCK_DRIFT
    shortest = min(difference, before.shortest + drift)
    return LinkDelay(shortest, received_at, difference - shortest)


def estimate_age(
    received_at: datetime.timedelta,
    delay: LinkDelay | None,
    now: datetime.timedelta,
) -> datetime.timedelta:
    """Return a lower bound for the age of a report's information.

    A delay that has existed since the link was opened cannot be detected.
    """
    excess = delay.excess if delay else _ZERO
    return now - received_at + excess
