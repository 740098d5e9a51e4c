"""Writes results to standard output and messages to standard error."""

from collections.abc import Iterable
import sys


def write(line: str) -> None:
    """Write a line of the result to standard output."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def write_message(line: str) -> None:
    """Write a progress or error message to standard error."""
    sys.stderr.write(f"{line}\n")
    sys.stderr.flush()


def write_messages(lines: Iterable[object]) -> None:
    """Write one line to standard error for each item."""
    for line in lines:
        write_message(str(line))
