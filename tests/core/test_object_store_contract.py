"""Contract tests of the object store port, run with every adapter."""

import concurrent.futures
import datetime
import functools
import uuid

import pytest
import returns.pipeline

import adapters
from verbenafall_core import http_client
from verbenafall_core.object_store import http_adapter
from verbenafall_core.object_store import port
from verbenafall_standins import object_store
from verbenafall_standins.fakes import memory_store

ADAPTER_VARIABLE = "VERBENAFALL_CONTRACT_OBJECT_STORE"
Kind = port.FailureKind
NO_WAIT = datetime.timedelta(milliseconds=1)
LONG_WAIT = datetime.timedelta(seconds=60)
LIMIT = datetime.timedelta(milliseconds=200)

# Each row has steps of (operation, arguments), and the value or failure kind
# that each must return. As an argument, Version(n) is the version of step n,
# and OTHER the current version of another object.
Version = type("Version", (int,), {})
OTHER = object()
SEQUENCES = {
    "created object is read": (
        [("create", b"a"), ("read",)],
        [b"a", b"a"],
    ),
    "empty value": ([("create", b""), ("read",)], [b"", b""]),
    "every byte": (
        [("create", bytes(range(256))), ("read",)],
        [bytes(range(256))] * 2,
    ),
    "largest value": (
        [("create", b"x" * port.MAX_VALUE_BYTES)],
        [b"x" * port.MAX_VALUE_BYTES],
    ),
    "too large value changes nothing": (
        [("create", b"x" * (port.MAX_VALUE_BYTES + 1)), ("read",)],
        [Kind.INVALID, Kind.MISSING],
    ),
    "absent object": (
        [("read",), ("update", b"a", OTHER), ("delete", OTHER)],
        [Kind.MISSING] * 3,
    ),
    "second create does not overwrite": (
        [("create", b"a"), ("create", b"b"), ("read",)],
        [b"a", Kind.CONFLICT, b"a"],
    ),
    "update": (
        [("create", b"a"), ("update", b"b", Version(0)), ("read",)],
        [b"a", b"b", b"b"],
    ),
    "old version does not overwrite": (
        [
            ("create", b"a"),
            ("update", b"b", Version(0)),
            ("update", b"c", Version(0)),
            ("delete", Version(0)),
            ("read",),
        ],
        [b"a", b"b", Kind.CONFLICT, Kind.CONFLICT, b"b"],
    ),
    "delete": (
        [("create", b"a"), ("delete", Version(0)), ("read",)],
        [b"a", None, Kind.MISSING],
    ),
    "watch of a newer version": (
        [
            ("create", b"a"),
            ("update", b"b", Version(0)),
            ("watch", Version(0), LONG_WAIT),
        ],
        [b"a", b"b", b"b"],
    ),
    "watch without a change": (
        [("create", b"a"), ("watch", Version(0), NO_WAIT)],
        [b"a", Kind.MISSING],
    ),
    "watch of an absent object": ([("watch", 0, NO_WAIT)], [Kind.MISSING]),
}


@pytest.fixture(scope="module", params=adapters.adapter_kinds(ADAPTER_VARIABLE))
def store(request):
    with adapters.open_store(request.param) as (adapter, _):
        yield adapter


def outcome(result):
    if not returns.pipeline.is_successful(result):
        return result.failure().kind
    stored = result.unwrap()
    return stored and stored.value


def resolve_argument(store, value, results):
    if value is OTHER:
        return store.create(f"contract/{uuid.uuid4()}", b"").unwrap().version
    if isinstance(value, Version):
        return results[value].unwrap().version
    return value


def run_step(store, name, step, results):
    operation, *arguments = step
    arguments = [resolve_argument(store, value, results) for value in arguments]
    return getattr(store, operation)(name, *arguments)


class TestObjectStoreContract:
    @pytest.mark.parametrize("label", SEQUENCES)
    def test_sequence(self, store, label):
        steps, expected = SEQUENCES[label]
        name, results = f"contract/{uuid.uuid4()}", []
        for step in steps:
            results.append(run_step(store, name, step, results))
        assert [outcome(result) for result in results] == expected

    def test_versions_grow_across_delete(self, store):
        name = f"contract/{uuid.uuid4()}"
        first = store.create(name, b"a").unwrap().version
        second = store.update(name, b"b", first).unwrap().version
        store.delete(name, second).unwrap()
        assert first < second < store.create(name, b"c").unwrap().version

    def test_list_is_sorted_and_limited(self, store):
        prefix = f"contract/{uuid.uuid4()}/"
        for name in ("c", "a", "b"):
            store.create(prefix + name, name.encode()).unwrap()
        listed = store.list_objects(prefix, 2).unwrap()
        assert [(found.name, found.value) for found in listed] == [
            (prefix + "a", b"a"),
            (prefix + "b", b"b"),
        ]

    @pytest.mark.parametrize("suffix", ["a b", "a%2Fb", "a?b=c&d", "ñandú#"])
    def test_unusual_names(self, store, suffix):
        name = f"contract/{uuid.uuid4()}/{suffix}"
        store.create(name, b"a").unwrap()
        assert store.read(name).unwrap().name == name
        assert len(store.list_objects(name, 2).unwrap()) == 1

    def test_watch_wakes_on_a_change(self, store):
        name = f"contract/{uuid.uuid4()}"
        version = store.create(name, b"a").unwrap().version
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            watched = pool.submit(store.watch, name, version, LONG_WAIT)
            store.update(name, b"b", version).unwrap()
            assert watched.result().unwrap().value == b"b"

    def test_one_of_many_concurrent_updates_wins(self, store):
        name = f"contract/{uuid.uuid4()}"
        version = store.create(name, b"a").unwrap().version
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            results = list(
                pool.map(
                    lambda number: store.update(name, b"%d" % number, version),
                    range(6),
                )
            )
        won = [r for r in results if returns.pipeline.is_successful(r)]
        assert len(won) == 1
        assert store.read(name).unwrap() == won[0].unwrap()


def restore(backend, changes):
    """Restore the store behind a memory or HTTP adapter."""
    getattr(backend, "store", backend).restore(changes)


@pytest.fixture(params=["memory", "http"])
def opened(request):
    """Yield an adapter, and a function that restores its store.

    A restore goes back to the state before the given number of changes.
    """
    with adapters.open_store(request.param) as (adapter, backend):
        yield adapter, functools.partial(restore, backend)


# Test id, a conditional write.
WRITES = [
    ("update", lambda store, version: store.update("a", b"late", version)),
    ("delete", lambda store, version: store.delete("a", version)),
]


class TestStoreRestored:
    """A version of before a restore must never match one of after it."""

    def test_store_restored_versions_grow(self, opened):
        store, restore = opened
        kept = store.create("a", b"a").unwrap()
        lost = store.create("b", b"b").unwrap()
        restore(1)
        again = store.read("a").unwrap()
        written = store.create("b", b"b").unwrap()
        assert again == kept._replace(version=again.version)
        assert kept.version < lost.version < again.version < written.version
        assert store.list_objects("", 9).unwrap() == (again, written)

    @pytest.mark.parametrize(
        "write", [case[1] for case in WRITES], ids=[case[0] for case in WRITES]
    )
    @pytest.mark.parametrize("changes", [0, 1])
    def test_store_restored_refuses_earlier_versions(
        self, opened, write, changes
    ):
        store, restore = opened
        version = store.create("a", b"a").unwrap().version
        restore(changes)
        if changes:
            store.create("a", b"a").unwrap()
        present = store.read("a").unwrap()
        assert outcome(write(store, version)) is Kind.CONFLICT
        assert store.read("a").unwrap() == present
        assert returns.pipeline.is_successful(write(store, present.version))

    def test_store_restored_refuses_earlier_versions_of_absent_objects(
        self, opened
    ):
        store, restore = opened
        version = store.create("a", b"a").unwrap().version
        restore(1)
        assert outcome(store.read("a")) is Kind.MISSING
        assert outcome(store.update("a", b"b", version)) is Kind.CONFLICT
        assert outcome(store.delete("a", version)) is Kind.CONFLICT

    @pytest.mark.parametrize("noticed", [False, True])
    @pytest.mark.parametrize("written_again", [0, 2, 9])
    def test_store_restored_watch_of_an_earlier_version(
        self, opened, noticed, written_again
    ):
        store, restore = opened
        first = store.create("a", b"a").unwrap().version
        known = store.update("a", b"b", first).unwrap().version
        restore(1)
        for number in range(written_again):
            store.create(f"other/{number}", b"").unwrap()
        if noticed:
            assert outcome(store.read("none")) is Kind.MISSING
        found = store.watch("a", known, NO_WAIT).unwrap()
        assert found.value == b"a"
        assert outcome(store.watch("a", found.version, NO_WAIT)) is Kind.MISSING

    @pytest.mark.parametrize("noticed", [False, True])
    def test_store_restored_watch_of_an_absent_object(self, opened, noticed):
        store, restore = opened
        known = store.create("a", b"a").unwrap().version
        restore(1)
        if noticed:
            assert outcome(store.read("a")) is Kind.MISSING
        assert outcome(store.watch("a", known, NO_WAIT)) is Kind.MISSING

    def test_store_restored_ends_a_waiting_watch(self, opened):
        store, restore = opened
        first = store.create("a", b"a").unwrap().version
        known = store.update("a", b"b", first).unwrap().version
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            watched = pool.submit(store.watch, "a", known, LONG_WAIT)
            restore(1)
            assert watched.result().unwrap().value == b"a"


# Test id, a call of the HTTP adapter, and its result if its response is of an
# earlier era.
DELAYED = [
    ("read", lambda store, last: store.read("a"), Kind.UNAVAILABLE),
    ("list", lambda store, last: store.list_objects("", 1), Kind.UNAVAILABLE),
    (
        "watch",
        lambda store, last: store.watch("a", 0, NO_WAIT),
        Kind.UNAVAILABLE,
    ),
    ("create", lambda store, last: store.create("b", b""), Kind.UNCERTAIN),
    (
        "update",
        lambda store, last: store.update("a", b"", last),
        Kind.UNCERTAIN,
    ),
    ("delete", lambda store, last: store.delete("a", last), Kind.UNCERTAIN),
]

UNREADABLE_ERAS = [(), *[(("store-era", text),) for text in ("", "x", "0")]]


class HeaderClient:
    """Replaces the eras that a stand-in states, and records the calls.

    Attributes:
        eras: Era headers of the next responses, in place of the real one.
    """

    def __init__(self):
        self.client = http_client.create_http_client()
        self.eras = []
        self.requests = []

    def call(self, request):
        self.requests.append(request)
        result = self.client.call(request)
        if not self.eras:
            return result
        headers = self.eras.pop(0)
        return result.map(
            lambda response: response._replace(
                headers=headers
                + tuple(
                    line for line in response.headers if line[0] != "store-era"
                )
            )
        )


@pytest.fixture
def http_store():
    """Yield an HTTP adapter, its client and the stand-in that it calls."""
    standin, client = object_store.create_object_store(), HeaderClient()
    with adapters.serving(standin.handle) as url:
        yield (
            http_adapter.create_http_object_store(client, url),
            client,
            standin,
        )


class TestEraOfResponses:
    @pytest.mark.parametrize(
        ("call", "kind"),
        [case[1:] for case in DELAYED],
        ids=[case[0] for case in DELAYED],
    )
    def test_store_restored_before_a_delayed_response(
        self, http_store, call, kind
    ):
        store, client, standin = http_store
        store.create("a", b"").unwrap()
        standin.store.restore(0)
        last = store.read("a").unwrap().version
        client.eras = [(("store-era", "1"),)]
        assert outcome(call(store, last)) is kind
        assert store.era.current == 2

    @pytest.mark.parametrize(
        "write", [case[1] for case in WRITES], ids=[case[0] for case in WRITES]
    )
    def test_store_restored_has_given_out_the_version_again(
        self, http_store, write
    ):
        store, client, standin = http_store
        version = store.create("a", b"a").unwrap().version
        standin.store.restore(1)
        standin.store.create("a", b"other").unwrap()
        assert outcome(write(store, version)) is Kind.UNCERTAIN
        client.requests.clear()
        assert outcome(write(store, version)) is Kind.CONFLICT
        assert client.requests == []

    def test_store_restored_is_watched_from_no_earlier_version(
        self, http_store
    ):
        store, client, standin = http_store
        known = store.create("a", b"a").unwrap().version
        standin.store.restore(0)
        store.read("a").unwrap()
        client.requests.clear()
        store.watch("a", known, NO_WAIT).unwrap()
        paths = [request.url.rpartition("/")[2] for request in client.requests]
        assert paths == ["a?watch_after=0&wait_ms=1"]

    @pytest.mark.parametrize("headers", UNREADABLE_ERAS)
    def test_unreadable_era_counts_as_the_last(self, http_store, headers):
        store, client, _ = http_store
        made = store.create("a", b"a").unwrap()
        client.eras = [headers]
        assert store.read("a").unwrap() == made

    def test_store_without_eras(self, http_store):
        store, client, _ = http_store
        client.eras = [()] * 4
        made = store.create("a", b"a").unwrap()
        changed = store.update("a", b"b", made.version).unwrap()
        assert (made.version, changed.version) == (1, 2)
        assert store.watch("a", made.version, NO_WAIT).unwrap() == changed
        assert outcome(store.watch("a", changed.version, NO_WAIT)) is (
            Kind.MISSING
        )


FAULTS = [
    ("down", memory_store.Fault.DOWN, Kind.UNAVAILABLE, False),
    ("lose_answer", memory_store.Fault.LOST_ANSWER, Kind.UNCERTAIN, True),
    ("lose_call", memory_store.Fault.LOST_CALL, Kind.UNCERTAIN, False),
]


class TestFaults:
    """A wrong failure kind would cause wrong retries or a lost operation."""

    @pytest.mark.parametrize("kind", ["memory", "http"])
    @pytest.mark.parametrize(("mode", "fault", "expected", "applied"), FAULTS)
    def test_fault(self, kind, mode, fault, expected, applied):
        with adapters.open_store(kind) as (store, backend):
            if kind == "memory":
                backend.plan = lambda call: (
                    fault if call.operation == "create" else None
                )
            else:
                backend.set_fault({"mode": mode, "count": 1, "prefix": "a"})
                # A call on another name neither fails nor uses the fault up.
                store.create("b", b"").unwrap()
            assert outcome(store.create("a", b"")) is expected
            found = store.read("a")
            assert returns.pipeline.is_successful(found) is applied
            if kind == "http":
                # A retried write would conflict with its own first try.
                assert backend.calls["writes"] == 2

    def test_rate_limit_of_the_store(self):
        standin = object_store.create_object_store(writes_per_second=1e-3)
        with adapters.serving(standin.handle) as url:
            store = http_adapter.create_http_object_store(
                http_client.create_http_client(), url
            )
            standin.buckets["writes"].tokens = 0
            assert outcome(store.create("a", b"")) is Kind.THROTTLED
            assert outcome(store.read("a")) is Kind.MISSING
        assert standin.throttled == 1

    def test_no_server_is_unavailable(self):
        with adapters.serving(lambda request: None) as url:
            closed = url
        store = http_adapter.create_http_object_store(
            http_client.create_http_client(), closed
        )
        assert outcome(store.create("a", b"")) is Kind.UNAVAILABLE

    def test_response_after_the_timeout_is_uncertain(self):
        standin = object_store.create_object_store()
        with adapters.serving(standin.handle) as url:
            store = http_adapter.create_http_object_store(
                http_client.create_http_client(), url, LIMIT
            )
            # The next read reuses this connection.
            assert outcome(store.read("a")) is Kind.MISSING
            standin.set_fault({"mode": "slow", "delay_ms": 400})
            assert outcome(store.read("a")) is Kind.UNCERTAIN
            assert outcome(store.create("a", b"")) is Kind.UNCERTAIN

    @pytest.mark.parametrize(
        ("status", "kind"),
        [
            (302, Kind.UNCERTAIN),
            (304, Kind.MISSING),
            (400, Kind.INVALID),
            (404, Kind.MISSING),
            (408, Kind.UNCERTAIN),
            (412, Kind.CONFLICT),
            (413, Kind.INVALID),
            (429, Kind.THROTTLED),
            (500, Kind.UNCERTAIN),
            (502, Kind.UNCERTAIN),
            (503, Kind.UNAVAILABLE),
            (504, Kind.UNCERTAIN),
        ],
    )
    def test_status(self, status, kind):
        assert http_adapter.classify_status(status) is kind

    @pytest.mark.parametrize(
        "etag", ["", '"x"', '"-1"', '"²"', f'"{2**40}"', f'"{"9" * 5000}"']
    )
    def test_write_without_a_version_is_uncertain(self, etag):
        response = http_adapter.StoreResponse(1, (("etag", etag),), b"")
        result = http_adapter.parse_object("a", response, b"")
        assert outcome(result) is Kind.UNCERTAIN

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{}",
            b'[{"name":"a"}]',
            b'[{"name":1}]',
            b'[{"name":"a","version":-1,"value":""}]',
            b'[{"name":"a","version":2000000000000,"value":""}]',
        ],
    )
    def test_malformed_list_is_a_failure(self, body):
        response = http_adapter.StoreResponse(1, (), body)
        assert outcome(http_adapter.parse_list(response)) is Kind.UNCERTAIN
