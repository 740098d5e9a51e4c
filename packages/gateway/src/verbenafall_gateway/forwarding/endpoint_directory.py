"""Endpoints by service, as listed by the platform; event loop only."""

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

# Seconds after the store's return in which entries that lapsed during its
# absence are written again; "about two seconds" in the platform's pages, less
# the bound within which a leaving endpoint must get no more requests.
REGISTRATION_GRACE_SECONDS: Final = 1.8


# Endpoints that left and are remembered, so that old words about them from
# other gateways or the store change nothing; the oldest are forgotten first.
MAX_LEAVING: Final = 2000


class Listed(NamedTuple, Generic[T]):
    """A value with the store's version of it."""

    version: int
    value: T


class EndpointDirectory:
    """The listed endpoints.

    Attributes:
        leaving: Endpoints that left or are draining, with the version of the
            entry that says so. Told to the other gateways.
        replaced: Endpoints whose address answers under another id, with the
            version of the entry that is out of date.
        leaving_changed: Called with what has been added to `leaving`.
        missing_until: Endpoints whose entry vanished around an outage of the
            store, with the time until which they stay in use.
    """

    def __init__(self) -> None:
        """Create an empty directory."""
        self.listed: dict[str, Listed[endpoints.Endpoint]] = {}
        self.leaving: dict[str, int] = {}
        self.replaced: dict[str, int] = {}
        self.leaving_changed: Callable[[dict[str, int]], None] | None = None
        self.missing_until: dict[str, float] = {}
        self.by_service: dict[str, list[endpoints.Endpoint]] = {}
        self.store_back_at: float | None = None
        self.loaded = False

    def apply(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
        now: float,
    ) -> None:
        """Take what the store lists."""
        before = dict(self.leaving)
        self.loaded = True
        if after_outage:
            self.store_back_at = now
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
        """Pass on what has been added to the leaving endpoints."""
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
        """Take what another gateway knows of leaving endpoints."""
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
        """Take that an endpoint's address answers under another id."""
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
        """Take an entry unless a newer one is known."""
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
        """Take that an entry is gone, at once or after the grace time."""
        known = self.listed.get(name)
        if known is None or known.version > version:
            return
        back = self.store_back_at
        if (
            back is not None
            and now - back < REGISTRATION_GRACE_SECONDS
            and not known.value.draining
        ):
            self.missing_until.setdefault(
                name, back + REGISTRATION_GRACE_SECONDS
            )
            return
        self.remove(name, version)

    def remove(self, name: str, version: int) -> None:
        """Forget an endpoint."""
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
        """Forget endpoints whose entry did not come back in time."""
        before = dict(self.leaving)
        late = [name for name, end in self.missing_until.items() if now >= end]
        for name in late:
            self.remove(name, self.listed[name].version)
        if late:
            self.rebuild()
            self.report_leaving(before)

    def rebuild(self) -> None:
        """Index the endpoints that take requests."""
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
        """Return the endpoints of a service that take requests."""
        return self.by_service.get(service, ())


def create_endpoint_directory() -> EndpointDirectory:
    """Create an empty directory."""
    return EndpointDirectory()
