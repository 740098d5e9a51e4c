"""Departures of endpoints, and which later entries show their return."""

from typing import NamedTuple

from verbenafall_core import endpoints
from verbenafall_core.object_store import revisions


class Departure(NamedTuple):
    """Evidence that an endpoint accepts no more requests.

    Attributes:
        version: Version of the entry, or of its removal, that shows it.
        started_at: Start of the endpoint in Unix milliseconds, None if it is
            not known which start departed.
        draining: Whether the endpoint itself reported it.
    """

    version: int
    started_at: int | None = None
    draining: bool = False


def is_later_start(start: int | None, previous: int | None) -> bool:
    """Return whether a start is known to be later than another one."""
    return start is not None and previous is not None and start > previous


def has_returned(
    departure: Departure,
    version: int,
    endpoint: endpoints.Endpoint,
    copied_until: int,
) -> bool:
    """Return whether an entry was written after a departure.

    Entries of a restored store get versions of its new era, also those that
    were copied before the departure. The `sequence` of an entry is no evidence:
    a report that changes nothing else raises it without a new version, so a
    copy may show a higher one than the last that was read.

    Args:
        departure: The departure.
        version: Version of the entry.
        endpoint: Value of the entry.
        copied_until: Version up to which entries may be copies; 0 if entries
            that are still there are known to be maintained by their engines.
    """
    if revisions.era_of(version) <= revisions.era_of(departure.version):
        return version > departure.version
    start, previous_start = endpoint.started_at, departure.started_at
    if start is not None and previous_start is not None:
        if start > previous_start:
            return True
        if start == previous_start and departure.draining:
            return False
    # The store gave out each number up to that of the copy once, so a higher
    # number than the departure's was given out after it.
    return version > copied_until or revisions.number_of(
        version
    ) > revisions.number_of(departure.version)
