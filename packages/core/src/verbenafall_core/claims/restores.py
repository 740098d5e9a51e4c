"""Whether claims prove that a key has not run, after a restore of the store.

A store that is restored from an older copy loses claims. A lost claim looks
like a key that was never used, so an absent, void or sealed claim proves
nothing unless its key is confirmed in the store's current era.
"""

import datetime
import re
from typing import Final
from typing import NamedTuple
from typing import TypedDict

import msgspec
import returns.pipeline
import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import json_documents
from verbenafall_core.claims import event_catalogue
from verbenafall_core.claims import model
from verbenafall_core.object_store import port

# Outside the prefix of claims, so that no key has this name.
RECORD_NAME: Final = "claim-restores"
# A store in its first era, or one that states none, was never restored.
FIRST_ERA: Final = 1
_KEY_ERA: Final = re.compile(r"era-([1-9][0-9]{0,8})\.")


class Restore(NamedTuple):
    """The latest restore of the store.

    Attributes:
        era: The era that began with it.
        noticed_at: When a process first noticed it.
    """

    era: int
    noticed_at: datetime.datetime


class RestoreFields(TypedDict):
    """JSON object of a restore."""

    era: int
    noticed_at: datetime.datetime


def key_prefix(era: int) -> str:
    """Return how keys begin that a client made in an era."""
    return f"era-{era}."


def era_of_key(key: str) -> int:
    """Return the era in which a key states to have been made, 0 for none."""
    match = _KEY_ERA.match(key)
    return int(match[1]) if match else 0


def is_from_later_era(key: str, era: int) -> bool:
    """Return whether a key states an era that has not begun.

    Such a key never runs: it would count as new again when its era begins.
    """
    return era_of_key(key) > era


def is_confirmed_without_record(key: str, era: int) -> bool:
    """Return whether no claim of a key can have been lost by a restore."""
    if is_from_later_era(key, era):
        return False
    return era <= FIRST_ERA or era_of_key(key) == era


def is_over(restore: Restore, era: int, now: datetime.datetime) -> bool:
    """Return whether a restore began the era and no lost claim matters now."""
    return restore.era == era and now - restore.noticed_at > model.RETENTION


def encode(restore: Restore) -> bytes:
    """Return the JSON text that is stored for a restore."""
    fields = RestoreFields(era=restore.era, noticed_at=restore.noticed_at)
    return msgspec.json.encode(fields)


def decode(value: bytes) -> Restore | None:
    """Return the restore in a stored value; None if it is malformed."""
    try:
        fields = json_documents.decode(value, RestoreFields)
    except json_documents.JsonError:
        return None
    if fields["noticed_at"].tzinfo is None:
        return None
    return Restore(fields["era"], fields["noticed_at"])


class RestoreRecord:
    """The record of the latest restore in the object store.

    Attributes:
        known: The record as last read or written.
    """

    def __init__(self, store: port.RecordStore, clock: clock_lib.Clock) -> None:
        """Create an object that has not read the record."""
        self.store = store
        self.clock = clock
        self.known: Restore | None = None

    def find(self, era: int) -> Restore | None:
        """Return the restore that began an era; record it if it is new.

        None if the store failed or another process wrote at the same time.
        """
        known = self.known
        if known is not None and known.era >= era:
            return known
        self.known = self.read_or_write(era)
        return self.known

    def read_or_write(self, era: int) -> Restore | None:
        """Read the record; write it if it is absent or of an earlier era."""
        restore = Restore(era, self.clock.now())
        found = self.store.read(RECORD_NAME)
        if returns.pipeline.is_successful(found):
            stored = found.unwrap()
            recorded = decode(stored.value)
            if recorded is not None and recorded.era >= era:
                return recorded
            written = self.store.update(
                RECORD_NAME, encode(restore), stored.version
            )
        elif found.failure().kind is port.FailureKind.MISSING:
            written = self.store.create(RECORD_NAME, encode(restore))
        else:
            return None
        if not returns.pipeline.is_successful(written):
            return None
        event_log.emit(
            event_catalogue.CLAIMS_UNCONFIRMED,
            era=era,
            until=restore.noticed_at + model.RETENTION,
        )
        return restore


def create_restore_record(
    store: port.RecordStore, clock: clock_lib.Clock
) -> RestoreRecord:
    """Create an object that has not read the record."""
    return RestoreRecord(store, clock)
