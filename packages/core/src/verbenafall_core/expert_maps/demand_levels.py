"""Encodes increments of expert counts as levels of four bits; no I/O.

A rank reports all of its counters several times a second, and the reports of
all ranks share the link of their leader. Four bits per expert show which
experts are in demand, and the rest of each count is carried over to the next
report, so that no demand is lost.
"""

from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

MAX_LEVEL: Final = 15
LEVEL_BITS: Final = 4
# Message header, group name, epoch, length and unit, with the TCP/IP headers.
OVERHEAD_BYTES: Final = 100

HIGH_LEVELS: Final = bytes(value >> LEVEL_BITS for value in range(256))
LOW_LEVELS: Final = bytes(value & MAX_LEVEL for value in range(256))


class DemandLevels(NamedTuple):
    """Increments of a rank's counters, rounded down to multiples of a unit.

    Attributes:
        length: Number of counters.
        unit: Increment that one level stands for.
        levels: One level per counter, two in a byte, the first one in the
            high bits.
    """

    length: int
    unit: int
    levels: bytes


class LevelEncoder:
    """Encodes the increments of one rank.

    Attributes:
        remainders: Part of each increment that is not reported yet.
    """

    def __init__(self) -> None:
        """Create an encoder without remainders."""
        self.remainders: list[int] = []

    def encode(self, increments: Sequence[int]) -> DemandLevels:
        """Return the levels of increments, of which none is negative.

        Remainders of an earlier layout are dropped.
        """
        length = len(increments)
        if len(self.remainders) != length:
            self.remainders = [0] * length
        values = [
            rest + added
            for rest, added in zip(self.remainders, increments, strict=True)
        ]
        unit = max(1, -(-max(values, default=0) // MAX_LEVEL))
        levels = [value // unit for value in values]
        self.remainders = [value % unit for value in values]
        if length % 2:
            levels.append(0)
        packed = bytes(
            high << LEVEL_BITS | low
            for high, low in zip(levels[::2], levels[1::2], strict=True)
        )
        return DemandLevels(length, unit, packed)


def decode(demand: DemandLevels) -> list[int]:
    """Return the increments; a list of another length if there are too few."""
    unit = demand.unit
    values = [0] * (2 * len(demand.levels))
    values[::2] = [
        unit * level for level in demand.levels.translate(HIGH_LEVELS)
    ]
    values[1::2] = [
        unit * level for level in demand.levels.translate(LOW_LEVELS)
    ]
    return values[: demand.length]


def report_bytes(counters: int) -> int:
    """Return the approximate size of a report on a link, in bytes."""
    return OVERHEAD_BYTES + -(-counters * LEVEL_BITS // 8)
