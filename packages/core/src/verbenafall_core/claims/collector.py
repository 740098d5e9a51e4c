"""Removal of claims that nobody will ask for any more.

The store lists only the first objects of a prefix. A listing that is full is
followed by listings of longer prefixes, so that all claims are seen in turn.
"""

from collections.abc import Callable
import datetime
from typing import Final
from typing import NamedTuple

import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import periodic
from verbenafall_core.claims import decisions
from verbenafall_core.claims import event_catalogue
from verbenafall_core.claims import record
from verbenafall_core.object_store import port

ROOT: Final = "claims/"
NAME_CHARACTERS: Final = "-/0123456789abcdefghijklmnopqrstuvwxyz"
# The largest claim takes 90 KB, and a listing must fit in one answer.
LIST_LIMIT: Final = 50
MAX_LISTS: Final = 4
PASS_INTERVAL: Final = datetime.timedelta(seconds=10)


class PassResult(NamedTuple):
    """What one pass has done."""

    listed: int
    removed: int


class ClaimCollector:
    """Removes old claims while this process is the holder of the lease."""

    def __init__(
        self,
        store: port.ObjectStore,
        clock: clock_lib.Clock,
        is_holder: Callable[[], bool],
    ) -> None:
        """Create a collector at the start of the claims."""
        self.store = store
        self.clock = clock
        self.is_holder = is_holder
        self.prefixes: list[str] = []
        self.task = periodic.create_periodic_task(
            "claims-collector", PASS_INTERVAL, self.run_pass_logged
        )

    def start(self) -> None:
        """Start passes at an interval."""
        self.task.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop after the pass that is running."""
        self.task.stop(limit)

    def run_pass_logged(self) -> None:
        """Run a pass and write a line when it removed anything."""
        result = self.run_pass()
        if result.removed:
            event_log.emit(event_catalogue.CLAIMS_COLLECTED, **result._asdict())

    def run_pass(self) -> PassResult:
        """List up to MAX_LISTS prefixes and remove the old claims in them."""
        listed = removed = 0
        for _ in range(MAX_LISTS):
            if not self.is_holder():
                break
            prefix = self.prefixes.pop() if self.prefixes else ROOT
            result = self.store.list_objects(prefix, LIST_LIMIT)
            if not returns.pipeline.is_successful(result):
                self.prefixes.append(prefix)
                break
            found = result.unwrap()
            listed += len(found)
            removed += sum(self.remove_if_old(stored) for stored in found)
            self.prefixes.extend(next_prefixes(prefix, found))
            if not self.prefixes:
                break
        return PassResult(listed, removed)

    def remove_if_old(self, stored: port.StoredObject) -> bool:
        """Remove a claim on the condition that it has not changed."""
        claim = record.decode(stored.value)
        if not returns.pipeline.is_successful(claim):
            return False
        if not decisions.is_expired(claim.unwrap(), self.clock.now()):
            return False
        result = self.store.delete(stored.name, stored.version)
        return returns.pipeline.is_successful(result)


def next_prefixes(
    prefix: str, found: tuple[port.StoredObject, ...]
) -> list[str]:
    """Return the prefixes that a full listing did not reach, last first."""
    if len(found) < LIST_LIMIT:
        return []
    reached = found[-1].name[: len(prefix) + 1]
    longer = [prefix + character for character in NAME_CHARACTERS]
    return sorted((p for p in longer if p >= reached), reverse=True)


def create_claim_collector(
    store: port.ObjectStore,
    clock: clock_lib.Clock,
    is_holder: Callable[[], bool],
) -> ClaimCollector:
    """Create a collector at the start of the claims."""
    return ClaimCollector(store, clock, is_holder)
