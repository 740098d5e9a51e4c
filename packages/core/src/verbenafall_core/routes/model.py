"""Typed configuration: which services run and whom they serve."""

from collections.abc import Mapping
import datetime
import enum
from typing import NamedTuple


class RequestKind(enum.StrEnum):
    """What may be done with a request that may have run.

    IDEMPOTENT: It may run again.
    NON_IDEMPOTENT: It must not run again.
    STREAM: Its answer is a stream of events; it must not run again unless
        the route lets it resume.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service's share of the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests of one host below one path.

    Attributes:
        path_prefix: Starts and ends with a slash.
        services: At least one; the weights are relative.
        timeout: Time after which the client gets a final answer.
        latency_target: Time to the answer, or to the first event.
        event_gap_target: Longest pause between events, None without events.
        priority: 0 is most urgent.
        max_attempts: Endpoints that one request may be sent to.
        public: Whether requests need no key.
        resumable: Whether a stream may go on at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[ServiceShare, ...]
    timeout: datetime.timedelta
    latency_target: datetime.timedelta
    event_gap_target: datetime.timedelta | None
    priority: int
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


class ExpertLayout(NamedTuple):
    """How a rank group may place its experts.

    Attributes:
        sets: Sets of layers with a placement each.
        experts: Experts in each set.
        places: Experts that a rank holds in each set.
        spare: Experts that a rank can copy in each set for one new map.
        copy_time: Time to copy one expert to a rank.
    """

    sets: int
    experts: int
    experts_per_rank: int
    spare: int
    copy_time: datetime.timedelta


class EngineProfile(NamedTuple):
    """Declared speed of the engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        step: Time of a token step without requests.
        step_per_request: Time that each running request adds to a step.
        steps_per_pass: Token steps between two events of a stream.
        cache_tokens: Tokens that fit into an engine's memory.
        layout: None for engines that are not ranks of a group.
    """

    slots: int
    step: datetime.timedelta
    step_per_request: datetime.timedelta
    steps_per_pass: int
    cache_tokens: int
    layout: ExpertLayout | None


class Service(NamedTuple):
    """A service that routes lead to.

    Attributes:
        max_connections: Connections that an endpoint accepts, 0 if not told.
        engine: None for services that are no model engines.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None


class ClientLimits(NamedTuple):
    """What a client may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


class Team(NamedTuple):
    """A team that requests are counted for; priority None: the route's."""

    name: str
    priority: int | None


class Configuration(NamedTuple):
    """One accepted version of the configuration.

    Attributes:
        teams_by_key: None when requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: ClientLimits
    teams_by_key: Mapping[str, Team] | None
