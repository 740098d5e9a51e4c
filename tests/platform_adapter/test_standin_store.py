"""Restores of the stand-in for the platform's store."""

import json

import pytest

import adapters
from platform_adapter import standin_store
from verbenafall_core import http_client


@pytest.fixture
def standin():
    found = standin_store.StandinStore()
    yield found
    found.close()


@pytest.fixture
def get(standin):
    """Return a function that returns the status, era and body of a GET."""
    client = http_client.create_http_client()

    def get(path):
        request = http_client.HttpRequest(
            "GET", standin.url + path, (), b"", adapters.CALL_TIMEOUT, True
        )
        response = client.call(request).unwrap()
        era = dict(response.headers).get("store-era")
        return response.status, era, json.loads(response.body)

    return get


class TestStandinStore:
    def test_store_restored_to_an_earlier_state(self, standin, get):
        made = [standin.put("words", name, name) for name in "ab"]
        standin.put("words", "a", "later")
        standin.remove("words", "b")
        standin.restore(2)
        status, era, page = get("/api/objects/words")
        assert (status, era) == (200, "2")
        assert page["items"] == made
        assert page["as-of"] == made[-1]["metadata"]["revision"]
        again = standin.put("words", "c", "c")
        assert again["metadata"]["revision"] == page["as-of"] + 1

    def test_store_restored_watch_of_a_revision_it_does_not_have(
        self, standin, get
    ):
        standin.put("words", "a", "a")
        revision = standin.revision
        standin.restore(1)
        path = f"/api/objects/words?watch={revision}&wait-ms=1"
        assert get(path) == (410, "2", {})
        standin.put("words", "b", "b")
        status, era, page = get(path)
        assert (status, era, page["events"]) == (200, "2", [])

    @pytest.mark.parametrize(("stated", "seen"), [("x", "x"), (None, None)])
    def test_responses_with_another_era(self, standin, get, stated, seen):
        standin.stated_eras = [stated]
        assert [get("/api/objects/words")[1] for _ in range(2)] == [seen, "1"]
