"""Maps that assign each expert to one or more ranks, per set of layers."""

from collections.abc import Sequence
from typing import NamedTuple

# Experts that a rank holds in one set.
RankExperts = tuple[int, ...]
# Indexed by set, then by rank.
Placement = tuple[tuple[RankExperts, ...], ...]
# Indexed by set, then by expert.
Demand = Sequence[Sequence[float]]


class Change(NamedTuple):
    """The new list of experts of a rank in one set."""

    set_index: int
    rank: int
    experts: RankExperts


def find_problem(
    placement: Placement, experts: int, experts_per_rank: int
) -> str:
    """Return why a placement is invalid, or an empty string."""
    for number, ranks in enumerate(placement):
        held = {expert for row in ranks for expert in row}
        if held != set(range(experts)):
            return f"set {number} leaves experts out or has unknown ones"
        if any(
            len(row) > experts_per_rank or len(set(row)) < len(row)
            for row in ranks
        ):
            return f"set {number} has a rank with too many or double experts"
    return ""


def rank_loads(
    ranks: Sequence[RankExperts],
    demand: Sequence[float],
    slowdowns: Sequence[float],
) -> list[float]:
    """Return the relative time that each rank needs for one set.

    The demand of an expert is divided evenly among the ranks that hold it.

    Args:
        ranks: Experts of each rank.
        demand: Demand of each expert.
        slowdowns: Time per unit of demand of each rank; 1 for a normal rank.
    """
    copies = [0] * len(demand)
    for row in ranks:
        for expert in row:
            copies[expert] += 1
    return [
        slowdown * sum(demand[expert] / copies[expert] for expert in row)
        for row, slowdown in zip(ranks, slowdowns, strict=True)
    ]


def imbalance(
    placement: Placement, demand: Demand, slowdowns: Sequence[float]
) -> float:
    """Return the ratio of the slowest rank's time to the mean demand.

    Both are summed over the sets. 1 is balanced; it is also the result
    without demand.
    """
    total = sum(sum(row) for row in demand)
    if total <= 0 or not placement:
        return 1.0
    slowest = sum(
        max(rank_loads(ranks, row, slowdowns))
        for ranks, row in zip(placement, demand, strict=True)
    )
    return slowest * len(placement[0]) / total


def difference(old: Placement, new: Placement) -> tuple[Change, ...]:
    """Return the changes that turn one placement into another."""
    return tuple(
        Change(set_index, rank, after)
        for set_index, (before_ranks, after_ranks) in enumerate(
            zip(old, new, strict=True)
        )
        for rank, (before, after) in enumerate(
            zip(before_ranks, after_ranks, strict=True)
        )
        if set(before) != set(after)
    )


def apply_changes(old: Placement, changes: Sequence[Change]) -> Placement:
    """Return a copy of a placement with changes applied.

    Raises:
        IndexError: A change refers to a set or rank that does not exist.
    """
    sets = [list(ranks) for ranks in old]
    for change in changes:
        sets[change.set_index][change.rank] = tuple(change.experts)
    return tuple(tuple(ranks) for ranks in sets)


def copies_needed(old: Placement, new: Placement) -> int:
    """Return how many experts must be copied to change maps."""
    return sum(
        len(set(after) - set(before))
        for before_ranks, after_ranks in zip(old, new, strict=True)
        for before, after in zip(before_ranks, after_ranks, strict=True)
    )
