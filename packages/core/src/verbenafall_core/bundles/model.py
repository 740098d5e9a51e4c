"""Contents of a bundle, and read access to the bundle in force."""

import datetime
import enum
from typing import NamedTuple
from typing import Protocol


class ServiceKind(enum.StrEnum):
    """What the endpoints of a service run.

    MODEL: Model engines.
    RECORDS: An HTTP service that stores records.
    """

    MODEL = "model"
    RECORDS = "records"


class CallRule(NamedTuple):
    """Whether the matching calls of a records service are idempotent.

    Attributes:
        method: HTTP method in upper case, or "*" for any.
        path_prefix: Start of the path, with the leading slash.
        idempotent: Whether a matching call may run more than once.
    """

    method: str
    path_prefix: str
    idempotent: bool


class ServiceSpec(NamedTuple):
    """A service that clients can call.

    Attributes:
        model: Model name that clients send, empty for a records service.
        slots: Requests that one endpoint runs concurrently.
        deadline: Time limit of a request that states no deadline.
        fences_orders: Whether endpoints refuse orders of an old epoch.
        rules: The first match applies; without a match, only GET and HEAD
            are idempotent.
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
        shares: Weight relative to other teams when endpoints are busy.
        max_in_flight: Maximum of open requests of the team at one gateway.
        priority: Passed to the engine, which serves lower values first.
        services: Names of the services that the team may call.
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
        service: Name of the model service that the group serves.
        ranks: Number of ranks in the group.
        experts: Number of experts that a map places.
        maps: Allowed maps.
        skew_weight: Weight of expected step-time skew in map selection.
        move_weight: Weight of each moved expert in map selection.
        minimum_dwell: Minimum time between two map switches.
        moves_per_minute: Maximum of experts moved per minute.
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
    """A bundle that passed validation."""

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
    """Read access to the bundle in force, from any thread."""

    def current(self) -> Bundle | None:
        """Return the bundle in force, None before the first one."""

    def accepts_new_work(self) -> bool:
        """Return whether new requests may be accepted.

        That needs a bundle in force, and no sign that the process may have
        missed a newer accepted one.
        """
