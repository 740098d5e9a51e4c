"""Leases in a store that is restored from a copy."""

import datetime
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from core import store_client
from verbenafall_core import leases
from verbenafall_core.object_store import revisions
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

SECOND = datetime.timedelta(seconds=1)
NAME = "leases/collector"
# The clocks of the processes differ in origin and rate.
CLOCKS = ((1000 * SECOND, 0.96), (0 * SECOND, 1.03), (50 * SECOND, 1.0))


class Process:
    """A process with its own clock, which wants the lease."""

    def __init__(self, store, number):
        offset, self.rate = CLOCKS[number]
        self.clock = manual_clock.create_manual_clock()
        self.clock.advance(offset)
        self.client = store_client.FaultyClient(store)
        self.service = leases.create_lease_service(
            self.client,
            self.clock,
            "collector",
            f"i{number}",
            random.Random(number),
            self.client.era,
        )

    def run(self):
        self.service.run_once()

    def token(self):
        held = self.service.held()
        return held.version if held else None


class Fleet:
    """Processes that want one lease, and an engine that fences its holder."""

    def __init__(self, size):
        self.store = memory_store.create_memory_store()
        self.processes = [Process(self.store, n) for n in range(size)]
        self.engine = store_client.FencingEngine()
        self.now = 0 * SECOND

    def advance(self, seconds):
        self.now += seconds * SECOND
        for process in self.processes:
            process.clock.advance(seconds * process.rate * SECOND)
        self.check()

    def check(self):
        """Let all holders act, and check tokens and their duration."""
        for number, process in enumerate(self.processes):
            token = process.token()
            if token is None or self.engine.accept(token, number, self.now):
                continue
            since = self.engine.undercut_since(token)
            assert self.now - since <= leases.DURATION

    def holders(self):
        return [p for p in self.processes if p.service.holds()]

    def settle(self):
        """Run all processes without faults for two lease durations."""
        for process in self.processes:
            process.client.apply_late()
        for _ in range(7):
            self.advance(3)
            for process in self.processes:
                process.run()
                self.check()
        assert len(self.holders()) == 1


def restore_lost_lease():
    """Restore a copy from before the lease; another process gets it."""
    fleet = Fleet(2)
    holder, other = fleet.processes
    holder.run()
    fleet.check()
    fleet.store.restore(1)
    other.run()
    fleet.check()
    return fleet


class TestRestore:
    def test_store_restored_lease_is_created_again_by_its_holder(self):
        """The holder learns of the restore from another call."""
        fleet = Fleet(1)
        holder = fleet.processes[0]
        holder.run()
        before = holder.token()
        fleet.store.restore(1)
        holder.client.learn_era()
        assert holder.service.task.wake.is_set()
        assert holder.service.task.wake_delay <= leases.RESTORE_SPREAD
        holder.run()
        assert holder.service.holds()
        assert holder.token() > before
        assert fleet.store.read(NAME).unwrap().version == holder.token()

    def test_store_restored_reads_of_holders_are_spread(self):
        delays = set()
        for _ in range(3):
            fleet = Fleet(3)
            for process in fleet.processes:
                fleet.store.objects.clear()
                process.run()
                fleet.store.restore(0)
                process.client.learn_era()
                delays.add(process.service.task.wake_delay)
        assert len(delays) == 3

    def test_store_restored_does_not_wake_a_process_without_the_lease(self):
        fleet = Fleet(2)
        for process in fleet.processes:
            process.run()
        fleet.store.restore(0)
        for process in fleet.processes:
            process.client.learn_era()
        wake = [p.service.task.wake.is_set() for p in fleet.processes]
        assert wake == [True, False]

    def test_store_restored_holder_does_not_act_once_it_knows(self):
        """Another process may have acquired the lease in the meantime."""
        fleet = restore_lost_lease()
        holder, other = fleet.processes
        assert holder.service.holds()
        assert other.service.holds()
        holder.client.learn_era()
        assert not holder.service.holds()
        holder.run()
        assert fleet.holders() == [other]
        fleet.settle()

    def test_store_restored_unaware_holder_stops_at_the_end(self):
        fleet = restore_lost_lease()
        other = fleet.processes[1]
        for _ in range(9):
            other.run()
            fleet.advance(1)
        fleet.advance(1)
        assert fleet.holders() == [other]

    def test_store_restored_unaware_holder_cannot_renew(self):
        fleet = restore_lost_lease()
        holder, other = fleet.processes
        fleet.advance(1)
        other.run()
        holder.run()
        assert fleet.holders() == [other]

    def test_store_restored_free_lease_is_acquired_again(self):
        """The copy shows the lease as released by an earlier holder."""
        fleet = Fleet(2)
        first, second = fleet.processes
        first.run()
        first.service.release()
        second.run()
        before = second.token()
        fleet.store.restore(1)
        second.client.learn_era()
        second.run()
        assert second.token() > before

    def test_store_restored_lease_of_an_earlier_holder_is_left_to_it(self):
        fleet = Fleet(2)
        first, second = fleet.processes
        first.run()
        first.service.release()
        second.run()
        fleet.store.restore(2)
        second.client.learn_era()
        second.run()
        assert not second.service.holds()
        fleet.advance(6)
        second.run()
        assert not second.service.holds()
        fleet.advance(6)
        second.run()
        assert second.service.holds()

    def test_store_restored_older_record_counts_as_seen_anew(self):
        """A number given out again does not make a record look unchanged."""
        record = leases.LeaseRecord("other/1", 0 * SECOND, leases.DURATION)
        fleet = Fleet(2)
        store, waiting = fleet.store, fleet.processes[1]
        store.create(NAME, leases.encode_record(record))
        waiting.run()
        fleet.advance(8)
        store.restore(1)
        store.create(NAME, leases.encode_record(record._replace(holder="x")))
        waiting.run()
        fleet.advance(4)
        waiting.run()
        assert not waiting.service.holds()


MUTATED = [
    TestRestore.test_store_restored_lease_is_created_again_by_its_holder,
    TestRestore.test_store_restored_unaware_holder_cannot_renew,
    TestRestore.test_store_restored_older_record_counts_as_seen_anew,
]


class TestMutation:
    @pytest.mark.parametrize("test", MUTATED, ids=lambda test: test.__name__)
    def test_store_restored_versions_without_the_era_are_seen(
        self, test, monkeypatch
    ):
        monkeypatch.setattr(
            revisions, "create_revision", lambda _era, number: number
        )
        monkeypatch.setattr(revisions, "era_of", lambda _: revisions.MAX_ERA)
        with pytest.raises(AssertionError):
            test(TestRestore())


class RestoreMachine(stateful.RuleBasedStateMachine):
    """Three processes with pauses, lost, late and repeated writes."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(3)

    number = strategies.integers(0, 2)
    fault = strategies.sampled_from(
        ["answered", "not_taken", "lost_answer", "delayed", "repeated"]
    )

    @stateful.initialize(acquired=strategies.booleans())
    def begin(self, acquired):
        for process in self.fleet.processes[: 3 * acquired]:
            process.run()

    @stateful.rule(seconds=strategies.sampled_from([0.5, 1, 3, 5, 8, 12]))
    def time_passes(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(number=number)
    def run_undisturbed(self, number):
        self.fleet.processes[number].run()

    @stateful.rule(changes=strategies.integers(0, 4))
    def restore(self, changes):
        self.fleet.store.restore(changes)

    @stateful.rule(number=number)
    def learn_era(self, number):
        self.fleet.processes[number].client.learn_era()

    @stateful.rule(
        number=number,
        other=number,
        faults=strategies.lists(fault, max_size=3),
        events=strategies.lists(
            strategies.sampled_from(
                ["none", "pause", "restore", "other_runs", "other_and_restore"]
            ),
            max_size=4,
        ),
    )
    def run_disturbed(self, number, other, faults, events):
        """Run a process; events happen before and within its store calls."""
        fleet = self.fleet
        client = fleet.processes[number].client
        faults, events = iter(faults), iter(events)

        def happen():
            event = next(events, "none")
            if event == "pause":
                fleet.advance(4)
            if event == "other_and_restore" or event == "restore":
                fleet.store.restore(1)
            if event.startswith("other") and other != number:
                fleet.processes[other].run()
            fleet.check()

        def before():
            happen()
            client.fault = next(faults, "answered")

        client.before, client.after = before, happen
        fleet.processes[number].run()
        client.before = client.after = lambda: None
        client.fault = "answered"

    @stateful.rule(number=number)
    def late_writes_arrive(self, number):
        self.fleet.processes[number].client.apply_late()

    @stateful.invariant()
    def check(self):
        self.fleet.check()

    def teardown(self):
        self.fleet.settle()


RestoreMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=25
)


class TestStoreRestoredMachine(RestoreMachine.TestCase):
    """At most one holder acts under a token, and at most briefly undercut."""
