"""Aggregates load reports per expert with exponential decay; pure.

Reports may arrive late and out of order.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import datetime
from typing import Final
from typing import NamedTuple

HALF_LIFE: Final = datetime.timedelta(minutes=5)


class LoadReport(NamedTuple):
    """Tokens per expert counted by an engine.

    Attributes:
        as_of: Monotonic time of the end of the counting interval.
    """

    as_of: datetime.timedelta
    tokens: tuple[float, ...]


class LoadHistory(NamedTuple):
    """Decayed load per expert.

    Attributes:
        as_of: Monotonic time of the newest report, None before the first.
        load: Tokens per expert, decayed to as_of.
    """

    as_of: datetime.timedelta | None
    load: tuple[float, ...]


class GroupLoad(NamedTuple):
    """Load of a group from the reports received so far.

    Attributes:
        history: Load per expert, summed over the engines.
        rank_step_ms: Mean step time of each rank that has reported one.
    """

    history: LoadHistory
    rank_step_ms: Mapping[int, float]


def empty_history(experts: int) -> LoadHistory:
    """Return a history with zero load and no report."""
    return LoadHistory(None, (0.0,) * experts)


def add_report(history: LoadHistory, report: LoadReport) -> LoadHistory:
    """Add a report weighted by its age; the order of arrival is irrelevant.

    A report with a different number of experts, or with a negative count, is
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


def average(history: LoadHistory, report: LoadReport) -> LoadHistory:
    """Update the moving average of an engine's reports with a newer report.

    The weight of a report depends on the time since the previous one, so the
    result does not depend on the polling rate.
    """
    if history.as_of is None or len(report.tokens) != len(history.load):
        return LoadHistory(report.as_of, tuple(report.tokens))
    old = decay(report.as_of - history.as_of)
    load = tuple(
        before * old + added * (1 - old)
        for before, added in zip(history.load, report.tokens, strict=True)
    )
    return LoadHistory(report.as_of, load)


def sum_histories(
    histories: Sequence[LoadHistory], experts: int
) -> LoadHistory:
    """Return the sum of histories, each decayed to the newest time.

    A history with a different number of experts is ignored.
    """
    parts = [
        (part.as_of, part.load)
        for part in histories
        if part.as_of is not None and len(part.load) == experts
    ]
    if not parts:
        return empty_history(experts)
    newest = max(as_of for as_of, _ in parts)
    total = [0.0] * experts
    for as_of, load in parts:
        weight = decay(newest - as_of)
        for expert, tokens in enumerate(load):
            total[expert] += tokens * weight
    return LoadHistory(newest, tuple(total))


def decay(age: datetime.timedelta) -> float:
    """Return the weight of a report of the given age."""
    return float(0.5 ** (age / HALF_LIFE))


def load_shares(load: Sequence[float]) -> tuple[float, ...]:
    """Return each expert's share of the load; equal shares if it is zero."""
    total = sum(load)
    if total <= 0:
        return (1 / len(load),) * len(load)
    return tuple(value / total for value in load)
