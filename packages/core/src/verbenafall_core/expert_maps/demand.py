"""Estimates the demand for experts from rank counters with decay."""

import array
from collections.abc import Sequence
import datetime
import heapq
from typing import Final
from typing import NamedTuple

# Age at which the weight of a count has halved.
HALF_LIFE: Final = datetime.timedelta(milliseconds=300)
# Increments in one report of a rank. Larger reports would saturate the
# leader's link in groups with thousands of experts.
MAX_COUNTS: Final = 400


class DemandEstimate:
    """Exponentially decayed sum of the increments reported by all ranks.

    Attributes:
        values: Demand, flat by set and expert, decayed to as_of.
        as_of: Monotonic time of the values, None before the first report.
    """

    def __init__(
        self, sets: int, experts: int, half_life: datetime.timedelta = HALF_LIFE
    ) -> None:
        """Create an estimate with no demand."""
        self.sets = sets
        self.experts = experts
        self.half_life = half_life
        self.values = array.array("d", bytes(8 * sets * experts))
        self.as_of: datetime.timedelta | None = None

    def add(self, increments: Sequence[int], now: datetime.timedelta) -> bool:
        """Add a rank's increments, flat by set and expert.

        Returns:
            False if their number does not match the layout; they are ignored.
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
        """Decay all values to a time; earlier times have no effect."""
        if self.as_of is not None and now > self.as_of:
            factor = float(0.5 ** ((now - self.as_of) / self.half_life))
            self.values = array.array(
                "d", [value * factor for value in self.values]
            )
        if self.as_of is None or now > self.as_of:
            self.as_of = now

    def by_set(self) -> list[list[float]]:
        """Return the demand as one list of experts per set."""
        return [
            list(self.values[start : start + self.experts])
            for start in range(0, len(self.values), self.experts)
        ]

    def total(self) -> float:
        """Return the demand summed over all sets and experts."""
        return sum(self.values)


class ChosenCounts(NamedTuple):
    """The increments of a rank that are reported to the leader.

    Attributes:
        indices: Positions in the flat list; empty if counts is the full list.
        counts: The increments, in the order of the indices.
    """

    indices: tuple[int, ...]
    counts: tuple[int, ...]


def choose_counts(increments: Sequence[int]) -> ChosenCounts:
    """Return all increments, or the MAX_COUNTS greatest of a longer list.

    A few experts get most of the demand, and only those are worth copies.
    """
    if len(increments) <= MAX_COUNTS:
        return ChosenCounts((), tuple(increments))
    indices = heapq.nlargest(
        MAX_COUNTS, range(len(increments)), key=increments.__getitem__
    )
    return ChosenCounts(
        tuple(indices), tuple(increments[index] for index in indices)
    )


def restore_counts(chosen: ChosenCounts, length: int) -> tuple[int, ...]:
    """Return the flat list of increments, with 0 for those not reported.

    Raises:
        IndexError: An index is beyond the length.
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
    """Return how much each counter grew.

    If any counter fell or their number changed, the rank has restarted from
    zero, and all of the new counts are increments.
    """
    if len(before) != len(after) or any(
        old > new for old, new in zip(before, after, strict=True)
    ):
        return tuple(after)
    return tuple(new - old for old, new in zip(before, after, strict=True))
