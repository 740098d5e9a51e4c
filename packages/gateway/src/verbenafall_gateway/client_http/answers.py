"""JSON responses of the gateway itself, most of them errors."""

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
    outcomes.Reason.CLAIM_UNCONFIRMED: 409,
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

# A retry of these requests would be refused again, so no delay is advised.
_NOT_RETRYABLE: Final = frozenset(
    {
        outcomes.Reason.BAD_REQUEST,
        outcomes.Reason.CLAIM_MISMATCH,
        outcomes.Reason.CLAIM_UNCONFIRMED,
        outcomes.Reason.KEY_SEALED,
    }
)


class Fault(NamedTuple):
    """Error in a client's request that was found before any attempt.

    Attributes:
        status: HTTP status, 400 to 499.
        code: Machine-readable name of the error.
        message: What is wrong and what is expected.
        outcome: Outcome to report. An invalid outcome query reports that of
            the queried request, which is unknown.
    """

    status: int
    code: str
    message: str
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN


def refusal_body(refusal: outcomes.Refusal) -> dict[str, Any]:
    """Return the JSON error body of a refusal."""
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
    """Return a JSON error body; chat clients read the code from "type"."""
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
    """Return the delay before a retry, or None if a retry is useless."""
    if refusal.reason in _NOT_RETRYABLE:
        return None
    return refusal.retry_after


def to_milliseconds(delay: datetime.timedelta) -> int:
    """Round a delay up to whole milliseconds, at least 1."""
    return max(1, math.ceil(delay.total_seconds() * 1000))


def refusal_response(
    refusal: outcomes.Refusal, request_id: str
) -> wrappers.Response:
    """Return the response for a refusal.

    A draining gateway closes the connection, so that the client opens its next
    one to another gateway.
    """
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
    """Return the response for an invalid request."""
    body = error_body(fault.outcome, fault.code, fault.message, None)
    response = json_response(body, fault.status, request_id)
    if fault.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    if fault.status in (408, 413):
        # The unread rest of the body may still arrive on the connection.
        response.headers["Connection"] = "close"
    return response


def json_response(body: Any, status: int, request_id: str) -> wrappers.Response:
    """Return a JSON response with the header X-Request-Id."""
    response = wrappers.Response(
        json.dumps(body), status=status, content_type=JSON_TYPE
    )
    response.headers[REQUEST_ID_HEADER] = request_id
    return response
