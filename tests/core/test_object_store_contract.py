"""Contract tests of the object store port, run with every adapter."""

import concurrent.futures
import datetime
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

    @pytest.mark.parametrize("etag", ["", '"x"', '"-1"', '"²"'])
    def test_write_without_a_version_is_uncertain(self, etag):
        response = http_client.HttpResponse(200, (("etag", etag),), b"")
        result = http_adapter.parse_object("a", response, b"")
        assert outcome(result) is Kind.UNCERTAIN

    @pytest.mark.parametrize(
        "body", [b"", b"{}", b'[{"name":"a"}]', b'[{"name":1}]']
    )
    def test_malformed_list_is_a_failure(self, body):
        response = http_client.HttpResponse(200, (), body)
        assert outcome(http_adapter.parse_list(response)) is Kind.UNCERTAIN
