"""Elects the leader of a rank group by a conditional write to the store.

The version of the written object is the term, which engines and sidecars use
as fencing token. A term does not expire: a leader keeps leading while the
store is unavailable, and steps down when it learns of a higher term.
"""

import enum

import returns.pipeline

from verbenafall_core.object_store import port
from verbenafall_core.object_store import records


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
    name = f"{records.TERM_KIND}/{group}"
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
