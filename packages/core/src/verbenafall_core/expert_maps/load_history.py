"""Load per expert from lagging reports, decayed with their age; pure."""

from collections.abc import Sequence
import datetime
from typing import Final
from typing import NamedTuple

HALF_LIFE: Final = datetime.timedelta(minutes=5)


class LoadReport(NamedTuple):
    """Tokens per expert that an engine counted.

    Attributes:
        as_of: Monotonic time at which the counting ended.
    """

    as_of: datetime.timedelta
    tokens: tuple[float, ...]


class LoadHistory(NamedTuple):
    """Decayed load per expert.

    Attributes:
        as_of: Time of the newest report, None before the first.
        load: Tokens per expert, decayed to that time.
    """

    as_of: datetime.timedelta | None
    load: tuple[float, ...]


def empty_history(experts: int) -> LoadHistory:
    """Return a history without reports."""
    return LoadHistory(None, (0.0,) * experts)


def add_report(history: LoadHistory, report: LoadReport) -> LoadHistory:
    """Add a report; a late one counts by its age, in any order of arrival.

    A report of another number of experts, or with a negative count, is
    ignored.
    """
    if len(report.tokens) != len(history.load) or min(report.tokens) < 0:
        return history
    if history.as_of is None:
        return LoadHistory(report.as_of, tuple(report.tokens))
    newest = max(history.as_of, report.as_of)
    old = decay(newest - history.as_of)
    new = decay(newest - report.as_of)
    load = tuple(
        before * old + added * new
        for before, added in zip(history.load, report.tokens, strict=True)
    )
    return LoadHistory(newest, load)


def decay(age: datetime.timedelta) -> float:
    """Return the weight of a report of that age."""
    return float(0.5 ** (age / HALF_LIFE))


def load_shares(load: Sequence[float]) -> tuple[float, ...]:
    """Return each expert's share of the load; equal shares without load."""
    total = sum(load)
    if total <= 0:
        return (1 / len(load),) * len(load)
    return tuple(value / total for value in load)
