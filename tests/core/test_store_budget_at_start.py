"""Object store calls when all processes restart at once.

Guards against a restart of the whole fleet that exceeds the store's limits of
2,000 reads and 300 writes a second for all callers together. A watch counts as
a read.
"""

import collections
import datetime
import random

import pytest

import bundle_helpers
from expert_maps import group_model
from verbenafall_core import leases
from verbenafall_core import messages
from verbenafall_core import periodic
from verbenafall_core.bundles import service as bundle_service
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_sidecar.group import group_member
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

SECOND = datetime.timedelta(seconds=1)
TICK = SECOND / 4
GATEWAYS, ENGINES, GROUP_SIZE = 370, 610, 16
PROCESSES = GATEWAYS + ENGINES
MAX_READS, MAX_WRITES = 2000, 300
WRITES = ("create", "update", "delete")
SECONDS = 45


class Process:
    """The services of one process that call the store, run without threads."""

    def __init__(self, number, clock, store, group=""):
        self.clock, self.store = clock, store
        generator = random.Random(number)
        self.bundles = bundle_service.create_bundle_service(
            store,
            bundle_helpers.PUBLIC_KEYS,
            clock,
            generator=generator,
            start_spread=bundle_service.START_SPREAD,
        )
        self.started = clock.monotonic()
        self.due = {}
        if group:
            self.lease = leases.create_lease_service(
                store, clock, group, f"i{number}", generator
            )
            self.due["lease"] = self.lease.task.first_delay
            self.add_watch(group, generator)

    def add_watch(self, group, generator):
        """Add a group member that watches the record of its group."""
        self.member = group_member.create_group_member(
            group_model.Group(size=1)
            .members[0]
            .setup._replace(group=group, store=NonWaitingStore(self.store))
        )
        self.member.generator = generator
        spread = group_member.WATCH_START_SPREAD
        self.due["watch"] = generator.uniform(0, 1) * spread

    def step(self):
        self.bundles.poll_store()
        self.bundles.process_pushes()
        now = self.clock.monotonic() - self.started
        if now >= self.due.get("lease", now + SECOND):
            self.lease.run_once()
            delay = self.lease.task.next_delay()
            self.due["lease"] = now + delay * SECOND
        if now >= self.due.get("watch", now + SECOND):
            self.watch(now)

    def watch(self, now):
        """Make one watch; without a change, the next is due after the wait."""
        wait = self.member.spread(group_member.WATCH_WAIT)
        found = self.member.watch_once(wait)
        self.due["watch"] = now if found else now + wait


class NonWaitingStore:
    """A store whose watches return at once; the caller simulates the wait."""

    def __init__(self, store):
        self.store = store

    def watch(self, name, known_version, _wait):
        return self.store.watch(name, known_version, datetime.timedelta())


def create_store():
    store = memory_store.create_memory_store()
    bundle_helpers.put_bundle(store, bundle_helpers.signed())
    bundle_helpers.put_head(store, 1)
    return store


def count(calls):
    writes = sum(call.operation in WRITES for call in calls)
    return len(calls) - writes, writes


def write_previous_state(store, groups):
    """Write the records and leases that existed before the restart."""
    for group in groups:
        record = record_lib.encode(record_lib.first_record(1))
        store.create(record_lib.object_name(group), record)
        value = leases.encode_record(
            leases.LeaseRecord("gone", 0 * SECOND, leases.DURATION)
        )
        store.create(f"leases/{group}", value)


# Seconds after the start, and the maximum of reads and writes that one process
# may have made by then. No process has a link, so each reads the head every
# second.
PER_PROCESS = [
    ("gateway", "", 5, (5, 0)),
    ("engine", "g", 5, (9, 0)),
]


class TestOneProcess:
    @pytest.mark.parametrize(
        ("role", "group", "seconds", "max_calls"), PER_PROCESS
    )
    @pytest.mark.parametrize("seed", range(5))
    def test_calls_of_a_start(self, role, group, seconds, max_calls, seed):
        clock = manual_clock.create_manual_clock()
        store = create_store()
        write_previous_state(store, [group] if group else [])
        process = Process(seed, clock, store, group)
        store.calls.clear()
        for _ in range(seconds * 4):
            process.step()
            clock.advance(TICK)
        reads, writes = count(store.calls)
        assert reads <= max_calls[0]
        assert writes <= max_calls[1]
        assert process.bundles.current() is not None

    def test_few_processes_start_sooner(self):
        """The start delays of a large fleet must not apply to a small one."""
        clock = manual_clock.create_manual_clock()
        process = Process(1, clock, create_store())
        process.bundles.set_process_count(40)
        clock.advance(40 / bundle_service.MAX_STARTS_PER_SECOND * SECOND)
        process.step()
        assert process.bundles.current() is not None


class TestAllProcesses:
    def test_rates_of_the_store(self, monkeypatch):
        """980 processes start at once and have no links for 10 s."""
        clock = manual_clock.create_manual_clock()
        store = create_store()
        groups = [f"g{number}" for number in range(-(-ENGINES // GROUP_SIZE))]
        write_previous_state(store, groups)
        cache_verification(monkeypatch)
        processes = [Process(n, clock, store) for n in range(GATEWAYS)]
        processes += [
            Process(GATEWAYS + n, clock, store, groups[n // GROUP_SIZE])
            for n in range(ENGINES)
        ]
        per_tick = collections.deque(maxlen=4)
        peak_rates = [0, 0]
        for tick in range(SECONDS * 4):
            store.calls.clear()
            if tick == 4 * 10:
                open_links(processes)
            for process in processes:
                process.step()
            per_tick.append(count(store.calls))
            for kind in (0, 1):
                rate = sum(entry[kind] for entry in per_tick)
                peak_rates[kind] = max(peak_rates[kind], rate)
            clock.advance(TICK)
        assert all(process.bundles.current() for process in processes)
        assert peak_rates[0] <= MAX_READS
        assert peak_rates[1] <= MAX_WRITES


def cache_verification(monkeypatch):
    """Verify each signed text once; 980 times would take too long."""
    verify = bundle_service.records.verify
    verified = {}

    def verify_once(signed, keys):
        if signed not in verified:
            verified[signed] = verify(signed, keys)
        return verified[signed]

    monkeypatch.setattr(bundle_service.records, "verify", verify_once)


def open_links(processes):
    """Give each process links to two peers and the number of processes."""
    heartbeat = messages.Heartbeat(1, 0, True, False)
    for process in processes:
        process.bundles.set_process_count(PROCESSES)
        for peer in ("a", "b"):
            link = bundle_helpers.FakeLink(peer)
            process.bundles.on_open(link)
            process.bundles.on_heartbeat(link, heartbeat)


class TestJitter:
    @pytest.mark.parametrize(
        "draw_interval",
        [
            lambda task, _member: task.next_delay() / 2,
            lambda _task, member: member.spread(SECOND).total_seconds(),
        ],
        ids=["periodic_task", "group_watch"],
    )
    def test_intervals_are_spread(self, draw_interval):
        """Processes must not call the store in lockstep after an outage."""
        task = periodic.create_periodic_task("t", 2 * SECOND, lambda: None)
        member = group_model.Group(size=1).members[0]
        samples = [draw_interval(task, member) for _ in range(200)]
        assert all(0.75 <= value <= 1.25 for value in samples)
        assert len({round(value, 6) for value in samples}) > 100
