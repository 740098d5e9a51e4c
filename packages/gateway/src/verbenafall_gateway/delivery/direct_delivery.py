"""Delivery of tokens on the thread that reads the links.

Waking the request's own thread for each token costs more than the token
itself. While that thread waits for the next event of its attempt, it offers
a receiver, by which the link thread hands the next token to the client.
Everything that is not simply the next token goes to the request thread.
"""

import datetime
import enum
from typing import Final
from typing import Protocol

from verbenafall_core import messages
from verbenafall_gateway.delivery import stream_assembly

# A wake-up of each waiting request; the tokens of a request that nobody waits
# for are produced in vain for this long.
CLIENT_CHECK_INTERVAL: Final = datetime.timedelta(milliseconds=500)


class WriteResult(enum.Enum):
    """How much of a token a client has taken.

    WHOLE: All of it.
    IN_PART: The client keeps the rest, which has to be flushed before
        anything else is written.
    LEFT: Nothing; the token has to be delivered in another way.
    """

    COMPLETE = enum.auto()
    PARTIAL = enum.auto()
    NOT_WRITTEN = enum.auto()


class Client(Protocol):
    """The client of a request, called by one thread at a time.

    Attributes:
        shows_loss: A token that is handed over shows whether the client is
            gone, so no check is needed while tokens arrive.
    """

    detects_disconnect: bool

    def try_write(self, data: bytes) -> WriteResult:
        """Take a token; must neither wait nor raise."""

    def flush(self) -> None:
        """Write the rest of a token; may wait, and may raise OSError."""

    def is_gone(self) -> bool:
        """Return whether the client has closed its connection."""


class Receiver:
    """Takes the chunks of one attempt while its request thread waits.

    Attributes:
        assembly: The chunks so far, whichever thread has delivered them.
        delivered: The tokens of the request so far; shared with the request.
    """

    def __init__(
        self,
        assembly: stream_assembly.Assembly,
        client: Client | None,
        delivered: list[str],
    ) -> None:
        """Create a receiver without chunks."""
        self.assembly = assembly
        self.client = client
        self.delivered = delivered

    def try_deliver(self, chunk: messages.Chunk) -> WriteResult:
        """Deliver a chunk if it is the next one and the client takes it."""
        step = stream_assembly.check_chunk(self.assembly, chunk)
        if self.client is None or not is_next(step):
            return WriteResult.NOT_WRITTEN
        handover = self.client.try_write(chunk.data)
        if handover is not WriteResult.NOT_WRITTEN:
            self.assembly = step.assembly
            self.delivered.append(chunk.data.decode("utf-8", "replace"))
        return handover

    def flush(self) -> None:
        """Write the rest of a token that was taken in part."""
        if self.client is not None:
            self.client.flush()


def is_next(step: stream_assembly.Step) -> bool:
    """Return whether a chunk is the next one of its attempt."""
    return step.verdict is stream_assembly.Verdict.DELIVER


def needs_check(client: Client | None, answered: bool) -> bool:
    """Return whether a lost client would show only by a check."""
    if client is None:
        return False
    return not (answered and client.detects_disconnect)


def wait_limit(
    remaining: datetime.timedelta, checked: bool
) -> datetime.timedelta:
    """Return how long to wait for an event before looking up."""
    return min(remaining, CLIENT_CHECK_INTERVAL) if checked else remaining
