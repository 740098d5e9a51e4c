"""Engine restarts and a map switch, with the engine stand-in over HTTP."""

import contextlib
import json

import pytest

import adapters
from verbenafall_core import addresses
from verbenafall_core import http_client
from verbenafall_core import link_router
from verbenafall_core import metrics
from verbenafall_core.bundles import model
from verbenafall_core.object_store import store_era
from verbenafall_sidecar.group import group_member
from verbenafall_sidecar.orders import order_http
from verbenafall_standins.engines import group as group_lib
from verbenafall_standins.engines import http_app
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

SECOND = group_member.STABLE_POLL_INTERVAL
OPTIONS = group_lib.GroupOptions(step_ms=1, experts=8)
MAPS = (
    model.MapSpec(1, (0, 1, 2, 3, 4, 5, 6, 7)),
    model.MapSpec(2, (7, 6, 5, 4, 3, 2, 1, 0)),
)
SPEC = model.GroupSpec("group", "s", 8, 8, MAPS, 1, 1, 10 * SECOND, 10)
# A switch takes several polls, as the engine runs its steps independently.
MAX_POLLS = 20_000


class Process:
    """The group member of a sidecar, polled by the test."""

    def __init__(self, server, store):
        self.clock = manual_clock.create_manual_clock()
        self.client = http_client.create_http_client()
        self.url = server.url
        address = addresses.parse_address(server.url.removeprefix("http://"))
        self.member = group_member.create_group_member(
            group_member.Setup(
                "group",
                "i",
                lambda: SPEC,
                order_http.create_http_order_port(
                    self.client, address.unwrap()
                ),
                store,
                link_router.create_link_router(),
                list,
                lambda: True,
                self.clock,
                metrics.NullMetrics(),
                store_era.create_store_era(),
            )
        )
        self.wanted = 0
        self.member.coordinator.select = lambda *_arguments: self.wanted
        self.member.watch_once(0 * SECOND)

    def poll(self):
        self.clock.advance(SECOND)
        self.member.poll()

    def restart_engine(self):
        url = f"{self.url}/-/faults"
        adapters.send(self.client, "POST", url, {"mode": "restart"})

    def state(self):
        _, data = adapters.send(self.client, "GET", f"{self.url}/v1/state")
        return json.loads(data)


@contextlib.contextmanager
def running_group():
    group = group_lib.create_group(OPTIONS)
    server = http_app.create_engine_server(group, 0)
    server.start()
    group.start()
    try:
        yield group, Process(server, memory_store.create_memory_store())
    finally:
        server.stop()
        group.stop()


class TestRestart:
    @pytest.mark.parametrize("wanted", [1, 2])
    def test_restarted_engine_is_started_again(self, wanted):
        """Guards against stand-in rules that the sidecar does not follow."""
        with running_group() as (group, process):
            process.poll()
            process.wanted = wanted
            for _ in range(MAX_POLLS):
                process.poll()
                if process.member.status().map_version == wanted:
                    break
            process.wanted = 0
            process.restart_engine()
            assert process.state()["map_version"] == 0
            for _ in range(3):
                process.poll()
            assert process.state()["map_version"] == wanted
            assert group.mixed == 0
