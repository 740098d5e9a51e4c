"""Tests of the start of real processes: ports, early ends, time limits."""

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
    """Guards against a planned port that another program binds first.

    The planned process then ends but stays in the instance list as live, and
    a bundle rollout waits for it until its time limit.
    """

    def test_other_programs_cannot_bind_the_port(self):
        with (
            planned_address() as address,
            socket.socket() as other,
            pytest.raises(OSError, match="in use"),
        ):
            other.bind(address)

    def test_planned_process_can_listen_repeatedly(self):
        with planned_address() as address:
            for _ in range(2):
                with (
                    socket.create_server(address) as listener,
                    socket.create_connection(address),
                ):
                    listener.accept()[0].close()

    def test_reserved_port_does_not_accept_connections(self):
        """Guards against a start that continues before the process listens."""
        with planned_address() as address:
            assert not processes.is_listening(address)


class TestWaitUntil:
    def test_ended_process_is_reported_although_the_condition_holds(
        self, tmp_path
    ):
        """Guards against a fleet that starts with a process missing."""
        command = [sys.executable, "-c", "raise SystemExit('no address')"]
        ended = processes.start_process("sidecar-0", command, tmp_path)
        ended.popen.wait()
        with pytest.raises(processes.ProcessError, match="no address"):
            processes.wait_until("all", 1.0, lambda: True, [ended])


class TestRunCommand:
    def test_command_over_the_time_limit_shows_its_output(self, monkeypatch):
        """Guards against a rollout that times out without showing why."""
        monkeypatch.setattr(fleet, "ROLL_SECONDS", 2.0)
        program = "import time; print('waiting for b', flush=True);"
        command = [sys.executable, "-c", f"{program} time.sleep(60)"]
        with pytest.raises(processes.ProcessError, match="waiting for b") as e:
            fleet.run_command(command)
        assert isinstance(e.value.__cause__, subprocess.TimeoutExpired)
