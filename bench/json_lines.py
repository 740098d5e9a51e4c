"""Prints benchmark results, one JSON line per figure."""

from typing import NamedTuple

import msgspec


class Figure(NamedTuple):
    """A measured figure, with a baseline or limit to compare it with.

    The field names are the keys of the JSON line.

    Attributes:
        baseline: Name of the baseline, empty for none.
        ratio: Value divided by the baseline's value, 0 without a baseline.
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
    """Create a figure and compute its ratio."""
    ratio = value / baseline_value if baseline_value else 0.0
    return Figure(name, value, unit, baseline, baseline_value, ratio, seed)


def print_figure(figure: Figure) -> None:
    """Print a figure as one JSON line and flush the output."""
    print(msgspec.json.encode(figure._asdict()).decode(), flush=True)
