"""Chooses which ranks of a group report expert counts, and how often; pure.

Requests are spread over the ranks at random, so a sample of the ranks shows
the demand of the entire group.
"""

import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_sidecar.steering import rank_agent

# In groups up to this size every rank reports its counts.
MAX_UNSAMPLED_RANKS: Final = 32
# Larger groups are sampled: 24 messages of 1 to 2 KB every 0.3 s use about a
# quarter of a link of 4 Mbit/s.
MAX_SAMPLED_RANKS: Final = 24
SAMPLED_INTERVAL: Final = datetime.timedelta(milliseconds=300)


class CountSampling(NamedTuple):
    """Every `stride`-th rank reports its counts, once per interval."""

    stride: int
    interval: datetime.timedelta


def choose_sampling(size: int) -> CountSampling:
    """Return which ranks report their counts in a group of `size` ranks."""
    if size <= MAX_UNSAMPLED_RANKS:
        return CountSampling(1, rank_agent.COUNT_INTERVAL)
    return CountSampling(-(-size // MAX_SAMPLED_RANKS), SAMPLED_INTERVAL)


def choose_interval(
    sampling: CountSampling, link_index: int
) -> datetime.timedelta:
    """Return how often the rank behind the n-th link reports its counts."""
    if link_index % sampling.stride:
        return rank_agent.NO_COUNTS
    return sampling.interval
