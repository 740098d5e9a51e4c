"""Elects the leader of a rank group by a conditional write to the store.

The version of the written object is the term, which engines and sidecars use
as fencing token. A term does not expire: a leader keeps leading while the
store is unavailable, and steps down when it learns of a higher term.

A restored store may lack the record of a leader or have an earlier one. The
leader keeps its term, below which no later claim can fall, as the version of
each later write has a higher era. It only writes the record again.
"""

import datetime
import enum
import random
from typing import Final
from typing import NamedTuple

import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core.object_store import port
from verbenafall_core.object_store import records
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era

# After a restore, all leaders write within this time.
REWRITE_SPREAD: Final = datetime.timedelta(seconds=1.5)
REWRITE_RETRY_INTERVAL: Final = datetime.timedelta(seconds=1)


class Claim(NamedTuple):
    """A term that a process has acquired.

    Attributes:
        group: Name of the rank group.
        holder: Unique name of the attempt, the value of the record.
    """

    group: str
    holder: str
    term: int


class ClaimFailure(enum.Enum):
    """Why no term was acquired."""

    LOST = "lost"
    UNAVAILABLE = "unavailable"


def acquire_term(
    store: port.RecordStore, group: str, holder: str
) -> int | ClaimFailure:
    """Try to become the leader; return the new term.

    Args:
        store: The object store.
        group: Name of the rank group.
        holder: Unique name of this attempt.

    Returns:
        The term, or LOST when another process wrote first or the answer to
        the write did not arrive: a write that takes effect late only raises
        the term again. UNAVAILABLE when the store failed otherwise.
    """
    name = object_name(group)
    found = store.read(name)
    if returns.pipeline.is_successful(found):
        written = store.update(name, holder.encode(), found.unwrap().version)
    elif found.failure().kind is port.FailureKind.MISSING:
        written = store.create(name, holder.encode())
    else:
        return ClaimFailure.UNAVAILABLE
    if returns.pipeline.is_successful(written):
        return written.unwrap().version
    if written.failure().kind in (
        port.FailureKind.CONFLICT,
        port.FailureKind.UNCERTAIN,
    ):
        return ClaimFailure.LOST
    return ClaimFailure.UNAVAILABLE


def rewrite_term(store: port.RecordStore, claim: Claim) -> bool:
    """Write the record of a term again if the store has another one or none.

    The version of this write is not used as a term.

    Returns:
        Whether no further attempt is needed: the record is there, or another
        process wrote first.
    """
    name, value = object_name(claim.group), claim.holder.encode()
    found = store.read(name)
    if returns.pipeline.is_successful(found):
        stored = found.unwrap()
        if stored.value == value:
            return True
        written = store.update(name, value, stored.version)
    elif found.failure().kind is port.FailureKind.MISSING:
        written = store.create(name, value)
    else:
        return False
    return (
        returns.pipeline.is_successful(written)
        or written.failure().kind is port.FailureKind.CONFLICT
    )


def object_name(group: str) -> str:
    """Return the name of the term record of a rank group."""
    return f"{records.TERM_KIND}/{group}"


class TermRecord:
    """Keeps the record of a term in the store across restores.

    Attributes:
        written_era: Era of the store in which the record was last written.
        pending_era: Newest era for which a write is due.
        due: When to write next.
    """

    def __init__(
        self,
        claim: Claim,
        store: port.RecordStore,
        era: store_era.StoreEra,
        clock: clock_lib.Clock,
        generator: random.Random,
    ) -> None:
        """Create an object for a term that was just acquired."""
        self.claim = claim
        self.store = store
        self.era = era
        self.clock = clock
        self.generator = generator
        self.written_era = revisions.era_of(claim.term)
        self.pending_era = self.written_era
        self.due = datetime.timedelta()

    def run_once(self) -> None:
        """Write the record if the store was restored and the time has come."""
        era = self.era.current
        if era <= self.written_era:
            return
        now = self.clock.monotonic()
        if era != self.pending_era:
            self.pending_era = era
            self.due = now + self.generator.uniform(0, 1) * REWRITE_SPREAD
        if now < self.due:
            return
        if rewrite_term(self.store, self.claim):
            self.written_era = era
        else:
            self.due = now + REWRITE_RETRY_INTERVAL
