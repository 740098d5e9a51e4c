"""Prints where worth is lost on days, from report files, as a table.

A day's worth is the weighted sum of its parts less its prices. Each part that
is not whole and each price of 0.002 or more is a loss; the greatest come
first. Report files are written by the users' bench with --report; a file is
named after its day.
"""

import argparse
from collections.abc import Sequence
import pathlib
import sys
from typing import Final
from typing import NamedTuple

import msgspec

LEAST_LOSS: Final = 0.002
EXIT_UNREADABLE: Final = 2


class Counts(msgspec.Struct):
    """How the requests of a day ended; each is in one of the counts."""

    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int


class Report(msgspec.Struct):
    """What a report file says of a day.

    Attributes:
        G: Worth of the day.
        parts: Name, weight and value from 0 to 1.
        prices: Name, amount and worth taken off.
        all: All requests of the day.
    """

    G: float
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    all: Counts


class Loss(NamedTuple):
    """Worth that a day lost for one reason."""

    reason: str
    worth: float


def find_losses(report: Report) -> list[Loss]:
    """Return the losses of a day, greatest first."""
    losses = [
        Loss(name, weight * (1 - value)) for name, weight, value in report.parts
    ]
    losses += [Loss(name, worth) for name, _, worth in report.prices]
    kept = [loss for loss in losses if loss.worth >= LEAST_LOSS]
    return sorted(kept, key=lambda loss: -loss.worth)


def describe_requests(counts: Counts) -> str:
    """Return the shares of owed requests by how they ended, in percent."""
    owed = max(counts.n - counts.not_owed, 1)
    shares = [
        f"{100 * number / owed:.1f}"
        for number in (
            counts.in_aim,
            counts.late,
            counts.refused,
            counts.failed,
        )
    ]
    return " / ".join(shares)


def build_table(reports: Sequence[tuple[str, Report]], most: int) -> list[str]:
    """Return the lines of a Markdown table, one row a day.

    Args:
        reports: Days with their reports.
        most: Losses that a row names.
    """
    lines = [
        "| day | worth | on time / late / refused / failed, % | losses |",
        "|---|---|---|---|",
    ]
    for day, report in reports:
        losses = ", ".join(
            f"{loss.reason} {loss.worth:.3f}"
            for loss in find_losses(report)[:most]
        )
        lines.append(
            f"| {day} | {report.G:.3f} | {describe_requests(report.all)}"
            f" | {losses} |"
        )
    return lines


def read_report(path: pathlib.Path) -> Report:
    """Read a report file.

    Raises:
        OSError: The file cannot be read.
        msgspec.MsgspecError: It is no report.
    """
    return msgspec.json.decode(path.read_bytes(), type=Report)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the table and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("reports", nargs="+", type=pathlib.Path)
    parser.add_argument(
        "--most", type=int, default=5, help="losses that a row names (5)"
    )
    options = parser.parse_args(arguments)
    reports = []
    for path in options.reports:
        try:
            reports.append((path.stem, read_report(path)))
        except (OSError, msgspec.MsgspecError) as error:
            sys.stderr.write(f"{path}: {error}\n")
            return EXIT_UNREADABLE
    sys.stdout.writelines(
        f"{line}\n" for line in build_table(reports, options.most)
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
