"""Bundle service: bundles obtained from the store and from peers."""

import datetime
import random
import threading

import hypothesis
from hypothesis import strategies
import pytest

import bundle_helpers
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core.bundles import adoption
from verbenafall_core.bundles import records
from verbenafall_core.bundles import service as service_lib
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

SECOND = datetime.timedelta(seconds=1)


class Process:
    """A service with a link router and a manual clock; starts no threads."""

    def __init__(self, store=None):
        self.store = store or memory_store.create_memory_store()
        self.clock = manual_clock.create_manual_clock()
        self.service = service_lib.create_bundle_service(
            self.store,
            bundle_helpers.PUBLIC_KEYS,
            self.clock,
            generator=random.Random(1),
        )
        self.router = link_router.create_link_router()
        self.service.attach(self.router)

    def run(self, seconds=0):
        self.clock.advance(SECOND * seconds)
        self.service.poll_store()
        self.service.process_pushes()

    def link(self, name):
        link = bundle_helpers.FakeLink(name)
        self.router.on_open(link)
        return link

    def receive_heartbeat(self, link, in_force, pending=0, confirmed=True):
        heartbeat = messages.Heartbeat(in_force, pending, confirmed, False)
        self.router.on_message(link, heartbeat)


def down(_call):
    return memory_store.Fault.DOWN


def push(version, confirmed=True, **changes):
    signed = bundle_helpers.signed(version, **changes)
    return messages.BundlePush(
        version,
        True,
        confirmed,
        records.compress(signed.text),
        signed.signature,
    )


@pytest.fixture
def process():
    return Process()


def run_version(process, version):
    bundle_helpers.put_bundle(process.store, bundle_helpers.signed(version))
    bundle_helpers.put_head(process.store, version)
    process.run(3)


class TestStore:
    def test_puts_the_accepted_bundle_in_force(self, process):
        assert process.service.not_ready_reason() == "no_bundle"
        run_version(process, 1)
        assert process.service.current().version == 1
        assert process.service.not_ready_reason() == ""
        assert process.service.heartbeat_fields() == (1, 0, True)

    def test_prepares_the_pending_bundle(self, process):
        run_version(process, 1)
        bundle_helpers.put_bundle(process.store, bundle_helpers.signed(2))
        bundle_helpers.put_head(process.store, 1, 2)
        process.service.poll_now()
        process.run()
        assert process.service.heartbeat_fields() == (1, 2, True)

    def test_reports_a_rejected_bundle_and_keeps_the_old_one(self, process):
        run_version(process, 1)
        other = bundle_helpers.signed(2, bundle_helpers.OTHER_KEY)
        bundle_helpers.put_bundle(process.store, other)
        bundle_helpers.put_head(process.store, 1, 2)
        process.run(3)
        assert [entry.version for entry in process.service.rejected()] == [2]
        assert process.service.heartbeat_fields() == (1, 0, True)

    def test_accepts_no_new_work_without_store_and_links(self, process):
        run_version(process, 1)
        process.store.plan = down
        process.run(4)
        assert process.service.accepts_new_work()
        process.run(2)
        assert process.service.not_ready_reason() == "bundle_unconfirmed"
        assert process.service.current().version == 1


class TestPeers:
    def test_accepts_the_bundle_of_a_confirmed_peer(self, process):
        process.store.plan = down
        link = process.link("peer")
        process.receive_heartbeat(link, 3)
        process.run()
        assert link.sent == [messages.BundleRequest(3)]
        process.router.on_message(link, push(3))
        process.run()
        assert process.service.current().version == 3
        assert process.service.accepts_new_work()

    @pytest.mark.parametrize(
        ("confirmed", "answer"),
        [
            (False, push(3)),
            (True, push(3, key=bundle_helpers.OTHER_KEY)),
            (True, push(3)._replace(text=b"x")),
            (True, push(3)._replace(version=4)),
        ],
    )
    def test_rejects_unconfirmed_and_unverified(
        self, process, confirmed, answer
    ):
        process.store.plan = down
        link = process.link("peer")
        process.receive_heartbeat(link, 3, confirmed=confirmed)
        process.run()
        process.router.on_message(link, answer)
        process.run()
        assert process.service.current() is None

    def test_answers_requests_with_the_text(self, process):
        run_version(process, 1)
        link = process.link("peer")
        for version in (1, 2):
            request = messages.BundleRequest(version)
            process.router.on_message(link, request)
        assert link.sent == [push(1)]

    def test_connected_fleet_keeps_serving_without_a_store(self, process):
        run_version(process, 1)
        process.store.plan = down
        links = [process.link(name) for name in "abc"]
        for _ in range(20):
            process.run(1)
            for link in links[:2]:
                process.receive_heartbeat(link, 1)
        assert process.service.accepts_new_work()


class TestPolling:
    @pytest.mark.parametrize(
        ("processes", "seconds", "reads"),
        [(1, 100, 45), (40, 100, 45), (980, 2000, 41)],
    )
    def test_reads_less_often_in_a_large_fleet(
        self, process, processes, seconds, reads
    ):
        run_version(process, 1)
        process.service.set_process_count(processes)
        link = process.link("peer")
        process.store.calls.clear()
        for _ in range(seconds):
            process.receive_heartbeat(link, 1)
            process.run(1)
        assert reads * 0.5 <= len(process.store.calls) <= reads * 1.5


class TestThreads:
    def test_starts_reads_and_stops(self):
        process = Process()
        bundle_helpers.put_bundle(process.store, bundle_helpers.signed(1))
        bundle_helpers.put_head(process.store, 1)
        read = threading.Event()

        def record(call):
            if call.name == records.bundle_name(1):
                read.set()

        process.store.plan = record
        process.service.start()
        assert read.wait(30)
        process.service.stop(SECOND * 10)
        assert not process.service.store_task.thread.is_alive()
        assert process.service.current().version == 1


HEARTBEATS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("a", "b", "c")),
        strategies.sampled_from(
            ("heartbeat", "heartbeat", "heartbeat", "close", "open")
        ),
        strategies.integers(0, 2),
        strategies.booleans(),
        strategies.floats(0, 4),
    ),
    max_size=30,
)


class TestRepeatedHeartbeats:
    def test_applies_only_changed_heartbeats(self, monkeypatch):
        """Guards against a full decision for each heartbeat on each link."""
        process = Process()
        links = [process.link(str(number)) for number in range(48)]
        applied = []
        apply = service_lib.adoption.apply
        monkeypatch.setattr(
            service_lib.adoption,
            "apply",
            lambda event, *rest: applied.append(event) or apply(event, *rest),
        )
        for _ in range(3):
            for link in links:
                process.receive_heartbeat(link, 1)
        assert len(applied) == len(links)
        process.receive_heartbeat(links[0], 2)
        assert applied[-1].heartbeat.in_force == 2

    @pytest.mark.parametrize(("silent", "accepts"), [(2, True), (5.5, False)])
    def test_repeated_heartbeats_count_as_contact(self, silent, accepts):
        """Guards against a timeout with live peers or none without."""
        process = Process()
        run_version(process, 1)
        links = [process.link(name) for name in "abc"]
        process.store.plan = down
        for _ in range(10):
            for link in links:
                process.receive_heartbeat(link, 1)
            process.run(1)
            assert process.service.accepts_new_work()
        process.run(silent - 1)
        assert process.service.accepts_new_work() is accepts

    @hypothesis.given(HEARTBEATS)
    def test_state_equals_that_of_applying_all_heartbeats(self, events):
        """Guards against a wrong time of the last heartbeat of a peer."""
        process = Process()
        links = {}
        expected = adoption.create_state()
        for name, kind, version, confirmed, pause in events:
            process.clock.advance(SECOND * pause)
            now = process.clock.monotonic()
            link = links.get(name)
            if kind == "open" or link is None:
                links[name] = process.link(name)
                continue
            if kind == "close":
                process.router.on_close(links.pop(name), "test")
                event = adoption.LinkClosed(name)
            else:
                process.receive_heartbeat(link, version, confirmed=confirmed)
                heartbeat = messages.Heartbeat(version, 0, confirmed, False)
                event = adoption.HeartbeatReceived(name, heartbeat)
            expected = adoption.decide(
                adoption.apply(event, expected, now), now
            ).state
            process.service.adopt()  # Called periodically in production.
            actual = process.service.current_state()
            for at in (now, now + 4 * SECOND, now + 6 * SECOND):
                assert adoption.in_contact(actual, at) == adoption.in_contact(
                    expected, at
                )
            assert actual.peers == expected.peers
            assert actual == expected
