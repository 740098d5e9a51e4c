"""Results table of a demonstration run."""

import collections
from collections.abc import Sequence
import statistics
from typing import NamedTuple

from verbenafall_standins.demo import client


class Summary(NamedTuple):
    """Counts and latencies of a run.

    Attributes:
        run_twice: Idempotency keys that were processed more than once.
        false_not_run: Keys that ran although all their answers said not_run.
        mixed_steps: Steps of a rank group that ran on more than one map.
        bad_exits: Processes that stopped with an exit code other than 0.
        first_p50: Median time to the first token, in milliseconds.
        first_p95: 95th percentile of that time.
        between_p50: Median time between two tokens, in milliseconds.
        between_p95: 95th percentile of that time.
    """

    sent: int
    complete: int
    not_run: int
    unknown: int
    ran: int
    partial: int
    foreign: int
    broken: int
    run_twice: int
    false_not_run: int
    mixed_steps: int
    bad_exits: int
    first_p50: float
    first_p95: float
    between_p50: float
    between_p95: float


def summarise(
    reports: Sequence[client.Report],
    run_twice: int,
    false_not_run: int,
    mixed_steps: int,
    bad_exits: int,
) -> Summary:
    """Compute the counts and latencies of a run."""
    counts = collections.Counter(report.verdict for report in reports)
    first_tokens = [r.first_token for r in reports if r.first_token is not None]
    gaps = [gap for report in reports for gap in report.gaps]
    return Summary(
        sent=len(reports),
        complete=counts[client.Verdict.COMPLETE],
        not_run=counts[client.Verdict.NOT_RUN],
        unknown=counts[client.Verdict.UNKNOWN],
        ran=counts[client.Verdict.RAN],
        partial=counts[client.Verdict.PARTIAL],
        foreign=counts[client.Verdict.FOREIGN],
        broken=counts[client.Verdict.BROKEN],
        run_twice=run_twice,
        false_not_run=false_not_run,
        mixed_steps=mixed_steps,
        bad_exits=bad_exits,
        first_p50=percentile_ms(first_tokens, 50),
        first_p95=percentile_ms(first_tokens, 95),
        between_p50=percentile_ms(gaps, 50),
        between_p95=percentile_ms(gaps, 95),
    )


def percentile_ms(values: Sequence[float], percent: int) -> float:
    """Return a percentile of times in seconds, converted to milliseconds."""
    if len(values) < 2:
        return values[0] * 1000 if values else 0.0
    return statistics.quantiles(values, n=100)[percent - 1] * 1000


def properties_hold(summary: Summary) -> bool:
    """Return whether there was no violation and any complete answer.

    Answers with an error are not violations.
    """
    violations = (
        summary.partial
        + summary.foreign
        + summary.broken
        + summary.run_twice
        + summary.false_not_run
        + summary.mixed_steps
        + summary.bad_exits
    )
    return violations == 0 and summary.complete > 0


def format_summary(summary: Summary) -> str:
    """Return the table as text, one row per line."""
    rows = [
        ("asked", summary.sent),
        ("whole", summary.complete),
        ("refused not_run", summary.not_run),
        ("unknown", summary.unknown),
        ("error after run", summary.ran),
        ("partial", summary.partial),
        ("foreign", summary.foreign),
        ("broken", summary.broken),
        ("run twice", summary.run_twice),
        ("false not_run", summary.false_not_run),
        ("steps on two maps", summary.mixed_steps),
        ("bad exit codes", summary.bad_exits),
        (
            "first token p50/p95 ms",
            format_pair(summary.first_p50, summary.first_p95),
        ),
        (
            "between tokens p50/p95 ms",
            format_pair(summary.between_p50, summary.between_p95),
        ),
        ("properties held", "yes" if properties_hold(summary) else "NO"),
    ]
    return "\n".join(f"{name:<26} {value:>14}" for name, value in rows)


def format_pair(first: float, second: float) -> str:
    """Return two latencies as text."""
    return f"{first:.1f} / {second:.1f}"
