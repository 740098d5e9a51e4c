"""Connection to an endpoint: one request at a time, its answer in parts."""

import asyncio
import collections
from typing import Final
from typing import NamedTuple
from typing import cast

import httptools

from verbenafall_gateway.forwarding import http_messages

# Bytes of an answer that wait for the client before reading pauses.
READ_AHEAD_BYTES: Final = 256 * 1024


class Head(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: tuple[http_messages.Header, ...]


class Body(NamedTuple):
    """Bytes of an answer's body."""

    data: bytes


class End(NamedTuple):
    """The answer is complete."""


class Broken(NamedTuple):
    """The answer ends without being complete."""

    reason: str


Part = Head | Body | End | Broken


class EndpointChannel(asyncio.Protocol):
    """One connection to an endpoint.

    Attributes:
        reusable: Whether another request may be sent after this one.
        idle_limit: Seconds for which the endpoint keeps an idle connection,
            None when it does not tell.
        idle_since: When the last answer was complete.
    """

    transport: asyncio.Transport

    def __init__(
        self, loop: asyncio.AbstractEventLoop, attempt_header: str
    ) -> None:
        """Create the protocol of a connection that is being opened."""
        self.loop = loop
        self.attempt_header = attempt_header
        self.parser = httptools.HttpResponseParser(self)
        self.parts: collections.deque[Part] = collections.deque()
        self.waiting_bytes = 0
        self.waiter: asyncio.Future[None] | None = None
        self.attempt_id = ""
        self.expects_body = True
        self.active = False
        self.lost = False
        self.reusable = True
        self.used = False
        self.idle_limit: float | None = None
        self.idle_since = 0.0
        self.headers: list[http_messages.Header] = []
        self.skipping = False
        self.framed = True
        self.in_answer = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, request: bytes, attempt_id: str, expects_body: bool) -> None:
        """Write a request; its answer comes by next_part()."""
        self.attempt_id = attempt_id
        self.expects_body = expects_body
        self.parts.clear()
        self.active = True
        self.used = True
        self.transport.write(request)

    async def next_part(self) -> Part:
        """Return the next part of the answer; End and Broken are last."""
        while not self.parts:
            if not self.active:
                return Broken("no request is open")
            self.waiter = self.loop.create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        part = self.parts.popleft()
        if isinstance(part, Body):
            self.waiting_bytes -= len(part.data)
            if self.waiting_bytes <= READ_AHEAD_BYTES and not self.lost:
                self.transport.resume_reading()
        return part

    def put(self, part: Part) -> None:
        """Hand over a part."""
        self.parts.append(part)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def fail(self, reason: str) -> None:
        """End the answer without its being complete."""
        self.reusable = False
        if self.active:
            self.active = False
            self.put(Broken(reason))

    # Callbacks of the transport.

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if not self.active:
            # Bytes after a complete answer belong to no request.
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"bytes that are no answer: {error}")
            self.abort()

    def eof_received(self) -> bool:
        """An answer without a length ends here."""
        if self.active and self.in_answer and not self.framed:
            self.complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an answer that is not complete."""
        self.lost = True
        self.fail(f"connection lost: {exc}" if exc else "connection closed")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        if self.in_answer:
            return
        self.headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1").strip())
        )

    def on_headers_complete(self) -> None:
        """Hand over the head, unless the answer is to another request."""
        status = self.parser.get_status_code()
        if not self.active:
            self.reusable = False
            return
        if 100 <= status < 200:
            return
        self.in_answer = True
        given = http_messages.find_header(self.headers, self.attempt_header)
        self.skipping = given is not None and given != self.attempt_id
        if self.skipping:
            return
        names = {name for name, _ in self.headers}
        self.framed = bool(names & {"content-length", "transfer-encoding"})
        if status in (204, 304):
            self.framed = True
        self.reusable = (
            self.framed
            and self.expects_body
            and self.parser.should_keep_alive()
        )
        self.idle_limit = read_idle_limit(self.headers)
        self.put(Head(status, tuple(self.headers)))
        if not self.expects_body:
            self.complete()

    def on_body(self, data: bytes) -> None:
        """Hand over a part of the body."""
        if self.skipping or not self.active:
            return
        self.waiting_bytes += len(data)
        if self.waiting_bytes > READ_AHEAD_BYTES:
            self.transport.pause_reading()
        self.put(Body(data))

    def on_message_complete(self) -> None:
        """End an answer, or one that was skipped."""
        if 100 <= self.parser.get_status_code() < 200:
            return
        self.in_answer = False
        if self.skipping:
            self.skipping = False
            self.reusable = False
            return
        if self.active:
            self.complete()

    def complete(self) -> None:
        """Hand over the end."""
        self.active = False
        self.in_answer = False
        self.idle_since = self.loop.time()
        self.put(End())

    def abort(self) -> None:
        """Close at once; the endpoint drops the request."""
        self.reusable = False
        self.active = False
        self.transport.abort()

    def can_be_kept(self, now: float, longest: float) -> bool:
        """Return whether another request may be sent now."""
        limit = longest
        if self.idle_limit is not None:
            limit = min(limit, self.idle_limit / 2)
        return (
            self.reusable
            and not self.active
            and not self.lost
            and not self.transport.is_closing()
            and now - self.idle_since < limit
        )


def read_idle_limit(headers: list[http_messages.Header]) -> float | None:
    """Return the seconds in a Keep-Alive header."""
    value = http_messages.find_header(headers, "keep-alive") or ""
    for item in value.split(","):
        name, _, number = item.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None
