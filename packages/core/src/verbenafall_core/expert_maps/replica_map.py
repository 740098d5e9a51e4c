"""Maps that place each expert on one or more ranks, by set of layers."""

from collections.abc import Sequence
from typing import NamedTuple

# Experts that a rank holds in a set.
RankExperts = tuple[int, ...]
# By set, then by rank.
Placement = tuple[tuple[RankExperts, ...], ...]
# Demand by set, then by expert.
Demand = Sequence[Sequence[float]]


class Change(NamedTuple):
    """New experts of a rank in a set."""

    set_index: int
    rank: int
    experts: RankExperts


def find_problem(placement: Placement, experts: int, places: int) -> str:
    """Return why a placement cannot be used, empty when it can."""
    for number, ranks in enumerate(placement):
        held = {expert for row in ranks for expert in row}
        if held != set(range(experts)):
            return f"set {number} leaves experts out or has unknown ones"
        if any(len(row) > places or len(set(row)) < len(row) for row in ranks):
            return f"set {number} has a rank with too many or double experts"
    return ""


def rank_loads(
    ranks: Sequence[RankExperts],
    demand: Sequence[float],
    slowdowns: Sequence[float],
) -> list[float]:
    """Return the time that each rank needs in one set.

    The ranks that hold an expert share its demand evenly.

    Args:
        ranks: Experts of each rank.
        demand: Demand of each expert.
        slowdowns: Time that each rank needs for a unit of demand.
    """
    copies = [0] * len(demand)
    for row in ranks:
        for expert in row:
            copies[expert] += 1
    return [
        factor * sum(demand[expert] / copies[expert] for expert in row)
        for row, factor in zip(ranks, slowdowns, strict=True)
    ]


def imbalance(
    placement: Placement, demand: Demand, slowdowns: Sequence[float]
) -> float:
    """Return the slowest ranks' time, set by set, against the mean demand.

    1 is even; without demand 1 as well.
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
    """Return the ranks whose experts differ."""
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
    """Return a placement with changes applied.

    Raises:
        IndexError: A change names a set or rank that is not there.
    """
    sets = [list(ranks) for ranks in old]
    for change in changes:
        sets[change.set_index][change.rank] = tuple(change.experts)
    return tuple(tuple(ranks) for ranks in sets)


def copies_needed(old: Placement, new: Placement) -> int:
    """Return how many experts ranks must copy to change maps."""
    return sum(
        len(set(after) - set(before))
        for before_ranks, after_ranks in zip(old, new, strict=True)
        for before, after in zip(before_ranks, after_ranks, strict=True)
    )
