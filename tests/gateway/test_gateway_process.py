"""Link targets, admin address, planned stop and settings of a gateway."""

import datetime
import types

import pytest
from werkzeug import test as werkzeug_test

from gateway import gateway_fakes as fakes
from verbenafall_core import addresses
from verbenafall_core import messages
from verbenafall_core.instance_list import port
from verbenafall_gateway import gateway_settings
from verbenafall_gateway import status as status_lib
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.client_http import admin_app
from verbenafall_gateway.delivery import activity as activity_lib
from verbenafall_gateway.delivery import drain as drain_lib
from verbenafall_gateway.links import link_targets

SETTINGS = """
[instance]
name = gateway-1
data_centre = cba-norte
[listen]
client = 127.0.0.1:8001
admin = 127.0.0.1:8002
[platform]
object_store = http://127.0.0.1:8003
instance_list = http://127.0.0.1:8004
[bundles]
public_keys = {key}
"""


def list_entry(link, state="live"):
    hello = link.peer
    return port.Instance(
        hello.instance,
        "sidecar",
        hello.data_centre,
        hello.service,
        link.address,
        port.InstanceState(state),
    )


class FakeLinkLoop:
    def __init__(self):
        self.targets = set()

    def set_targets(self, wanted):
        self.targets = wanted


def create_targets(instances):
    gateway = fakes.create_gateway()
    links = [
        fakes.ScriptedLink(gateway.router, f"e-{number}", "s", lambda _m: [])
        for number in range(2)
    ]
    source = types.SimpleNamespace(
        instances=tuple(list_entry(link) for link in links)
    )
    link_loop = FakeLinkLoop()
    targets = link_targets.create_link_targets(
        "g", "cba-norte", 16, source, link_loop, gateway.view
    )
    targets.apply()
    source.instances = instances(links)
    return gateway, links, link_loop, targets


# Name, second instance list, numbers of the links that may get new work.
LISTS = [
    (
        "leaving",
        lambda links: (list_entry(links[0]), list_entry(links[1], "leaving")),
        [0],
    ),
    ("dropped", lambda links: (list_entry(links[0]),), [0]),
    ("all_leaving", lambda links: (list_entry(links[0], "leaving"),), []),
    ("empty_list_is_stale", lambda links: (), [0, 1]),
]


class TestLinkTargets:
    @pytest.mark.parametrize(
        ("instances", "routable"),
        [row[1:] for row in LISTS],
        ids=[row[0] for row in LISTS],
    )
    def test_leaving_endpoints_get_no_new_work(self, instances, routable):
        """Guards against work for leaving endpoints and truncated answers."""
        gateway, links, link_loop, targets = create_targets(instances)
        for link in links:
            assert gateway.view.open_attempt(link.address) is link
        targets.apply()
        available = [state.available for state in gateway.view.snapshot()]
        assert available == [number in routable for number in (0, 1)]
        assert link_loop.targets == {link.address for link in links}
        for link in links:
            gateway.view.close_attempt(link)
        targets.apply()
        assert link_loop.targets == {
            links[number].address for number in routable
        }

    def test_unavailable_after_the_choice(self):
        """Guards against an attempt on a link that is about to close."""
        gateway, links, _, _ = create_targets(lambda _links: ())
        gateway.view.set_routable(frozenset())
        assert gateway.view.open_attempt(links[0].address) is None


DRAINING = fakes.IDLE._replace(draining=True)
LEAVING = fakes.IDLE._replace(leaving=True)
DRAINING_HEARTBEAT = messages.Heartbeat(7, 0, True, True)


class TestEndpointView:
    @pytest.mark.parametrize("message", [DRAINING, LEAVING, DRAINING_HEARTBEAT])
    def test_each_notice_ends_new_work(self, message):
        """Guards against new work after any one of the notices of a stop."""
        gateway = fakes.create_gateway()
        link = fakes.ScriptedLink(gateway.router, "e", "s", lambda _m: [])
        gateway.router.on_message(link, message)
        assert not gateway.view.snapshot()[0].available

    def test_old_link_does_not_change_its_successor(self):
        """Guards against a replaced link that changes its successor."""
        gateway = fakes.create_gateway()
        old = fakes.ScriptedLink(gateway.router, "e", "s", lambda _m: [])
        new = fakes.ScriptedLink(gateway.router, "e", "s", lambda _m: [])
        gateway.view.open_attempt(new.address)
        gateway.view.close_attempt(old)
        gateway.router.on_message(old, DRAINING)
        gateway.router.on_close(old, "reset")
        (state,) = gateway.view.snapshot()
        assert (state.own_in_flight, state.available) == (1, True)


class ReplyingLink(fakes.ScriptedLink):
    def send(self, message):
        reply = messages.StatusReply(
            message.token,
            self.peer.instance,
            "sidecar",
            "cba-norte",
            "s",
            7,
            8,
            (messages.RejectedBundle(6, "bad"),),
            False,
            "x",
            False,
            (messages.GroupStatus("g", 1, "stable", 2, 3, (1.0,)),),
        )
        self.router.on_message(self, reply)
        return True


class TestAdmin:
    def create(self):
        gateway = fakes.create_gateway()
        status = status_lib.create_status(
            status_lib.Identity("gateway-1", "cba-norte"),
            gateway.state,
            gateway.view,
        )
        status.attach(gateway.router)
        app = admin_app.create_admin_app(gateway.state, status)
        return gateway, status, werkzeug_test.Client(app)

    def test_status_names_versions_of_all_linked_processes(self):
        """Guards against a status that omits the versions of a process."""
        gateway, _, client = self.create()
        ReplyingLink(gateway.router, "e-1", "s", None)
        body = client.get("/-/status").json
        own, linked = body["processes"]
        assert own["instance"] == "gateway-1"
        assert (own["in_force"], own["ready"]) == (7, True)
        assert (linked["instance"], linked["pending"]) == ("e-1", 8)
        assert linked["rejected"] == [{"version": 6, "reason": "bad"}]
        assert linked["groups"][0]["map_version"] == 2
        assert body["silent"] == []

    def test_sidecars_without_a_reply_are_listed(self):
        """Guards against a status that hides a hung process."""
        gateway, status, _ = self.create()
        fakes.ScriptedLink(gateway.router, "e-1", "s", None)
        collected = status.collect(datetime.timedelta())
        assert collected == status_lib.CollectedStatuses((), ("e-1",))
        assert status.open_collections == {}

    def test_notice_ready_and_unknown_paths(self):
        """Guards against notices of new bundles that have no effect."""
        gateway, _, client = self.create()
        assert client.post("/-/bundle-poll").status_code == 202
        assert gateway.bundles.polls == 1
        assert client.get("/-/ready").status_code == 200
        assert client.get("/-/bundle-poll").status_code == 405
        assert client.get("/v1/models").status_code == 404


class TestDrain:
    def test_readiness_ends_before_refusals_start(self):
        """Guards against refusals while the load balancer still sends work."""
        state = service_state.create_service_state(fakes.FakeBundles())
        activity = activity_lib.create_activity()
        activity.record_start()
        seen = []

        def wait(duration):
            seen.append((duration, state.phase, state.not_ready_reason()))
            activity.record_end()

        drain = drain_lib.create_drain(state, activity, lambda: None, wait)
        assert drain.run(datetime.timedelta(seconds=120)) == 0
        assert seen == [
            (drain_lib.READINESS_PROPAGATION_DELAY, "leaving", "draining")
        ]
        assert state.phase is service_state.Phase.REFUSING

    def test_reports_what_is_open_at_the_limit(self):
        """Guards against a stop that never ends."""
        state = service_state.create_service_state(fakes.FakeBundles())
        activity = activity_lib.create_activity()
        activity.record_start()
        drain = drain_lib.create_drain(
            state, activity, lambda: None, lambda _limit: None
        )
        assert drain.run(datetime.timedelta()) == 1

    def test_abandons_what_is_open_at_the_limit(self):
        """Guards against connections closed without a final answer."""
        state = service_state.create_service_state(fakes.FakeBundles())
        activity = activity_lib.create_activity()
        activity.record_start()
        drain = drain_lib.create_drain(
            state, activity, activity.record_end, lambda _limit: None
        )
        assert drain.run(datetime.timedelta()) == 1
        assert activity.count == 0


class TestSettings:
    def test_reads_a_file_with_defaults(self, tmp_path):
        """Guards against defaults that are not valid."""
        key = tmp_path / "key.pem"
        key.write_text("key")
        path = tmp_path / "gateway.ini"
        path.write_text(SETTINGS.format(key=key))
        found = gateway_settings.read_gateway_settings(path).unwrap()
        assert found.client_listen == addresses.Address("127.0.0.1", 8001)
        assert found.public_keys == (key,)
        assert found.statsd is None
        assert (found.client_threads, found.links_per_gateway) == (256, 64)
        assert found.stop_limit == datetime.timedelta(seconds=120)

    @pytest.mark.parametrize(
        ("line", "problem", "expected"),
        [
            ("links_per_gateway = 15", "out of range", "from 16 to 4096"),
            ("links_per_gateway = 4097", "out of range", "from 16 to 4096"),
            ("links_per_gateway = -64", "no whole number", "from 16 to 4096"),
            (
                "links_per_service = 16",
                "replaced by links_per_gateway",
                "links_per_gateway",
            ),
        ],
    )
    def test_number_of_links(self, tmp_path, line, problem, expected):
        """Guards against an outdated or wrong setting that is ignored."""
        key = tmp_path / "key.pem"
        key.write_text("key")
        path = tmp_path / "gateway.ini"
        path.write_text(f"{SETTINGS.format(key=key)}[limits]\n{line}\n")
        (fault,) = gateway_settings.read_gateway_settings(path).failure()
        assert (fault.section, fault.key) == ("limits", line.split()[0])
        assert problem in fault.problem
        assert expected in fault.expected

    def test_reports_all_faults(self, tmp_path):
        """Guards against a check that stops at the first fault."""
        path = tmp_path / "gateway.ini"
        text = SETTINGS.format(key=tmp_path / "none.pem")
        text = text.replace("cba-norte", "CBA").replace("http://", "")
        path.write_text(text + "[limits]\nclient_threads = 0\n")
        faults = gateway_settings.read_gateway_settings(path).failure()
        assert sorted((fault.section, fault.key) for fault in faults) == [
            ("bundles", "public_keys"),
            ("instance", "data_centre"),
            ("limits", "client_threads"),
            ("platform", "instance_list"),
            ("platform", "object_store"),
        ]
