"""Rates of requests that endpoints accept from all gateways; no I/O.

An endpoint under pressure states in its answers how many requests a second it
accepts from all gateways together. The statement holds until an answer to a
later request lacks it. The gateways pass statements on to each other, and each
one sends at its share of the rate, so that no message is needed per request.
"""

from collections.abc import Sequence
import hashlib
import math
from typing import Final
from typing import NamedTuple

# Assumed for a lower rate, so that an endpoint that accepts nothing is still
# asked now and then whether this has changed.
MIN_RATE: Final = 0.25
# After a pause the gateways may all send a request at the same time. At most
# 2 * rate + 5 of them share an endpoint, since the endpoint tolerates half a
# second's worth of requests per second, over four seconds, and five more.
SHARING_PER_RATE: Final = 2.0
SHARING_EXTRA: Final = 5
# An unchanged statement is passed on to the peers at most this often.
REPEAT_SECONDS: Final = 1.0


class Statement(NamedTuple):
    """The newest known statement of an endpoint.

    Attributes:
        rate: Requests per second, None if the endpoint no longer states any.
        at: When the statement was received; for a lifted one, when the request
            was sent whose answer lacked it.
    """

    rate: float | None
    at: float


class EndpointLimits:
    """Statements of endpoints and the pace at which this gateway follows them.

    All times are in seconds of one clock. Not thread-safe.

    Attributes:
        name: Name of this gateway.
        gateways: Sorted names of all gateways that are registered; empty
            until this one is known to be among them.
        statements: The newest statement, by endpoint id.
        next_send_at: When this gateway may send its next request to a limited
            endpoint, by endpoint id.
        passed_on: When a statement was last passed on, by endpoint id.
    """

    def __init__(self, name: str) -> None:
        """Create limits of which none is known."""
        self.name = name
        self.gateways: tuple[str, ...] = ()
        self.statements: dict[str, Statement] = {}
        self.next_send_at: dict[str, float] = {}
        self.passed_on: dict[str, float] = {}

    def set_gateways(self, names: Sequence[str]) -> None:
        """Set the names of the gateways that are registered."""
        self.gateways = tuple(sorted(names)) if self.name in names else ()

    def record_answer(
        self, endpoint_id: str, rate: float | None, sent_at: float, now: float
    ) -> bool:
        """Update the statement of an endpoint by one of its answers.

        Args:
            endpoint_id: Endpoint that answered.
            rate: Rate that the answer states, None if it states none.
            sent_at: When the answered request was sent.
            now: Current time.

        Returns:
            Whether the peers should be told.
        """
        if rate is None:
            return self.record(endpoint_id, Statement(None, sent_at))
        changed = self.record(endpoint_id, Statement(rate, now))
        if not changed and now - self.passed_on[endpoint_id] < REPEAT_SECONDS:
            return False
        self.passed_on[endpoint_id] = now
        return True

    def record(self, endpoint_id: str, statement: Statement) -> bool:
        """Store a statement unless a newer one is known.

        Returns:
            Whether the rate changed.
        """
        known = self.statements.get(endpoint_id)
        if known is None:
            if statement.rate is None:
                return False
        elif statement.at <= known.at:
            return False
        self.statements[endpoint_id] = statement
        if known is not None and known.rate == statement.rate:
            return False
        self.passed_on[endpoint_id] = statement.at
        return True

    def rate_of(self, endpoint_id: str) -> float | None:
        """Return the rate in force for all gateways, None without a limit."""
        statement = self.statements.get(endpoint_id)
        if statement is None or statement.rate is None:
            return None
        return max(statement.rate, MIN_RATE)

    def sharing(self, endpoint_id: str, rate: float) -> Sequence[str]:
        """Return the gateways that may send to a limited endpoint."""
        size = int(SHARING_PER_RATE * rate) + SHARING_EXTRA
        if len(self.gateways) <= size:
            return self.gateways
        return sorted(
            self.gateways,
            key=lambda gateway: hashlib.blake2b(
                f"{endpoint_id} {gateway}".encode(), digest_size=8
            ).digest(),
        )[:size]

    def may_send(self, endpoint_id: str, now: float) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        return self.next_send(endpoint_id, now) <= now

    def next_send(self, endpoint_id: str, now: float) -> float:
        """Return when a request may be sent, infinite without a share."""
        rate = self.rate_of(endpoint_id)
        if rate is None:
            return now
        if self.gateways and self.name not in self.sharing(endpoint_id, rate):
            return math.inf
        return max(now, self.next_send_at.get(endpoint_id, now))

    def record_sent(self, endpoint_id: str, now: float) -> None:
        """Count a request that is sent to an endpoint."""
        rate = self.rate_of(endpoint_id)
        if rate is not None:
            self.next_send_at[endpoint_id] = now + self.interval(
                endpoint_id, rate
            )

    def interval(self, endpoint_id: str, rate: float) -> float:
        """Return the seconds between sends of this gateway to an endpoint.

        A gateway that does not know its share sends just enough to see whether
        the endpoint still states a rate.
        """
        if not self.gateways:
            return 1 / MIN_RATE
        return len(self.sharing(endpoint_id, rate)) / rate

    def capacity(self, endpoint_id: str, unlimited: float) -> float:
        """Return how many requests per second an endpoint can take.

        Args:
            endpoint_id: The endpoint.
            unlimited: Requests per second without a limit.
        """
        rate = self.rate_of(endpoint_id)
        return unlimited if rate is None else min(rate, unlimited)

    def retain(self, endpoint_ids: set[str]) -> None:
        """Forget endpoints that are not listed any more."""
        for known in (self.statements, self.next_send_at, self.passed_on):
            for endpoint_id in known.keys() - endpoint_ids:
                del known[endpoint_id]


def parse_rate(text: str) -> float | None:
    """Parse a decimal number of requests per second, None if invalid."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def create_endpoint_limits(name: str) -> EndpointLimits:
    """Create the limits of a gateway with a name; none is known."""
    return EndpointLimits(name)
