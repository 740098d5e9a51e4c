"""Selects the map of a group while this process holds the group's lease."""

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
from verbenafall_core.object_store import revisions

SELECTION_INTERVAL: Final = datetime.timedelta(seconds=60)
# At the weight store's rate, the largest map must load within this time.
PREPARE_TIMEOUT: Final = datetime.timedelta(minutes=30)
RETRY_INTERVAL: Final = datetime.timedelta(seconds=1)


class Stored(NamedTuple):
    """A group record and the version of its object in the store."""

    version: int
    record: record_lib.MapRecord


class Coordinator:
    """Selects maps and writes the group record.

    Not thread-safe.

    Attributes:
        last_record: Last record passed to observe(). Times are measured from
            then, so a new lease holder waits at least the dwell time.
        changed_at: Monotonic time when the phase was last seen to change.
        switched_at: Monotonic time when the map was last seen to change.
        stragglers: Ranks reported as slow by the last check.
        coverage: Result of the last check of which ranks are claimed.
    """

    def __init__(
        self, group: str, store: port.ObjectStore, clock: clock_lib.Clock
    ) -> None:
        """Create a coordinator that has not observed a record."""
        self.group = group
        self.store = store
        self.clock = clock
        self.last_record: record_lib.MapRecord | None = None
        self.changed_at = clock.monotonic()
        self.switched_at = clock.monotonic()
        self.next_selection = clock.monotonic()
        self.next_write = clock.monotonic()
        self.stragglers: tuple[int, ...] = ()
        self.coverage: switch.Coverage | None = None

    def observe(self, record: record_lib.MapRecord) -> None:
        """Store the newest record and when its phase and map changed."""
        now = self.clock.monotonic()
        if (
            self.last_record is None
            or record.phase is not self.last_record.phase
        ):
            self.changed_at = now
        if (
            self.last_record is None
            or record.map_version != self.last_record.map_version
        ):
            self.switched_at = now
        self.last_record = record

    def write_if_due(
        self,
        spec: model.GroupSpec,
        stored: Stored,
        view: switch.View,
        load: load_history.GroupLoad,
    ) -> Stored | None:
        """Write the next record if one is due and return it."""
        self.report_coverage(view)
        allowed = frozenset(item.version for item in spec.maps)
        wanted = 0
        if stored.record.phase is record_lib.Phase.STABLE:
            wanted = self.select(spec, stored.record, load)
        overdue = self.clock.monotonic() - self.changed_at > PREPARE_TIMEOUT
        record = switch.decide_write(view, wanted, allowed, overdue)
        if record is None or not self.may_write():
            return None
        return self.write(record, stored.version)

    def may_write(self) -> bool:
        """Return whether the delay after a failed write has passed."""
        return self.clock.monotonic() >= self.next_write

    def select(
        self,
        spec: model.GroupSpec,
        record: record_lib.MapRecord,
        load: load_history.GroupLoad,
    ) -> int:
        """Return the map to switch to, 0 for none, and log the decision.

        Decides once per SELECTION_INTERVAL, or at once when the current map
        is no longer allowed.
        """
        now = self.clock.monotonic()
        # A new bundle can drop the current map between two selections.
        forbidden = selection.find_map(spec, record.map_version) is None
        if now < self.next_selection and not (forbidden and spec.maps):
            return 0
        self.next_selection = now + SELECTION_INTERVAL
        inputs = selection.SelectionInput(
            record.map_version, load.history, now, self.switched_at
        )
        choice = selection.select(spec, inputs)
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
        """Write a record if the store still has the expected version.

        The record is created if the number of the version is 0.

        Returns:
            The record as stored, None after a failure; writes are then
            suspended for RETRY_INTERVAL.
        """
        name = record_lib.object_name(self.group)
        value = record_lib.encode(record)
        if revisions.number_of(expected_version):
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

    def report_coverage(self, view: switch.View) -> None:
        """Log the ranks not claimed exactly once, when they change."""
        coverage = switch.check_coverage(view.members(), view.ranks)
        if coverage != self.coverage and not coverage.complete():
            event_log.emit(
                event_catalogue.RANKS_UNCLAIMED,
                group=self.group,
                unclaimed=",".join(map(str, coverage.unclaimed)),
                duplicated=",".join(map(str, coverage.duplicated)),
            )
        self.coverage = coverage

    def report_stragglers(
        self,
        spec: model.GroupSpec,
        current: int,
        load: load_history.GroupLoad,
    ) -> None:
        """Log the ranks that are slow for their load, when they change."""
        if load.history.as_of is None:
            return
        shares = load_history.load_shares(load.history.load)
        found = selection.find_stragglers(
            spec, current, shares, load.rank_step_ms
        )
        if found and found != self.stragglers:
            event_log.emit(
                event_catalogue.STRAGGLER,
                group=self.group,
                ranks=",".join(map(str, found)),
            )
        self.stragglers = found


def load_age_seconds(
    history: load_history.LoadHistory, now: datetime.timedelta
) -> float:
    """Return the age of the newest load report, infinity if none."""
    if history.as_of is None:
        return float("inf")
    return (now - history.as_of).total_seconds()


def create_coordinator(
    group: str, store: port.ObjectStore, clock: clock_lib.Clock
) -> Coordinator:
    """Create a coordinator that has not observed a record."""
    return Coordinator(group, store, clock)
