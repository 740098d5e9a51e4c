"""Measures how processes recover after the store is restored from a copy.

Runs in one process: the gateways' followers and own records and the leaders'
followers and term records are the real ones, each process with its own access
to a stand-in of the platform's store. The store is away for a second, and comes
back from an older copy. All processes but the leaders are gateways, which make
the most calls; in a fleet, most processes are sidecars that do not lead and
make none. Prints one JSON line per figure; times start at the return.

- term: until a group without a leader has one, which can then give orders. One
  sidecar claims the term; in a group, all do so, each at another time;
- records: until the store has the records of all gateways and leaders;
- followers: until every follower has read its collection from the copy;
- calls: calls in the busiest second after the return.
"""

import argparse
from collections.abc import Callable
import datetime
import itertools
import random
import sys
import threading
import time
from typing import Any
from typing import Final
from typing import NamedTuple

from loguru import logger
import returns.pipeline
import returns.result

import json_lines
from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import periodic
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import follower
from verbenafall_core.object_store import port
from verbenafall_core.object_store import records
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_gateway.forwarding import forwarder
from verbenafall_gateway.forwarding import own_record
from verbenafall_sidecar.steering import group_term
from verbenafall_sidecar.steering import leadership
from verbenafall_sidecar.steering import steering

SEED: Final = 20261204
PROCESS_COUNTS: Final = (3, 30, 100)
COPY_AGES: Final = (1.0, 5.0, 20.0)
# One leader for each group of 16 sidecars.
PROCESSES_PER_LEADER: Final = 16
AWAY_SECONDS: Final = 1.0
# Time between the return of the store and the next restore.
SECOND_RESTORE_SECONDS: Final = 0.5
UPTIME_SECONDS: Final = 2.0
CALL_SECONDS: Final = 0.003
POLL_SECONDS: Final = 0.01
TIMEOUT_SECONDS: Final = 20.0
GOALS: Final = {"term": 1.0, "records": 2.0, "followers": 1.0}
ENDPOINT_KIND: Final = "endpoints"
CONFIGURATION_KIND: Final = "configurations"
NO_WAIT: Final = datetime.timedelta()


class Change(NamedTuple):
    """A change to an object; the value is None if it was removed."""

    number: int
    name: str
    value: bytes | None
    made_at: float


class StandinStore:
    """Objects with a history, which can be away and be restored.

    Attributes:
        calls: Start of each call that the store served.
    """

    def __init__(self) -> None:
        """Create an empty store in its first era."""
        self.changed = threading.Condition()
        self.history: list[Change] = []
        self.objects: dict[str, Change] = {}
        self.era = 1
        self.away = False
        self.calls: list[float] = []

    def revision(self, number: int) -> int:
        """Return the revision of a number in the current era."""
        return revisions.create_revision(self.era, number)

    def newest(self) -> int:
        """Return the number of the latest change."""
        return self.history[-1].number if self.history else 0

    def change(self, name: str, value: bytes | None) -> Change:
        """Append a change; the caller holds the lock."""
        made = Change(self.newest() + 1, name, value, time.monotonic())
        self.history.append(made)
        self.objects[name] = made
        self.changed.notify_all()
        return made

    def leave(self) -> None:
        """Fail all calls from now on, also the watches that wait."""
        with self.changed:
            self.away = True
            self.changed.notify_all()

    def return_from_copy(self, age: float) -> float:
        """Return with the state of a time before the outage; return when."""
        with self.changed:
            copied_at = time.monotonic() - age
            self.history = [c for c in self.history if c.made_at <= copied_at]
            self.objects = {made.name: made for made in self.history}
            self.era += 1
            self.calls.clear()
            self.away = False
            return time.monotonic()


class Access:
    """The access of one process to the store; implements RecordStore."""

    def __init__(self, store: StandinStore) -> None:
        """Create an access that has made no call."""
        self.store = store
        self.era = store_era.create_store_era()

    def call(
        self, perform: Callable[[], returns.result.Result[Any, Any]]
    ) -> returns.result.Result[Any, Any]:
        """Make a call that the store serves unless it is away."""
        time.sleep(CALL_SECONDS)
        with self.store.changed:
            if self.store.away:
                return fail(port.FailureKind.UNAVAILABLE)
            self.store.calls.append(time.monotonic())
            result = perform()
            if self.store.away:
                return fail(port.FailureKind.UNCERTAIN)
            era = self.store.era
        self.era.observe(era)
        return result

    def read(self, name: str) -> port.ObjectResult:
        """Return an object; MISSING if it does not exist."""
        return self.call(lambda: self.find(name))

    def create(self, name: str, value: bytes) -> port.ObjectResult:
        """Create an object; CONFLICT if it exists."""
        return self.call(
            lambda: (
                fail(port.FailureKind.CONFLICT)
                if returns.pipeline.is_successful(self.find(name))
                else self.put(name, value)
            )
        )

    def update(
        self, name: str, value: bytes, expected_version: int
    ) -> port.ObjectResult:
        """Replace a value; CONFLICT if the version differs."""
        return self.call(
            lambda: (
                self.put(name, value)
                if self.find(name).map(lambda found: found.version)
                == returns.result.Success(expected_version)
                else fail(port.FailureKind.CONFLICT)
            )
        )

    def delete(self, name: str, expected_version: int) -> port.DeleteResult:
        """Delete an object; CONFLICT if the version differs."""
        del name, expected_version
        return fail(port.FailureKind.CONFLICT)

    def find(self, name: str) -> port.ObjectResult:
        """Return an object; the caller holds the lock."""
        made = self.store.objects.get(name)
        if made is None or made.value is None:
            return fail(port.FailureKind.MISSING)
        version = self.store.revision(made.number)
        return returns.result.Success(
            port.StoredObject(name, version, made.value)
        )

    def put(self, name: str, value: bytes) -> port.ObjectResult:
        """Write an object; the caller holds the lock."""
        self.store.change(name, value)
        return self.find(name)


class WatchedKind:
    """The objects of one kind; implements Collection."""

    def __init__(self, access: Access, kind: str) -> None:
        """Create a collection of the objects below a prefix."""
        self.access = access
        self.prefix = f"{kind}/"

    def read_all(self) -> collection.BatchResult[bytes]:
        """Return all objects."""
        store = self.access.store
        return self.access.call(
            lambda: self.batch(list(store.objects.values()))
        )

    def read_changes(
        self, revision: int, wait: datetime.timedelta
    ) -> collection.ChangesResult[bytes]:
        """Return changes after a revision; none if the wait ends first."""
        return self.access.call(lambda: self.watch(revision, wait))

    def watch(
        self, revision: int, wait: datetime.timedelta
    ) -> collection.ChangesResult[bytes]:
        """Wait for changes; the caller holds the lock."""
        store = self.access.store
        era, number = revisions.era_of(revision), revisions.number_of(revision)
        if era != store.era:
            return returns.result.Failure(collection.HistoryGone())
        store.changed.wait_for(
            lambda: store.away or self.changes_after(number),
            wait.total_seconds(),
        )
        return self.batch(self.changes_after(number))

    def changes_after(self, number: int) -> list[Change]:
        """Return the changes of the kind after a number."""
        recent = itertools.takewhile(
            lambda made: made.number > number,
            reversed(self.access.store.history),
        )
        return [made for made in recent if made.name.startswith(self.prefix)]

    def batch(self, changes: list[Change]) -> collection.BatchResult[bytes]:
        """Return changes of the kind as a batch."""
        store = self.access.store
        items = tuple(
            collection.Item(made.name, store.revision(made.number), made.value)
            for made in changes
            if made.name.startswith(self.prefix)
        )
        return returns.result.Success(
            collection.Batch(store.revision(store.newest()), items, ())
        )


def fail(kind: port.FailureKind) -> returns.result.Result[Any, Any]:
    """Return a failed call."""
    return returns.result.Failure(port.StoreFailure(kind, kind.value))


class ReadTimes:
    """Notes when a follower has read its collection in each era."""

    def __init__(self) -> None:
        """Create an object without a read."""
        self.by_era: dict[int, float] = {}

    def on_batch(
        self,
        batch: collection.Batch[bytes],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Note the time of a complete batch."""
        del after_outage
        if complete:
            era = revisions.era_of(batch.revision)
            self.by_era.setdefault(era, time.monotonic())

    def on_outage(self) -> None:
        """Keep the known objects."""


class Process:
    """The parts of one gateway, or of one leader, that call the store."""

    def __init__(
        self,
        store: StandinStore,
        name: str,
        count: int,
        is_leader: bool,
    ) -> None:
        """Create the parts without starting them."""
        self.access = Access(store)
        self.name = name
        self.is_leader = is_leader
        generator = random.Random(f"{SEED}/{name}")
        clock = clock_lib.system_clock()
        wait = leadership.WATCH_WAIT if is_leader else forwarder.WATCH_WAIT
        kinds = [ENDPOINT_KIND, records.GATEWAY_KIND]
        if not is_leader:
            kinds.append(CONFIGURATION_KIND)
        self.reads = [ReadTimes() for _ in kinds]
        self.followers = [
            follower.create_follower(
                kind,
                WatchedKind(self.access, kind),
                read,
                wait,
                generator,
                follower.spread_reads(
                    self.access.era, lambda: count, generator
                ),
                self.access.era,
                forwarder.RECORDS_PAUSE
                if kind == records.GATEWAY_KIND and not is_leader
                else follower.NO_DELAY,
            )
            for kind, read in zip(kinds, self.reads, strict=True)
        ]
        if is_leader:
            self.record_name = group_term.object_name(name)
            self.record_value = name.encode()
        else:
            address = addresses.Address("127.0.0.1", 1)
            self.own_record = own_record.OwnRecord(
                self.access,
                self.access.era,
                name,
                address,
                clock,
                lambda: count,
                generator,
            )
            self.record_name = self.own_record.name
            self.record_value = self.own_record.value
        self.clock = clock
        self.generator = generator
        self.term_task: periodic.PeriodicTask | None = None

    def start(self) -> None:
        """Start all threads; a leader acquires its term first."""
        if self.is_leader:
            self.start_leading()
        else:
            self.own_record.start()
        for item in self.followers:
            item.start()

    def start_leading(self) -> None:
        """Acquire the term and keep its record."""
        term = group_term.acquire_term(self.access, self.name, self.name)
        if isinstance(term, group_term.ClaimFailure):
            raise RuntimeError(f"{self.name}: no term: {term.value}")
        record = group_term.TermRecord(
            group_term.Claim(self.name, self.name, term),
            self.access,
            self.access.era,
            self.clock,
            self.generator,
        )
        self.term_task = periodic.create_periodic_task(
            "term-record",
            leadership.TERM_CHECK_INTERVAL,
            record.run_once,
            self.generator,
        )
        self.term_task.start()

    def stop(self) -> None:
        """Stop all threads without waiting."""
        for item in self.followers:
            item.stop(NO_WAIT)
        if self.term_task is not None:
            self.term_task.stop(NO_WAIT)
        if not self.is_leader:
            self.own_record.stopped.set()
            self.own_record.wakeup.set()

    def has_record(self) -> bool:
        """Return whether the store has this process's record."""
        made = self.access.store.objects.get(self.record_name)
        return made is not None and made.value == self.record_value

    def read_all_in(self, era: int) -> float | None:
        """Return when the last follower had read its collection in an era."""
        times = [read.by_era.get(era) for read in self.reads]
        found = [at for at in times if at is not None]
        return max(found) if len(found) == len(times) else None


class Claimant:
    """A sidecar of a group without a leader when the store goes away."""

    def __init__(self, store: StandinStore, generator: random.Random) -> None:
        """Create a claimant that is not started."""
        self.access = Access(store)
        self.generator = generator
        self.acquired_at: float | None = None
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Claim a term in the interval of the sidecars until it is there."""
        interval = steering.CLAIM_RETRY_INTERVAL.total_seconds()
        # The outage begins at any time between two claims.
        self.ended.wait(self.generator.uniform(0, interval))
        while not self.ended.is_set():
            term = group_term.acquire_term(self.access, "claimed", "claimant")
            if not isinstance(term, group_term.ClaimFailure):
                self.acquired_at = time.monotonic()
                return
            self.ended.wait(interval)


class Case(NamedTuple):
    """One run: processes, age of the copy, and number of restores."""

    processes: int
    copy_age: float
    restores: int

    @property
    def name(self) -> str:
        """Return the name of the case in the figures."""
        return (
            f"{self.processes} processes, copy {self.copy_age:g} s old,"
            f" {self.restores} restores"
        )


class Recovery(NamedTuple):
    """Times since the return of the store in seconds, and calls a second."""

    term: float
    records: float
    followers: float
    calls: int


def run_case(case: Case) -> Recovery:
    """Start all processes, restore the store, and measure the recovery."""
    store = StandinStore()
    with store.changed:
        for kind in (ENDPOINT_KIND, CONFIGURATION_KIND):
            store.change(f"{kind}/a", b"a")
        # Written long before the copy was made.
        store.history = [c._replace(made_at=0.0) for c in store.history]
        store.objects = {made.name: made for made in store.history}
    leaders = max(1, case.processes // PROCESSES_PER_LEADER)
    processes = [
        Process(store, f"p{number}", case.processes, number < leaders)
        for number in range(case.processes)
    ]
    claimant = Claimant(store, random.Random(f"{SEED}/{case.name}"))
    try:
        for process in processes:
            process.start()
        wait_until(lambda: all(p.has_record() for p in processes))
        time.sleep(UPTIME_SECONDS)
        returned_at = restore(store, claimant, case)
        return measure(store, processes, claimant, returned_at)
    finally:
        claimant.ended.set()
        for process in processes:
            process.stop()
        store.leave()


def restore(store: StandinStore, claimant: Claimant, case: Case) -> float:
    """Restore the store as often as the case says; return the last return."""
    returned_at = 0.0
    for number in range(case.restores):
        store.leave()
        if number == case.restores - 1:
            claimant.thread.start()
        time.sleep(AWAY_SECONDS)
        returned_at = store.return_from_copy(case.copy_age)
        if number < case.restores - 1:
            time.sleep(SECOND_RESTORE_SECONDS)
    return returned_at


def measure(
    store: StandinStore,
    processes: list[Process],
    claimant: Claimant,
    returned_at: float,
) -> Recovery:
    """Wait until everything has recovered, and return the figures."""
    records_at = wait_until(lambda: all(p.has_record() for p in processes))
    wait_until(
        lambda: all(p.read_all_in(store.era) is not None for p in processes)
    )
    wait_until(lambda: claimant.acquired_at is not None)
    followers_at = max(p.read_all_in(store.era) or 0.0 for p in processes)
    time.sleep(1.0)
    with store.changed:
        calls = list(store.calls)
    return Recovery(
        (claimant.acquired_at or 0.0) - returned_at,
        records_at - returned_at,
        followers_at - returned_at,
        count_busiest_second(calls),
    )


def wait_until(condition: Callable[[], bool]) -> float:
    """Wait for a condition and return when it was seen to hold.

    Raises:
        TimeoutError: It did not hold in time.
    """
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("the processes did not recover in time")
        time.sleep(POLL_SECONDS)
    return time.monotonic()


def count_busiest_second(calls: list[float]) -> int:
    """Return the largest number of calls within one second."""
    calls = sorted(calls)
    first = busiest = 0
    for last, at in enumerate(calls):
        while calls[first] <= at - 1.0:
            first += 1
        busiest = max(busiest, last - first + 1)
    return busiest


def print_recovery(case: Case, recovery: Recovery) -> None:
    """Print the figures of a case, with the goals as baselines."""
    for name, goal in GOALS.items():
        json_lines.print_figure(
            json_lines.create_figure(
                f"{name}, {case.name}",
                round(getattr(recovery, name), 3),
                "s",
                "goal",
                goal,
                SEED,
            )
        )
    json_lines.print_figure(
        json_lines.create_figure(
            f"calls, {case.name}", recovery.calls, "calls/s", "", 0.0, SEED
        )
    )


def main() -> int:
    """Run all cases, or those with the given number of processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, choices=PROCESS_COUNTS)
    options = parser.parse_args()
    logger.remove()
    counts = [options.processes] if options.processes else PROCESS_COUNTS
    for processes, age, restores in itertools.product(
        counts, COPY_AGES, (1, 2)
    ):
        case = Case(processes, age, restores)
        print_recovery(case, run_case(case))
    return 0


if __name__ == "__main__":
    sys.exit(main())
