"""Garbage collection of expired claims.

The store lists only the first objects of a prefix. When a listing is full, the
collector lists longer prefixes, so that it reaches all claims over time.
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

CLAIMS_PREFIX: Final = "claims/"
# All characters in claim names, in the order in which the store sorts them.
NAME_CHARACTERS: Final = "-/0123456789abcdefghijklmnopqrstuvwxyz"
# A claim takes up to 90 KB, and a listing must fit in one response.
LIST_LIMIT: Final = 50
MAX_LISTS_PER_PASS: Final = 4
PASS_INTERVAL: Final = datetime.timedelta(seconds=10)


class PassResult(NamedTuple):
    """Numbers of claims that one pass listed and removed."""

    listed: int
    removed: int


class ClaimCollector:
    """Removes expired claims while this process holds the collector lease."""

    def __init__(
        self,
        store: port.ObjectStore,
        clock: clock_lib.Clock,
        holds_lease: Callable[[], bool],
    ) -> None:
        """Create a collector that starts with the prefix of all claims."""
        self.store = store
        self.clock = clock
        self.holds_lease = holds_lease
        self.pending_prefixes: list[str] = []
        self.task = periodic.create_periodic_task(
            "claims-collector", PASS_INTERVAL, self.run_and_log_pass
        )

    def start(self) -> None:
        """Start to run passes periodically."""
        self.task.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop; wait up to the limit for a pass that is running."""
        self.task.stop(limit)

    def run_and_log_pass(self) -> None:
        """Run a pass and log it if it removed any claims."""
        result = self.run_pass()
        if result.removed:
            event_log.emit(event_catalogue.CLAIMS_COLLECTED, **result._asdict())

    def run_pass(self) -> PassResult:
        """List up to MAX_LISTS_PER_PASS prefixes and remove expired claims.

        The pass ends early when the lease is lost or a listing fails; the
        next pass starts with the prefix that could not be listed.
        """
        listed = removed = 0
        for _ in range(MAX_LISTS_PER_PASS):
            if not self.holds_lease():
                break
            prefix = (
                self.pending_prefixes.pop()
                if self.pending_prefixes
                else CLAIMS_PREFIX
            )
            result = self.store.list_objects(prefix, LIST_LIMIT)
            if not returns.pipeline.is_successful(result):
                self.pending_prefixes.append(prefix)
                break
            found = result.unwrap()
            listed += len(found)
            removed += sum(self.remove_if_expired(stored) for stored in found)
            self.pending_prefixes.extend(next_prefixes(prefix, found))
            if not self.pending_prefixes:
                break
        return PassResult(listed, removed)

    def remove_if_expired(self, stored: port.StoredObject) -> bool:
        """Remove an expired claim unless it changed after it was listed."""
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
    """Return the longer prefixes that cover what a full listing left out.

    They are in descending order, as the collector takes them from the end.
    """
    if len(found) < LIST_LIMIT:
        return []
    reached = found[-1].name[: len(prefix) + 1]
    longer = [prefix + character for character in NAME_CHARACTERS]
    return sorted((p for p in longer if p >= reached), reverse=True)


def create_claim_collector(
    store: port.ObjectStore,
    clock: clock_lib.Clock,
    holds_lease: Callable[[], bool],
) -> ClaimCollector:
    """Create a collector that starts with the prefix of all claims."""
    return ClaimCollector(store, clock, holds_lease)
