"""Start of a fleet of real processes: its addresses, its ends, its limits."""

import contextlib
import socket
import subprocess
import sys

import pytest

from verbenafall_standins.demo import fleet
from verbenafall_standins.demo import plan
from verbenafall_standins.demo import processes


@contextlib.contextmanager
def planned_address():
    ports = plan.Ports()
    try:
        yield ports.next_address()
    finally:
        ports.release()


class TestPorts:
    """Guards against a planned port that another program takes first.

    The process that was to listen on it ends, stays in the instance list as
    live, and a roll-out waits for it until its limit.
    """

    def test_no_other_program_gets_the_port(self):
        with (
            planned_address() as address,
            socket.socket() as other,
            pytest.raises(OSError, match="in use"),
        ):
            other.bind(address)

    def test_the_planned_process_listens_again_and_again(self):
        with planned_address() as address:
            for _ in range(2):
                with (
                    socket.create_server(address) as listener,
                    socket.create_connection(address),
                ):
                    listener.accept()[0].close()

    def test_nothing_answers_before_the_process_listens(self):
        """The start of a fleet waits for listeners."""
        with planned_address() as address:
            assert not processes.is_listening(address)


class TestWaitUntil:
    def test_an_ended_process_is_reported_though_the_condition_holds(
        self, tmp_path
    ):
        """Guards against a fleet that begins with a process missing."""
        command = [sys.executable, "-c", "raise SystemExit('no address')"]
        ended = processes.start_process("sidecar-0", command, tmp_path)
        ended.popen.wait()
        with pytest.raises(processes.ProcessError, match="no address"):
            processes.wait_until("all", 1.0, lambda: True, [ended])


class TestRunCommand:
    def test_a_command_over_the_limit_shows_its_progress(self, monkeypatch):
        """Guards against a roll-out of which nobody learns why it waits."""
        monkeypatch.setattr(fleet, "ROLL_SECONDS", 2.0)
        program = "import time; print('waiting for b', flush=True);"
        command = [sys.executable, "-c", f"{program} time.sleep(60)"]
        with pytest.raises(processes.ProcessError, match="waiting for b") as e:
            fleet.run_command(command)
        assert isinstance(e.value.__cause__, subprocess.TimeoutExpired)
