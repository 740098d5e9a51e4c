"""Responses other than an endpoint's own answer."""

import datetime
import json
import math
from typing import Any
from typing import Final
from typing import NamedTuple

from werkzeug import wrappers

from verbenafall_core import outcomes

REQUEST_ID_HEADER: Final = "X-Request-Id"
JSON_TYPE: Final = "application/json"

STATUS_OF_REASON: Final[dict[outcomes.Reason, int]] = {
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.BUNDLE_UNCONFIRMED: 503,
    outcomes.Reason.CANCELLED: 503,
    outcomes.Reason.CLAIM_HELD: 409,
    outcomes.Reason.CLAIM_MISMATCH: 422,
    outcomes.Reason.DEADLINE: 504,
    outcomes.Reason.DRAINING: 503,
    outcomes.Reason.DUPLICATE_ATTEMPT: 503,
    outcomes.Reason.ENDPOINT_FAILED: 502,
    outcomes.Reason.ENDPOINT_REFUSED: 502,
    outcomes.Reason.KEY_SEALED: 409,
    outcomes.Reason.LINK_LOST: 502,
    outcomes.Reason.NO_ENDPOINT: 503,
    outcomes.Reason.OVERLOADED: 503,
    outcomes.Reason.STORE_UNAVAILABLE: 503,
    outcomes.Reason.TEAM_LIMIT: 429,
    outcomes.Reason.WRONG_SERVICE: 503,
}

# A repetition of these requests gets the same answer.
_NOT_RETRYABLE: Final = frozenset(
    {
        outcomes.Reason.BAD_REQUEST,
        outcomes.Reason.CLAIM_MISMATCH,
        outcomes.Reason.KEY_SEALED,
    }
)


class Fault(NamedTuple):
    """What is wrong with a request; no endpoint has seen it.

    Attributes:
        status: HTTP status, 400 to 499.
        code: Name of the fault for programs.
        message: What is wrong and what is expected.
        outcome: Outcome of the request that the client asks about.
    """

    status: int
    code: str
    message: str
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN


def refusal_body(refusal: outcomes.Refusal) -> dict[str, Any]:
    """Return the error body of a refusal."""
    delay = retry_delay(refusal)
    return error_body(
        refusal.outcome, str(refusal.reason), refusal.message, delay
    )


def error_body(
    outcome: outcomes.Outcome,
    code: str,
    message: str,
    retry_after: datetime.timedelta | None,
) -> dict[str, Any]:
    """Return an error body; type is there for existing chat clients."""
    error: dict[str, Any] = {
        "outcome": str(outcome),
        "code": code,
        "type": code,
        "message": message,
    }
    if retry_after is not None:
        error["retry_after_ms"] = to_milliseconds(retry_after)
    return {"error": error}


def retry_delay(refusal: outcomes.Refusal) -> datetime.timedelta | None:
    """Return when to come back, None when that is of no use."""
    if refusal.reason in _NOT_RETRYABLE:
        return None
    return refusal.retry_after


def to_milliseconds(delay: datetime.timedelta) -> int:
    """Return a delay in whole milliseconds, at least 1."""
    return max(1, math.ceil(delay.total_seconds() * 1000))


def refusal_response(
    refusal: outcomes.Refusal, request_id: str
) -> wrappers.Response:
    """Return the response for a refusal."""
    response = json_response(
        refusal_body(refusal), STATUS_OF_REASON[refusal.reason], request_id
    )
    delay = retry_delay(refusal)
    if delay is not None:
        seconds = max(1, math.ceil(delay.total_seconds()))
        response.headers["Retry-After"] = str(seconds)
    if refusal.reason is outcomes.Reason.DRAINING:
        response.headers["Connection"] = "close"
    return response


def fault_response(fault: Fault, request_id: str) -> wrappers.Response:
    """Return the response for a faulty request."""
    body = error_body(fault.outcome, fault.code, fault.message, None)
    response = json_response(body, fault.status, request_id)
    if fault.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    if fault.status in (408, 413):
        # The rest of the body is still on its way.
        response.headers["Connection"] = "close"
    return response


def json_response(body: Any, status: int, request_id: str) -> wrappers.Response:
    """Return a JSON response."""
    response = wrappers.Response(
        json.dumps(body), status=status, content_type=JSON_TYPE
    )
    response.headers[REQUEST_ID_HEADER] = request_id
    return response
