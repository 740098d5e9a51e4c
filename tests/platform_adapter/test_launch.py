"""Signals that come while a program starts."""

import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]

# Sends the process a SIGHUP when the program is imported, and reports whether
# it is delivered once the program accepts it.
SCRIPT = """\
import os, signal, sys, types
sys.path.insert(0, sys.argv[3])
import launch
from verbenafall_core import reload_signals

def run(arguments):
    os.kill(os.getpid(), signal.SIGHUP)
    received = []
    signal.signal(signal.SIGHUP, lambda number, frame: received.append(number))
    reload_signals.accept_reloads()
    return 0 if received else 3

name = f"verbenafall_{sys.argv[1]}"
program = types.ModuleType(name)
program.main = types.SimpleNamespace(main=run)
sys.modules[name] = program
sys.exit(launch.main())
"""


class TestLaunch:
    @pytest.mark.parametrize(
        ("program", "command"), [("gateway", "forward"), ("sidecar", "steer")]
    )
    def test_reload_signal_during_the_start_is_not_lost(self, program, command):
        """Guards against a SIGHUP that ends a process that is starting."""
        process = subprocess.run(
            [
                sys.executable,
                "-c",
                SCRIPT,
                program,
                command,
                str(ROOT / "platform"),
            ],
            timeout=60,
            check=False,
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join(sys.path),
                "VERBENAFALL_NODE_FILE": "none",
            },
            cwd=ROOT,
        )
        assert process.returncode == 0
