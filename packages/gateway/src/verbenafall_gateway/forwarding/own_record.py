"""Registers this gateway in the object store for discovery by its peers."""

from collections.abc import Callable
import datetime
import random
import threading
from typing import Final

import returns.pipeline

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core.object_store import port
from verbenafall_core.object_store import records
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_gateway.forwarding import event_catalogue

RETRY_INTERVAL: Final = datetime.timedelta(milliseconds=500)
# All gateways write their records again after a restore of the store. Their
# common rate is a third of what the store accepts from all processes.
MAX_REWRITES_PER_SECOND: Final = 100
# Longest wait of a stop for the current call and for the deletion.
STOP_LIMIT: Final = datetime.timedelta(seconds=2)


class OwnRecord:
    """Record in the object store that holds this gateway's link address.

    It is written at the start, written again if it was removed or a restored
    store has another value, and deleted at a planned stop. All calls are made
    on a thread of its own, as the store may block.

    Attributes:
        version: Version of the record in the store, 0 until it is written.
    """

    def __init__(
        self,
        store: port.RecordStore,
        era: store_era.StoreEra,
        name: str,
        address: addresses.Address,
        clock: clock_lib.Clock,
        gateway_count: Callable[[], int],
        generator: random.Random,
    ) -> None:
        """Create a record that is not written yet.

        Args:
            store: Where to write it.
            era: The store's era.
            name: Name of this gateway.
            address: Address on which it accepts links from its peers.
            clock: Time source of the delays.
            gateway_count: Returns the number of gateways, over which the
                writes after a restore are spread.
            generator: Source of the random delays.
        """
        self.store = store
        self.era = era
        self.name = f"{records.GATEWAY_KIND}/{name}"
        self.value = str(address).encode()
        self.clock = clock
        self.gateway_count = gateway_count
        self.generator = generator
        self.version = 0
        self.delayed_era = 0
        self.due = datetime.timedelta()
        self.failure_logged = False
        self.stopped = threading.Event()
        self.wakeup = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="own-record", daemon=True
        )
        era.listeners.append(lambda _era: self.wakeup.set())

    def start(self) -> None:
        """Write the record from a background thread."""
        self.thread.start()

    def stop(self) -> None:
        """Delete the record; after a failure the next start replaces it."""
        self.stopped.set()
        self.wakeup.set()
        self.thread.join(STOP_LIMIT.total_seconds())

    def run(self) -> None:
        """Write the record at the start and after each restore."""
        while not self.stopped.is_set():
            delay: datetime.timedelta | None = RETRY_INTERVAL
            try:
                delay = self.run_once()
            except Exception as error:  # The thread must survive any error.
                event_log.emit(
                    event_catalogue.OWN_RECORD_FAILED, error=repr(error)
                )
            self.wakeup.wait(None if delay is None else delay.total_seconds())
            self.wakeup.clear()
        self.delete()

    def run_once(self) -> datetime.timedelta | None:
        """Write the record if that is due.

        Returns:
            The time until the next call is due; None for the next restore.
        """
        if self.is_current():
            return None
        now = self.clock.monotonic()
        era = self.era.current
        if self.version and era != self.delayed_era:
            self.delayed_era = era
            self.due = now + self.draw_delay()
        if now < self.due:
            return self.due - now
        result = self.write()
        if returns.pipeline.is_successful(result):
            self.version = result.unwrap().version
            self.failure_logged = False
            event_log.emit(
                event_catalogue.OWN_RECORD_WRITTEN,
                version=self.version,
                era=revisions.era_of(self.version),
            )
            return datetime.timedelta()
        if not self.failure_logged:
            self.failure_logged = True
            event_log.emit(
                event_catalogue.OWN_RECORD_FAILED,
                error=result.failure().message,
            )
        self.due = now + RETRY_INTERVAL * self.generator.uniform(1, 2)
        return self.due - now

    def record_missing(self, revision: int) -> None:
        """Write the record again if it was removed by a revision.

        Another gateway removes it if it cannot reach this one. Callable on any
        thread.
        """
        if 0 < self.version <= revision:
            self.version = 0
            self.wakeup.set()

    def is_current(self) -> bool:
        """Return whether the record was written in the store's era."""
        return (
            self.version > 0
            and revisions.era_of(self.version) >= self.era.current
        )

    def draw_delay(self) -> datetime.timedelta:
        """Return a random delay that spreads the writes of all gateways."""
        seconds = self.gateway_count() / MAX_REWRITES_PER_SECOND
        return datetime.timedelta(seconds=self.generator.uniform(0, seconds))

    def write(self) -> port.ObjectResult:
        """Create the record, or update another value, if it is not there."""
        found = self.store.read(self.name)
        if not returns.pipeline.is_successful(found):
            if found.failure().kind is port.FailureKind.MISSING:
                return self.store.create(self.name, self.value)
            return found
        stored = found.unwrap()
        if stored.value == self.value:
            return found
        return self.store.update(self.name, self.value, stored.version)

    def delete(self) -> None:
        """Delete the record, also a copy of it in a restored store."""
        if not self.version:
            return
        if self.is_current():
            result = self.store.delete(self.name, self.version)
            if returns.pipeline.is_successful(result):
                return
            # The response itself may be the first of a new era.
            if self.is_current():
                self.log_deletion_failure(result.failure())
                return
        found = self.store.read(self.name)
        if not returns.pipeline.is_successful(found):
            if found.failure().kind is not port.FailureKind.MISSING:
                self.log_deletion_failure(found.failure())
            return
        stored = found.unwrap()
        if stored.value != self.value:
            return
        result = self.store.delete(self.name, stored.version)
        if not returns.pipeline.is_successful(result):
            self.log_deletion_failure(result.failure())

    def log_deletion_failure(self, failure: port.StoreFailure) -> None:
        """Log that the record stays in the store."""
        event_log.emit(
            event_catalogue.OWN_RECORD_NOT_DELETED, error=failure.message
        )
