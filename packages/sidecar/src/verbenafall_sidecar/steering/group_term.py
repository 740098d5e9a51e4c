"""Takes the lead of a rank group by a conditional write to the store.

The version of the written object is the term, which engines and sidecars use
as fencing token. A term does not expire: a leader goes on while the store is
away, and ends when it hears of a higher term.
"""

import enum

import returns.pipeline

from verbenafall_core.object_store import port
from verbenafall_core.object_store import records


class Claim(enum.Enum):
    """How a claim ended when it did not succeed."""

    LOST = "lost"
    UNAVAILABLE = "unavailable"


def take_term(store: port.RecordStore, group: str, holder: str) -> int | Claim:
    """Write a new term; return it.

    Args:
        store: The object store.
        group: Name of the rank group.
        holder: Name of this claim, never used before.

    Returns:
        LOST when another process wrote meanwhile, or when the answer was
        lost: a write that takes effect later only raises the term again.
    """
    name = f"{records.TERM_KIND}/{group}"
    found = store.read(name)
    if returns.pipeline.is_successful(found):
        written = store.update(name, holder.encode(), found.unwrap().version)
    elif found.failure().kind is port.FailureKind.MISSING:
        written = store.create(name, holder.encode())
    else:
        return Claim.UNAVAILABLE
    if returns.pipeline.is_successful(written):
        return written.unwrap().version
    if written.failure().kind in (
        port.FailureKind.CONFLICT,
        port.FailureKind.UNCERTAIN,
    ):
        return Claim.LOST
    return Claim.UNAVAILABLE
