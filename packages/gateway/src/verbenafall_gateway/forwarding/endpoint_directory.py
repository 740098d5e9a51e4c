"""Endpoints by service, as listed by the platform; event loop only."""

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
REGISTRATION_GRACE: Final = 1.8


class Listed(NamedTuple, Generic[T]):
    """A value with the store's version of it."""

    version: int
    value: T


class EndpointDirectory:
    """The listed endpoints.

    Attributes:
        missing_until: Endpoints whose entry vanished around an outage of the
            store, with the time until which they stay in use.
    """

    def __init__(self) -> None:
        """Create an empty directory."""
        self.listed: dict[str, Listed[endpoints.Endpoint]] = {}
        self.removed_at_version: dict[str, int] = {}
        self.missing_until: dict[str, float] = {}
        self.by_service: dict[str, list[endpoints.Endpoint]] = {}
        self.store_back_at: float | None = None
        self.known = False

    def apply(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
        now: float,
    ) -> None:
        """Take what the store lists."""
        self.known = True
        if after_outage:
            self.store_back_at = now
        for item in batch.items:
            if item.value is None:
                self.note_missing(item.name, item.version, now)
            else:
                self.note_listed(item.name, item.version, item.value)
        if complete:
            names = {item.name for item in batch.items if item.value}
            for name in list(self.listed):
                if name not in names:
                    self.note_missing(name, batch.revision, now)
        self.rebuild()

    def note_listed(
        self, name: str, version: int, endpoint: endpoints.Endpoint
    ) -> None:
        """Take an entry unless a newer one is known."""
        known = self.listed.get(name)
        if known is not None and known.version > version:
            return
        if self.removed_at_version.get(name, -1) > version:
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

    def note_missing(self, name: str, version: int, now: float) -> None:
        """Take that an entry is gone, at once or after the grace time."""
        known = self.listed.get(name)
        if known is None or known.version > version:
            return
        back = self.store_back_at
        if (
            back is not None
            and now - back < REGISTRATION_GRACE
            and not known.value.draining
        ):
            self.missing_until.setdefault(name, back + REGISTRATION_GRACE)
            return
        self.remove(name, version)

    def remove(self, name: str, version: int) -> None:
        """Forget an endpoint."""
        del self.listed[name]
        self.missing_until.pop(name, None)
        self.removed_at_version[name] = version
        event_log.emit(
            event_catalogue.ENDPOINT_UNLISTED, endpoint=name, version=version
        )

    def expire(self, now: float) -> None:
        """Forget endpoints whose entry did not come back in time."""
        late = [name for name, end in self.missing_until.items() if now >= end]
        for name in late:
            self.remove(name, self.listed[name].version)
        if late:
            self.rebuild()

    def rebuild(self) -> None:
        """Index the endpoints that take requests."""
        by_service: dict[str, list[endpoints.Endpoint]] = {}
        for listed in self.listed.values():
            if not listed.value.draining:
                by_service.setdefault(listed.value.service, []).append(
                    listed.value
                )
        self.by_service = by_service

    def usable(self, service: str) -> Iterable[endpoints.Endpoint]:
        """Return the endpoints of a service that take requests."""
        return self.by_service.get(service, ())

    def is_usable(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint still takes requests."""
        listed = self.listed.get(endpoint.id)
        return listed is not None and not listed.value.draining


def create_endpoint_directory() -> EndpointDirectory:
    """Create an empty directory."""
    return EndpointDirectory()
