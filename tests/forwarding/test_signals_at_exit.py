"""Signals that come while a gateway exits after a planned stop."""

import pathlib
import signal
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]

# Runs a forwarder whose planned stop is already over, and sends itself a
# signal when the event loop has removed its handlers.
SCRIPT = """\
import asyncio, os, sys
from unittest import mock
from verbenafall_gateway.forwarding import forwarder

class Loop(asyncio.SelectorEventLoop):
    def close(self):
        super().close()
        os.kill(os.getpid(), int(sys.argv[1]))

async def serve():
    pass

stopped = mock.Mock(serve=serve)
with (
    mock.patch.object(asyncio, "new_event_loop", Loop),
    mock.patch.object(forwarder, "Forwarder", lambda *_args: stopped),
):
    forwarder.run_forwarder(None, None, None, None)
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
