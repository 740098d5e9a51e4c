"""Prints a Markdown table of what lowered the scores of days.

The users' bench gives each day a score, its worth: the weighted sum of the
day's parts, each from 0 to 1, minus its prices. A part below 1 and a price are
losses. The table names the largest losses of each day and leaves out those
below 0.002. The bench writes a report file with --report; the file has the
name of the day. With --seconds a second table shows when, and for which kinds
of request, the answers of a day were not on time.
"""

import argparse
from collections.abc import Sequence
import pathlib
import sys
from typing import Final
from typing import NamedTuple

import msgspec

MINIMUM_LOSS: Final = 0.002
EXIT_UNREADABLE: Final = 2


class Counts(msgspec.Struct):
    """Number of requests of a day, in total and by how they ended.

    Attributes:
        n: All requests.
        in_aim: Answered within the target time.
        late: Answered after the target time.
        not_owed: Not owed an answer; excluded from the percentages.
    """

    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int


class Group(Counts):
    """Counts of the requests sent in two seconds, or of one kind.

    Attributes:
        name: First second of the two, or name of the kind of request.
        worth: Earned part of what was owed, from 0 to 1.
    """

    name: str
    worth: float


class Report(msgspec.Struct):
    """The fields of a day's report file that the table needs.

    Attributes:
        G: Worth of the day.
        parts: Name, weight, and value from 0 to 1.
        prices: Name, amount, and the worth that it costs.
        all: Counts over all requests of the day.
        windows: Counts by the time at which requests were sent.
        classes: Counts by kind of request.
    """

    G: float
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    all: Counts
    windows: list[Group] = []
    classes: list[Group] = []


class Loss(NamedTuple):
    """Worth that one part or price cost a day."""

    reason: str
    worth: float


def find_losses(report: Report) -> list[Loss]:
    """Return the losses of at least MINIMUM_LOSS, largest first."""
    losses = [
        Loss(name, weight * (1 - value)) for name, weight, value in report.parts
    ]
    losses += [Loss(name, worth) for name, _, worth in report.prices]
    relevant = [loss for loss in losses if loss.worth >= MINIMUM_LOSS]
    return sorted(relevant, key=lambda loss: -loss.worth)


def describe_requests(counts: Counts) -> str:
    """Return the percentages on time, late, refused and failed."""
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


def build_table(
    reports: Sequence[tuple[str, Report]], max_losses: int
) -> list[str]:
    """Return the lines of a Markdown table, one row per day.

    Args:
        reports: Names of days with their reports.
        max_losses: Maximum number of losses in a row.
    """
    lines = [
        "| day | worth | on time / late / refused / failed, % | losses |",
        "|---|---|---|---|",
    ]
    for day, report in reports:
        losses = ", ".join(
            f"{loss.reason} {loss.worth:.3f}"
            for loss in find_losses(report)[:max_losses]
        )
        lines.append(
            f"| {day} | {report.G:.3f} | {describe_requests(report.all)}"
            f" | {losses} |"
        )
    return lines


def find_worst(groups: Sequence[Group], most: int) -> list[Group]:
    """Return the groups that lost most, by requests and the part not earned."""
    lost = [group for group in groups if group.worth < 1]
    return sorted(
        lost, key=lambda group: (group.worth - 1) * (group.n - group.not_owed)
    )[:most]


def build_group_table(
    reports: Sequence[tuple[str, Report]], most: int
) -> list[str]:
    """Return a Markdown table of the seconds and kinds that lost most.

    Args:
        reports: Names of days with their reports.
        most: Maximum number of windows, and of kinds, of a day.
    """
    lines = [
        "| day | from second, or kind | requests | earned"
        " | on time / late / refused / failed, % |",
        "|---|---|---|---|---|",
    ]
    for day, report in reports:
        worst = [
            *find_worst(report.windows, most),
            *find_worst(report.classes, most),
        ]
        lines += [
            f"| {day} | {group.name} | {group.n} | {group.worth:.2f}"
            f" | {describe_requests(group)} |"
            for group in worst
        ]
    return lines


def read_report(path: pathlib.Path) -> Report:
    """Read a report file.

    Raises:
        OSError: The file cannot be read.
        msgspec.MsgspecError: The file is not a report.
    """
    return msgspec.json.decode(path.read_bytes(), type=Report)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the table; return EXIT_UNREADABLE for an unreadable report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("reports", nargs="+", type=pathlib.Path)
    parser.add_argument(
        "--most",
        type=int,
        default=5,
        help="maximum number of losses in a row (5)",
    )
    parser.add_argument(
        "--seconds",
        type=int,
        default=0,
        metavar="N",
        help="also show the N windows and kinds of a day that lost most",
    )
    options = parser.parse_args(arguments)
    reports = []
    for path in options.reports:
        try:
            reports.append((path.stem, read_report(path)))
        except (OSError, msgspec.MsgspecError) as error:
            sys.stderr.write(f"{path}: {error}\n")
            return EXIT_UNREADABLE
    lines = build_table(reports, options.most)
    if options.seconds:
        lines += ["", *build_group_table(reports, options.seconds)]
    sys.stdout.writelines(f"{line}\n" for line in lines)
    return 0


if __name__ == "__main__":
    sys.exit(main())
