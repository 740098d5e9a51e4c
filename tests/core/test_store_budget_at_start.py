"""Object store calls when all processes restart or the store is restored.

Guards against a restart of the whole fleet, or a restore of the store, that
exceeds its limits of 2,000 reads and 300 writes a second for all callers
together. A watch counts as a read. The calls of the processes that forward are
in forwarding/test_budget_store_restored.py.
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

    def end_watch(self):
        """Make the next watch at once, as after a lost connection."""
        if "watch" in self.due:
            self.due["watch"] = self.clock.monotonic() - self.started

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


def create_store(clock=None):
    store = memory_store.create_memory_store(clock)
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


class Fleet:
    """All processes and their store, run in steps of a manual clock."""

    def __init__(self, monkeypatch):
        self.clock = manual_clock.create_manual_clock()
        self.store = create_store(self.clock)
        groups = [f"g{number}" for number in range(-(-ENGINES // GROUP_SIZE))]
        write_previous_state(self.store, groups)
        cache_verification(monkeypatch)
        self.per_tick = collections.deque(maxlen=4)
        self.processes = [
            Process(n, self.clock, self.store) for n in range(GATEWAYS)
        ]
        self.processes += [
            Process(
                GATEWAYS + n, self.clock, self.store, groups[n // GROUP_SIZE]
            )
            for n in range(ENGINES)
        ]

    def run(self, seconds, links=()):
        """Return the reads and writes of the busiest second.

        The links, if any, bring a heartbeat every second.
        """
        peak_rates = [0, 0]
        for tick in range(seconds * 4):
            self.store.calls.clear()
            if tick % 4 == 0:
                send_heartbeats(links)
            for process in self.processes:
                process.step()
            self.per_tick.append(count(self.store.calls))
            for kind in (0, 1):
                rate = sum(entry[kind] for entry in self.per_tick)
                peak_rates[kind] = max(peak_rates[kind], rate)
            self.clock.advance(TICK)
        return peak_rates

    def has_bundle(self):
        return all(process.bundles.current() for process in self.processes)


class TestAllProcesses:
    def test_rates_of_the_store(self, monkeypatch):
        """980 processes start at once and have no links for 10 s."""
        fleet = Fleet(monkeypatch)
        unlinked = fleet.run(10)
        open_links(fleet.processes)
        linked = fleet.run(SECONDS - 10)
        assert fleet.has_bundle()
        for reads, writes in (unlinked, linked):
            assert reads <= MAX_READS
            assert writes <= MAX_WRITES

    @pytest.mark.parametrize("age", [0, 5, 60])
    def test_rates_of_a_store_restored(self, monkeypatch, age):
        """The store returns from a copy that is some seconds old."""
        fleet = Fleet(monkeypatch)
        links = open_links(fleet.processes)
        fleet.run(30, links)
        fleet.store.restore_age(age * SECOND)
        for process in fleet.processes:
            process.end_watch()
        reads, writes = fleet.run(30, links)
        assert fleet.has_bundle()
        assert reads <= MAX_READS
        assert writes <= MAX_WRITES


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
    """Give each process links to two peers and the number of processes.

    Returns:
        The links, with the bundle service that each belongs to.
    """
    links = []
    for process in processes:
        process.bundles.set_process_count(PROCESSES)
        for peer in ("a", "b"):
            link = bundle_helpers.FakeLink(peer)
            process.bundles.on_open(link)
            links.append((process.bundles, link))
    send_heartbeats(links)
    return links


def send_heartbeats(links):
    heartbeat = messages.Heartbeat(1, 0, True, False)
    for bundles, link in links:
        bundles.on_heartbeat(link, heartbeat)


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
