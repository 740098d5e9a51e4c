"""Starts, watches and stops processes."""

from collections.abc import Callable
from collections.abc import Sequence
import pathlib
import signal
import socket
import subprocess
import time
from typing import Final
from typing import NamedTuple

from verbenafall_core import addresses

POLL_SECONDS: Final = 0.05


class ProcessError(Exception):
    """A process or command failed, ended early or took too long."""


class RunningProcess(NamedTuple):
    """A process that start_process started, with its log file."""

    name: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path


class StoppedProcess(NamedTuple):
    """Exit code of a process that has ended."""

    name: str
    exit_code: int


def start_process(
    name: str, command: Sequence[str], directory: pathlib.Path
) -> RunningProcess:
    """Start a process; append its output to its own log file."""
    log = directory / f"{name}.log"
    with log.open("ab") as output:
        popen = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    return RunningProcess(name, popen, log)


def wait_until(
    description: str,
    limit_seconds: float,
    condition: Callable[[], bool],
    running: Sequence[RunningProcess],
) -> None:
    """Wait for a condition, and fail if a process ends meanwhile.

    The condition alone is not enough: it can hold because another program
    listens on the address of a process that has ended.

    Raises:
        ProcessError: A process has ended, or the time limit was reached.
    """
    deadline = time.monotonic() + limit_seconds
    while True:
        reached = condition()
        ended = [
            process for process in running if process.popen.poll() is not None
        ]
        if ended:
            raise ProcessError(describe_end(ended[0]))
        if reached:
            return
        if time.monotonic() > deadline:
            raise ProcessError(
                f"{description}: not reached within {limit_seconds:g} s"
            )
        time.sleep(POLL_SECONDS)


def describe_end(process: RunningProcess) -> str:
    """Return an error text with the exit code and the end of the log."""
    lines = process.log.read_text(errors="replace").splitlines()[-5:]
    tail = "\n  ".join(lines)
    return (
        f"{process.name} ended with exit code {process.popen.returncode}:"
        f"\n  {tail}"
    )


def stop_processes(
    running: Sequence[RunningProcess], limit_seconds: float
) -> list[StoppedProcess]:
    """Send SIGTERM to all, wait, and kill those that exceed the limit."""
    for process in running:
        if process.popen.poll() is None:
            process.popen.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + limit_seconds
    ended = []
    for process in running:
        remaining = max(0.1, deadline - time.monotonic())
        try:
            code = process.popen.wait(remaining)
        except subprocess.TimeoutExpired:
            process.popen.kill()
            code = process.popen.wait()
        ended.append(StoppedProcess(process.name, code))
    return ended


def is_listening(address: addresses.Address) -> bool:
    """Return whether a process accepts connections on an address."""
    try:
        with socket.create_connection(address, timeout=1):
            return True
    except OSError:
        return False
