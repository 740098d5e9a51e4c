"""Delivers tokens to clients directly on the link thread.

Waking the request thread for each token costs more than processing the token.
While the request thread waits for the next event of its attempt, it offers a
receiver through which the link thread writes the next token to the client.
All other events, such as gaps and ends, are queued for the request thread.
"""

import datetime
import enum
from typing import Final
from typing import Protocol

from verbenafall_core import messages
from verbenafall_gateway.delivery import stream_assembly

# How often a waiting request checks whether its client has disconnected. Each
# check wakes a thread; until the check, an engine may generate tokens that
# nobody reads.
CLIENT_CHECK_INTERVAL: Final = datetime.timedelta(milliseconds=500)


class WriteResult(enum.Enum):
    """How much of a token was written to a client.

    COMPLETE: All of it.
    PARTIAL: A part; the client buffers the rest, which must be flushed before
        anything else is written.
    NOT_WRITTEN: Nothing; the request thread has to deliver the token.
    """

    COMPLETE = enum.auto()
    PARTIAL = enum.auto()
    NOT_WRITTEN = enum.auto()


class Client(Protocol):
    """The client of a request, called by one thread at a time.

    Attributes:
        detects_disconnect: Whether writing a token reveals a disconnect, so
            that no check is needed while tokens arrive.
    """

    detects_disconnect: bool

    def try_write(self, data: bytes) -> WriteResult:
        """Write a token as far as possible; must neither wait nor raise."""

    def flush(self) -> None:
        """Write the buffered rest of a token; may wait or raise OSError."""

    def is_disconnected(self) -> bool:
        """Return whether the client has closed its connection."""


class Receiver:
    """Delivers chunks of one attempt while its request thread waits.

    Attributes:
        assembly: The chunks delivered so far by either thread.
        delivered: The request's tokens so far; the list is shared with
            Progress.
    """

    def __init__(
        self,
        assembly: stream_assembly.Assembly,
        client: Client | None,
        delivered: list[str],
    ) -> None:
        """Create a receiver that continues an assembly."""
        self.assembly = assembly
        self.client = client
        self.delivered = delivered

    def try_deliver(self, chunk: messages.Chunk) -> WriteResult:
        """Deliver a chunk if it is the next one and the client accepts it."""
        step = stream_assembly.check_chunk(self.assembly, chunk)
        if self.client is None or not is_next(step):
            return WriteResult.NOT_WRITTEN
        result = self.client.try_write(chunk.data)
        if result is not WriteResult.NOT_WRITTEN:
            self.assembly = step.assembly
            self.delivered.append(chunk.data.decode("utf-8", "replace"))
        return result

    def flush(self) -> None:
        """Write the rest of a partially written token."""
        if self.client is not None:
            self.client.flush()


def is_next(step: stream_assembly.Step) -> bool:
    """Return whether a checked chunk is the next one of its attempt."""
    return step.verdict is stream_assembly.Verdict.DELIVER


def needs_disconnect_check(client: Client | None, answered: bool) -> bool:
    """Return whether a disconnect is noticed only by an explicit check."""
    if client is None:
        return False
    return not (answered and client.detects_disconnect)


def wait_timeout(
    remaining: datetime.timedelta, check_client: bool
) -> datetime.timedelta:
    """Return how long to wait for an event before the next check."""
    return min(remaining, CLIENT_CHECK_INTERVAL) if check_client else remaining
