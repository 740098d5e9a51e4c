"""Headers that may be passed on between a client and an endpoint."""

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
# A client's credential is for the gateway only.
_REPLACED_HEADERS: Final = frozenset(
    {"authorization", "idempotency-key", "x-request-id"}
)


def request_headers(
    dispatch: messages.Dispatch, run_id: str
) -> messages.Headers:
    """Return the headers of the request to the endpoint."""
    kept = [
        (name, value)
        for name, value in dispatch.headers
        if name.lower() not in _CONNECTION_HEADERS | _REPLACED_HEADERS
    ]
    kept.append(("X-Request-Id", run_id))
    if dispatch.idempotency_key:
        kept.append(("Idempotency-Key", dispatch.idempotency_key))
    return tuple(kept)


def response_headers(headers: messages.Headers) -> messages.Headers:
    """Return the headers of the endpoint's answer that clients may see."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _CONNECTION_HEADERS
    )
