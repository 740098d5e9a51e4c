"""Relays an endpoint's answer to the client."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Final
from typing import NamedTuple

from verbenafall_core import answer_heads
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import client_channel
from verbenafall_gateway.forwarding import dialect as dialect_lib
from verbenafall_gateway.forwarding import endpoint_channel
from verbenafall_gateway.forwarding import event_splitter
from verbenafall_gateway.forwarding import http_messages
from verbenafall_gateway.forwarding import retry_decision

# A body up to this size is buffered before any of it is sent to the client, so
# that a truncated one can still be replaced by a retry.
MAX_BUFFERED_BYTES: Final = 1024 * 1024
# Time for the rest of an answer whose head says that the request has not run.
# It is read only to keep the connection.
NOT_RUN_BODY_SECONDS: Final = 0.1
NOT_RUN_STATUSES: Final = frozenset({421, 429, 503})
MISDIRECTED_REQUEST: Final = 421
ENCODING_REASON: Final = "the body is in an encoding that nobody asked for"
CRASH_REASON: Final = "the endpoint crashed within an answer without a length"


class BufferedBody(NamedTuple):
    """The body of an answer, read up to its end or the buffer limit.

    Attributes:
        body: The bytes read so far.
        complete: Whether the end of the body was read.
        reason: Why the answer ended early; empty if it did not.
    """

    body: bytes
    complete: bool
    reason: str


class RelayState:
    """The part of an answer that was already sent to the client.

    It outlives an attempt, so that a retry can continue a stream.

    Attributes:
        started: Whether the head was sent.
        last_event_id: Id of the last event sent.
        events: Number of events sent.
        first_byte_at: When the first byte of the body was sent, in seconds of
            the event loop's clock.
    """

    def __init__(self) -> None:
        """Create a state in which nothing was sent."""
        self.started = False
        self.last_event_id: str | None = None
        self.events = 0
        self.first_byte_at: float | None = None


class AnswerRelay:
    """Relays the answer of one attempt."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialect: dialect_lib.Dialect,
        client: client_channel.ClientChannel,
        state: RelayState,
        on_progress: Callable[[], None],
        on_head: Callable[[endpoint_channel.Head], None],
        on_pause: Callable[[float, float], None],
        has_crashed: Callable[[], Awaitable[bool]],
        may_be_encoded: bool = False,
    ) -> None:
        """Create a relay to a client.

        Args:
            loop: The event loop.
            dialect: Names of the headers to evaluate.
            client: Connection to which the answer is written.
            state: What earlier attempts sent to the client; updated here.
            on_progress: Called on complete events of a stream, and once the
                body of any other success, or a part of it, was buffered.
            on_head: Called on the head of the answer.
            on_pause: Called with the pause between two events of a stream and
                with the target of its route, in seconds.
            has_crashed: Returns whether the endpoint has crashed; awaited at
                the end of an answer that ends with its connection.
            may_be_encoded: Whether the client accepts an encoded body.
        """
        self.may_be_encoded = may_be_encoded
        self.has_crashed = has_crashed
        self.on_progress = on_progress
        self.on_head = on_head
        self.on_pause = on_pause
        self.last_event_at: float | None = None
        self.loop = loop
        self.dialect = dialect
        self.client = client
        self.state = state

    async def run(
        self, channel: endpoint_channel.EndpointChannel, route: model.Route
    ) -> retry_decision.Outcome:
        """Relay the answer and return how the attempt ended.

        A success without the endpoint's signature is not relayed.
        """
        part = await channel.next_part()
        if not isinstance(part, endpoint_channel.Head):
            return retry_decision.Broken(failure_reason(part))
        head = part
        self.on_head(head)
        if 200 <= head.status < 300:
            if self.is_encoded(head):
                return retry_decision.Broken(ENCODING_REASON)
            if self.header(head, self.dialect.signature) is None:
                return retry_decision.Broken(
                    "2xx answer without a signature header"
                )
            if route.kind is model.RequestKind.STREAM:
                return await self.relay_stream(channel, head, route)
            return await self.relay_body(channel, head)
        return await self.relay_failure(channel, head)

    def header(self, head: endpoint_channel.Head, name: str) -> str | None:
        """Return the first value of a header, None if it is absent."""
        return http_messages.find_header(head.headers, name)

    def is_encoded(self, head: endpoint_channel.Head) -> bool:
        """Return whether the body is in an encoding that nobody asked for."""
        return not self.may_be_encoded and answer_heads.is_encoded(head.headers)

    async def relay_failure(
        self,
        channel: endpoint_channel.EndpointChannel,
        head: endpoint_channel.Head,
    ) -> retry_decision.Outcome:
        """Classify an answer with an error status.

        Nothing is sent to the client: the caller may retry, and relays the
        returned answer only if it does not.
        """
        not_run = head.status == MISDIRECTED_REQUEST or (
            self.header(head, self.dialect.not_run) is not None
        )
        if not_run:
            # The head alone states this, so a truncated body does not matter.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(NOT_RUN_BODY_SECONDS):
                    await read_buffered(channel)
            return retry_decision.NotRun(head.status)
        if self.is_encoded(head):
            return retry_decision.Broken(ENCODING_REASON)
        buffered = await read_buffered(channel)
        if not buffered.complete:
            return retry_decision.Broken(buffered.reason)
        headers = tuple(http_messages.end_to_end_headers(head.headers))
        return retry_decision.Failed(
            http_messages.Answer(head.status, headers, buffered.body)
        )

    async def relay_body(
        self,
        channel: endpoint_channel.EndpointChannel,
        head: endpoint_channel.Head,
    ) -> retry_decision.Outcome:
        """Relay a body in one piece, or in chunks above the buffer limit."""
        buffered = await read_buffered(channel)
        if buffered.body or buffered.complete:
            self.on_progress()
        if buffered.reason:
            return retry_decision.Broken(buffered.reason)
        if buffered.complete and await self.is_broken_off(channel):
            return retry_decision.Broken(CRASH_REASON)
        headers = http_messages.end_to_end_headers(head.headers)
        self.state.started = True
        if buffered.complete:
            self.client.send_answer(
                http_messages.Answer(head.status, tuple(headers), buffered.body)
            )
            self.state.first_byte_at = self.loop.time()
            return retry_decision.Delivered(head.status)
        self.start_chunked(head)
        self.state.first_byte_at = self.loop.time()
        self.client.send_body(buffered.body)
        while True:
            part = await channel.next_part()
            if isinstance(part, endpoint_channel.Body):
                self.client.send_body(part.data)
                await self.client.writable.wait()
            elif isinstance(part, endpoint_channel.End):
                if await self.is_broken_off(channel):
                    return retry_decision.Broken(CRASH_REASON)
                self.client.finish_body()
                return retry_decision.Delivered(head.status)
            else:
                return retry_decision.Broken(failure_reason(part))

    def start_chunked(self, head: endpoint_channel.Head) -> None:
        """Send the head of an answer that is sent in chunks."""
        headers = http_messages.end_to_end_headers(
            head.headers, frozenset({"content-length"})
        )
        self.client.send_head(head.status, headers, chunked=True)
        self.state.started = True

    async def relay_stream(
        self,
        channel: endpoint_channel.EndpointChannel,
        head: endpoint_channel.Head,
        route: model.Route,
    ) -> retry_decision.Outcome:
        """Relay each event as soon as it is complete.

        The head is sent with the first event, so that a stream that breaks
        before it can still be answered with an error status. A stream that
        continues on another endpoint keeps the head from the first one.
        """
        splitter = event_splitter.EventSplitter()
        while True:
            part = await channel.next_part()
            if isinstance(part, endpoint_channel.Body):
                try:
                    events = event_splitter.select_new_events(
                        splitter.feed(part.data), self.state.last_event_id
                    )
                except event_splitter.EventTooLongError as error:
                    return retry_decision.Broken(str(error))
                if events.complete:
                    self.on_progress()
                    self.record_pause(route)
                self.send_new_events(head, events)
                if not self.client.writable.is_set():
                    await self.client.writable.wait()
            elif isinstance(part, endpoint_channel.End):
                return await self.finish_stream(channel, head, splitter)
            else:
                return retry_decision.Broken(failure_reason(part))

    async def finish_stream(
        self,
        channel: endpoint_channel.EndpointChannel,
        head: endpoint_channel.Head,
        splitter: event_splitter.EventSplitter,
    ) -> retry_decision.Outcome:
        """End a stream, unless its endpoint broke it off."""
        if splitter.rest:
            return retry_decision.Broken("stream ended within an event")
        if not channel.length_known and self.last_event_at is None:
            return retry_decision.Broken("stream ended before its first event")
        if await self.is_broken_off(channel):
            return retry_decision.Broken(CRASH_REASON)
        if not self.state.started:
            self.start_chunked(head)
        self.client.finish_body()
        return retry_decision.Delivered(head.status)

    async def is_broken_off(
        self, channel: endpoint_channel.EndpointChannel
    ) -> bool:
        """Return whether a crash ended an answer that has no length.

        Its end and a crash both close the connection.
        """
        return not channel.length_known and await self.has_crashed()

    def record_pause(self, route: model.Route) -> None:
        """Report the pause since the last event of this attempt."""
        now = self.loop.time()
        if (
            self.last_event_at is not None
            and route.event_gap_target is not None
        ):
            self.on_pause(
                now - self.last_event_at, route.event_gap_target.total_seconds()
            )
        self.last_event_at = now

    def send_new_events(
        self,
        head: endpoint_channel.Head,
        events: event_splitter.NewEvents,
    ) -> None:
        """Send the events that were not sent by an earlier attempt."""
        self.state.last_event_id = events.last_id
        if not events.number:
            return
        if not self.state.started:
            self.start_chunked(head)
        if self.state.first_byte_at is None:
            self.state.first_byte_at = self.loop.time()
        self.state.events += events.number
        self.client.send_body(events.data)


async def read_buffered(
    channel: endpoint_channel.EndpointChannel,
) -> BufferedBody:
    """Read a body until it ends or exceeds MAX_BUFFERED_BYTES."""
    # A body may come in very many pieces.
    data = bytearray()
    while len(data) <= MAX_BUFFERED_BYTES:
        part = await channel.next_part()
        if isinstance(part, endpoint_channel.Body):
            data += part.data
        elif isinstance(part, endpoint_channel.End):
            return BufferedBody(bytes(data), True, "")
        else:
            return BufferedBody(bytes(data), False, failure_reason(part))
    return BufferedBody(bytes(data), False, "")


def failure_reason(part: endpoint_channel.Part) -> str:
    """Describe a part that ended an answer too early, for the log."""
    if isinstance(part, endpoint_channel.Broken):
        return part.reason
    return f"unexpected {type(part).__name__}"
