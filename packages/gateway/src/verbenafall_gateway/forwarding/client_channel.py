"""Connection of a client: reads whole requests, writes answers."""

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

# Bytes of later requests that are kept while one is being answered.
MAX_BACKLOG_BYTES: Final = 256 * 1024
# A client that does not read what is left of a cut answer is reset.
CLOSE_LIMIT_SECONDS: Final = 2.0
# Unsent bytes above which the writer waits.
WRITE_BUFFER_BYTES: Final = 64 * 1024


class ClientChannelError(Exception):
    """The client's connection has ended."""


class TooLargeError(Exception):
    """A request exceeds a limit; `status` is the answer."""

    def __init__(self, status: int) -> None:
        """Create an error that is answered with a status."""
        super().__init__(status)
        self.status = status


Handler = Callable[
    ["ClientChannel", http_messages.Request], Coroutine[Any, Any, None]
]


class ClientChannel(asyncio.Protocol):
    """One connection of a client.

    Attributes:
        stage_since: When the present wait for bytes began: for a request on
            an idle connection, or for the rest of one.
    """

    transport: asyncio.Transport

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: Handler,
        limits: Callable[[], model.ClientLimits],
        channels: set["ClientChannel"],
    ) -> None:
        """Create the protocol of a connection that is being accepted."""
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.channels = channels
        self.parser = httptools.HttpRequestParser(self)
        self.requests: list[http_messages.Request] = []
        self.task: asyncio.Task[None] | None = None
        self.lost = False
        self.closing = False
        self.last_answer = False
        self.writable = asyncio.Event()
        self.writable.set()
        self.stage_since = 0.0
        self.chunked = False
        self.head_sent = False
        self.start_message(0.0)

    def start_message(self, now: float) -> None:
        """Forget the request that was being read."""
        self.target = b""
        self.headers: list[http_messages.Header] = []
        self.body: list[bytes] = []
        self.body_length = 0
        self.header_length = 0
        self.reading_head = False
        self.reading_body = False
        self.first_byte_at = now

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.stage_since = self.loop.time()
        self.channels.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self.closing:
            return
        now = self.loop.time()
        if not self.reading_head and not self.reading_body:
            self.first_byte_at = now
            if self.task is None:
                self.stage_since = now
        try:
            self.check_head_size(len(data))
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            status = cause.status if isinstance(cause, TooLargeError) else 400
            self.reject(status)
        except TooLargeError as error:
            self.reject(error.status)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject(400)
        self.start_next()

    def check_head_size(self, length: int) -> None:
        """Count bytes of a head that is not yet complete."""
        if self.reading_body:
            return
        self.header_length += length
        limits = self.limits()
        if self.header_length > limits.header_bytes + limits.body_bytes:
            raise TooLargeError(431)

    def eof_received(self) -> bool:
        """Treat a client that stops sending as gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that is being answered."""
        del exc
        self.lost = True
        self.channels.discard(self)
        self.writable.set()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Make the writer wait."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let the writer go on."""
        self.writable.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin to collect a request."""
        self.start_message(self.first_byte_at or self.loop.time())
        self.reading_head = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self.target += url
        self.count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers of a chunked body are dropped."""
        if not self.reading_head:
            return
        self.count_head(len(name) + len(value) + 4)
        self.headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1").strip())
        )

    def count_head(self, length: int) -> None:
        """Refuse a head above the limit."""
        self.header_length += length
        if self.header_length > self.limits().header_bytes:
            raise TooLargeError(431)

    def on_headers_complete(self) -> None:
        """Check the head before the body is read."""
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
        """Take a part of the body."""
        self.body_length += len(data)
        if self.body_length > self.limits().body_bytes:
            raise TooLargeError(413)
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        self.reading_body = False
        self.header_length = 0
        self.requests.append(
            http_messages.Request(
                method=self.parser.get_method().decode("latin-1"),
                target=self.target.decode("latin-1"),
                headers=tuple(self.headers),
                body=b"".join(self.body),
                received_at=self.first_byte_at,
                keep_alive=self.parser.should_keep_alive(),
                http_1_1=self.parser.get_http_version() == "1.1",
            )
        )
        self.body = []

    # Answering.

    def start_next(self) -> None:
        """Answer the next request, if one is waiting."""
        if self.task is not None or not self.requests or self.lost:
            return
        request = self.requests.pop(0)
        self.head_sent = False
        self.last_answer = self.last_answer or not request.keep_alive
        self.task = self.loop.create_task(self.answer(request))

    async def answer(self, request: http_messages.Request) -> None:
        """Answer one request, then go on with the next."""
        try:
            await self.handler(self, request)
        except ClientChannelError:
            self.abort()
        except asyncio.CancelledError:
            if not self.lost:
                self.abort()
        except Exception as error:  # The client must not wait for ever.
            event_log.emit(
                event_catalogue.REQUEST_FAILED,
                target=request.target,
                error=repr(error),
                place=traceback.format_exc(limit=-3),
            )
            self.abort()
        finally:
            self.task = None
            self.stage_since = self.loop.time()
            if self.last_answer and not self.lost:
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
            ClientChannelError: The client is gone.
        """
        self.check_open()
        extra: list[http_messages.Header] = []
        self.chunked = chunked
        if chunked:
            extra.append(("transfer-encoding", "chunked"))
        if self.last_answer:
            extra.append(("connection", "close"))
        self.head_sent = True
        self.transport.write(
            http_messages.format_head(status, [*headers, *extra])
        )

    def send_body(self, data: bytes) -> None:
        """Write a part of an answer's body.

        Raises:
            ClientChannelError: The client is gone.
        """
        self.check_open()
        if data:
            self.transport.write(
                http_messages.format_chunk(data) if self.chunked else data
            )

    def finish_body(self) -> None:
        """Write the end of an answer's body.

        Raises:
            ClientChannelError: The client is gone.
        """
        self.check_open()
        if self.chunked:
            self.transport.write(http_messages.LAST_CHUNK)

    def send_answer(self, answer: http_messages.Answer) -> None:
        """Write a whole answer.

        Raises:
            ClientChannelError: The client is gone.
        """
        self.check_open()
        headers = [
            header for header in answer.headers if header[0] != "content-length"
        ]
        headers.append(("content-length", str(len(answer.body))))
        if self.last_answer:
            headers.append(("connection", "close"))
        self.chunked = False
        self.head_sent = True
        self.transport.write(
            http_messages.format_head(answer.status, headers) + answer.body
        )

    def check_open(self) -> None:
        """Raise ClientChannelError when the client is gone."""
        if self.lost:
            raise ClientChannelError("the client has closed its connection")

    def reject(self, status: int) -> None:
        """Refuse bytes that are no acceptable request, then close."""
        if self.closing:
            return
        self.closing = True
        if self.task is not None:
            # The answer in progress ends first.
            self.last_answer = True
            return
        self.last_answer = True
        with contextlib.suppress(ClientChannelError):
            self.send_answer(http_messages.Answer(status, (), b""))
        self.close()

    def close(self) -> None:
        """Close after what is written has left."""
        self.closing = True
        self.transport.close()

    def abort(self) -> None:
        """Close so that an answer in part does not look whole.

        Chunks without the last one are such an answer, and a reset could
        take from the client what it has not read yet.
        """
        self.closing = True
        self.last_answer = True
        if self.head_sent and self.chunked:
            self.transport.close()
            self.loop.call_later(CLOSE_LIMIT_SECONDS, self.transport.abort)
        else:
            self.transport.abort()
