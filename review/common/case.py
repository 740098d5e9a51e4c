"""Runs a case and returns its exit code."""

from collections.abc import Callable
import pathlib
import signal
import sys
from typing import Any
from typing import NoReturn

from common import deployment

CANNOT_RUN = 2


def stop(_number: int, _frame: Any) -> NoReturn:
    """Leave by an exception, so that all processes are ended."""
    raise deployment.CannotRunError("stopped by a signal")


def main(
    play: Callable[[bool, deployment.Record], int], folder: pathlib.Path
) -> int:
    """Play a case, with the disruption unless the argument is 0.

    Args:
        play: Returns 1 if the rule was broken, else 0.
        folder: Folder of the case, for record.txt.
    """
    signal.signal(signal.SIGTERM, stop)
    record = deployment.Record(folder / "record.txt")
    trouble = sys.argv[1:2] != ["0"]
    try:
        return play(trouble, record)
    except Exception as error:  # Any other exit code would claim a result.
        record.add(f"cannot run: {error!r}")
        sys.stderr.write(f"cannot run: {error!r}\n")
        return CANNOT_RUN
