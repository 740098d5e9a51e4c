"""Typed configuration: routes, services, client limits and teams."""

from collections.abc import Mapping
import datetime
import enum
from typing import NamedTuple


class RequestKind(enum.StrEnum):
    """Whether a request may be repeated after an attempt that may have run.

    IDEMPOTENT: The request may run again.
    NON_IDEMPOTENT: The request must not run again.
    STREAM: The response is a stream of events. The request must not run again
        unless the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """Share of a route's requests that a service receives.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for one host and path prefix are handled.

    Attributes:
        path_prefix: Starts and ends with a slash.
        services: Services that receive the requests; at least one.
        timeout: Time within which the client gets a final response.
        latency_target: Target time to the response, or to its first event.
        event_gap_target: Target for the longest pause between two events;
            None when responses are not streams.
        priority: 0 is the most urgent.
        max_attempts: Maximum number of endpoints that one request is sent to.
        public: Whether requests are accepted without an API key.
        resumable: Whether a broken stream may continue at another endpoint.
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
    """Limits on how a rank group may place its experts.

    Attributes:
        sets: Number of layer sets, each of which has its own placement.
        experts: Number of experts in each set.
        experts_per_rank: Number of experts that a rank holds in each set.
        spare: Maximum number of experts that a rank can copy in each set
            while it prepares a new map.
        copy_time: Time to copy one expert to a rank.
    """

    sets: int
    experts: int
    experts_per_rank: int
    spare: int
    copy_time: datetime.timedelta


class EngineProfile(NamedTuple):
    """Configured capacity and speed of the engines of a service.

    Attributes:
        slots: Requests that an engine runs concurrently.
        step: Duration of a token step without requests.
        step_per_request: Time that each running request adds to a step.
        steps_per_pass: Token steps between two events of a stream.
        cache_tokens: Capacity of an engine's KV cache in tokens.
        layout: Limits on expert placement, None for engines that are not
            ranks of a group.
    """

    slots: int
    step: datetime.timedelta
    step_per_request: datetime.timedelta
    steps_per_pass: int
    cache_tokens: int
    layout: ExpertLayout | None


class Service(NamedTuple):
    """A service that routes refer to.

    Attributes:
        max_connections: Connections that an endpoint accepts, 0 if unknown.
        engine: Profile of the engines, None for a service without engines.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None


class ClientLimits(NamedTuple):
    """Limits on a client's requests.

    Attributes:
        header_bytes: Maximum size of the headers.
        body_bytes: Maximum size of the body.
        header_timeout: Time within which the headers must arrive.
        idle_timeout: Time after which an idle connection is closed, and the
            additional time that a request with a body has to arrive.
    """

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


class Team(NamedTuple):
    """A team to which requests are attributed by their API key.

    Attributes:
        priority: Priority of its requests; None applies the route's.
    """

    name: str
    priority: int | None


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes:
        services: Services by name.
        teams_by_key: Teams by API key, None when requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: ClientLimits
    teams_by_key: Mapping[str, Team] | None
