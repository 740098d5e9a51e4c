"""Tests of the store adapter against a stand-in store on a socket."""

import datetime

import pytest
import returns.pipeline

import adapters
from platform_adapter import standin_store
from verbenafall_core import event_log
from verbenafall_core import http_client
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_platform import decoding
from verbenafall_platform import gateway
from verbenafall_platform import sidecar
from verbenafall_platform import store

WAIT = datetime.timedelta(milliseconds=200)


@pytest.fixture(autouse=True)
def _call_timeout(monkeypatch):
    """Keep calls from timing out on a busy machine."""
    monkeypatch.setattr(store, "CALL_TIMEOUT", adapters.CALL_TIMEOUT)


@pytest.fixture
def standin():
    found = standin_store.StandinStore()
    yield found
    found.close()


@pytest.fixture
def era():
    return store_era.create_store_era()


@pytest.fixture
def calls(standin, era):
    return store.StoreCalls(http_client.create_http_client(), standin.url, era)


@pytest.fixture
def words(calls):
    def decode(name, spec):
        del name
        if not isinstance(spec, str):
            raise decoding.DecodeError("no text")
        return spec

    return store.PlatformCollection(calls, "words", decode)


@pytest.fixture
def records(calls):
    return store.PlatformObjectStore(calls)


@pytest.fixture
def other_records(standin):
    """The records as seen by another process."""
    return store.PlatformObjectStore(
        store.StoreCalls(
            http_client.create_http_client(),
            standin.url,
            store_era.create_store_era(),
        )
    )


@pytest.fixture
def logged(monkeypatch):
    """Return the names of the events that are logged from now on."""
    names = []
    monkeypatch.setattr(
        event_log, "emit", lambda event, **_fields: names.append(event.name)
    )
    return names


STATUSES = [
    (429, port.FailureKind.THROTTLED),
    (503, port.FailureKind.UNAVAILABLE),
    (500, port.FailureKind.UNCERTAIN),
    (400, port.FailureKind.INVALID),
]


class TestCollection:
    def test_read_all_reads_all_pages(self, standin, words):
        for name in "abcde":
            standin.put("words", name, name.upper())
        batch = words.read_all().unwrap()
        assert [item.value for item in batch.items] == list("ABCDE")
        assert batch.revision == revisions.create_revision(1, standin.revision)

    def test_read_changes_continues_at_the_revision(self, standin, words):
        standin.put("words", "a", "A")
        revision = words.read_all().unwrap().revision
        standin.put("words", "b", "B")
        standin.remove("words", "a")
        batch = words.read_changes(revision, WAIT).unwrap()
        assert [(i.name, i.value) for i in batch.items] == [
            ("b", "B"),
            ("a", None),
        ]
        again = words.read_changes(batch.revision, WAIT).unwrap()
        assert again.items == ()

    def test_unreadable_objects_count_as_missing(self, standin, words):
        standin.put("words", "a", {"no": "text"})
        standin.put("words", "b", "B")
        batch = words.read_all().unwrap()
        assert [i.value for i in batch.items] == [None, "B"]
        assert [i.name for i in batch.unreadable] == ["a"]

    def test_watch_of_a_discarded_revision(self, standin, words):
        standin.oldest = standin.revision + 1
        revision = revisions.create_revision(1, standin.revision)
        result = words.read_changes(revision, WAIT)
        assert [call[2]["watch"] for call in standin.calls] == ["10"]
        assert isinstance(result.failure(), collection.HistoryGone)

    @pytest.mark.parametrize(("status", "kind"), STATUSES)
    def test_failure_kind_of_a_status(self, standin, words, status, kind):
        standin.next_statuses = [status]
        assert words.read_all().failure().kind is kind


class TestRecords:
    def test_create_read_update_and_delete(self, records):
        missing = records.read("kind/a").failure()
        assert missing.kind is port.FailureKind.MISSING
        made = records.create("kind/a", b"one").unwrap()
        assert records.read("kind/a").unwrap() == made
        changed = records.update("kind/a", b"two", made.version).unwrap()
        assert changed.version > made.version
        late = records.update("kind/a", b"three", made.version).failure()
        assert late.kind is port.FailureKind.CONFLICT
        again = records.create("kind/a", b"four").failure()
        assert again.kind is port.FailureKind.CONFLICT
        deleted = records.delete("kind/a", changed.version)
        assert returns.pipeline.is_successful(deleted)

    def test_write_without_response_is_uncertain_and_not_repeated(
        self, standin, records
    ):
        standin.drop_next_response = True
        failure = records.create("kind/a", b"one").failure()
        assert failure.kind is port.FailureKind.UNCERTAIN
        assert [call[0] for call in standin.calls] == ["POST"]

    def test_unreachable_store(self, standin, records):
        standin.close()
        failure = records.read("kind/a").failure()
        assert failure.kind is port.FailureKind.UNAVAILABLE


class TestStorePorts:
    @pytest.mark.parametrize(
        "create",
        [gateway.create_gateway_ports, sidecar.create_sidecar_ports],
    )
    def test_store_restored_is_known_to_all_ports(self, standin, create):
        ports = create(http_client.create_http_client(), standin.url)
        collections = (ports.configurations, ports.endpoints, ports.gateways)
        for port_to_store in (*collections, ports.store):
            assert port_to_store.calls.era is ports.era


# Test id, a write with the version of a record read before the restore.
CONDITIONAL_WRITES = [
    ("update", lambda records, old: records.update("kind/a", b"x", old)),
    ("delete", lambda records, old: records.delete("kind/a", old)),
]

# Values that are no revision number of the store.
ODD_NUMBERS = [None, "12", True, -1, 1.5, 2**60, [], {}]


@pytest.mark.parametrize(
    "write",
    [write for _, write in CONDITIONAL_WRITES],
    ids=[label for label, _ in CONDITIONAL_WRITES],
)
class TestConditionalWrites:
    def test_store_restored_gets_no_write_for_an_earlier_version(
        self, standin, records, write
    ):
        made = records.create("kind/a", b"a").unwrap()
        standin.restore(0)
        again = records.read("kind/a").unwrap()
        assert again.value == made.value
        assert again.version > made.version
        standin.calls.clear()
        failure = write(records, made.version).failure()
        assert failure.kind is port.FailureKind.CONFLICT
        assert standin.calls == []
        write(records, again.version).unwrap()

    def test_store_restored_has_given_out_the_number_again(
        self, standin, records, other_records, write
    ):
        made = records.create("kind/a", b"a").unwrap()
        standin.restore(1)
        other_records.create("kind/a", b"other").unwrap()
        failure = write(records, made.version).failure()
        assert failure.kind is port.FailureKind.UNCERTAIN

    def test_store_restored_has_not_given_out_the_number_again(
        self, standin, records, other_records, write
    ):
        made = records.create("kind/a", b"a").unwrap()
        standin.restore(1)
        other_records.create("kind/b", b"b").unwrap()
        other_records.create("kind/a", b"other").unwrap()
        failure = write(records, made.version).failure()
        assert failure.kind is port.FailureKind.CONFLICT


class TestCollectionAndEras:
    def test_store_restored_is_watched_from_no_earlier_revision(
        self, standin, era, words
    ):
        revision = words.read_all().unwrap().revision
        standin.restore(0)
        era.observe(2)
        standin.calls.clear()
        result = words.read_changes(revision, WAIT)
        assert isinstance(result.failure(), collection.HistoryGone)
        assert standin.calls == []

    def test_store_restored_has_given_out_the_watched_revision_again(
        self, standin, words
    ):
        standin.put("words", "a", "A")
        revision = words.read_all().unwrap().revision
        standin.restore(1)
        for name in "bc":
            standin.put("words", name, name.upper())
        result = words.read_changes(revision, WAIT)
        assert isinstance(result.failure(), collection.HistoryGone)

    def test_store_restored_between_pages_is_read_again(
        self, standin, words, monkeypatch
    ):
        for name in "abcde":
            standin.put("words", name, name.upper())
        read_kind = standin.read_kind

        def restore_once(kind, query):
            if query.get("after") and standin.era == 1:
                standin.restore(2)
            return read_kind(kind, query)

        monkeypatch.setattr(standin, "read_kind", restore_once)
        batch = words.read_all().unwrap()
        assert [item.value for item in batch.items] == list("ABC")
        versions = [item.version for item in batch.items]
        assert {
            revisions.era_of(revision)
            for revision in (batch.revision, *versions)
        } == {2}

    @pytest.mark.parametrize("number", ODD_NUMBERS)
    def test_odd_revision_of_an_object(self, standin, words, number):
        standin.put("words", "a", "A")["metadata"]["revision"] = number
        standin.put("words", "b", "B")
        items = words.read_all().unwrap().items
        assert [item.value for item in items] == ["A", "B"]
        assert items[0].version == 0 < items[1].version

    @pytest.mark.parametrize("number", ODD_NUMBERS)
    def test_odd_revision_of_a_list(self, standin, words, monkeypatch, number):
        monkeypatch.setattr(standin, "revision", number)
        assert words.read_all().failure().kind is port.FailureKind.INVALID

    @pytest.mark.parametrize("number", ODD_NUMBERS)
    def test_odd_revision_of_changes(self, standin, words, monkeypatch, number):
        revision = words.read_all().unwrap().revision
        page = {"events": [], "as-of": number}
        monkeypatch.setattr(standin, "watch", lambda *_: (200, page))
        assert words.read_changes(revision, WAIT).unwrap().revision == revision

    def test_events_that_are_no_list(self, standin, words, monkeypatch):
        revision = words.read_all().unwrap().revision
        page = {"events": 7, "as-of": 11}
        monkeypatch.setattr(standin, "watch", lambda *_: (200, page))
        failure = words.read_changes(revision, WAIT).failure()
        assert failure.kind is port.FailureKind.INVALID


# Test id, call on the records or the collection, kind of failure.
DELAYED = [
    (
        "read",
        lambda records, words, last: records.read("kind/a"),
        port.FailureKind.UNAVAILABLE,
    ),
    (
        "create",
        lambda records, words, last: records.create("kind/b", b"b"),
        port.FailureKind.UNCERTAIN,
    ),
    (
        "update",
        lambda records, words, last: records.update("kind/a", b"b", last),
        port.FailureKind.UNCERTAIN,
    ),
    (
        "delete",
        lambda records, words, last: records.delete("kind/a", last),
        port.FailureKind.UNCERTAIN,
    ),
    (
        "read_all",
        lambda records, words, last: words.read_all(),
        port.FailureKind.UNAVAILABLE,
    ),
    (
        "read_changes",
        lambda records, words, last: words.read_changes(last, WAIT),
        port.FailureKind.UNAVAILABLE,
    ),
]

# Header values without a readable era.
UNREADABLE = [None, "", "x", "0", "-1", "1.5", "\xb2", "8192", "9" * 5000]


class TestEraOfResponses:
    @pytest.mark.parametrize(
        ("call", "kind"),
        [case[1:] for case in DELAYED],
        ids=[case[0] for case in DELAYED],
    )
    def test_store_restored_before_a_delayed_response(
        self, standin, era, records, words, call, kind
    ):
        records.create("kind/a", b"a").unwrap()
        standin.restore(0)
        last = records.read("kind/a").unwrap().version
        standin.stated_eras = [1]
        assert call(records, words, last).failure().kind is kind
        assert era.current == 2

    @pytest.mark.parametrize("stated", UNREADABLE)
    def test_unreadable_era_counts_as_the_last(
        self, standin, records, logged, stated
    ):
        made = records.create("kind/a", b"a").unwrap()
        standin.stated_eras = [stated, stated]
        assert records.read("kind/a").unwrap() == made
        assert records.read("kind/a").unwrap() == made
        assert logged == ["store_era_missing"]

    def test_store_without_eras(self, standin, records, words, logged):
        standin.stated_eras = [None] * 4
        made = records.create("kind/a", b"a").unwrap()
        assert made.version == standin.revision
        revision = words.read_all().unwrap().revision
        assert words.read_changes(revision, WAIT).unwrap().items == ()
        changed = records.update("kind/a", b"b", made.version).unwrap()
        assert changed.version == standin.revision
        assert logged == []

    def test_era_that_is_never_readable_is_logged(
        self, standin, records, logged
    ):
        standin.stated_eras = ["x", "x"]
        made = records.create("kind/a", b"a").unwrap()
        assert records.read("kind/a").unwrap() == made
        assert logged == ["store_era_missing"]

    def test_store_restored_is_logged_once(self, standin, records, logged):
        records.read("kind/a").failure()
        standin.restore(0)
        for _ in range(2):
            records.read("kind/a").failure()
        assert logged == ["store_restored"]
