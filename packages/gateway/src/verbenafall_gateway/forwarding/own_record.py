"""Registers this gateway in the object store for discovery by its peers."""

import datetime
import threading
from typing import Final

import returns.pipeline

from verbenafall_core import addresses
from verbenafall_core import event_log
from verbenafall_core.object_store import port
from verbenafall_core.object_store import records
from verbenafall_gateway.forwarding import event_catalogue

RETRY_INTERVAL: Final = datetime.timedelta(milliseconds=500)


class OwnRecord:
    """Record in the object store that holds this gateway's link address.

    It is written at the start and deleted at a planned stop.

    Attributes:
        version: Version of the record in the store, 0 until it is written.
    """

    def __init__(
        self, store: port.RecordStore, name: str, address: addresses.Address
    ) -> None:
        """Create a record that is not written yet.

        Args:
            store: Where to write it.
            name: Name of this gateway.
            address: Address on which it accepts links from its peers.
        """
        self.store = store
        self.name = f"{records.GATEWAY_KIND}/{name}"
        self.value = str(address).encode()
        self.version = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="own-record", daemon=True
        )

    def start(self) -> None:
        """Write the record from a background thread, as the store may block."""
        self.thread.start()

    def stop(self) -> None:
        """Delete the record; after a failure the next start replaces it."""
        self.stopped.set()
        if not self.version:
            return
        result = self.store.delete(self.name, self.version)
        if not returns.pipeline.is_successful(result):
            event_log.emit(
                event_catalogue.OWN_RECORD_LEFT, error=result.failure().message
            )

    def run(self) -> None:
        """Retry until the record is written; log only the first failure."""
        failures = 0
        while not self.stopped.is_set():
            result = self.write()
            if returns.pipeline.is_successful(result):
                self.version = result.unwrap().version
                event_log.emit(
                    event_catalogue.OWN_RECORD_WRITTEN, version=self.version
                )
                return
            if failures == 0:
                event_log.emit(
                    event_catalogue.OWN_RECORD_FAILED,
                    error=result.failure().message,
                )
            failures += 1
            self.stopped.wait(RETRY_INTERVAL.total_seconds())

    def write(self) -> port.ObjectResult:
        """Create the record, or update the one from an earlier process."""
        found = self.store.read(self.name)
        if not returns.pipeline.is_successful(found):
            if found.failure().kind is port.FailureKind.MISSING:
                return self.store.create(self.name, self.value)
            return found
        stored = found.unwrap()
        if stored.value == self.value:
            return found
        return self.store.update(self.name, self.value, stored.version)
