"""Demand for experts from what ranks count; recent counts weigh most."""

import array
from collections.abc import Sequence
import datetime
import heapq
from typing import Final
from typing import NamedTuple

# Demand from before this counts half.
HALF_LIFE: Final = datetime.timedelta(milliseconds=300)


# Increments that a rank tells at once; more would fill the leader's link in
# groups with thousands of experts.
MOST_COUNTS: Final = 400


class DemandEstimate:
    """Decayed sum of the increments that all ranks have reported.

    Attributes:
        weight: Decayed sum of all increments; how much is known.
    """

    def __init__(
        self, sets: int, experts: int, half_life: datetime.timedelta = HALF_LIFE
    ) -> None:
        """Create an estimate without counts."""
        self.sets = sets
        self.experts = experts
        self.half_life = half_life
        self.values = array.array("d", bytes(8 * sets * experts))
        self.as_of: datetime.timedelta | None = None

    def add(self, increments: Sequence[int], now: datetime.timedelta) -> bool:
        """Add a rank's increments, flat by set and expert.

        Returns:
            False when their number does not fit; nothing was added.
        """
        if len(increments) != len(self.values):
            return False
        self.decay(now)
        values = self.values
        for index, added in enumerate(increments):
            if added:
                values[index] += added
        return True

    def decay(self, now: datetime.timedelta) -> None:
        """Bring all values to a time."""
        if self.as_of is not None and now > self.as_of:
            factor = float(0.5 ** ((now - self.as_of) / self.half_life))
            self.values = array.array(
                "d", [value * factor for value in self.values]
            )
        if self.as_of is None or now > self.as_of:
            self.as_of = now

    def by_set(self) -> list[list[float]]:
        """Return the demand by set and expert."""
        return [
            list(self.values[start : start + self.experts])
            for start in range(0, len(self.values), self.experts)
        ]

    def total(self) -> float:
        """Return the decayed sum of all increments."""
        return sum(self.values)


class ChosenCounts(NamedTuple):
    """Some of the increments of a rank.

    Attributes:
        indices: Their places in the flat list, empty when all are there.
    """

    indices: tuple[int, ...]
    counts: tuple[int, ...]


def choose_counts(increments: Sequence[int]) -> ChosenCounts:
    """Return all increments of a small layout, the greatest of a large one.

    A few experts get most of the demand, and only those are worth copies.
    """
    if len(increments) <= MOST_COUNTS:
        return ChosenCounts((), tuple(increments))
    indices = heapq.nlargest(
        MOST_COUNTS, range(len(increments)), key=increments.__getitem__
    )
    return ChosenCounts(
        tuple(indices), tuple(increments[index] for index in indices)
    )


def restore_counts(chosen: ChosenCounts, length: int) -> tuple[int, ...]:
    """Return a flat list of a length; increments that are not there are 0.

    Raises:
        IndexError: A place is beyond the length.
    """
    if not chosen.indices:
        return chosen.counts
    flat = [0] * length
    for index, count in zip(chosen.indices, chosen.counts, strict=False):
        flat[index] = count
    return tuple(flat)


def count_increments(
    before: Sequence[int], after: Sequence[int]
) -> tuple[int, ...]:
    """Return how much each count grew.

    Counts that fell belong to a rank that was started again; its counts
    since then are all new.
    """
    if len(before) != len(after) or any(
        old > new for old, new in zip(before, after, strict=True)
    ):
        return tuple(after)
    return tuple(new - old for old, new in zip(before, after, strict=True))
