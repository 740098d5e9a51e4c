"""Places at endpoints, and the requests that ask for one."""

from typing import NamedTuple

from verbenafall_core import endpoints
from verbenafall_gateway.forwarding import crash_suspects


class PlacementRequest(NamedTuple):
    """A request for a place at an endpoint of a service.

    Times are in seconds of the event loop's clock.

    Attributes:
        arrived: When the request was received.
        target_at: When its answer is due by the route's latency target.
        deadline: When the client must have a final answer.
        client_timeout_at: When a client that has received nothing times out.
        tried: Ids of endpoints that have already failed this request.
        may_have_run: Whether an earlier attempt may have run it, so that a
            refusal would not be accurate.
        is_stream: Whether its answer is sent as it arrives, so that a planned
            stop can cut it.
        parts: Ids of the parts of its prompt that others may have as well, and
            its fingerprint.
        repeatable: Whether it may run more than once.
    """

    request_id: str
    service: str
    urgency: int
    arrived: float
    target_at: float
    deadline: float
    client_timeout_at: float
    tried: frozenset[str]
    may_have_run: bool = False
    is_stream: bool = False
    parts: tuple[str, ...] = ()
    repeatable: bool = True


class Placed(NamedTuple):
    """A place at an endpoint; must be returned with release().

    Attributes:
        acquired_at: When the place was acquired.
        waited: Seconds between the request's arrival and that time.
        trial: Suspect part that the request tries, None if it has none.
    """

    endpoint: endpoints.Endpoint
    acquired_at: float
    waited: float
    trial: crash_suspects.PartKey | None = None
