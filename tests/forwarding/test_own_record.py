"""Tests of the gateway's record in the object store."""

from verbenafall_core import addresses
from verbenafall_gateway.forwarding import own_record
from verbenafall_standins.fakes import memory_store

ADDRESS = addresses.Address("10.0.0.1", 80)


class TestStop:
    def test_record_that_stays_is_logged(self, monkeypatch):
        """Guards against a failed delete that nobody notices."""
        lines = []
        monkeypatch.setattr(
            own_record.event_log,
            "emit",
            lambda event, **fields: lines.append(event.name),
        )
        store = memory_store.create_memory_store()
        record = own_record.OwnRecord(store, "g1", ADDRESS)
        record.run()
        store.plan = lambda call: (
            memory_store.Fault.DOWN if call.operation == "delete" else None
        )
        record.stop()
        assert list(store.objects) == [record.name]
        assert lines == ["own_record_written", "own_record_left"]
