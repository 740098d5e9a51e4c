"""Removes the records of gateways that are gone from the object store."""

import returns.pipeline

from verbenafall_core import addresses
from verbenafall_core import event_log
from verbenafall_core.object_store import port
from verbenafall_core.object_store import records
from verbenafall_gateway.forwarding import event_catalogue


class AbsentRecords:
    """Removes records of other gateways; blocks for the store's answers.

    Attributes:
        store: Holds the records.
    """

    def __init__(self, store: port.RecordStore) -> None:
        """Create a remover for the records in a store."""
        self.store = store

    def remove(self, gateway: str, address: addresses.Address) -> None:
        """Remove a record that still has an address, and log the result.

        A failure is not retried: the gateway stays absent and comes up again.
        """
        name = f"{records.GATEWAY_KIND}/{gateway}"
        found = self.store.read(name)
        if not returns.pipeline.is_successful(found):
            self.log(gateway, found.failure().message)
            return
        stored = found.unwrap()
        if stored.value != str(address).encode():
            self.log(gateway, "the gateway has another address now")
            return
        result = self.store.delete(name, stored.version)
        self.log(
            gateway,
            ""
            if returns.pipeline.is_successful(result)
            else result.failure().message,
        )

    def log(self, gateway: str, problem: str) -> None:
        """Log a removal, or why the record was not removed."""
        event_log.emit(
            event_catalogue.ABSENT_RECORD_REMOVED,
            gateway=gateway,
            problem=problem,
        )


def create_absent_records(store: port.RecordStore) -> AbsentRecords:
    """Create a remover for the records in a store."""
    return AbsentRecords(store)
