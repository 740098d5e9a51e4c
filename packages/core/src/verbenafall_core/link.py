"""A link: a TCP connection that carries messages between processes."""

import collections
import socket
import threading
from typing import Final
from typing import Protocol

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import codec
from verbenafall_core import messages

MAX_PENDING_BYTES: Final = 16 * 1024 * 1024


class LinkOwner(Protocol):
    """Performs the I/O of a link."""

    clock: clock_lib.Clock

    def schedule(self, link: "Link") -> None:
        """Write or close a link in the next pass; safe from any thread."""


class Link:
    """One connection to a peer.

    Attributes:
        outgoing: Whether this process opened the connection.
        peer: The peer's hello, None until it is received.
        pending: Encoded messages that are queued.
        unsent: Rest of the last write that the socket did not accept.
        close_reason: Set when closing is requested, else empty.
        connected: Whether the connection is established.
    """

    def __init__(
        self,
        loop: LinkOwner,
        sock: socket.socket,
        address: addresses.Address,
        outgoing: bool,
    ) -> None:
        """Create a link over a connected or connecting socket."""
        self.loop = loop
        self.sock = sock
        self.address = address
        self.outgoing = outgoing
        self.peer: messages.Hello | None = None
        self.decoder = codec.create_decoder()
        self.lock = threading.Lock()
        self.pending: collections.deque[bytes] = collections.deque()
        self.pending_bytes = 0
        self.unsent = memoryview(b"")
        self.closed = False
        self.close_reason = ""
        self.connected = not outgoing
        self.last_received = loop.clock.monotonic()

    def send(self, message: messages.Message) -> bool:
        """Queue a message.

        Returns:
            False if the message was not queued, so that no byte of it was
            sent. True does not mean that it will arrive.
        """
        return self.send_encoded(codec.encode(message))

    def send_encoded(self, data: bytes) -> bool:
        """Queue the bytes of a message, as send() does.

        Used to send one message on many links and encode it only once.
        """
        with self.lock:
            if self.closed or self.close_reason:
                return False
            if self.pending_bytes + len(data) > MAX_PENDING_BYTES:
                self.close_reason = "the peer reads too slowly"
                self.loop.schedule(self)
                return False
            self.pending.append(data)
            self.pending_bytes += len(data)
        self.loop.schedule(self)
        return True

    def close(self, reason: str) -> None:
        """Request that the link be closed; queued messages are dropped."""
        with self.lock:
            if not self.close_reason:
                self.close_reason = reason
        self.loop.schedule(self)

    def pop_pending(self) -> bytes:
        """Remove and return all queued bytes."""
        with self.lock:
            data = b"".join(self.pending)
            self.pending.clear()
            self.pending_bytes = 0
        return data

    def has_output(self) -> bool:
        """Return whether bytes are waiting to be written."""
        return bool(self.unsent) or bool(self.pending)
