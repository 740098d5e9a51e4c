"""HTTP messages as they are read and written; pure."""

from collections.abc import Iterable
import http
from typing import Final
from typing import NamedTuple

# Name in lower case and value.
Header = tuple[str, str]

# Headers that concern one connection only.
CONNECTION_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)


class Request(NamedTuple):
    """A request that was read whole.

    Attributes:
        received_at: Reading of the event loop's clock, in seconds, when the
            first byte arrived.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    received_at: float
    keep_alive: bool
    http_1_1: bool


class Answer(NamedTuple):
    """A whole answer, made by the gateway or read from an endpoint."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


def find_header(headers: Iterable[Header], name: str) -> str | None:
    """Return the first value of a header."""
    return next((value for key, value in headers if key == name), None)


def passed_on(
    headers: Iterable[Header], left_out: frozenset[str] = frozenset()
) -> list[Header]:
    """Return the headers that do not concern one connection only."""
    kept = list(headers)
    dropped = CONNECTION_HEADERS | left_out
    for name, value in kept:
        if name == "connection":
            dropped |= {item.strip().lower() for item in value.split(",")}
    return [header for header in kept if header[0] not in dropped]


def format_request(
    method: str, target: str, headers: Iterable[Header], body: bytes
) -> bytes:
    """Return the bytes of a request; its length is stated if it has a body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [
        f"{name}: {value}"
        for name, value in headers
        if name != "content-length"
    ]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + body


def format_head(status: int, headers: Iterable[Header]) -> bytes:
    """Return the bytes of an answer's status line and headers."""
    lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def format_chunk(data: bytes) -> bytes:
    """Return data in chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


LAST_CHUNK: Final = b"0\r\n\r\n"


def reason_phrase(status: int) -> str:
    """Return the usual phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"
