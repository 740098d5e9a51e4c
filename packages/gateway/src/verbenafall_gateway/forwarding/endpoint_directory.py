"""Directory of endpoints by service, from the platform's object store."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core import event_log
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import revisions
from verbenafall_gateway.forwarding import departures
from verbenafall_gateway.forwarding import event_catalogue

T = TypeVar("T")

# Time after an outage or a restore of the store in which endpoints renew
# entries that are missing. The platform's documentation says "about two
# seconds"; this is less by the time within which requests to a leaving endpoint
# must stop.
REGISTRATION_GRACE_SECONDS: Final = 1.8

# Time after a restore of the store in which the platform removes the copied
# entries of endpoints that send no reports: three intervals of reports, and as
# much again for longer intervals than usual.
COPIED_ENTRY_LAPSE_SECONDS: Final = 8.0

# Maximum number of leaving endpoints that are remembered, so that outdated
# updates about them from other gateways or the store have no effect. The oldest
# are dropped first.
MAX_LEAVING: Final = 2000

# Maximum number of names in a log line.
MAX_LOGGED_NAMES: Final = 20


class Listed(NamedTuple, Generic[T]):
    """A value with its version in the store."""

    version: int
    value: T


class Missing(NamedTuple):
    """A known endpoint whose entry is not in the store.

    Attributes:
        version: Revision of the store as of which the entry is missing.
        until: Time until which the endpoint stays in use.
    """

    version: int
    until: float


class EndpointDirectory:
    """The endpoints that are listed in the store.

    Not thread-safe: call it on the event loop only.

    Attributes:
        listed: Endpoints by id, with the version of their entry.
        leaving: Endpoints that were removed or are draining. Reported to the
            other gateways.
        stopping: Start of each endpoint that has said in an answer that it
            leaves, None if unknown. It holds until a later start is listed,
            whatever else its entry says. Reported to the other gateways.
        replaced: Endpoints whose address answers under another id, with the
            version of the outdated entry.
        leaving_changed: Called with the entries added to `leaving`.
        stopping_changed: Called with an entry added to `stopping`.
        missing: Endpoints whose entry disappeared during an outage of the
            store or is not in the copy from which the store was restored.
        by_service: Endpoints that accept requests, by service.
        loaded: Whether the store's list has been read.
        revision: Revision of the last batch, None before the first one.
        copied_until: Version up to which an entry may be a copy of an earlier
            state of the store, 0 if none is.
        copies_lapse_at: Time from which a copied entry that is still listed
            is maintained by its engine, None if that has passed.
        store_lost: Whether the last call to the store has failed.
        is_known_service: Returns whether a service exists. Entries of others
            come from other writers and say nothing of an address.
    """

    def __init__(self) -> None:
        """Create an empty directory."""
        self.listed: dict[str, Listed[endpoints.Endpoint]] = {}
        self.leaving: dict[str, departures.Departure] = {}
        self.stopping: dict[str, int | None] = {}
        self.replaced: dict[str, departures.Departure] = {}
        self.leaving_changed: Callable[[dict[str, int]], None] | None = None
        self.stopping_changed: (
            Callable[[dict[str, int | None]], None] | None
        ) = None
        self.missing: dict[str, Missing] = {}
        self.by_service: dict[str, list[endpoints.Endpoint]] = {}
        self.outage_ended_at: float | None = None
        self.loaded = False
        self.revision: int | None = None
        self.copied_until = 0
        self.copies_lapse_at: float | None = None
        self.store_lost = False
        self.is_known_service: Callable[[str], bool] = lambda _service: True

    def apply(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
        now: float,
    ) -> None:
        """Apply a batch of entries from the store.

        Args:
            batch: Changed entries, or all of them.
            complete: Whether the batch has all entries, so that endpoints
                which are not in it have been removed.
            after_outage: Whether this is the first batch after an outage.
            now: Current time in seconds.
        """
        reported = self.leaving_versions()
        previous = self.revision
        self.loaded = True
        self.store_lost = False
        self.track_copies(batch.revision, after_outage, now)
        for item in batch.items:
            if item.value is None:
                self.apply_missing(item.name, item.version, now)
            else:
                self.apply_listed(item.name, item.version, item.value, now)
        if complete:
            names = {item.name for item in batch.items if item.value}
            for name in list(self.listed):
                if name not in names:
                    self.apply_missing(name, batch.revision, now)
        self.forget_returned()
        self.rebuild()
        self.report_leaving(reported)
        if previous is not None and is_later_era(batch.revision, previous):
            self.log_restore(previous)

    def track_copies(
        self, revision: int, after_outage: bool, now: float
    ) -> None:
        """Update until when entries may be missing or outdated copies.

        The first batch of a process counts as one that may have copies: the
        other gateways may report departures that they saw before a restore.
        """
        known = self.revision
        self.revision = revision
        restored = known is not None and is_later_era(revision, known)
        if restored or after_outage:
            self.outage_ended_at = now
            until = now + REGISTRATION_GRACE_SECONDS
            for name, missing in self.missing.items():
                self.missing[name] = missing._replace(until=until)
        if restored or known is None:
            self.copied_until = revision
            self.copies_lapse_at = now + COPIED_ENTRY_LAPSE_SECONDS
        elif self.copies_lapse_at is not None:
            if after_outage:
                self.copies_lapse_at = now + COPIED_ENTRY_LAPSE_SECONDS
            elif now >= self.copies_lapse_at:
                self.copied_until = 0
                self.copies_lapse_at = None

    def mark_store_lost(self) -> None:
        """Keep endpoints without an entry until the store is back."""
        self.store_lost = True

    def leaving_versions(self) -> dict[str, int]:
        """Return the versions of the departures, by endpoint id."""
        return {
            name: departure.version
            for name, departure in dict(self.leaving).items()
        }

    def report_leaving(self, before: dict[str, int]) -> None:
        """Report the leaving endpoints that are not in `before`."""
        self.drop_oldest_departures()
        added = {
            name: version
            for name, version in self.leaving_versions().items()
            if before.get(name) != version
        }
        if added and self.leaving_changed is not None:
            self.leaving_changed(added)

    def drop_oldest_departures(self) -> None:
        """Limit the number of departures that are remembered."""
        while len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]
        while len(self.stopping) > MAX_LEAVING:
            del self.stopping[next(iter(self.stopping))]

    def merge_leaving(self, leaving: dict[str, int]) -> None:
        """Add leaving endpoints that another gateway has reported.

        Unknown endpoints are remembered, too: a restored store may list them
        again.
        """
        for name, version in leaving.items():
            recorded = self.leaving.get(name)
            if recorded is not None and recorded.version >= version:
                continue
            departure = departures.Departure(version)
            known = self.listed.get(name)
            if known is not None and departures.has_returned(
                departure, known.version, known.value, self.copied_until
            ):
                continue
            self.leaving[name] = departure
            if known is not None:
                event_log.emit(
                    event_catalogue.ENDPOINT_UNLISTED,
                    endpoint=name,
                    version=version,
                    source="gateway",
                )
        self.drop_oldest_departures()
        self.rebuild()

    def mark_stopping(self, endpoint: endpoints.Endpoint) -> None:
        """Stop using an endpoint that has said in an answer that it leaves."""
        lives = {endpoint.id: endpoint.started_at}
        if self.add_stopping(lives, "answer") and (
            self.stopping_changed is not None
        ):
            self.stopping_changed(lives)

    def merge_stopping(self, lives: dict[str, int | None]) -> None:
        """Add endpoints that have told another gateway that they leave.

        Args:
            lives: Start of each endpoint, by id.
        """
        self.add_stopping(lives, "gateway")

    def add_stopping(self, lives: dict[str, int | None], source: str) -> bool:
        """Stop using endpoints that leave; return whether one was added."""
        added = False
        for name, started_at in lives.items():
            if name in self.stopping and not departures.is_later_start(
                started_at, self.stopping[name]
            ):
                continue
            added = True
            self.stopping[name] = started_at
            known = self.listed.get(name)
            event_log.emit(
                event_catalogue.ENDPOINT_UNLISTED,
                endpoint=name,
                version=known.version if known is not None else 0,
                source=source,
            )
        if added:
            self.drop_oldest_departures()
            self.rebuild()
        return added

    def is_leaving(self, name: str) -> bool:
        """Return whether an endpoint is known to leave or to have left."""
        return name in self.leaving or name in self.stopping

    def mark_replaced(self, name: str) -> None:
        """Stop using an endpoint whose address answers under another id."""
        known = self.listed.get(name)
        if known is None:
            return
        departure = departures.Departure(known.version, known.value.started_at)
        if self.replaced.get(name) == departure:
            return
        self.replaced[name] = departure
        event_log.emit(
            event_catalogue.ENDPOINT_UNLISTED,
            endpoint=name,
            version=known.version,
            source="endpoint",
        )
        self.rebuild()

    def apply_listed(
        self, name: str, version: int, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """Add or update an endpoint unless a newer entry is known."""
        known = self.listed.get(name)
        if known is not None and known.version > version:
            return
        departure = self.leaving.get(name)
        if (
            departure is not None
            and departure.version >= version
            and not endpoint.draining
        ):
            return
        if known is not None and self.is_earlier_life(version, endpoint, known):
            self.apply_missing(name, version, now)
            return
        self.missing.pop(name, None)
        if known is None or known.value != endpoint:
            event_log.emit(
                event_catalogue.ENDPOINT_LISTED,
                endpoint=name,
                service=endpoint.service,
                address=endpoint.address,
                draining=endpoint.draining,
                version=version,
            )
        self.listed[name] = Listed(version, endpoint)
        if endpoint.draining and (
            departure is None or departure.version <= version
        ):
            self.leaving[name] = departures.Departure(
                version, endpoint.started_at, draining=True
            )

    def apply_missing(self, name: str, version: int, now: float) -> None:
        """Remove an endpoint whose entry is no longer in the store.

        Right after an outage or a restore of the store, an endpoint that is not
        draining stays in use until the grace period is over.
        """
        known = self.listed.get(name)
        if known is None or known.version > version:
            return
        outage_end = self.outage_ended_at
        if (
            outage_end is not None
            and now - outage_end < REGISTRATION_GRACE_SECONDS
            and not known.value.draining
        ):
            self.missing[name] = Missing(
                version, outage_end + REGISTRATION_GRACE_SECONDS
            )
            return
        self.remove(name, version)

    def remove(self, name: str, version: int) -> None:
        """Remove an endpoint and mark it as leaving."""
        endpoint = self.listed.pop(name).value
        self.missing.pop(name, None)
        self.replaced.pop(name, None)
        if endpoint.started_at is None:
            # Nothing else would show that another start is listed later.
            self.stopping.pop(name, None)
        previous = self.leaving.get(name)
        self.leaving[name] = departures.Departure(
            version,
            endpoint.started_at,
            draining=endpoint.draining
            or (
                previous is not None
                and previous.draining
                and previous.started_at == endpoint.started_at
            ),
        )
        event_log.emit(
            event_catalogue.ENDPOINT_UNLISTED,
            endpoint=name,
            version=version,
            source="store",
        )

    def expire(self, now: float) -> None:
        """Remove endpoints whose entry has not reappeared in time."""
        if self.store_lost:
            return
        reported = self.leaving_versions()
        late = [
            name for name, item in self.missing.items() if now >= item.until
        ]
        for name in late:
            self.remove(name, self.missing[name].version)
        if late:
            self.rebuild()
            self.report_leaving(reported)

    def forget_returned(self) -> None:
        """Forget the departures of endpoints that accept requests again."""
        for name in list(self.stopping):
            if name in self.listed and not self.has_said_to_leave(
                name, self.listed[name].value
            ):
                del self.stopping[name]
        for found in (self.leaving, self.replaced):
            for name in list(found):
                listed = self.listed.get(name)
                if listed is None or listed.value.draining:
                    continue
                departure = found[name]
                if not self.has_returned(departure, listed):
                    continue
                del found[name]
                if is_later_era(listed.version, departure.version):
                    event_log.emit(
                        event_catalogue.ENDPOINT_RETURNED,
                        endpoint=name,
                        version=listed.version,
                        departed=departure.version,
                    )

    def has_said_to_leave(
        self, name: str, endpoint: endpoints.Endpoint
    ) -> bool:
        """Return whether this start of an endpoint has said that it leaves."""
        return name in self.stopping and not departures.is_later_start(
            endpoint.started_at, self.stopping[name]
        )

    def has_returned(
        self,
        departure: departures.Departure,
        listed: Listed[endpoints.Endpoint],
    ) -> bool:
        """Return whether an entry was written after a departure."""
        return departures.has_returned(
            departure, listed.version, listed.value, self.copied_until
        )

    def is_earlier_life(
        self,
        version: int,
        endpoint: endpoints.Endpoint,
        known: Listed[endpoints.Endpoint],
    ) -> bool:
        """Return whether an entry is a copy from before the known start."""
        return (
            is_later_era(version, known.version)
            and version <= self.copied_until
            and endpoint.started_at is not None
            and known.value.started_at is not None
            and endpoint.started_at < known.value.started_at
        )

    def accepts_requests(
        self, name: str, listed: Listed[endpoints.Endpoint]
    ) -> bool:
        """Return whether an endpoint has not left, or has returned since."""
        return (
            not listed.value.draining
            and not self.has_said_to_leave(name, listed.value)
            and all(
                self.has_returned(found[name], listed)
                for found in (self.leaving, self.replaced)
                if name in found
            )
        )

    def latest_starts(self) -> dict[addresses.Address, int]:
        """Return the latest start of an endpoint at each address.

        The entry of an engine that crashed stays in the store for a while, also
        when another one has started at its address.
        """
        latest: dict[addresses.Address, int] = {}
        for listed in self.listed.values():
            endpoint = listed.value
            if endpoint.started_at is not None and self.is_known_service(
                endpoint.service
            ):
                latest[endpoint.address] = max(
                    endpoint.started_at, latest.get(endpoint.address, 0)
                )
        return latest

    def latest_start(self, endpoint: endpoints.Endpoint) -> int | None:
        """Return the start in the entry of an endpoint, None if unknown."""
        listed = self.listed.get(endpoint.id)
        return None if listed is None else listed.value.started_at

    def rebuild(self) -> None:
        """Rebuild the index of the endpoints that accept requests."""
        by_service: dict[str, list[endpoints.Endpoint]] = {}
        latest = self.latest_starts()
        for name, listed in self.listed.items():
            started_at = listed.value.started_at
            if started_at is not None and started_at < latest.get(
                listed.value.address, started_at
            ):
                continue
            if self.accepts_requests(name, listed):
                by_service.setdefault(listed.value.service, []).append(
                    listed.value
                )
        self.by_service = by_service

    def log_restore(self, previous: int) -> None:
        """Log what the first read of a restored store changed."""
        withheld = [
            name
            for name, listed in self.listed.items()
            if not listed.value.draining
            and name not in self.missing
            and not self.accepts_requests(name, listed)
        ]
        event_log.emit(
            event_catalogue.ENDPOINTS_RESTORED,
            era=revisions.era_of(self.revision or 0),
            before=previous,
            revision=self.revision,
            listed=len(self.listed),
            kept=format_names(list(self.missing)),
            withheld=format_names(withheld),
        )

    def is_usable(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint, or a later start, accepts requests."""
        return any(
            other.id == endpoint.id
            for other in self.by_service.get(endpoint.service, ())
        )

    def usable(self, service: str) -> Iterable[endpoints.Endpoint]:
        """Return the endpoints of a service that accept requests."""
        return self.by_service.get(service, ())


def is_later_era(revision: int, other: int) -> bool:
    """Return whether a revision is of a later era of the store."""
    return revisions.era_of(revision) > revisions.era_of(other)


def format_names(names: list[str]) -> str:
    """Return names for a log line; of many, the first and the number."""
    shown = ",".join(names[:MAX_LOGGED_NAMES])
    more = len(names) - MAX_LOGGED_NAMES
    return f"{shown} and {more} more" if more > 0 else shown


def create_endpoint_directory() -> EndpointDirectory:
    """Create an empty directory."""
    return EndpointDirectory()
