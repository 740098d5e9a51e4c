"""Tests that at most one of several claims acquires a term."""

import random
import threading
import types

import pytest
import returns.pipeline
import returns.result

from verbenafall_core import addresses
from verbenafall_core import metrics
from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_sidecar.steering import group_term
from verbenafall_sidecar.steering import leadership as leadership_lib
from verbenafall_sidecar.steering import ports
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store


class Failing:
    """A store whose writes fail with one kind, applied or not."""

    def __init__(self, store, kind, applied):
        self.store = store
        self.kind = kind
        self.applied = applied

    def read(self, name):
        return self.store.read(name)

    def create(self, name, value):
        return self.fail(lambda: self.store.create(name, value))

    def update(self, name, value, expected_version):
        return self.fail(
            lambda: self.store.update(name, value, expected_version)
        )

    def fail(self, write):
        if self.applied:
            write()
        return returns.result.Failure(port.StoreFailure(self.kind, "scripted"))


@pytest.fixture
def store():
    return memory_store.create_memory_store()


ENDS = [
    (port.FailureKind.CONFLICT, False, group_term.ClaimFailure.LOST),
    (port.FailureKind.UNCERTAIN, True, group_term.ClaimFailure.LOST),
    (port.FailureKind.UNCERTAIN, False, group_term.ClaimFailure.LOST),
    (port.FailureKind.UNAVAILABLE, False, group_term.ClaimFailure.UNAVAILABLE),
    (port.FailureKind.THROTTLED, False, group_term.ClaimFailure.UNAVAILABLE),
]


class TestAcquireTerm:
    def test_terms_increase(self, store):
        terms = [
            group_term.acquire_term(store, "g", f"h{number}")
            for number in range(4)
        ]
        assert terms == sorted(set(terms))

    @pytest.mark.parametrize(("kind", "applied", "end"), ENDS)
    def test_failed_write_acquires_no_term(self, store, kind, applied, end):
        failing = Failing(store, kind, applied)
        assert group_term.acquire_term(failing, "g", "h") is end
        later = group_term.acquire_term(store, "g", "other")
        assert returns.pipeline.is_successful(store.read("group-terms/g"))
        assert later > 0


ENGINE = addresses.Address("10.0.0.1", 8000)
CLAIM = group_term.Claim("g", "leader", revisions.create_revision(1, 40))

# Test id, holder in the restored record (None without one), number of writes.
RESTORED = [
    ("record is missing", None, 1),
    ("record of an earlier leader", b"earlier", 1),
    ("record is there", b"leader", 0),
]


class TestTermRecord:
    @pytest.fixture
    def era(self):
        era = store_era.create_store_era()
        era.observe(1)
        return era

    @pytest.fixture
    def clock(self):
        return manual_clock.create_manual_clock()

    @pytest.fixture
    def record(self, store, era, clock):
        return group_term.TermRecord(CLAIM, store, era, clock, random.Random(1))

    def run(self, record, clock, seconds):
        for _ in range(4 * seconds):
            clock.advance(group_term.REWRITE_RETRY_INTERVAL / 4)
            record.run_once()

    @pytest.mark.parametrize(
        ("holder", "writes"),
        [case[1:] for case in RESTORED],
        ids=[case[0] for case in RESTORED],
    )
    def test_store_restored_record_is_written_again(
        self, store, era, clock, record, holder, writes
    ):
        if holder is not None:
            store.create("group-terms/g", holder)
        before = len(store.calls)
        era.observe(2)
        self.run(record, clock, 10)
        assert store.read("group-terms/g").unwrap().value == b"leader"
        done = [call.operation for call in store.calls[before:]]
        assert done.count("create") + done.count("update") == writes

    def test_no_call_without_a_restore(self, store, clock, record):
        self.run(record, clock, 10)
        assert store.calls == []

    def test_store_restored_twice_is_written_twice(
        self, store, era, clock, record
    ):
        for number in (2, 3):
            store.objects.clear()
            era.observe(number)
            self.run(record, clock, 10)
            assert store.read("group-terms/g").unwrap().value == b"leader"

    def test_store_restored_failed_write_is_repeated(
        self, store, era, clock, record
    ):
        era.observe(2)
        store.plan = lambda call: (
            memory_store.Fault.THROTTLED if call.operation == "create" else None
        )
        self.run(record, clock, 5)
        assert store.objects == {}
        store.plan = memory_store.no_faults
        self.run(record, clock, 2)
        assert store.read("group-terms/g").unwrap().value == b"leader"

    def test_store_restored_later_claim_stands(self, store, era, clock, record):
        """Another process claims between the read and the write."""

        def claim_first(call):
            if call.operation == "create":
                store.plan = memory_store.no_faults
                group_term.acquire_term(store, "g", "later")
            return

        store.plan = claim_first
        era.observe(2)
        self.run(record, clock, 10)
        assert store.read("group-terms/g").unwrap().value == b"later"

    def test_store_restored_writes_are_spread(self, store, era, clock):
        tasks = [
            group_term.TermRecord(
                CLAIM._replace(group=f"g{number}"),
                store,
                era,
                clock,
                random.Random(number),
            )
            for number in range(100)
        ]
        era.observe(2)
        counts = []
        for _ in range(20):
            before = len(store.objects)
            for task in tasks:
                task.run_once()
            counts.append(len(store.objects) - before)
            clock.advance(group_term.REWRITE_SPREAD / 20)
        for task in tasks:
            task.run_once()
        assert len(store.objects) == 100
        assert max(counts) <= 20


class TestLeadership:
    def test_store_restored_leader_writes_its_record_again(self, store):
        era = store_era.create_store_era()
        era.observe(1)
        clock = manual_clock.create_manual_clock()
        leadership = leadership_lib.create_leadership(
            CLAIM,
            leadership_lib.Dependencies(
                settings=types.SimpleNamespace(engine=ENGINE),
                ports=ports.SidecarPorts(
                    configurations=None,
                    endpoints=None,
                    store=store,
                    gateways=None,
                    rank_at=None,
                    era=era,
                ),
                agent=None,
                links=None,
                clock=clock,
                metrics=metrics.NullMetrics(),
                generator=random.Random(1),
                lock=threading.RLock(),
                step_down=lambda term: None,
            ),
        )
        leadership.term_task.function()
        assert store.objects == {}
        era.observe(2)
        leadership.term_task.function()
        clock.advance(group_term.REWRITE_SPREAD)
        leadership.term_task.function()
        assert store.read("group-terms/g").unwrap().value == b"leader"
        assert leadership.term == CLAIM.term
