"""A stand-in for a client."""

import socket
from typing import NamedTuple
import uuid

from common import deployment
from common import wire


class Outcome(NamedTuple):
    """How an attempt ended.

    Attributes:
        status: 0 without an answer.
        complete: Whether the answer was complete.
    """

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


def new_attempt() -> str:
    """Return a new attempt id."""
    return uuid.uuid4().hex[:16]


def encode(
    method: str, path: str, attempt: str, deadline_ms: int, body: bytes = b""
) -> bytes:
    """Encode a request with a key and a length."""
    headers = {
        "Host": deployment.HOST,
        "Verbenafall-Attempt-Id": attempt,
        "Verbenafall-Deadline-Ms": str(deadline_ms),
        "Verbenafall-Key": deployment.KEY,
    }
    if body or method == "POST":
        headers["Content-Length"] = str(len(body))
    return wire.head(f"{method} {path} HTTP/1.1", headers) + body


def request(
    address: tuple[str, int],
    method: str,
    path: str,
    deadline_ms: int,
    body: bytes = b"",
) -> Outcome:
    """Send a request on a new channel and read its answer."""
    attempt = new_attempt()
    with socket.create_connection(address, 1) as sock:
        sock.settimeout(deadline_ms / 1000 + 1)
        sock.sendall(encode(method, path, attempt, deadline_ms, body))
        return read_outcome(wire.Connection(sock), attempt)


def read_outcome(connection: wire.Connection, attempt: str) -> Outcome:
    """Read the answer to an attempt."""
    try:
        answer = connection.read()
    except (OSError, ValueError):
        answer = None
    if answer is None:
        return Outcome(attempt, 0, {}, b"", False)
    return Outcome(
        attempt, answer.status, answer.headers, answer.body, answer.complete
    )
