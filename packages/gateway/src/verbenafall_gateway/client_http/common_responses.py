"""Responses for routing errors, readiness, outcomes and internal errors."""

from typing import Any

from werkzeug import exceptions
from werkzeug import wrappers

from verbenafall_core import outcomes
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.client_http import answers


def routing_fault(
    request: wrappers.Request, error: exceptions.HTTPException
) -> answers.Fault:
    """Return the fault for an unknown path or an unsupported method."""
    if isinstance(error, exceptions.MethodNotAllowed):
        allowed = ", ".join(sorted(error.valid_methods or ()))
        return answers.Fault(
            405,
            "bad_method",
            f"{request.path} takes {allowed}, not {request.method}",
        )
    return answers.Fault(
        404, "unknown_path", f"there is nothing at {request.path}"
    )


def ready_response(
    state: service_state.ServiceState, request_id: str
) -> wrappers.Response:
    """Return the readiness for the load balancer: 200, or 503 and a reason."""
    reason = state.not_ready_reason()
    body = {"ready": not reason, "reason": reason}
    return answers.json_response(body, 503 if reason else 200, request_id)


def outcome_response(
    outcome: outcomes.Outcome, request_id: str, status: int | None = None
) -> wrappers.Response:
    """Return a request's outcome, with the status of its recorded answer."""
    body: dict[str, Any] = {"outcome": str(outcome)}
    if status is not None:
        body["status"] = status
    return answers.json_response(body, 200, request_id)


def internal_error_response(request_id: str) -> wrappers.Response:
    """Return the response after an unexpected error; the outcome is unknown."""
    body = answers.error_body(
        outcomes.Outcome.UNKNOWN,
        "internal_error",
        "the gateway met an unexpected error",
        None,
    )
    return answers.json_response(body, 500, request_id)
