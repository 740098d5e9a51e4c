"""Steers the map of a group while this process holds the group's lease."""

import datetime
from typing import Final
from typing import NamedTuple

import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core.bundles import model
from verbenafall_core.expert_maps import event_catalogue
from verbenafall_core.expert_maps import load_history
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import selection
from verbenafall_core.expert_maps import switch
from verbenafall_core.object_store import port

SELECTION_INTERVAL: Final = datetime.timedelta(seconds=60)
# Longer than the largest map takes to load at the weight store's rate.
PREPARE_LIMIT: Final = datetime.timedelta(minutes=30)
RETRY_INTERVAL: Final = datetime.timedelta(seconds=1)


class Stored(NamedTuple):
    """A record with the version of its object in the store."""

    version: int
    record: record_lib.MapRecord


class Coordinator:
    """Selects maps and writes the group record.

    Not safe for use from several threads.

    Attributes:
        seen: Newest record that was passed in; times count from then, so a
            new holder of the lease waits at least the dwell time.
        changed_at: Monotonic time at which its phase was first seen.
        switched_at: Monotonic time at which its map was first seen.
        straggling: Ranks that were last found to be slow at equal load.
    """

    def __init__(
        self, group: str, store: port.ObjectStore, clock: clock_lib.Clock
    ) -> None:
        """Create a coordinator that knows nothing."""
        self.group = group
        self.store = store
        self.clock = clock
        self.seen: record_lib.MapRecord | None = None
        self.changed_at = clock.monotonic()
        self.switched_at = clock.monotonic()
        self.next_selection = clock.monotonic()
        self.next_write = clock.monotonic()
        self.straggling: tuple[int, ...] = ()
        self.gap: switch.Coverage | None = None

    def observe(self, record: record_lib.MapRecord) -> None:
        """Take note of the newest record and of when it changed."""
        now = self.clock.monotonic()
        if self.seen is None or record.phase is not self.seen.phase:
            self.changed_at = now
        if self.seen is None or record.map_version != self.seen.map_version:
            self.switched_at = now
        self.seen = record

    def write_if_due(
        self,
        spec: model.GroupSpec,
        stored: Stored,
        view: switch.View,
        load: load_history.GroupLoad,
    ) -> Stored | None:
        """Write the next record if one is due; return what was written."""
        self.report_gap(view)
        allowed = frozenset(item.version for item in spec.maps)
        wanted = 0
        if stored.record.phase is record_lib.Phase.STABLE:
            wanted = self.select(spec, stored.record, load)
        overdue = self.clock.monotonic() - self.changed_at > PREPARE_LIMIT
        record = switch.decide_write(view, wanted, allowed, overdue)
        if record is None or self.clock.monotonic() < self.next_write:
            return None
        return self.write(record, stored.version)

    def select(
        self,
        spec: model.GroupSpec,
        record: record_lib.MapRecord,
        load: load_history.GroupLoad,
    ) -> int:
        """Return the map to switch to, 0 for none; logs each decision."""
        now = self.clock.monotonic()
        # A new bundle can forbid the map in use between two selections.
        forbidden = selection.find_map(spec, record.map_version) is None
        if now < self.next_selection and not (forbidden and spec.maps):
            return 0
        self.next_selection = now + SELECTION_INTERVAL
        facts = selection.SelectionInput(
            record.map_version, load.history, now, self.switched_at
        )
        choice = selection.select(spec, facts)
        self.report_stragglers(spec, record.map_version, load)
        event_log.emit(
            event_catalogue.MAP_DECISION,
            group=self.group,
            epoch=record.epoch,
            current=record.map_version,
            chosen=choice.version,
            reason=choice.reason,
            candidate=choice.candidate,
            current_skew=choice.current_skew,
            candidate_skew=choice.candidate_skew,
            moved=choice.moved,
            in_use_s=(now - self.switched_at).total_seconds(),
            load_age_s=load_age_seconds(load.history, now),
        )
        return 0 if choice.version == record.map_version else choice.version

    def write(
        self, record: record_lib.MapRecord, expected_version: int
    ) -> Stored | None:
        """Write a record over a version; 0 creates it."""
        name = record_lib.object_name(self.group)
        value = record_lib.encode(record)
        if expected_version:
            result = self.store.update(name, value, expected_version)
        else:
            result = self.store.create(name, value)
        if returns.pipeline.is_successful(result):
            event_log.emit(
                event_catalogue.RECORD_WRITTEN,
                group=self.group,
                **record._asdict(),
            )
            return Stored(result.unwrap().version, record)
        self.next_write = self.clock.monotonic() + RETRY_INTERVAL
        event_log.emit(
            event_catalogue.RECORD_NOT_WRITTEN,
            group=self.group,
            epoch=record.epoch,
            phase=record.phase,
            cause=result.failure().kind,
        )
        return None

    def report_gap(self, view: switch.View) -> None:
        """Log ranks that are not claimed once, when they change."""
        gap = switch.check_coverage(view.members(), view.ranks)
        if gap != self.gap and not gap.complete():
            event_log.emit(
                event_catalogue.RANKS_UNCLAIMED,
                group=self.group,
                unclaimed=",".join(map(str, gap.unclaimed)),
                doubled=",".join(map(str, gap.doubled)),
            )
        self.gap = gap

    def report_stragglers(
        self,
        spec: model.GroupSpec,
        current: int,
        load: load_history.GroupLoad,
    ) -> None:
        """Log slow ranks when they change."""
        if load.history.as_of is None:
            return
        shares = load_history.load_shares(load.history.load)
        found = selection.find_stragglers(
            spec, current, shares, load.rank_step_ms
        )
        if found and found != self.straggling:
            event_log.emit(
                event_catalogue.STRAGGLER,
                group=self.group,
                ranks=",".join(map(str, found)),
            )
        self.straggling = found


def load_age_seconds(
    history: load_history.LoadHistory, now: datetime.timedelta
) -> float:
    """Return the age of the newest load, infinite without any."""
    if history.as_of is None:
        return float("inf")
    return (now - history.as_of).total_seconds()


def create_coordinator(
    group: str, store: port.ObjectStore, clock: clock_lib.Clock
) -> Coordinator:
    """Create a coordinator that knows nothing."""
    return Coordinator(group, store, clock)
