"""Chooses which ranks of a group report expert counts, and how often; pure.

Requests are spread over the ranks at random, so a sample of the ranks shows
the demand of the entire group.
"""

import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core.expert_maps import demand_levels
from verbenafall_sidecar.steering import rank_agent

# Fraction of the leader's link that reports may use. Orders, and the traffic
# of the leader's own engine, must not queue behind them.
LINK_FRACTION: Final = 0.25
# Ranks are sampled rather than asked less often than this: older demand leads
# to a map that no longer fits.
MAX_INTERVAL: Final = datetime.timedelta(milliseconds=250)
BITS_PER_BYTE: Final = 8


class CountSampling(NamedTuple):
    """Every `stride`-th rank reports its counts, once per interval."""

    stride: int
    interval: datetime.timedelta


def choose_sampling(
    ranks: int, counters: int, link_rate: float
) -> CountSampling:
    """Return which ranks report their counts, within the leader's link.

    Args:
        ranks: Number of ranks that could report over links.
        counters: Number of counters of each rank.
        link_rate: Bits per second of the leader's link.
    """
    report_seconds = (
        BITS_PER_BYTE
        * demand_levels.report_bytes(counters)
        / (LINK_FRACTION * link_rate)
    )
    stride = max(
        1, -int(-ranks * report_seconds // MAX_INTERVAL.total_seconds())
    )
    reporting = -(-ranks // stride)
    seconds = min(reporting * report_seconds, MAX_INTERVAL.total_seconds())
    return CountSampling(
        stride,
        max(rank_agent.COUNT_INTERVAL, datetime.timedelta(seconds=seconds)),
    )


def choose_interval(
    sampling: CountSampling, link_index: int
) -> datetime.timedelta:
    """Return how often the rank behind the n-th link reports its counts."""
    if link_index % sampling.stride:
        return rank_agent.NO_COUNTS
    return sampling.interval
