"""Restores of the object store's stand-ins: content, versions and eras."""

import concurrent.futures
import datetime
import json

import pytest

import adapters
from verbenafall_core import clock as clock_lib
from verbenafall_core import http_client
from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_standins import object_store
from verbenafall_standins.fakes import memory_store

LONG_WAIT = datetime.timedelta(seconds=60)
NO_WAIT = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)


class ManualClock(clock_lib.SystemClock):
    def __init__(self):
        self.time = datetime.timedelta()

    def monotonic(self):
        return self.time


def create_store():
    """Return a store with a@3, b@2 and the times of its changes 1 to 4 s."""
    clock = ManualClock()
    store = memory_store.create_memory_store(clock)
    clock.time += SECOND
    made = store.create("a", b"a1").unwrap()
    clock.time += SECOND
    store.create("b", b"b1").unwrap()
    clock.time += SECOND
    store.update("a", b"a2", made.version).unwrap()
    clock.time += SECOND
    store.delete("b", store.read("b").unwrap().version).unwrap()
    return store


def content(store):
    return {
        name: (revisions.number_of(stored.version), stored.value)
        for name, stored in store.objects.items()
    }


# Changes to undo, and then the objects and the next number.
RESTORED = [
    (0, {"a": (3, b"a2")}, 4),
    (1, {"a": (3, b"a2"), "b": (2, b"b1")}, 4),
    (2, {"a": (1, b"a1"), "b": (2, b"b1")}, 3),
    (3, {"a": (1, b"a1")}, 2),
    (4, {}, 1),
    (99, {}, 1),
]


class TestMemoryStore:
    @pytest.mark.parametrize(("changes", "expected", "number"), RESTORED)
    def test_store_restored_to_an_earlier_state(
        self, changes, expected, number
    ):
        store = create_store()
        store.restore(changes)
        assert content(store) == expected
        version = store.create("c", b"").unwrap().version
        assert version == revisions.create_revision(2, number)

    @pytest.mark.parametrize(
        ("seconds", "changes"), [(0, 0), (1, 1), (2, 2), (60, 4)]
    )
    def test_store_restored_by_age(self, seconds, changes):
        store, other = create_store(), create_store()
        store.restore_age(datetime.timedelta(seconds=seconds))
        other.restore(changes)
        assert content(store) == content(other)

    def test_store_restored_versions_are_of_the_new_era(self):
        store = create_store()
        before = store.read("a").unwrap()
        store.restore(1)
        after = store.read("a").unwrap()
        assert after.value == before.value
        assert after.version > before.version
        assert revisions.era_of(after.version) == 2

    def test_store_restored_refuses_versions_of_an_earlier_era(self):
        store = create_store()
        version = store.read("a").unwrap().version
        store.restore(0)
        for result in (
            store.update("a", b"late", version),
            store.delete("a", version),
            store.update("gone", b"late", version),
        ):
            assert result.failure().kind is port.FailureKind.CONFLICT

    def test_store_restored_ends_a_waiting_watch(self):
        store = create_store()
        version = store.read("a").unwrap().version
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            watched = pool.submit(store.watch, "a", version, LONG_WAIT)
            store.restore(2)
            assert watched.result().unwrap().value == b"a1"

    def test_store_restored_is_reported_by_the_next_answer(self):
        store = create_store()
        clients = [memory_store.create_client(store) for _ in range(2)]
        restores = []
        clients[0].era.listeners.append(restores.append)
        for client in clients:
            client.read("a").unwrap()
        store.restore(1)
        store.plan = lambda _call: memory_store.Fault.DOWN
        clients[0].read("a").failure()
        assert restores == []
        store.plan = memory_store.no_faults
        clients[0].read("a").unwrap()
        assert restores == [2]
        assert [client.era.current for client in clients] == [2, 1]

    def test_store_restored_era_may_be_shared_by_clients(self):
        era = store_era.create_store_era()
        store = create_store()
        memory_store.create_client(store, era).read("none").failure()
        assert era.current == 1


@pytest.fixture
def standin():
    return object_store.create_object_store()


@pytest.fixture
def send(standin):
    """Return a function that sends a call and returns its response."""
    client = http_client.create_http_client()
    with adapters.serving(standin.handle) as url:

        def send(method, path, headers=(), body=b""):
            request = http_client.HttpRequest(
                method, url + path, headers, body, LONG_WAIT, True
            )
            response = client.call(request).unwrap()
            return (
                response.status,
                dict(response.headers).get("store-era"),
                dict(response.headers).get("etag"),
                response.body,
            )

        yield send


def create(send, name, value):
    return send("PUT", f"/objects/{name}", (("If-None-Match", "*"),), value)


def if_match(etag):
    return (("If-Match", etag),)


class TestHttpStandin:
    def test_store_restored_gives_out_versions_again(self, send):
        assert create(send, "a", b"a") == (201, "1", '"1"', b"")
        assert create(send, "b", b"b") == (201, "1", '"2"', b"")
        body = json.dumps({"changes": 1}).encode()
        assert send("POST", "/-/restore", (), body)[:2] == (200, "2")
        assert send("GET", "/objects/b")[:2] == (404, "2")
        assert create(send, "c", b"c") == (201, "2", '"2"', b"")
        assert send("GET", "/objects/a") == (200, "2", '"1"', b"a")

    def test_store_restored_by_age(self, send):
        create(send, "a", b"a")
        body = json.dumps({"age_ms": 60_000}).encode()
        send("POST", "/-/restore", (), body)
        assert send("GET", "/objects/a")[:2] == (404, "2")

    @pytest.mark.parametrize(
        ("method", "path", "headers", "status"),
        [
            ("GET", "/objects?prefix=", (), 200),
            ("GET", "/objects/none", (), 404),
            ("GET", "/objects/a?watch_after=1&wait_ms=1", (), 304),
            ("PUT", "/objects/a", (("If-None-Match", "*"),), 412),
            ("PUT", "/objects/a", (), 400),
            ("DELETE", "/objects/a", if_match('"1"'), 204),
            ("PATCH", "/objects/a", (), 405),
            ("GET", "/other", (), 404),
        ],
    )
    def test_store_restored_era_is_in_all_answers(
        self, standin, send, method, path, headers, status
    ):
        create(send, "a", b"a")
        standin.store.restore(0)
        assert send(method, path, headers)[:2] == (status, "2")

    @pytest.mark.parametrize("mode", ["throttled", "down"])
    def test_store_restored_era_is_in_refusals(self, standin, send, mode):
        standin.store.restore(0)
        if mode == "throttled":
            standin.set_rates({"reads_per_second": 0.001})
        else:
            standin.set_fault({"mode": mode})
        assert send("GET", "/objects/a")[1] == "2"

    def test_store_restored_watch_of_an_unknown_version(self, standin, send):
        create(send, "a", b"a")
        create(send, "b", b"b")
        standin.store.restore(1)
        path = "/objects/a?watch_after=2&wait_ms=60000"
        assert send("GET", path) == (200, "2", '"1"', b"a")

    def test_store_restored_watch_of_a_version_given_out_again(
        self, standin, send
    ):
        create(send, "a", b"a")
        create(send, "b", b"b")
        standin.store.restore(1)
        create(send, "c", b"c")
        path = "/objects/a?watch_after=2&wait_ms=1"
        assert send("GET", path)[:2] == (304, "2")

    def test_list_has_the_numbers_of_the_store(self, send):
        create(send, "a", b"a")
        listed = json.loads(send("GET", "/objects?prefix=")[3])
        assert [entry["version"] for entry in listed] == [1]
