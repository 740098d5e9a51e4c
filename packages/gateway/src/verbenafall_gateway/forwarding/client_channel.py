"""Client connection: parses HTTP requests and writes the answers."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import contextlib
import traceback
from typing import Any
from typing import Final
from typing import cast

import httptools

from verbenafall_core import event_log
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import http_messages

# Bytes of pipelined requests to buffer while one is being answered.
MAX_PIPELINED_BYTES: Final = 256 * 1024
# Time that a client has to read the rest of an aborted answer before its
# connection is reset.
CLOSE_TIMEOUT_SECONDS: Final = 2.0
# High-water mark of unsent bytes, above which `writable` is cleared.
WRITE_BUFFER_BYTES: Final = 64 * 1024


class ClientChannelError(Exception):
    """The client's connection is closed."""


class TooLargeError(Exception):
    """A request exceeds a size limit.

    Attributes:
        status: HTTP status with which to answer.
    """

    def __init__(self, status: int) -> None:
        """Create an error with the status to answer."""
        super().__init__(status)
        self.status = status


Handler = Callable[
    ["ClientChannel", http_messages.Request], Coroutine[Any, Any, None]
]


class ClientChannel(asyncio.Protocol):
    """One client connection.

    Pipelined requests are queued and answered one at a time, in order.

    Attributes:
        requests: Complete requests that wait for an answer.
        pipelined_bytes: Bytes received while a request is being answered.
        task: Task that answers the current request, None when idle.
        lost: Whether the connection has ended.
        closing: Whether received bytes are ignored, as the connection is
            about to close.
        close_after_answer: Whether to close once the current answer is sent,
            and those of the requests that wait, as far as the client expects
            them.
        close_announced: Whether an answer said that it is the last one.
        writable: Cleared while the client reads too slowly.
        waiting_since: When the current wait for bytes started, either for a
            request on an idle connection or for the rest of one. The
            forwarder's sweep compares it with the time limits.
        head_sent: Whether the head of the current answer was written.
        overhead_length: Bytes since the last ones of the body that is being
            read, as of chunk extensions and trailers.
        connected_at: When the connection was accepted.
    """

    transport: asyncio.Transport

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: Handler,
        limits: Callable[[], model.ClientLimits],
        channels: set["ClientChannel"],
    ) -> None:
        """Create the protocol of a connection that is being accepted.

        Args:
            loop: The event loop.
            handler: Coroutine function that answers a request.
            limits: Returns the limits in force.
            channels: Set that contains this channel while it is connected.
        """
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.channels = channels
        self.parser = httptools.HttpRequestParser(self)
        self.requests: list[http_messages.Request] = []
        self.pipelined_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.lost = False
        self.closing = False
        self.close_after_answer = False
        self.close_announced = False
        self.writable = asyncio.Event()
        self.writable.set()
        self.waiting_since = 0.0
        self.chunked = False
        self.head_sent = False
        self.connected_at = 0.0
        self.reset_message(0.0)

    def reset_message(self, now: float) -> None:
        """Reset the parser state for the next request."""
        self.target = b""
        self.headers: list[http_messages.Header] = []
        # A chunk may be as short as one byte.
        self.body = bytearray()
        self.body_length = 0
        self.header_length = 0
        self.overhead_length = 0
        self.reading_head = False
        self.reading_body = False
        self.first_byte_at = now

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the channel."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.connected_at = self.waiting_since = self.loop.time()
        self.channels.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start to answer complete requests.

        Bytes that cannot be parsed or exceed a limit are rejected.
        """
        if self.closing:
            return
        now = self.loop.time()
        if not self.reading_head and not self.reading_body:
            self.first_byte_at = now
            if self.task is None:
                self.waiting_since = now
        body_length = self.body_length
        try:
            self.check_head_size(len(data))
            self.parser.feed_data(data)
            self.check_overhead(len(data), body_length)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            status = cause.status if isinstance(cause, TooLargeError) else 400
            self.reject(status)
        except TooLargeError as error:
            self.reject(error.status)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject(400)
        if self.task is not None:
            self.limit_pipelining(len(data))
        self.start_next()

    def limit_pipelining(self, length: int) -> None:
        """Pause reading when too much was sent ahead of the answers."""
        self.pipelined_bytes += length
        if self.pipelined_bytes > MAX_PIPELINED_BYTES:
            self.transport.pause_reading()

    def check_head_size(self, length: int) -> None:
        """Raise TooLargeError if too much arrives before a body starts."""
        if self.reading_body:
            return
        self.header_length += length
        limits = self.limits()
        if self.header_length > limits.header_bytes + limits.body_bytes:
            raise TooLargeError(431)

    def check_overhead(self, length: int, body_length: int) -> None:
        """Raise TooLargeError if too much arrives between parts of a body.

        Args:
            length: Bytes received now.
            body_length: Length of the body before.
        """
        if not self.reading_body or self.body_length != body_length:
            self.overhead_length = 0
            return
        self.overhead_length += length
        if self.overhead_length > self.limits().header_bytes:
            raise TooLargeError(431)

    def eof_received(self) -> bool:
        """Close the connection when the client half-closes it."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being answered."""
        del exc
        self.lost = True
        self.channels.discard(self)
        self.writable.set()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Clear `writable` above the high-water mark."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Set `writable` when the write buffer has drained."""
        self.writable.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.reset_message(self.first_byte_at or self.loop.time())
        self.reading_head = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may come in pieces."""
        self.target += url
        self.count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; ignore the trailers of a chunked body."""
        if not self.reading_head:
            return
        self.count_head(len(name) + len(value) + 4)
        self.headers.append(http_messages.decode_header(name, value))

    def count_head(self, length: int) -> None:
        """Raise TooLargeError if the head exceeds its limit."""
        self.header_length += length
        if self.header_length > self.limits().header_bytes:
            raise TooLargeError(431)

    def on_headers_complete(self) -> None:
        """Check the announced body length and answer `100-continue`."""
        self.reading_head, self.reading_body = False, True
        length = http_messages.find_header(self.headers, "content-length")
        if (
            length
            and length.isdigit()
            and int(length) > self.limits().body_bytes
        ):
            raise TooLargeError(413)
        expected = http_messages.find_header(self.headers, "expect")
        if (
            expected
            and expected.lower() == "100-continue"
            and self.task is None
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append to the body and check its length."""
        self.body_length += len(data)
        if self.body_length > self.limits().body_bytes:
            raise TooLargeError(413)
        self.body += data

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self.reading_body = False
        self.header_length = 0
        self.requests.append(
            http_messages.Request(
                method=self.parser.get_method().decode("latin-1"),
                target=self.target.decode("latin-1"),
                headers=tuple(self.headers),
                body=bytes(self.body),
                received_at=self.first_byte_at,
                keep_alive=self.parser.should_keep_alive(),
                http_1_1=self.parser.get_http_version() == "1.1",
            )
        )
        self.body = bytearray()

    # Answering.

    def start_next(self) -> None:
        """Start to answer the next queued request unless one is active."""
        if self.task is not None or self.lost:
            return
        if len(self.requests) <= 1 and self.pipelined_bytes:
            self.pipelined_bytes = 0
            self.transport.resume_reading()
        if not self.requests:
            return
        request = self.requests.pop(0)
        self.head_sent = False
        self.close_after_answer = (
            self.close_after_answer or not request.keep_alive
        )
        self.task = self.loop.create_task(self.answer(request))

    async def answer(self, request: http_messages.Request) -> None:
        """Call the handler, then close or continue with the next request.

        If the handler fails or is cancelled, the connection is aborted.
        """
        try:
            await self.handler(self, request)
        except ClientChannelError:
            self.abort()
        except asyncio.CancelledError:
            if not self.lost:
                self.abort()
        except Exception as error:  # Otherwise the client would hang.
            event_log.emit(
                event_catalogue.REQUEST_FAILED,
                target=request.target,
                error=repr(error),
                place=traceback.format_exc(limit=-3),
            )
            self.abort()
        finally:
            self.task = None
            self.waiting_since = self.loop.time()
            if (
                self.close_after_answer
                and not self.lost
                and (self.close_announced or not self.requests)
            ):
                self.close()
            else:
                self.loop.call_soon(self.start_next)

    def send_head(
        self,
        status: int,
        headers: Iterable[http_messages.Header],
        chunked: bool,
    ) -> None:
        """Write the head of an answer.

        Raises:
            ClientChannelError: The connection has ended.
        """
        self.check_open()
        extra: list[http_messages.Header] = []
        self.chunked = chunked
        if chunked:
            extra.append(("transfer-encoding", "chunked"))
        if self.close_after_answer:
            extra.append(("connection", "close"))
            self.close_announced = True
        self.head_sent = True
        self.transport.write(
            http_messages.format_head(status, [*headers, *extra])
        )

    def send_body(self, data: bytes) -> None:
        """Write a part of an answer's body.

        Raises:
            ClientChannelError: The connection has ended.
        """
        self.check_open()
        if data:
            self.transport.write(
                http_messages.format_chunk(data) if self.chunked else data
            )

    def finish_body(self) -> None:
        """Write the end of an answer's body.

        Raises:
            ClientChannelError: The connection has ended.
        """
        self.check_open()
        if self.chunked:
            self.transport.write(http_messages.LAST_CHUNK)

    def send_answer(self, answer: http_messages.Answer) -> None:
        """Write a complete answer with its length.

        Raises:
            ClientChannelError: The connection has ended.
        """
        self.check_open()
        headers = [
            header for header in answer.headers if header[0] != "content-length"
        ]
        headers.append(("content-length", str(len(answer.body))))
        if self.close_after_answer:
            headers.append(("connection", "close"))
            self.close_announced = True
        self.chunked = False
        self.head_sent = True
        self.transport.write(
            http_messages.format_head(answer.status, headers) + answer.body
        )

    def check_open(self) -> None:
        """Raise ClientChannelError if the connection has ended."""
        if self.lost:
            raise ClientChannelError("the client closed the connection")

    def reject(self, status: int) -> None:
        """Stop reading, answer with an error status and close.

        If an answer is in progress, it is finished first and the status is
        not sent.
        """
        if self.closing:
            return
        self.closing = True
        if self.task is not None:
            self.close_after_answer = True
            return
        self.close_after_answer = True
        with contextlib.suppress(ClientChannelError):
            self.send_answer(http_messages.Answer(status, (), b""))
        self.close()

    def close(self) -> None:
        """Close once the write buffer is flushed."""
        self.closing = True
        self.transport.close()

    def abort(self) -> None:
        """Close so that a partial answer does not look complete.

        A chunked answer without its last chunk is recognisably partial, so
        the connection is closed in the normal way: a reset could discard
        data that the client has not read yet. Any other connection is reset.
        """
        self.closing = True
        self.close_after_answer = True
        self.requests.clear()
        if self.head_sent and self.chunked:
            self.transport.close()
            self.loop.call_later(CLOSE_TIMEOUT_SECONDS, self.transport.abort)
        else:
            self.transport.abort()
