"""Forwards calls of records services and their complete answers."""

from collections.abc import Iterable
from typing import Final

from werkzeug import wrappers

from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_gateway.client_http import answers
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import flow_events

# Headers that apply to a single connection or that this gateway sets itself.
# Credentials are checked by the gateway and not passed on.
_NOT_FORWARDED: Final = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-request-id",
    }
)


def forwarded_headers(headers: Iterable[tuple[str, str]]) -> messages.Headers:
    """Return the headers of a request or an answer that are passed on."""
    items = tuple(headers)
    connection_options = ",".join(
        v for name, v in items if name.lower() == "connection"
    )
    dropped = {name.strip().lower() for name in connection_options.split(",")}
    dropped |= _NOT_FORWARDED
    return tuple(
        (name, value) for name, value in items if name.lower() not in dropped
    )


def records_response(
    request_id: str, flow: flow_events.Flow
) -> wrappers.Response:
    """Wait for the endpoint's complete answer and return it."""
    parts: list[bytes] = []
    for event in flow:
        if isinstance(event, flow_events.Delta):
            parts.append(event.data)
        elif isinstance(event, flow_events.Restarted):
            parts.clear()
        elif isinstance(event, outcomes.Refusal):
            return answers.refusal_response(event, request_id)
        elif isinstance(event, attempt_events.Complete):
            return endpoint_response(request_id, event, b"".join(parts))
    raise RuntimeError("the request's flow ended without a final event")


def endpoint_response(
    request_id: str, complete: attempt_events.Complete, body: bytes
) -> wrappers.Response:
    """Return a complete answer of an endpoint as a response."""
    response = wrappers.Response(body, status=complete.status)
    # The endpoint may have sent no Content-Type, so drop werkzeug's default.
    del response.headers["Content-Type"]
    for name, value in forwarded_headers(complete.headers):
        response.headers.add(name, value)
    response.headers[answers.REQUEST_ID_HEADER] = request_id
    return response
