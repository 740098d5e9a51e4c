"""Filters the headers forwarded between clients and endpoints."""

from typing import Final

from verbenafall_core import messages

_CONNECTION_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Set by the sidecar, or dropped: the client's credentials are meant for the
# gateway only.
_REPLACED_HEADERS: Final = frozenset(
    {"authorization", "idempotency-key", "x-request-id"}
)


def request_headers(
    dispatch: messages.Dispatch, run_id: str
) -> messages.Headers:
    """Return the headers to send to the endpoint."""
    forwarded = [
        (name, value)
        for name, value in dispatch.headers
        if name.lower() not in _CONNECTION_HEADERS | _REPLACED_HEADERS
    ]
    forwarded.append(("X-Request-Id", run_id))
    if dispatch.idempotency_key:
        forwarded.append(("Idempotency-Key", dispatch.idempotency_key))
    return tuple(forwarded)


def response_headers(headers: messages.Headers) -> messages.Headers:
    """Return the headers of a response that are forwarded to the client."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _CONNECTION_HEADERS
    )
