"""Estimates the demand for experts from rank counters with decay."""

import array
from collections.abc import Sequence
import datetime
from typing import Final

# Age at which the weight of a count has halved.
HALF_LIFE: Final = datetime.timedelta(milliseconds=300)


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
