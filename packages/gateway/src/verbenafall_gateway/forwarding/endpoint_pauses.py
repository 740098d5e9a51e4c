"""Times for which endpoints want no requests from this gateway; no I/O.

An endpoint that turns a request away may state for how long it wants no
further one. It speaks to this gateway only, and holds for this start of it.
"""

from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from verbenafall_core import endpoints

# A pause is logged again if it becomes longer by this.
LOGGED_EXTENSION_SECONDS: Final = 1.0
# Maximum number of pauses that are remembered; the oldest are dropped first.
MAX_PAUSES: Final = 2000


class Pause(NamedTuple):
    """A stated pause.

    Attributes:
        until: Its end, in seconds of the gateway's clock.
        started_at: Start of the endpoint that stated it, None if unknown.
    """

    until: float
    started_at: int | None


class EndpointPauses:
    """The pauses of endpoints, by endpoint id.

    Not thread-safe.
    """

    def __init__(self) -> None:
        """Create a state in which no endpoint pauses."""
        self.pauses: dict[str, Pause] = {}

    def record(
        self, endpoint: endpoints.Endpoint, seconds: float, now: float
    ) -> bool:
        """Record a stated pause; return whether it is worth logging.

        A pause does not become shorter by a later statement.
        """
        before = self.until(endpoint, now)
        until = now + seconds
        if until <= before:
            return False
        self.pauses[endpoint.id] = Pause(until, endpoint.started_at)
        return before <= now or until - before >= LOGGED_EXTENSION_SECONDS

    def until(self, endpoint: endpoints.Endpoint, now: float) -> float:
        """Return when an endpoint may get requests again, at least now."""
        pause = self.pauses.get(endpoint.id)
        if pause is None or pause.started_at != endpoint.started_at:
            return now
        return max(pause.until, now)

    def first_end(
        self, usable: Iterable[endpoints.Endpoint], now: float
    ) -> float:
        """Return when the first of some endpoints may get requests again.

        That is now if one does not pause, or if there is none.
        """
        return min(
            (self.until(endpoint, now) for endpoint in usable), default=now
        )

    def ending_by(
        self, usable: Iterable[endpoints.Endpoint], end: float, now: float
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints that may get requests again by a time."""
        return [
            endpoint for endpoint in usable if self.until(endpoint, now) <= end
        ]

    def forget_ended(self, now: float) -> None:
        """Forget ended pauses.

        Those of endpoints that are not listed stay: their entries may be lost
        for a moment.
        """
        left = [
            (endpoint_id, pause)
            for endpoint_id, pause in self.pauses.items()
            if pause.until > now
        ]
        self.pauses = dict(left[-MAX_PAUSES:])

    def longest(self, now: float) -> float:
        """Return the seconds left of the longest pause, 0 without any."""
        return max(
            (pause.until - now for pause in self.pauses.values()), default=0.0
        )


def create_endpoint_pauses() -> EndpointPauses:
    """Create a state in which no endpoint pauses."""
    return EndpointPauses()
