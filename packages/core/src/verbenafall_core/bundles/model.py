"""Contents of a bundle, and the view that a process has of its bundles."""

import datetime
import enum
from typing import NamedTuple
from typing import Protocol


class ServiceKind(enum.StrEnum):
    """What stands behind a service's endpoints."""

    MODEL = "model"
    RECORDS = "records"


class CallRule(NamedTuple):
    """Which calls of a records service may be repeated.

    Attributes:
        method: HTTP method in upper case, or "*".
        path_prefix: Start of the path, with the leading slash.
        idempotent: Whether such a call may run more than once.
    """

    method: str
    path_prefix: str
    idempotent: bool


class ServiceSpec(NamedTuple):
    """A service that clients can call.

    Attributes:
        model: Name that clients give for a model service, else empty.
        slots: Requests that one endpoint runs at once.
        deadline: Time for a request that states no deadline.
        fences_orders: Whether endpoints refuse orders of an old epoch.
        rules: First match decides; without a match GET and HEAD are
            idempotent and all else is not.
    """

    name: str
    kind: ServiceKind
    model: str
    slots: int
    deadline: datetime.timedelta
    fences_orders: bool
    rules: tuple[CallRule, ...]


class TeamSpec(NamedTuple):
    """A team that may call services.

    Attributes:
        credential_digests: SHA-256 of each valid credential, in hex.
        shares: Weight against other teams when endpoints are busy.
        max_in_flight: Open requests of the team at one gateway.
        priority: Passed to the engine; lower is served first.
        services: Names of the services that it may call.
    """

    name: str
    credential_digests: tuple[str, ...]
    shares: int
    max_in_flight: int
    priority: int
    services: tuple[str, ...]


class MapSpec(NamedTuple):
    """An allowed expert map.

    Attributes:
        placement: Rank of each expert, by expert number.
    """

    version: int
    placement: tuple[int, ...]


class GroupSpec(NamedTuple):
    """A rank group and the expert maps that it may use.

    Attributes:
        skew_weight: Weight of expected step-time skew in map selection.
        move_weight: Weight of each moved expert in map selection.
        minimum_dwell: Time that a map stays at least.
        moves_per_minute: Experts that may be moved a minute.
    """

    name: str
    service: str
    ranks: int
    experts: int
    maps: tuple[MapSpec, ...]
    skew_weight: float
    move_weight: float
    minimum_dwell: datetime.timedelta
    moves_per_minute: int


class Bundle(NamedTuple):
    """A checked bundle."""

    version: int
    deployment: str
    region: str
    data_centres: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    teams: tuple[TeamSpec, ...]
    groups: tuple[GroupSpec, ...]


class SignedBundle(NamedTuple):
    """The text of a bundle and its detached signature."""

    version: int
    text: bytes
    signature: bytes


class BundleView(Protocol):
    """What a process knows of bundles; safe to use from any thread."""

    def current(self) -> Bundle | None:
        """Return the bundle in force."""

    def accepts_new_work(self) -> bool:
        """Return whether a bundle is in force and not in doubt."""
