"""Signals that come while a gateway exits after a planned stop."""

import pathlib
import signal
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]

# Runs a forwarder whose planned stop is already over, and sends the process a
# signal during the exit, while other threads can still receive it.
SCRIPT = """\
import os, sys, threading
from unittest import mock
from verbenafall_gateway.forwarding import forwarder

async def serve():
    threading.Thread(target=threading.Event().wait, daemon=True).start()

stopped = mock.Mock(serve=serve)
with mock.patch.object(forwarder, "Forwarder", lambda *_args: stopped):
    forwarder.run_forwarder(None, None, None, None)
os.kill(os.getpid(), int(sys.argv[1]))
"""


class TestExit:
    @pytest.mark.parametrize(
        "number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
    )
    def test_signal_does_not_end_the_exit(self, number):
        """Guards against a planned stop that looks like a crash."""
        process = subprocess.run(
            [sys.executable, "-c", SCRIPT, str(int(number))],
            capture_output=True,
            timeout=60,
            check=False,
            env={"PYTHONPATH": ":".join(sys.path)},
            cwd=ROOT,
        )
        assert (process.returncode, process.stderr) == (0, b"")
