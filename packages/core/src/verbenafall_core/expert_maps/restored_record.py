"""Decides how a group record is written again after a restore; pure.

A restored store may have an earlier record of a group, or none. The ranks may
already have accepted orders of the record that is gone, so its epoch must not
be used again for other orders. An epoch therefore has the era of the store in
its high bits, like a version. A record that came back has a version of the new
era and an epoch of an earlier one: no orders are given under it until the lease
holder has written it again, with the newest content that any process knows.
"""

from collections.abc import Sequence

from verbenafall_core import messages
from verbenafall_core.expert_maps import coordinator
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import switch
from verbenafall_core.object_store import revisions


def needs_rewrite(stored: coordinator.Stored) -> bool:
    """Return whether a record was written in an earlier era than it has now."""
    return revisions.era_of(stored.record.epoch) < revisions.era_of(
        stored.version
    )


def is_in_force(stored: coordinator.Stored) -> bool:
    """Return whether orders may be given under a record.

    Epochs without an era are from a release or a store that has none; its
    processes give orders under them as well.
    """
    no_era = revisions.era_of(stored.record.epoch) == 0
    return no_era or not needs_rewrite(stored)


def mark_missing(stored: coordinator.Stored, era: int) -> coordinator.Stored:
    """Return a known record as one that the store lacks in an era."""
    return stored._replace(version=revisions.create_revision(era, 0))


def merge(
    known: coordinator.Stored | None, found: coordinator.Stored
) -> coordinator.Stored:
    """Return the newest version, with the newest content if it came back."""
    if known is None:
        return found
    newest, other = (
        (found, known) if found.version > known.version else (known, found)
    )
    if not needs_rewrite(newest):
        return newest
    if content_order(other.record) > content_order(newest.record):
        return newest._replace(record=other.record)
    return newest


def content_order(record: record_lib.MapRecord) -> tuple[int, bool, int, int]:
    """Return the order of contents written in earlier eras.

    A write that took effect after a restore can have the epoch of another
    record. A switch in progress has priority, as it can be completed but not
    cancelled.
    """
    switching = record.phase is record_lib.Phase.SWITCHING
    return (
        record.epoch,
        switching,
        record.boundary_step,
        record.target_version,
    )


def decide_rewrite(
    stored: coordinator.Stored,
    members: Sequence[messages.GroupMember],
    ranks: int,
) -> record_lib.MapRecord | None:
    """Return the record to write in place of one that came back.

    None until all ranks are claimed by sidecars that know of the restore, and
    so give no more orders under the record that they knew, and until that
    record has been received from them.
    """
    era = revisions.era_of(stored.version)
    if not switch.check_coverage(members, ranks).complete():
        return None
    if any(
        revisions.era_of(item.record_version) < era
        or item.record_epoch > stored.record.epoch
        for item in members
    ):
        return None
    record: record_lib.MapRecord | None = stored.record
    if any(item.epoch > stored.record.epoch for item in members):
        record = record_from_ranks(stored.record, members)
    if record is None:
        return None
    return record._replace(epoch=first_epoch(era))


def decide_first_record(
    members: Sequence[messages.GroupMember],
    ranks: int,
    allowed: frozenset[int],
    era: int,
) -> record_lib.MapRecord | None:
    """Return the first record of a group in an era, None if undecided.

    The ranks may be in a switch whose record is gone.
    """
    record = switch.decide_first_record(members, ranks, allowed)
    armed = any(item.armed_version for item in members)
    if armed and switch.check_coverage(members, ranks).complete():
        lowest = min(item.armed_version for item in members)
        record = record_from_ranks(record_lib.first_record(lowest), members)
    return record and record._replace(epoch=first_epoch(era))


def first_epoch(era: int) -> int:
    """Return the lowest epoch of an era."""
    return revisions.create_revision(era, record_lib.FIRST_EPOCH)


def record_from_ranks(
    record: record_lib.MapRecord, members: Sequence[messages.GroupMember]
) -> record_lib.MapRecord | None:
    """Return the record that the ranks' states show, if no process knows it.

    Once a rank is armed, others may have been released, which their states do
    not show; the switch is therefore completed.

    Returns:
        None while no rank is armed and the ranks use different maps: all of
        them have been released for the same step.
    """
    armed = [item for item in members if item.armed_version]
    in_use = {item.map_version for item in members} - {0}
    if armed:
        latest = max(armed, key=lambda item: item.armed_step)
        others = in_use - {latest.armed_version}
        if others:
            return record._replace(
                phase=record_lib.Phase.SWITCHING,
                map_version=min(others),
                target_version=latest.armed_version,
                boundary_step=latest.armed_step,
            )
    if len(in_use) > 1:
        return None
    # Above the steps of all orders that may still take effect.
    last_step = max(max(item.step, item.armed_step) for item in members)
    return record._replace(
        phase=record_lib.Phase.STABLE,
        map_version=next(iter(in_use), record.map_version),
        target_version=0,
        boundary_step=max(
            record.boundary_step, last_step + switch.MARGIN_STEPS
        ),
    )
