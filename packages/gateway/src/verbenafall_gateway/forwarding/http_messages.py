"""HTTP/1.1 requests and answers, and their encoding; no I/O."""

from collections.abc import Iterable
import http
from typing import Final
from typing import NamedTuple

# Name, in lower case, and value.
Header = tuple[str, str]

# Headers that apply to a single connection and must not be forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
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
    """A complete request.

    Attributes:
        received_at: When the first byte arrived, in seconds of the event
            loop's clock.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    received_at: float
    keep_alive: bool
    http_1_1: bool


class Answer(NamedTuple):
    """A complete answer, from an endpoint or from the gateway itself."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


def decode_header(name: bytes, value: bytes) -> Header:
    """Return a header line; its bytes stay the same when it is encoded again.

    str.strip() would also remove the bytes 0x85 and 0xA0, which end some
    characters in UTF-8.
    """
    return name.decode("latin-1").lower(), value.strip(b" \t").decode("latin-1")


def find_header(headers: Iterable[Header], name: str) -> str | None:
    """Return the first value of a header, None if it is absent."""
    return next((value for key, value in headers if key == name), None)


def find_headers(headers: Iterable[Header], name: str) -> list[str]:
    """Return all values of a header."""
    return [value for key, value in headers if key == name]


def end_to_end_headers(
    headers: Iterable[Header], excluded: frozenset[str] = frozenset()
) -> list[Header]:
    """Return the headers to forward.

    Hop-by-hop headers are removed, as are those that a Connection header names
    and those in `excluded`.
    """
    all_headers = list(headers)
    dropped = HOP_BY_HOP_HEADERS | excluded
    for name, value in all_headers:
        if name == "connection":
            dropped |= {item.strip().lower() for item in value.split(",")}
    return [header for header in all_headers if header[0] not in dropped]


def format_request(
    method: str, target: str, headers: Iterable[Header], body: bytes
) -> bytes:
    """Encode a request, with a length if it has or may have a body."""
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
    """Encode the status line and headers of an answer."""
    lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def format_chunk(data: bytes) -> bytes:
    """Encode data as a chunk; no data gives none, as it would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


LAST_CHUNK: Final = b"0\r\n\r\n"


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase, "Status" for unknown codes."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"
