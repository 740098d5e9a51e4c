"""Measures the search for a better balanced expert map.

Prints one JSON line per figure: the time of one search, and the imbalance of
the map that it finds compared with that of the map before.
"""

import random
import statistics
import time
from typing import Final
from typing import NamedTuple

import json_lines
from verbenafall_core.expert_maps import replica_map
from verbenafall_core.expert_maps import replica_search

SEED: Final = 7
SEARCHES: Final = 5
# Exponent of the Zipf distribution of the demand for experts.
ZIPF_EXPONENT: Final = 1.1
# Time that the slow rank needs, as a multiple of the usual time.
SLOW_RANK_SLOWDOWN: Final = 12.0


class GroupSize(NamedTuple):
    """Size of a rank group and of its maps.

    Attributes:
        sets: Sets of layers, each with a map of its own.
        experts: Experts in each set.
        experts_per_rank: Experts that a rank holds in each set.
    """

    ranks: int
    sets: int
    experts: int
    experts_per_rank: int


GROUP_SIZES: Final = (GroupSize(16, 4, 64, 5), GroupSize(72, 12, 144, 3))


def create_round_robin_map(size: GroupSize) -> replica_map.Placement:
    """Return a map that assigns the experts to the ranks in turn."""
    rows = tuple(
        tuple(
            (rank * size.experts_per_rank + number) % size.experts
            for number in range(size.experts_per_rank)
        )
        for rank in range(size.ranks)
    )
    return (rows,) * size.sets


def draw_demand(size: GroupSize, generator: random.Random) -> list[list[float]]:
    """Return Zipf-distributed demand per expert, shuffled in each set."""
    demand = []
    for _ in range(size.sets):
        row = [
            1 / (position + 1) ** ZIPF_EXPONENT
            for position in range(size.experts)
        ]
        generator.shuffle(row)
        demand.append(row)
    return demand


def measure(size: GroupSize, slowdown: float) -> None:
    """Print the figures of a group whose first rank has a slowdown."""
    generator = random.Random(SEED)
    limits = replica_search.SearchLimits(size.experts_per_rank, 1, 2)
    slowdowns = [slowdown] + [1.0] * (size.ranks - 1)
    placement = create_round_robin_map(size)
    seconds, imbalances_before, imbalances_after = [], [], []
    for _ in range(SEARCHES):
        demand = draw_demand(size, generator)
        started = time.perf_counter()
        found = replica_search.search(placement, demand, slowdowns, limits)
        seconds.append(time.perf_counter() - started)
        imbalances_before.append(
            replica_map.imbalance(placement, demand, slowdowns)
        )
        imbalances_after.append(replica_map.imbalance(found, demand, slowdowns))
    name = f"map_search.{size.ranks}_ranks.{size.sets}_sets.pace_{slowdown:g}"
    json_lines.print_figure(
        json_lines.create_figure(
            f"{name}.seconds", statistics.median(seconds), "s", "", 0.0, SEED
        )
    )
    json_lines.print_figure(
        json_lines.create_figure(
            f"{name}.imbalance",
            statistics.fmean(imbalances_after),
            "ratio",
            "map before",
            statistics.fmean(imbalances_before),
            SEED,
        )
    )


def main() -> None:
    """Run the benchmark."""
    for size in GROUP_SIZES:
        for slowdown in (1.0, SLOW_RANK_SLOWDOWN):
            measure(size, slowdown)


if __name__ == "__main__":
    main()
