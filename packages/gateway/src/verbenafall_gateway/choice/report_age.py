"""Pure estimate of how old the information in a load report is.

The gateway knows when a report arrived, not when it was made: the clocks of
two instances have no common origin. It can see how much longer than the
quickest one a message took, because both clocks advance at the same rate.
"""

import datetime
from typing import Final
from typing import NamedTuple

# Twice the largest rate error that NTP corrects (500 ppm). Without it a clock
# that runs fast would look like a delay that grows for as long as the link is
# open. A constant delay is forgotten at this rate.
CLOCK_DRIFT: Final = 0.001

_ZERO: Final = datetime.timedelta()


class LinkDelay(NamedTuple):
    """How late the messages of a link are.

    Attributes:
        shortest: Smallest difference of receiver's and sender's reading.
        observed_at: Receiver's reading at the last observation.
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
    """Return the delay of a link after a message with its time of sending.

    Args:
        before: Delay so far, None at the first such message.
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
    """Return the age of a report's information, at least.

    A delay that was there from the start of the link is not contained.
    """
    excess = delay.excess if delay else _ZERO
    return now - received_at + excess
