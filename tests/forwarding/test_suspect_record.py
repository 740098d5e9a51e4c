"""The record of suspect parts in the object store."""

import datetime

import msgspec
import pytest

from verbenafall_core import messages
from verbenafall_core.object_store import store_era
from verbenafall_gateway.forwarding import suspect_record
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

FIRST = messages.PartReport("s", "p", (("e1", 100, 30),), None, 5)
SECOND = messages.PartReport("s", "q", (("e2", 200, 40),), 300, None)


class Owner:
    """A gateway that keeps a record and merges what is stored."""

    def __init__(self, store, clock):
        self.reports = {}
        self.record = suspect_record.SuspectRecord(
            memory_store.MemoryStoreClient(store, store_era.create_store_era()),
            clock,
            self.merge,
        )

    def merge(self, reports):
        for report in reports.reports:
            self.reports.setdefault((report.service, report.part), report)
        self.save()

    def learn(self, report):
        self.reports[report.service, report.part] = report
        self.save()

    def clear(self, report):
        del self.reports[report.service, report.part]
        self.save()

    def save(self):
        self.record.save(messages.PartReports(tuple(self.reports.values())))

    def run(self):
        """Run the record until nothing is due."""
        for _ in range(10):
            if self.record.run_once():
                return
        raise AssertionError("the record is never done")


@pytest.fixture
def store():
    return memory_store.create_memory_store()


@pytest.fixture
def clock():
    return manual_clock.ManualClock()


@pytest.fixture
def owner(store, clock):
    return Owner(store, clock)


def calls(store):
    return [call.operation for call in store.calls]


class TestRecord:
    def test_gateway_that_starts_reads_what_another_wrote(
        self, store, clock, owner
    ):
        owner.learn(FIRST)
        owner.run()
        clock.advance(datetime.timedelta(seconds=2))
        other = Owner(store, clock)
        other.run()
        assert list(other.reports.values()) == [
            messages.PartReport("s", "p", (("e1", 2100, 30),), None, 2005)
        ]

    def test_two_writers_lose_nothing(self, store, clock, owner):
        other = Owner(store, clock)
        owner.run()
        other.run()
        owner.learn(FIRST)
        other.learn(SECOND)
        owner.run()
        other.run()
        last = Owner(store, clock)
        last.run()
        assert set(last.reports) == {("s", "p"), ("s", "q")}

    def test_part_that_was_cleared_is_removed(self, store, clock, owner):
        owner.learn(FIRST)
        owner.run()
        owner.clear(FIRST)
        owner.run()
        other = Owner(store, clock)
        other.run()
        assert not other.reports

    def test_nothing_is_written_without_a_change(self, store, owner):
        owner.run()
        owner.save()
        owner.run()
        assert calls(store) == ["read"]
        owner.learn(FIRST)
        owner.run()
        owner.learn(FIRST._replace(trial_age=9))
        owner.run()
        assert calls(store) == ["read", "create"]

    def test_write_is_repeated_while_the_store_is_down(self, store, owner):
        owner.run()
        store.plan = lambda call: memory_store.Fault.DOWN
        owner.learn(FIRST)
        assert not owner.record.run_once()
        assert not owner.record.run_once()
        store.plan = memory_store.no_faults
        owner.run()
        assert owner.record.version

    @pytest.mark.parametrize(
        "value", [b"", b"{}", b"[1]", b'[1,[["s"]]]', b"\xff"]
    )
    def test_unreadable_record_is_replaced(self, store, clock, owner, value):
        owner.record.store.create(owner.record.name, value)
        owner.run()
        owner.learn(FIRST)
        owner.run()
        other = Owner(store, clock)
        other.run()
        assert set(other.reports) == {("s", "p")}

    def test_change_before_an_unreadable_record_is_read_is_kept(
        self, store, clock, owner
    ):
        owner.record.store.create(owner.record.name, b"{}")
        owner.learn(FIRST)
        owner.run()
        other = Owner(store, clock)
        other.run()
        assert set(other.reports) == {("s", "p")}

    def test_outage_of_the_store_is_logged_once(
        self, store, owner, monkeypatch
    ):
        logged = []
        monkeypatch.setattr(
            suspect_record.event_log,
            "emit",
            lambda event, **fields: logged.append((event.name, fields)),
        )
        for _ in range(2):
            store.plan = lambda call: memory_store.Fault.DOWN
            owner.learn(FIRST)
            for _ in range(5):
                assert not owner.record.run_once()
            store.plan = memory_store.no_faults
            owner.run()
            owner.clear(FIRST)
            owner.run()
        assert [name for name, _ in logged] == ["suspect_record_failed"] * 2

    def test_clock_that_was_set_back_makes_nothing_younger(
        self, store, clock, owner
    ):
        value = msgspec.json.encode(
            suspect_record.StoredSuspects(2**50, (FIRST,))
        )
        owner.record.store.create(owner.record.name, value)
        owner.run()
        assert list(owner.reports.values()) == [FIRST]
