"""Starts and stops the processes of the demonstration run."""

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
    """A process ended early, or did not become ready in time."""


class RunningProcess(NamedTuple):
    """A process that was started here."""

    name: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path


class Stopped(NamedTuple):
    """How a process ended."""

    name: str
    exit_code: int


def start_process(
    name: str, command: Sequence[str], directory: pathlib.Path
) -> RunningProcess:
    """Start a process with its output in a log file of its own."""
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
    """Wait for a condition while all processes live.

    The condition alone may hold by the doing of another program, which
    listens on the address of a process that has ended.

    Raises:
        ProcessError: A process ended, or the limit passed.
    """
    deadline = time.monotonic() + limit_seconds
    while True:
        holds = condition()
        ended = [one for one in running if one.popen.poll() is not None]
        if ended:
            raise ProcessError(describe_end(ended[0]))
        if holds:
            return
        if time.monotonic() > deadline:
            raise ProcessError(
                f"{description}: not reached within {limit_seconds:g} s"
            )
        time.sleep(POLL_SECONDS)


def describe_end(process: RunningProcess) -> str:
    """Say how a process ended, with the end of its log."""
    lines = process.log.read_text(errors="replace").splitlines()[-5:]
    tail = "\n  ".join(lines)
    return (
        f"{process.name} ended with exit code {process.popen.returncode}:"
        f"\n  {tail}"
    )


def stop_processes(
    running: Sequence[RunningProcess], limit_seconds: float
) -> list[Stopped]:
    """Send SIGTERM to all at once and wait; kill what exceeds the limit."""
    for process in running:
        if process.popen.poll() is None:
            process.popen.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + limit_seconds
    ended = []
    for process in running:
        left = max(0.1, deadline - time.monotonic())
        try:
            code = process.popen.wait(left)
        except subprocess.TimeoutExpired:
            process.popen.kill()
            code = process.popen.wait()
        ended.append(Stopped(process.name, code))
    return ended


def is_listening(address: addresses.Address) -> bool:
    """Return whether something accepts connections on an address."""
    try:
        with socket.create_connection(address, timeout=1):
            return True
    except OSError:
        return False
