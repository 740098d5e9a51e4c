"""Measures the search for a more even expert map.

Prints one JSON line per figure: the time of one search, and the imbalance
after it against that of the map before.
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
# How unequal the demand for experts is: the exponent of their ranking.
SKEW: Final = 1.1
SLOW_PACE: Final = 12.0


class Shape(NamedTuple):
    """Size of a rank group and of its maps."""

    ranks: int
    sets: int
    experts: int
    places: int


SHAPES: Final = (Shape(16, 4, 64, 5), Shape(72, 12, 144, 3))


def first_map(shape: Shape) -> replica_map.Placement:
    """Return the map that assigns experts in turn."""
    rows = tuple(
        tuple(
            (rank * shape.places + number) % shape.experts
            for number in range(shape.places)
        )
        for rank in range(shape.ranks)
    )
    return (rows,) * shape.sets


def draw_demand(shape: Shape, generator: random.Random) -> list[list[float]]:
    """Return skewed demand, shuffled in each set."""
    demand = []
    for _ in range(shape.sets):
        row = [1 / (rank + 1) ** SKEW for rank in range(shape.experts)]
        generator.shuffle(row)
        demand.append(row)
    return demand


def measure(shape: Shape, slowest: float) -> None:
    """Print the figures of a shape with one slow rank."""
    generator = random.Random(SEED)
    limits = replica_search.SearchLimits(shape.places, 1, 2)
    slowdowns = [slowest] + [1.0] * (shape.ranks - 1)
    placement = first_map(shape)
    seconds, before, after = [], [], []
    for _ in range(SEARCHES):
        demand = draw_demand(shape, generator)
        began = time.perf_counter()
        found = replica_search.search(placement, demand, slowdowns, limits)
        seconds.append(time.perf_counter() - began)
        before.append(replica_map.imbalance(placement, demand, slowdowns))
        after.append(replica_map.imbalance(found, demand, slowdowns))
    name = f"map_search.{shape.ranks}_ranks.{shape.sets}_sets.pace_{slowest:g}"
    json_lines.print_figure(
        json_lines.create_figure(
            f"{name}.seconds", statistics.median(seconds), "s", "", 0.0, SEED
        )
    )
    json_lines.print_figure(
        json_lines.create_figure(
            f"{name}.imbalance",
            statistics.fmean(after),
            "ratio",
            "map before",
            statistics.fmean(before),
            SEED,
        )
    )


def main() -> None:
    """Measure all shapes."""
    for shape in SHAPES:
        for slowest in (1.0, SLOW_PACE):
            measure(shape, slowest)


if __name__ == "__main__":
    main()
