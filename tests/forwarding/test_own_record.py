"""Tests of a gateway's record in the store, mainly across restores."""

import datetime
import random
import time

import pytest
import returns.pipeline

from verbenafall_core import addresses
from verbenafall_core.object_store import records
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_gateway.forwarding import own_record
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

ADDRESS = addresses.Address("10.0.0.1", 9000)
VALUE = b"10.0.0.1:9000"
OLD_VALUE = b"10.0.0.1:8999"
NAME = f"{records.GATEWAY_KIND}/g1"
GATEWAYS = 370
SPREAD = datetime.timedelta(
    seconds=GATEWAYS / own_record.MAX_REWRITES_PER_SECOND
)
WRITES = ("create", "update", "delete")


class Gateway:
    """A gateway's record, run step by step without its thread."""

    def __init__(self, seed=1):
        self.clock = manual_clock.create_manual_clock()
        self.store = memory_store.create_memory_store(self.clock)
        self.client = memory_store.MemoryStoreClient(
            self.store, store_era.create_store_era()
        )
        self.record = own_record.OwnRecord(
            self.client,
            self.client.era,
            "g1",
            ADDRESS,
            self.clock,
            lambda: GATEWAYS,
            random.Random(seed),
        )

    def see_era(self):
        """Make another call of the process, which states the era."""
        self.client.read("any/other")

    def restore(self, changes):
        self.store.restore(changes)
        self.see_era()

    def run(self):
        """Run until nothing more is due; return the delays."""
        delays = []
        while (delay := self.record.run_once()) is not None:
            delays.append(delay)
            self.clock.advance(delay)
        return delays

    def value(self):
        stored = self.store.objects.get(NAME)
        return stored.value if stored else None


@pytest.fixture
def gateway():
    """A gateway whose record is written, after one with another value."""
    found = Gateway()
    found.store.create(NAME, OLD_VALUE)
    found.run()
    assert found.value() == VALUE
    found.store.calls.clear()
    return found


def operations(gateway):
    return [call.operation for call in gateway.store.calls if call.name == NAME]


# Test id, changes that the restore undoes, calls that follow.
RESTORES = [
    ("copy has the record", 0, ["read"]),
    ("copy has another value", 1, ["read", "update"]),
    ("copy lacks the record", 2, ["read", "create"]),
]


class TestStart:
    def test_is_written_at_once(self):
        gateway = Gateway()
        assert gateway.run() == [datetime.timedelta()]
        assert gateway.value() == VALUE

    def test_is_written_after_failures(self):
        gateway = Gateway()
        gateway.store.plan = lambda _: memory_store.Fault.DOWN
        first = gateway.record.run_once()
        assert first >= own_record.RETRY_INTERVAL
        gateway.clock.advance(first)
        gateway.store.plan = memory_store.no_faults
        gateway.run()
        assert gateway.value() == VALUE

    def test_is_written_after_an_unexpected_error(self, monkeypatch):
        gateway = Gateway()
        write = gateway.record.write
        failures = [ZeroDivisionError()]

        def fail_once():
            if failures:
                raise failures.pop()
            return write()

        monkeypatch.setattr(gateway.record, "write", fail_once)
        monkeypatch.setattr(
            own_record, "RETRY_INTERVAL", datetime.timedelta(milliseconds=1)
        )
        gateway.record.start()
        for _ in range(1000):
            if gateway.value() == VALUE:
                break
            time.sleep(0.01)
        value = gateway.value()
        gateway.record.stop()
        assert value == VALUE

    def test_is_deleted_at_a_stop(self, gateway):
        gateway.record.delete()
        assert operations(gateway) == ["delete"]
        assert gateway.value() is None


class TestStoreRestored:
    @pytest.mark.parametrize(
        ("changes", "calls"),
        [case[1:] for case in RESTORES],
        ids=[case[0] for case in RESTORES],
    )
    def test_is_written_again(self, gateway, changes, calls):
        gateway.restore(changes)
        delay, *others = gateway.run()
        assert datetime.timedelta() < delay < SPREAD
        assert not any(others)
        assert operations(gateway) == calls
        assert gateway.value() == VALUE
        assert gateway.record.version == gateway.store.objects[NAME].version
        gateway.record.delete()
        assert gateway.value() is None

    def test_delays_are_spread(self):
        delays = []
        for seed in range(200):
            gateway = Gateway(seed)
            gateway.run()
            gateway.restore(1)
            delays.append(gateway.record.run_once())
        assert len(set(delays)) == 200
        assert min(delays) < SPREAD / 10
        assert SPREAD > max(delays) > SPREAD * 0.9

    def test_listener_wakes_the_thread(self, gateway):
        gateway.record.wakeup.clear()
        gateway.restore(0)
        assert gateway.record.wakeup.is_set()

    def test_second_restore_during_the_delay(self, gateway):
        gateway.restore(0)
        assert gateway.record.run_once()
        gateway.restore(2)
        gateway.run()
        assert gateway.value() == VALUE
        assert revisions.era_of(gateway.record.version) == 3
        assert operations(gateway) == ["read", "create"]

    @pytest.mark.parametrize("operation", ["read", "create"])
    def test_second_restore_during_the_write(self, gateway, operation):
        gateway.restore(2)
        gateway.clock.advance(gateway.record.run_once())
        pending = [lambda: gateway.store.restore(0)]

        def restore_before(call):
            if call.name == NAME and call.operation == operation and pending:
                pending.pop()()

        gateway.store.plan = restore_before
        gateway.run()
        assert gateway.value() == VALUE
        assert revisions.era_of(gateway.record.version) == 3

    def test_second_restore_undoes_the_write(self, gateway):
        gateway.restore(2)
        gateway.run()
        gateway.store.restore(1)
        assert gateway.value() is None
        gateway.see_era()
        gateway.run()
        assert gateway.value() == VALUE

    def test_failed_write_is_repeated(self, gateway):
        gateway.restore(2)
        gateway.clock.advance(gateway.record.run_once())
        gateway.store.plan = lambda _: memory_store.Fault.THROTTLED
        retry = gateway.record.run_once()
        assert retry >= own_record.RETRY_INTERVAL
        gateway.clock.advance(retry)
        gateway.store.plan = memory_store.no_faults
        gateway.run()
        assert gateway.value() == VALUE


# Test id, changes that the restore undoes, whether the process has seen the
# new era, value of the record after the stop.
STOPS = [
    ("copy has the record", 0, True, None),
    ("copy has the record, era is not seen", 0, False, None),
    ("copy has another value", 1, True, OLD_VALUE),
    ("copy has another value, era is not seen", 1, False, OLD_VALUE),
    ("copy lacks the record", 2, True, None),
    ("copy lacks the record, era is not seen", 2, False, None),
]


class TestStoreRestoredAtAStop:
    @pytest.mark.parametrize(
        ("changes", "seen", "expected"),
        [case[1:] for case in STOPS],
        ids=[case[0] for case in STOPS],
    )
    def test_copy_is_deleted(self, gateway, changes, seen, expected):
        """A record of another value belongs to a process that is not this."""
        gateway.store.restore(changes)
        if seen:
            gateway.see_era()
        gateway.record.delete()
        assert gateway.value() == expected

    def test_threads_end(self):
        gateway = Gateway()
        gateway.record.start()
        gateway.record.stop()
        assert not gateway.record.thread.is_alive()
        assert gateway.value() is None

    def test_failed_deletion_is_not_repeated(self, gateway):
        gateway.store.plan = lambda _: memory_store.Fault.DOWN
        gateway.record.delete()
        assert operations(gateway) == ["delete"]
        read = gateway.store.read(NAME)
        assert not returns.pipeline.is_successful(read)

    def test_record_that_stays_is_logged(self, gateway, monkeypatch):
        """Guards against a failed delete that nobody notices."""
        lines = []
        monkeypatch.setattr(
            own_record.event_log,
            "emit",
            lambda event, **fields: lines.append(event.name),
        )
        gateway.store.plan = lambda call: (
            memory_store.Fault.DOWN if call.operation == "delete" else None
        )
        gateway.record.delete()
        assert gateway.value() == VALUE
        assert lines == ["own_record_not_deleted"]


class TestRemovedRecord:
    def test_record_that_another_gateway_removed_is_written_again(
        self, gateway
    ):
        version = gateway.record.version
        gateway.client.delete(NAME, version)
        gateway.record.record_missing(version + 1)
        gateway.run()
        assert gateway.value() == VALUE

    def test_older_state_of_the_store_does_not_show_a_removal(self, gateway):
        gateway.record.record_missing(gateway.record.version - 1)
        gateway.run()
        assert operations(gateway) == []
