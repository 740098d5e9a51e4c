"""Tests that the programs export the store's era as metrics."""

import pytest

from verbenafall_core import event_log
from verbenafall_core import link_sockets
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import prometheus_metrics
from verbenafall_core import stop_requests
from verbenafall_gateway import forward_command
from verbenafall_gateway.forwarding import forwarder
from verbenafall_sidecar import steer_command
from verbenafall_sidecar.steering import steering

SETTINGS = """
[instance]
name = i1
data_centre = dc
[listen]
links = 127.0.0.1:4
{listen}
[platform]
object_store = http://127.0.0.1:5
adapter = verbenafall_platform.{adapter}
{others}
"""
GATEWAY = SETTINGS.format(
    listen="client = 127.0.0.1:2\nreadiness = 127.0.0.1:3",
    adapter="gateway",
    others="",
)
SIDECAR = SETTINGS.format(
    listen="",
    adapter="sidecar",
    others="[engine]\nservice = s\naddress = 127.0.0.1:1",
)


class RecordedMetrics(metrics_lib.NullMetrics):
    """Records the gauges and the counters."""

    def __init__(self):
        self.values = {}

    def count(self, name, amount=1):
        self.values[name] = self.values.get(name, 0) + amount

    def gauge(self, name, value):
        self.values[name] = value


class Program:
    """Captures the parts of a program and ends it instead of running it."""

    def __init__(self, patch):
        self.era = None
        self.metrics = RecordedMetrics()
        patch.setattr(
            prometheus_metrics,
            "create_prometheus_metrics",
            lambda: self.metrics,
        )
        patch.setattr(event_log, "configure_json", lambda level, name: None)
        patch.setattr(forwarder, "run_forwarder", self.capture)
        patch.setattr(steering, "create_steering", self.capture)
        patch.setattr(
            stop_requests.StopRequests, "install", lambda requests: None
        )
        patch.setattr(steer_command.signal, "signal", lambda *_: None)

    def capture(self, settings, ports, *others):
        del settings, others
        self.era = ports.era
        raise link_sockets.LinkError("the program ends here")


def run_forward(path):
    arguments = forward_command.argparse.Namespace(settings=path, check=False)
    forward_command.run(arguments)


def run_steer(path):
    steer_command.serve(path, check_only=False)


PROGRAMS = [(GATEWAY, run_forward), (SIDECAR, run_steer)]


class TestCommands:
    @pytest.mark.parametrize(
        ("settings", "run"), PROGRAMS, ids=["gateway", "sidecar"]
    )
    def test_store_restored_is_exported(
        self, monkeypatch, tmp_path, settings, run
    ):
        path = tmp_path / "settings.ini"
        path.write_text(settings)
        program = Program(monkeypatch)
        with pytest.raises(link_sockets.LinkError):
            run(path)
        program.era.observe(3)
        program.era.observe(4)
        assert program.metrics.values["store.era"] == 4
        assert program.metrics.values["store.restores"] == 1
