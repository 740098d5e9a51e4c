"""Which ranks of a group tell their counts, and how often; pure.

Requests are spread over the ranks at random, so some of the ranks show the
demand of all.
"""

import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_sidecar.steering import rank_agent

# Up to this size every rank tells its counts.
SMALL_GROUP: Final = 32
# Ranks of a larger group that tell theirs, and how often: some 24 messages of
# 1 to 2 KB each 0.3 s fill a quarter of a link of 4 Mbit/s.
MOST_COUNTING: Final = 24
LARGE_INTERVAL: Final = datetime.timedelta(milliseconds=300)


class Counting(NamedTuple):
    """Every `stride`-th rank tells its counts at an interval."""

    stride: int
    interval: datetime.timedelta


def choose_sampling(size: int) -> Counting:
    """Return which ranks of a group tell their counts."""
    if size <= SMALL_GROUP:
        return Counting(1, rank_agent.COUNT_INTERVAL)
    return Counting(-(-size // MOST_COUNTING), LARGE_INTERVAL)


def choose_interval(counting: Counting, number: int) -> datetime.timedelta:
    """Return the interval for a rank, by its place among all links."""
    if number % counting.stride:
        return rank_agent.NO_COUNTS
    return counting.interval
