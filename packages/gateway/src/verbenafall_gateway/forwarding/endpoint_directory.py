"""Directory of endpoints by service, from the platform's object store."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from verbenafall_core import endpoints
from verbenafall_core import event_log
from verbenafall_core.object_store import collection
from verbenafall_gateway.forwarding import event_catalogue

T = TypeVar("T")

# Time after an outage of the store in which endpoints renew entries that
# expired during the outage. The platform's documentation says "about two
# seconds"; this is less by the time within which requests to a leaving endpoint
# must stop.
REGISTRATION_GRACE_SECONDS: Final = 1.8

# Maximum number of leaving endpoints that are remembered, so that outdated
# updates about them from other gateways or the store have no effect. The oldest
# are dropped first.
MAX_LEAVING: Final = 2000


class Listed(NamedTuple, Generic[T]):
    """A value with its version in the store."""

    version: int
    value: T


class EndpointDirectory:
    """The endpoints that are listed in the store.

    Not thread-safe: call it on the event loop only.

    Attributes:
        listed: Endpoints by id, with the version of their entry.
        leaving: Endpoints that were removed or are draining, with the version
            of the entry that shows it. Reported to the other gateways.
        replaced: Endpoints whose address answers under another id, with the
            version of the outdated entry.
        leaving_changed: Called with the entries added to `leaving`.
        missing_until: Endpoints whose entry disappeared during an outage of
            the store, with the time until which they stay in use.
        by_service: Endpoints that accept requests, by service.
        loaded: Whether the store's list has been read.
    """

    def __init__(self) -> None:
        """Create an empty directory."""
        self.listed: dict[str, Listed[endpoints.Endpoint]] = {}
        self.leaving: dict[str, int] = {}
        self.replaced: dict[str, int] = {}
        self.leaving_changed: Callable[[dict[str, int]], None] | None = None
        self.missing_until: dict[str, float] = {}
        self.by_service: dict[str, list[endpoints.Endpoint]] = {}
        self.outage_ended_at: float | None = None
        self.loaded = False

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
        before = dict(self.leaving)
        self.loaded = True
        if after_outage:
            self.outage_ended_at = now
        for item in batch.items:
            if item.value is None:
                self.apply_missing(item.name, item.version, now)
            else:
                self.apply_listed(item.name, item.version, item.value)
        if complete:
            names = {item.name for item in batch.items if item.value}
            for name in list(self.listed):
                if name not in names:
                    self.apply_missing(name, batch.revision, now)
        self.rebuild()
        self.report_leaving(before)

    def report_leaving(self, before: dict[str, int]) -> None:
        """Report the leaving endpoints that are not in `before`."""
        while len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]
        added = {
            name: version
            for name, version in self.leaving.items()
            if before.get(name) != version
        }
        if added and self.leaving_changed is not None:
            self.leaving_changed(added)

    def merge_leaving(self, leaving: dict[str, int]) -> None:
        """Add leaving endpoints that another gateway has reported."""
        for name, version in leaving.items():
            known = self.listed.get(name)
            if known is None or known.version > version:
                continue
            if self.leaving.get(name, -1) < version:
                self.leaving[name] = version
                event_log.emit(
                    event_catalogue.ENDPOINT_UNLISTED,
                    endpoint=name,
                    version=version,
                    source="gateway",
                )
        self.rebuild()

    def mark_replaced(self, name: str) -> None:
        """Stop using an endpoint whose address answers under another id."""
        known = self.listed.get(name)
        if known is None or self.replaced.get(name) == known.version:
            return
        self.replaced[name] = known.version
        event_log.emit(
            event_catalogue.ENDPOINT_UNLISTED,
            endpoint=name,
            version=known.version,
            source="endpoint",
        )
        self.rebuild()

    def apply_listed(
        self, name: str, version: int, endpoint: endpoints.Endpoint
    ) -> None:
        """Add or update an endpoint unless a newer entry is known."""
        known = self.listed.get(name)
        if known is not None and known.version > version:
            return
        if self.leaving.get(name, -1) >= version and not endpoint.draining:
            return
        self.missing_until.pop(name, None)
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
        if endpoint.draining:
            self.leaving[name] = version

    def apply_missing(self, name: str, version: int, now: float) -> None:
        """Remove an endpoint whose entry is no longer in the store.

        Right after an outage of the store, an endpoint that is not draining
        stays in use until the grace period is over.
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
            self.missing_until.setdefault(
                name, outage_end + REGISTRATION_GRACE_SECONDS
            )
            return
        self.remove(name, version)

    def remove(self, name: str, version: int) -> None:
        """Remove an endpoint and mark it as leaving."""
        del self.listed[name]
        self.missing_until.pop(name, None)
        self.replaced.pop(name, None)
        self.leaving[name] = version
        event_log.emit(
            event_catalogue.ENDPOINT_UNLISTED,
            endpoint=name,
            version=version,
            source="store",
        )

    def expire(self, now: float) -> None:
        """Remove endpoints whose entry has not reappeared in time."""
        before = dict(self.leaving)
        late = [name for name, end in self.missing_until.items() if now >= end]
        for name in late:
            self.remove(name, self.listed[name].version)
        if late:
            self.rebuild()
            self.report_leaving(before)

    def rebuild(self) -> None:
        """Rebuild the index of the endpoints that accept requests."""
        by_service: dict[str, list[endpoints.Endpoint]] = {}
        for name, listed in self.listed.items():
            if (
                self.leaving.get(name, -1) < listed.version
                and self.replaced.get(name, -1) < listed.version
            ):
                by_service.setdefault(listed.value.service, []).append(
                    listed.value
                )
        self.by_service = by_service

    def usable(self, service: str) -> Iterable[endpoints.Endpoint]:
        """Return the endpoints of a service that accept requests."""
        return self.by_service.get(service, ())


def create_endpoint_directory() -> EndpointDirectory:
    """Create an empty directory."""
    return EndpointDirectory()
