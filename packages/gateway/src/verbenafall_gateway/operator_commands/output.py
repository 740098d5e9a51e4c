"""Writing for the operator: results to standard output, progress to error."""

from collections.abc import Iterable
import sys


def write(line: str) -> None:
    """Write a line of the result."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def write_message(line: str) -> None:
    """Write a line of progress or a fault."""
    sys.stderr.write(f"{line}\n")
    sys.stderr.flush()


def write_messages(lines: Iterable[object]) -> None:
    """Write one line for each fault."""
    for line in lines:
        write_message(str(line))
