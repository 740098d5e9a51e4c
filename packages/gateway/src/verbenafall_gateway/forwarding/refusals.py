"""Refusals, and when a refused client should return; pure functions.

A draw is a random number from 0 to 1 that spreads the returns of many clients.
"""

import enum
from typing import Final
from typing import NamedTuple

from verbenafall_gateway.forwarding import service_liveness

# Lower bound of the retry-after time in refusals.
MIN_RETRY_AFTER_SECONDS: Final = 0.2
# Mean retry-after time while a service has no endpoint.
NO_ENDPOINT_RETRY_SECONDS: Final = 1.0
# Returns are spread over this fraction of a pause after its end.
RETURN_SPREAD: Final = 0.25


class RefusalReason(enum.StrEnum):
    """Why a request was refused."""

    NO_ENDPOINT = "no_endpoint"
    FULL = "full"
    PAUSED = "paused"
    STALLED = "stalled"
    TOO_LATE = "too_late"
    STOPPING = "stopping"
    SUSPECT_PART = "suspect_part"


class Refused(NamedTuple):
    """A refused request; `retry_after` is in seconds."""

    reason: RefusalReason
    retry_after: float


def no_endpoint(draw: float) -> Refused:
    """Refuse a request for a service without an endpoint."""
    return Refused(
        RefusalReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_SECONDS * (0.5 + draw)
    )


def full(wait: float, draw: float) -> Refused:
    """Refuse a request that would wait too long.

    Args:
        wait: Its expected wait in seconds.
        draw: Spreads the returns.
    """
    return Refused(
        RefusalReason.FULL,
        max(MIN_RETRY_AFTER_SECONDS, wait * (1.0 + draw) / 2),
    )


def paused(delay: float, draw: float) -> Refused:
    """Refuse a request whose endpoints all pause.

    Args:
        delay: Seconds until the first of them ends its pause.
        draw: Spreads the returns.
    """
    spread = max(MIN_RETRY_AFTER_SECONDS, delay * RETURN_SPREAD)
    return Refused(RefusalReason.PAUSED, delay + spread * draw)


def stalled(draw: float) -> Refused:
    """Refuse a request until its service's stall is likely to have ended."""
    return Refused(RefusalReason.STALLED, service_liveness.retry_delay(draw))


def stopping(draw: float) -> Refused:
    """Refuse a request that another gateway should get."""
    return Refused(
        RefusalReason.STOPPING, MIN_RETRY_AFTER_SECONDS * (1.0 + draw)
    )


def too_late() -> Refused:
    """Refuse a request that has waited until it could not be served."""
    return Refused(RefusalReason.TOO_LATE, MIN_RETRY_AFTER_SECONDS)


def suspect_part(retry_after: float) -> Refused:
    """Refuse a request with a suspect part until its next trial."""
    return Refused(RefusalReason.SUSPECT_PART, retry_after)
