"""Entries of other writers, which must cost no reader the others."""

import datetime
import random

import pytest

import adapters
from core import test_json_documents
from platform_adapter import standin_store
from verbenafall_core import http_client
from verbenafall_core.object_store import store_era
from verbenafall_platform import listed_endpoints
from verbenafall_platform import store

WAIT = datetime.timedelta(milliseconds=200)
SOUND = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "slots": 6,
    "state": "ready",
    "born": 1,
}
RAW_VALUES = [item[1] for item in test_json_documents.ODD_VALUES]
# Values that are JSON but not what a field means.
VALUES = [
    None,
    True,
    -1,
    1.5,
    10**30,
    "",
    "x" * 5000,
    "10.0.0.9:" + "9" * 5000,
    "10.0.0.9:65536",
    "10.0.0.9:-1",
    "10.0.0.9:\u0663",
    [],
    {},
    [[["deep"]]],
]


@pytest.fixture
def standin(monkeypatch):
    monkeypatch.setattr(store, "CALL_TIMEOUT", adapters.CALL_TIMEOUT)
    found = standin_store.StandinStore()
    yield found
    found.close()


@pytest.fixture
def calls(standin):
    return store.StoreCalls(
        http_client.create_http_client(),
        standin.url,
        store_era.create_store_era(),
    )


@pytest.fixture
def entries(calls):
    return store.PlatformCollection(
        calls, "servers", listed_endpoints.decode_endpoint
    )


def draw_odd_entry(generator):
    """Draw an entry with one odd field, or one that is odd as a whole."""
    value = (
        standin_store.Raw(generator.choice(RAW_VALUES))
        if generator.random() < 0.6
        else generator.choice(VALUES)
    )
    if generator.random() < 0.2:
        return value
    return SOUND | {generator.choice([*SOUND, "unknown"]): value}


class TestList:
    """Guards against one odd entry that makes a gateway lose the others."""

    @pytest.mark.parametrize("seed", range(40))
    def test_sound_entries_are_read(self, standin, entries, seed):
        generator = random.Random(seed)
        odd = f"e{generator.randrange(5)}"
        for number in range(5):
            name = f"e{number}"
            spec = draw_odd_entry(generator) if name == odd else SOUND
            standin.put("servers", name, spec)
        batch = entries.read_all().unwrap()
        found = {item.name: item.value for item in batch.items}
        assert len(found) == 5
        assert all(found[name] for name in found if name != odd)

    @pytest.mark.parametrize("seed", range(40))
    def test_sound_changes_are_read(self, standin, entries, seed):
        """It stopped following the list."""
        generator = random.Random(seed)
        standin.put("servers", "e0", SOUND)
        revision = entries.read_all().unwrap().revision
        changes = [("e1", SOUND), ("e2", SOUND)]
        place = generator.randrange(3)
        changes.insert(place, ("odd", draw_odd_entry(generator)))
        for name, spec in changes:
            standin.put("servers", name, spec)
        standin.remove("servers", "e0")
        batch = entries.read_changes(revision, WAIT).unwrap()
        found = {item.name: item.value for item in batch.items}
        assert found["e1"]
        assert found["e2"]
        assert found["e0"] is None
        assert batch.revision > revision

    @pytest.mark.parametrize(
        "name", ["a b", "a\r\nX: y", "\u20ac", "x" * 999, "\x7f"]
    )
    def test_name_that_no_header_can_hold(self, standin, entries, name):
        """A request to it failed, or had another header."""
        standin.put("servers", name, SOUND)
        (item,) = entries.read_all().unwrap().items
        assert item.value is None


class TestRecord:
    """Guards a record that only this system writes against other writers."""

    @pytest.mark.parametrize("text", RAW_VALUES)
    def test_odd_content_can_be_replaced(self, standin, calls, text):
        standin.put("words", "a", standin_store.Raw(text))
        records = store.PlatformObjectStore(calls)
        found = records.read("words/a").unwrap()
        assert found.value == b""
        again = records.update("words/a", b"mine", found.version).unwrap()
        assert again.value == b"mine"
