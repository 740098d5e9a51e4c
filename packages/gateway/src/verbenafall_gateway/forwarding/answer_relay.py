"""Passes an endpoint's answer on to the client."""

import asyncio
from collections.abc import Callable
from typing import Final
from typing import NamedTuple

from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import client_channel
from verbenafall_gateway.forwarding import dialect as dialect_lib
from verbenafall_gateway.forwarding import endpoint_channel
from verbenafall_gateway.forwarding import event_splitter
from verbenafall_gateway.forwarding import http_messages
from verbenafall_gateway.forwarding import retry_decision

# A body up to this size is read whole before the client gets any of it, so
# that a broken one can be replaced.
MAX_HELD_BYTES: Final = 1024 * 1024
NOT_RUN_STATUSES: Final = frozenset({421, 429, 503})
MISDIRECTED: Final = 421


class Held(NamedTuple):
    """The rest of an answer after its head."""

    body: bytes
    complete: bool
    reason: str


class RelayState:
    """What the client has of an answer.

    Attributes:
        last_event_id: Id of the last event that the client has.
        events: Events passed on.
        first_at: When the first byte of the body was passed on.
    """

    def __init__(self) -> None:
        """Create the state before an answer."""
        self.begun = False
        self.last_event_id: str | None = None
        self.events = 0
        self.first_at: float | None = None


class AnswerRelay:
    """Passes one attempt's answer on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialect: dialect_lib.Dialect,
        client: client_channel.ClientChannel,
        state: RelayState,
        progress: Callable[[], None],
    ) -> None:
        """Create a relay to a client.

        Args:
            loop: The event loop.
            dialect: Header names.
            client: Who gets the answer.
            state: What the client has of it.
            progress: Called for each event and each whole answer.
        """
        self.progress = progress
        self.loop = loop
        self.dialect = dialect
        self.client = client
        self.state = state

    async def run(
        self, channel: endpoint_channel.EndpointChannel, route: model.Route
    ) -> retry_decision.Outcome:
        """Read the answer and pass it on as far as it is good."""
        part = await channel.next_part()
        if not isinstance(part, endpoint_channel.Head):
            return retry_decision.Broken(describe(part))
        head = part
        if 200 <= head.status < 300:
            if self.header(head, self.dialect.signature) is None:
                return retry_decision.Broken("success without a signature")
            if route.kind is model.RequestKind.STREAM:
                return await self.pass_stream(channel, head)
            return await self.pass_body(channel, head)
        return await self.take_failure(channel, head)

    def header(self, head: endpoint_channel.Head, name: str) -> str | None:
        """Return a header of an answer."""
        return http_messages.find_header(head.headers, name)

    async def take_failure(
        self,
        channel: endpoint_channel.EndpointChannel,
        head: endpoint_channel.Head,
    ) -> retry_decision.Outcome:
        """Read a failure whole; it is passed on only if nothing better is."""
        not_run = head.status == MISDIRECTED or (
            self.header(head, self.dialect.not_run) is not None
        )
        held = await read_held(channel)
        if not_run:
            # The statement is in the head; the body adds nothing.
            return retry_decision.NotRun(head.status)
        if not held.complete:
            return retry_decision.Broken(held.reason)
        headers = tuple(http_messages.passed_on(head.headers))
        return retry_decision.Failed(
            http_messages.Answer(head.status, headers, held.body)
        )

    async def pass_body(
        self,
        channel: endpoint_channel.EndpointChannel,
        head: endpoint_channel.Head,
    ) -> retry_decision.Outcome:
        """Pass a success on once it is whole, or in parts if it is long."""
        held = await read_held(channel)
        self.progress()
        if held.reason:
            return retry_decision.Broken(held.reason)
        headers = http_messages.passed_on(head.headers)
        self.state.begun = True
        if held.complete:
            self.client.send_answer(
                http_messages.Answer(head.status, tuple(headers), held.body)
            )
            self.state.first_at = self.loop.time()
            return retry_decision.Delivered(head.status)
        self.begin_chunked(head)
        self.state.first_at = self.loop.time()
        self.client.send_body(held.body)
        while True:
            part = await channel.next_part()
            if isinstance(part, endpoint_channel.Body):
                self.client.send_body(part.data)
                await self.client.writable.wait()
            elif isinstance(part, endpoint_channel.End):
                self.client.finish_body()
                return retry_decision.Delivered(head.status)
            else:
                return retry_decision.Broken(describe(part))

    def begin_chunked(self, head: endpoint_channel.Head) -> None:
        """Send the head of an answer whose length is not known."""
        headers = http_messages.passed_on(
            head.headers, frozenset({"content-length"})
        )
        self.client.send_head(head.status, headers, chunked=True)
        self.state.begun = True

    async def pass_stream(
        self,
        channel: endpoint_channel.EndpointChannel,
        head: endpoint_channel.Head,
    ) -> retry_decision.Outcome:
        """Pass whole events on as they come.

        The head goes out with the first event, so that a stream that breaks
        before it can still be refused. A stream that goes on at another
        endpoint keeps the head of the first.
        """
        splitter = event_splitter.EventSplitter()
        while True:
            part = await channel.next_part()
            if isinstance(part, endpoint_channel.Body):
                self.progress()
                self.pass_events(head, splitter.feed(part.data))
                if not self.client.writable.is_set():
                    await self.client.writable.wait()
            elif isinstance(part, endpoint_channel.End):
                if splitter.rest:
                    return retry_decision.Broken("the last event is cut")
                if not self.state.begun:
                    self.begin_chunked(head)
                self.client.finish_body()
                return retry_decision.Delivered(head.status)
            else:
                return retry_decision.Broken(describe(part))

    def pass_events(
        self,
        head: endpoint_channel.Head,
        events: list[event_splitter.StreamEvent],
    ) -> None:
        """Send the events that the client does not have yet."""
        fresh = []
        for event in events:
            if event_splitter.is_later(event.id, self.state.last_event_id):
                fresh.append(event.data)
                self.state.last_event_id = event.id or self.state.last_event_id
        if not fresh:
            return
        if not self.state.begun:
            self.begin_chunked(head)
        if self.state.first_at is None:
            self.state.first_at = self.loop.time()
        self.state.events += len(fresh)
        self.client.send_body(b"".join(fresh))


async def read_held(channel: endpoint_channel.EndpointChannel) -> Held:
    """Read a body up to its end or the limit for held bodies."""
    data: list[bytes] = []
    length = 0
    while length <= MAX_HELD_BYTES:
        part = await channel.next_part()
        if isinstance(part, endpoint_channel.Body):
            data.append(part.data)
            length += len(part.data)
        elif isinstance(part, endpoint_channel.End):
            return Held(b"".join(data), True, "")
        else:
            return Held(b"".join(data), False, describe(part))
    return Held(b"".join(data), False, "")


def describe(part: endpoint_channel.Part) -> str:
    """Return why an answer ended."""
    if isinstance(part, endpoint_channel.Broken):
        return part.reason
    return f"unexpected {type(part).__name__}"
