"""Output of benchmarks: one JSON line per figure on standard output."""

from typing import NamedTuple

import msgspec


class Figure(NamedTuple):
    """A measured figure with the baseline of the same run.

    Attributes:
        ratio: Value divided by the baseline's value.
    """

    name: str
    value: float
    unit: str
    baseline: str
    baseline_value: float
    ratio: float
    seed: int


def create_figure(
    name: str,
    value: float,
    unit: str,
    baseline: str,
    baseline_value: float,
    seed: int,
) -> Figure:
    """Create a figure and work out its ratio; 0 when there is no baseline."""
    ratio = value / baseline_value if baseline_value else 0.0
    return Figure(name, value, unit, baseline, baseline_value, ratio, seed)


def print_figure(figure: Figure) -> None:
    """Print a figure as one JSON line."""
    print(msgspec.json.encode(figure._asdict()).decode(), flush=True)
