"""Writes the head and texts of bundles again after a restore of the store.

The versions in a head never decrease, so a head that is older than what a
process knows is from a store that was restored from an older copy, or was read
before a later change. In the second case the conditional update fails.
"""

from collections.abc import Mapping

import returns.result

from verbenafall_core import event_log
from verbenafall_core.bundles import event_catalogue
from verbenafall_core.bundles import model
from verbenafall_core.bundles import records
from verbenafall_core.object_store import port


def merge_heads(stored: records.Head, known: records.Head) -> records.Head:
    """Return the newest accepted and pending versions of two heads."""
    accepted = max(stored.accepted, known.accepted)
    pending = max(stored.pending, known.pending)
    return records.Head(accepted, pending if pending > accepted else 0)


def find_newer_head(
    stored: records.Head, known: records.Head
) -> records.Head | None:
    """Return the head to write, or None if the stored one is as new."""
    merged = merge_heads(stored, known)
    return None if merged == merge_heads(stored, stored) else merged


class HeadRepair:
    """Writes a newer head, after the texts of its versions."""

    def __init__(self, store: port.RecordStore) -> None:
        """Create an object that has written nothing."""
        self.store = store

    def write(
        self,
        newer: records.Head,
        object_version: int,
        texts: Mapping[int, model.SignedBundle],
    ) -> bool:
        """Write a head and the texts of its versions; return whether it was.

        Nothing is written without the text of the newest version.

        Args:
            newer: The head to write.
            object_version: Version of the head's object, 0 if there is none.
            texts: Verified texts by version.
        """
        if max(newer) not in texts:
            return False
        for version in newer:
            if version in texts and not self.write_text(texts[version]):
                return False
        value = records.encode_head(newer)
        if object_version:
            written = self.store.update(
                records.HEAD_NAME, value, object_version
            )
        else:
            written = self.store.create(records.HEAD_NAME, value)
        if not isinstance(written, returns.result.Success):
            return False
        event_log.emit(
            event_catalogue.BUNDLE_HEAD_WRITTEN_AGAIN,
            accepted=newer.accepted,
            pending=newer.pending,
        )
        return True

    def write_text(self, signed: model.SignedBundle) -> bool:
        """Create the object of a version; return whether it has this text."""
        name = records.bundle_name(signed.version)
        created = self.store.create(name, records.encode_bundle(signed))
        if isinstance(created, returns.result.Success):
            return True
        if created.failure().kind is not port.FailureKind.CONFLICT:
            return False
        read = self.store.read(name)
        if not isinstance(read, returns.result.Success):
            return False
        stored = records.decode_bundle(signed.version, read.unwrap().value)
        if stored.value_or(None) == signed:
            return True
        event_log.emit(
            event_catalogue.BUNDLE_NUMBER_REUSED, version=signed.version
        )
        return False


def create_head_repair(store: port.RecordStore) -> HeadRepair:
    """Create an object that has written nothing."""
    return HeadRepair(store)
