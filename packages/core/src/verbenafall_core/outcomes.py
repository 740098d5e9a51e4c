"""Outcomes of requests, and the reasons for which they are refused or fail."""

import datetime
import enum
import random
from typing import Final
from typing import NamedTuple

MIN_RETRY_JITTER: Final = 0.5
MAX_RETRY_JITTER: Final = 1.5


class Outcome(enum.StrEnum):
    """Whether an endpoint processed a request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Reason(enum.StrEnum):
    """Why a request or an attempt was refused or failed."""

    BAD_REQUEST = "bad_request"
    BUNDLE_UNCONFIRMED = "bundle_unconfirmed"
    CANCELLED = "cancelled"
    CLAIM_HELD = "claim_held"
    CLAIM_MISMATCH = "claim_mismatch"
    CLAIM_UNCONFIRMED = "claim_unconfirmed"
    DEADLINE = "deadline"
    DRAINING = "draining"
    DUPLICATE_ATTEMPT = "duplicate_attempt"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    KEY_SEALED = "key_sealed"
    LINK_LOST = "link_lost"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    STORE_UNAVAILABLE = "store_unavailable"
    TEAM_LIMIT = "team_limit"
    WRONG_SERVICE = "wrong_service"


class Refusal(NamedTuple):
    """A final response that is not the endpoint's own.

    Attributes:
        retry_after: Suggested delay before a retry, None for none.
    """

    outcome: Outcome
    reason: Reason
    message: str
    retry_after: datetime.timedelta | None


def jitter_retry_after(
    base: datetime.timedelta, generator: random.Random
) -> datetime.timedelta:
    """Apply jitter, so that refused clients do not all retry together."""
    return base * generator.uniform(MIN_RETRY_JITTER, MAX_RETRY_JITTER)
