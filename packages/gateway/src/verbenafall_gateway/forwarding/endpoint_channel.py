"""Connection to an endpoint, which carries one request at a time."""

import asyncio
import collections
from typing import Final
from typing import NamedTuple
from typing import cast

import httptools

from verbenafall_core import answer_heads
from verbenafall_gateway.forwarding import http_messages

# Unread bytes of an answer above which reading from the endpoint pauses.
READ_AHEAD_BYTES: Final = 256 * 1024
# Memory that a part takes besides its bytes.
PART_BYTES: Final = 128
# Bytes between two parts of an answer: a head, interim answers, trailers or
# what precedes a chunk. Heads of common servers have at most half of it.
MAX_OVERHEAD_BYTES: Final = 64 * 1024
# The same if answers to other requests are among them. An answer that comes
# twice has this size at most, as longer ones are not repeated.
MAX_SKIPPED_BYTES: Final = 1024 * 1024


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
    """The answer ended before it was complete."""

    reason: str


Part = Head | Body | End | Broken


class EndpointChannel(asyncio.Protocol):
    """One connection to an endpoint.

    The parser's callbacks queue the parts of an answer; next_part() returns
    them.

    Attributes:
        parts: Parts that next_part() has not returned yet.
        unread_bytes: Memory of the bodies in `parts`.
        pieces: Body of the answer in the bytes that are being parsed. A chunk
            may be as short as one byte.
        active: Whether a request is open whose answer is not complete.
        lost: Whether the connection has ended.
        reusable: Whether another request may be sent after this one.
        used: Whether a request was sent.
        idle_timeout: Seconds for which the endpoint keeps an idle connection,
            None if it did not state any.
        idle_since: When the last answer was complete.
        skipping: Whether the answer being parsed belongs to another request
            and is dropped.
        repeats_ids: Whether the answers so far bore the ids of their requests.
        length_known: Whether the head determines where the answer ends; if
            not, it ends with the connection.
        overhead_bytes: Bytes received since the last part of the answer.
        skipped_any: Whether an answer was skipped since the request was sent.
        active_at: When the request was sent or bytes were last received.
    """

    transport: asyncio.Transport

    def __init__(
        self, loop: asyncio.AbstractEventLoop, attempt_header: str
    ) -> None:
        """Create the protocol of a connection that is being opened.

        Args:
            loop: The event loop.
            attempt_header: Header in which endpoints repeat the request id.
        """
        self.loop = loop
        self.attempt_header = attempt_header
        self.parser = httptools.HttpResponseParser(self)
        self.parts: collections.deque[Part] = collections.deque()
        self.unread_bytes = 0
        self.pieces: list[bytes] = []
        self.waiter: asyncio.Future[None] | None = None
        self.attempt_id = ""
        self.expects_body = True
        self.active = False
        self.lost = False
        self.reusable = True
        self.used = False
        self.idle_timeout: float | None = None
        self.idle_since = 0.0
        self.headers: list[http_messages.Header] = []
        self.skipping = False
        self.repeats_ids = False
        self.length_known = True
        self.in_answer = False
        self.overhead_bytes = 0
        self.skipped_any = False
        self.active_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, request: bytes, attempt_id: str, expects_body: bool) -> None:
        """Write a request, whose answer next_part() returns.

        Args:
            request: The bytes of the request.
            attempt_id: Its id; answers with another id are dropped.
            expects_body: False for HEAD, whose answer ends with its head.
        """
        self.attempt_id = attempt_id
        self.expects_body = expects_body
        self.parts.clear()
        self.overhead_bytes = 0
        self.skipped_any = False
        self.active = True
        self.used = True
        self.active_at = self.loop.time()
        self.transport.write(request)

    async def next_part(self) -> Part:
        """Wait for the next part of the answer; End or Broken is the last."""
        while not self.parts:
            if not self.active:
                return Broken("no open request")
            self.waiter = self.loop.create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        part = self.parts.popleft()
        if isinstance(part, Body):
            self.unread_bytes -= len(part.data) + PART_BYTES
            if self.unread_bytes <= READ_AHEAD_BYTES and not self.lost:
                self.transport.resume_reading()
        return part

    def put(self, part: Part) -> None:
        """Queue a part and wake next_part()."""
        self.overhead_bytes = 0
        self.parts.append(part)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def fail(self, reason: str) -> None:
        """End the open answer as incomplete and prevent reuse."""
        self.reusable = False
        if self.active:
            self.put_body()
            self.active = False
            self.put(Broken(reason))

    # Callbacks of the transport.

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort on invalid, unexpected or too many."""
        if not self.active:
            # No request is open to which these bytes could belong.
            self.abort()
            return
        self.active_at = self.loop.time()
        self.overhead_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.fail(f"invalid HTTP response: {error}")
            self.abort()
            return
        self.put_body()
        limit = MAX_SKIPPED_BYTES if self.skipped_any else MAX_OVERHEAD_BYTES
        if self.overhead_bytes > limit:
            self.fail(f"more than {limit} bytes without a part of the answer")
            self.abort()

    def eof_received(self) -> bool:
        """Complete an answer that ends with the connection."""
        if self.active and self.in_answer and not self.length_known:
            self.complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the open answer."""
        self.lost = True
        self.fail(f"connection lost: {exc}" if exc else "connection closed")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new answer.

        Even the first byte of one without a request prevents reuse: the rest
        could otherwise arrive after the next request was sent.
        """
        self.headers = []
        if not self.active:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; ignore trailers."""
        if self.in_answer:
            return
        self.headers.append(http_messages.decode_header(name, value))

    def on_headers_complete(self) -> None:
        """Queue the head and decide whether the connection is reusable.

        Interim (1xx) answers are ignored. An answer that carries the id of
        another request is skipped. The parser accepts heads that are no
        answers.
        """
        status = self.parser.get_status_code()
        if not self.active:
            self.reusable = False
            return
        fault = answer_heads.find_fault(
            self.parser.get_http_version(), status, self.headers
        )
        if fault is not None:
            self.fail(f"no answer: {fault}")
            return
        if 100 <= status < 200:
            return
        self.in_answer = True
        answer_id = http_messages.find_header(self.headers, self.attempt_header)
        self.skipping = answer_id is not None and answer_id != self.attempt_id
        if self.skipping:
            self.skipped_any = True
            return
        if answer_id is None and self.repeats_ids:
            # It may belong to an earlier request.
            self.fail("answer without the request's id")
            return
        self.repeats_ids = answer_id is not None
        names = {name for name, _ in self.headers}
        self.length_known = bool(
            names & {"content-length", "transfer-encoding"}
        )
        if status in (204, 304):
            self.length_known = True
        self.reusable = (
            self.length_known
            and self.expects_body
            and self.parser.should_keep_alive()
        )
        self.idle_timeout = parse_keep_alive_timeout(self.headers)
        self.put(Head(status, tuple(self.headers)))
        if not self.expects_body:
            self.complete()

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if not self.skipping and self.active:
            self.pieces.append(data)

    def put_body(self) -> None:
        """Queue the body received so far; pause reading if much is unread."""
        if not self.pieces:
            return
        data = b"".join(self.pieces)
        self.pieces.clear()
        self.unread_bytes += len(data) + PART_BYTES
        if self.unread_bytes > READ_AHEAD_BYTES:
            self.transport.pause_reading()
        self.put(Body(data))

    def on_message_complete(self) -> None:
        """Complete the answer, or resume after a skipped one."""
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
        """Queue the end of the answer."""
        self.put_body()
        self.active = False
        self.in_answer = False
        self.idle_since = self.loop.time()
        self.put(End())

    def abort(self) -> None:
        """Reset the connection, so that the endpoint drops the request."""
        self.reusable = False
        self.active = False
        self.transport.abort()

    def can_be_reused(self, now: float, max_idle: float) -> bool:
        """Return whether another request may be sent now.

        Half of the endpoint's own idle timeout is left unused, as it may
        close the connection while the request is on its way.

        Args:
            now: Time of the event loop's clock.
            max_idle: Upper limit of the idle time, in seconds.
        """
        timeout = max_idle
        if self.idle_timeout is not None:
            timeout = min(timeout, self.idle_timeout / 2)
        return (
            self.reusable
            and not self.active
            and not self.lost
            and not self.transport.is_closing()
            and now - self.idle_since < timeout
        )


def parse_keep_alive_timeout(
    headers: list[http_messages.Header],
) -> float | None:
    """Return the `timeout` of a Keep-Alive header, None if absent."""
    value = http_messages.find_header(headers, "keep-alive") or ""
    for item in value.split(","):
        name, _, number = item.strip().partition("=")
        if name.lower() == "timeout" and number.isdecimal():
            return float(number)
    return None
