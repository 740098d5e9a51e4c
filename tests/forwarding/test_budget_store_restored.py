"""Object store calls of all gateways after the store was restored.

Guards against a restore that exceeds the store's limits of 2,000 reads and 300
writes a second for all callers together. A watch counts as a read.
"""

import datetime
import heapq
import itertools
import random

import pytest
import returns.result

from verbenafall_core import addresses
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import follower
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_gateway.forwarding import forwarder
from verbenafall_gateway.forwarding import own_record
from verbenafall_sidecar.steering import group_term
from verbenafall_sidecar.steering import leadership
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

SECOND = datetime.timedelta(seconds=1)
# Gateways and engines of the design scale; each group of 16 has a leader, which
# follows the engines and the gateways.
GATEWAYS, ENGINES, LEADERS = 370, 610, 38
MAX_READS, MAX_WRITES = 2000, 300
WRITES = ("create", "update", "delete")
PAGE_ITEMS = 500
# The wait and the number of items of each followed collection.
FOLLOWED = {
    "configuration": (forwarder.WATCH_WAIT, 1),
    "endpoints": (forwarder.WATCH_WAIT, ENGINES),
    "gateways": (forwarder.RECORDS_WAIT, GATEWAYS),
}
LEADER_FOLLOWS = ("endpoints", "gateways")


class Schedule:
    """Runs tasks at their times on a manual clock."""

    def __init__(self, clock):
        self.clock = clock
        self.entries = []
        self.numbers = itertools.count()

    def add(self, delay, task):
        """Run a task after a delay; it returns the delay to its next run."""
        due = self.clock.monotonic() + delay
        heapq.heappush(self.entries, (due, next(self.numbers), task))

    def run(self, seconds):
        end = self.clock.monotonic() + seconds * SECOND
        while self.entries and self.entries[0][0] <= end:
            due, _, task = heapq.heappop(self.entries)
            self.clock.advance(due - self.clock.monotonic())
            delay = task()
            if delay is not None:
                self.add(delay, task)


class RestoredCollection:
    """A collection of one process, as its adapter returns it.

    Watches return at once; the caller simulates their wait.
    """

    def __init__(self, store, era, items):
        self.store, self.era = store, era
        self.pages = -(-items // PAGE_ITEMS)

    def read_all(self):
        for _ in range(self.pages):
            self.store.read("any/page")
        self.era.observe(self.store.era)
        version = revisions.create_revision(self.era.current, 50)
        return returns.result.Success(collection.Batch(version, (), ()))

    def read_changes(self, revision, wait):
        del wait
        if self.era.current <= revisions.era_of(revision):
            self.store.read("any/watch")
            self.era.observe(self.store.era)
        if self.era.current > revisions.era_of(revision):
            return returns.result.Failure(collection.HistoryGone())
        return returns.result.Success(collection.Batch(revision, (), ()))


class IgnoringListener:
    """Ignores what a follower reads."""

    def on_batch(self, batch, complete, after_outage):
        pass

    def on_outage(self):
        pass


class Process:
    """The calls of a gateway or leader that continue after a restore."""

    def __init__(self, number, store, schedule, names, has_record):
        self.schedule = schedule
        self.era = store_era.create_store_era()
        self.generator = random.Random(number)
        self.followers = [
            self.create_follower(store, name, *FOLLOWED[name]) for name in names
        ]
        for item in self.followers:
            item.run_once()
        self.client = memory_store.MemoryStoreClient(store, self.era)
        self.record = own_record.OwnRecord(
            self.client,
            self.era,
            f"g{number}",
            addresses.Address("10.0.0.1", number + 1),
            schedule.clock,
            lambda: GATEWAYS,
            self.generator,
        )
        if has_record:
            while self.record.run_once() is not None:
                pass
            self.era.listeners.append(
                lambda _era: schedule.add(0 * SECOND, self.record.run_once)
            )

    def lead(self, group):
        """Take the term of a group and keep its record in the store."""
        claim = group_term.Claim(
            group, group, group_term.acquire_term(self.client, group, group)
        )
        term = group_term.TermRecord(
            claim, self.client, self.era, self.schedule.clock, self.generator
        )

        def check():
            term.run_once()
            return leadership.TERM_CHECK_INTERVAL

        self.schedule.add(0 * SECOND, check)

    def create_follower(self, store, name, wait, items):
        return follower.create_follower(
            name,
            RestoredCollection(store, self.era, items),
            IgnoringListener(),
            wait,
            self.generator,
            follower.spread_reads(self.era, lambda: GATEWAYS, self.generator),
        )

    def call_after_outage(self):
        """Schedule the first calls, for which the followers wait as usual."""
        for item in self.followers:
            delay = self.generator.uniform(0, 1) * follower.MAX_RETRY_DELAY
            self.schedule.add(delay, lambda item=item: self.step(item))

    def step(self, item):
        was_watch = item.revision is not None
        if not item.run_once():
            return item.next_retry_delay()
        has_waited = was_watch and item.revision is not None
        return item.wait if has_waited else 0 * SECOND


def peak_rate(times):
    """Return the largest number of times within any second."""
    peak, start = 0, 0
    for end, time in enumerate(times):
        while times[start] <= time - SECOND:
            start += 1
        peak = max(peak, end + 1 - start)
    return peak


class TestAllProcesses:
    @pytest.mark.parametrize(
        "lost", [0, GATEWAYS + LEADERS], ids=["none", "all"]
    )
    def test_rates_of_a_store_restored(self, lost):
        """The copy has all records of gateways and leaders, or none."""
        clock = manual_clock.create_manual_clock()
        store = memory_store.create_memory_store(clock)
        schedule = Schedule(clock)
        processes = [
            Process(number, store, schedule, FOLLOWED, has_record=True)
            for number in range(GATEWAYS)
        ]
        processes += [
            Process(number, store, schedule, LEADER_FOLLOWS, has_record=False)
            for number in range(GATEWAYS, GATEWAYS + LEADERS)
        ]
        for number, process in enumerate(processes[GATEWAYS:]):
            process.lead(f"group{number}")
        store.calls.clear()
        reads, writes = [], []
        store.plan = lambda call: (
            writes if call.operation in WRITES else reads
        ).append(clock.monotonic())
        store.restore(lost)
        for process in processes:
            process.call_after_outage()
        schedule.run(20)
        assert len(store.objects) == GATEWAYS + LEADERS
        assert len(writes) == lost
        for process in processes:
            for item in process.followers:
                assert revisions.era_of(item.revision) == 2
        assert peak_rate(reads) <= MAX_READS
        assert peak_rate(writes) <= MAX_WRITES
