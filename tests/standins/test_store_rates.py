"""Tests of the rate limits of the object store stand-in."""

import pytest

import adapters
from verbenafall_core import http_client
from verbenafall_standins import object_store


class TestStoreRates:
    """Guards against benchmarks that run without the limit they set."""

    @pytest.mark.parametrize(
        ("kind", "method"), [("reads", "GET"), ("writes", "DELETE")]
    )
    def test_new_rate_applies_immediately(self, kind, method):
        store = object_store.create_object_store()
        client = http_client.create_http_client()
        with adapters.serving(store.handle) as url:
            rate = {f"{kind}_per_second": 0.001}
            before, _ = adapters.send(client, method, f"{url}/objects/a")
            adapters.send(client, "POST", f"{url}/-/rates", rate)
            after, _ = adapters.send(client, method, f"{url}/objects/a")
        assert before != 429
        assert after == 429
