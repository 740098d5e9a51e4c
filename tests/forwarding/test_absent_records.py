"""Removal of the records of gateways that are gone."""

import pytest

from verbenafall_core import addresses
from verbenafall_core.object_store import records
from verbenafall_core.object_store import store_era
from verbenafall_gateway.forwarding import absent_records
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

ADDRESS = addresses.Address("10.0.0.2", 9000)
NAME = f"{records.GATEWAY_KIND}/g2"


@pytest.fixture
def store():
    return memory_store.create_memory_store(manual_clock.create_manual_clock())


def remove(store):
    client = memory_store.MemoryStoreClient(store, store_era.create_store_era())
    absent_records.create_absent_records(client).remove("g2", ADDRESS)


class TestAbsentRecords:
    def test_record_is_removed(self, store):
        store.create(NAME, str(ADDRESS).encode())
        remove(store)
        assert NAME not in store.objects

    def test_record_of_a_gateway_at_another_address_stays(self, store):
        store.create(NAME, b"10.0.0.3:9000")
        remove(store)
        assert NAME in store.objects

    def test_record_that_is_gone_is_no_error(self, store):
        remove(store)
        assert NAME not in store.objects
