"""Keeps the record by which other gateways find this one."""

import datetime
import threading
from typing import Final

import returns.pipeline

from verbenafall_core import addresses
from verbenafall_core import event_log
from verbenafall_core.object_store import port
from verbenafall_core.object_store import records
from verbenafall_gateway.forwarding import event_catalogue

RETRY: Final = datetime.timedelta(milliseconds=500)


class OwnRecord:
    """Writes the record at the start and deletes it at a planned stop."""

    def __init__(
        self, store: port.RecordStore, name: str, address: addresses.Address
    ) -> None:
        """Create a keeper of a record that is not yet written."""
        self.store = store
        self.name = f"{records.GATEWAY_KIND}/{name}"
        self.value = str(address).encode()
        self.version = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="own-record", daemon=True
        )

    def start(self) -> None:
        """Write the record on a thread of its own."""
        self.thread.start()

    def stop(self) -> None:
        """Delete the record; a failure leaves it for the next start."""
        self.stopped.set()
        if self.version:
            self.store.delete(self.name, self.version)

    def run(self) -> None:
        """Try until the record is written."""
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
            self.stopped.wait(RETRY.total_seconds())

    def write(self) -> port.ObjectResult:
        """Create the record, or replace that of an earlier process."""
        found = self.store.read(self.name)
        if not returns.pipeline.is_successful(found):
            if found.failure().kind is port.FailureKind.MISSING:
                return self.store.create(self.name, self.value)
            return found
        stored = found.unwrap()
        if stored.value == self.value:
            return found
        return self.store.update(self.name, self.value, stored.version)
