"""One link: a TCP connection that carries messages between processes."""

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
    """Does the I/O of a link."""

    clock: clock_lib.Clock

    def request_attention(self, link: "Link") -> None:
        """Look at a link soon; may be called from any thread."""


class Link:
    """One connection to a peer."""

    def __init__(
        self,
        loop: LinkOwner,
        sock: socket.socket,
        address: addresses.Address,
        outgoing: bool,
    ) -> None:
        """Wrap a non-blocking socket."""
        self.loop = loop
        self.sock = sock
        self.address = address
        self.outgoing = outgoing
        self.peer: messages.Hello | None = None
        self.decoder = codec.create_decoder()
        self.lock = threading.Lock()
        self.pending: collections.deque[bytes] = collections.deque()
        self.pending_bytes = 0
        self.partial = memoryview(b"")
        self.closed = False
        self.close_reason = ""
        self.connected = not outgoing
        self.last_received = loop.clock.monotonic()

    def send(self, message: messages.Message) -> bool:
        """Queue a message.

        Returns:
            False when the message was not queued, so no byte of it has left.
            True says nothing about its arrival.
        """
        return self.send_encoded(codec.encode(message))

    def send_encoded(self, data: bytes) -> bool:
        """Queue the bytes of a message, as send() does.

        A message for many links is encoded once.
        """
        with self.lock:
            if self.closed or self.close_reason:
                return False
            if self.pending_bytes + len(data) > MAX_PENDING_BYTES:
                self.close_reason = "the peer reads too slowly"
                self.loop.request_attention(self)
                return False
            self.pending.append(data)
            self.pending_bytes += len(data)
        self.loop.request_attention(self)
        return True

    def close(self, reason: str) -> None:
        """Close the link soon; queued messages are dropped."""
        with self.lock:
            if not self.close_reason:
                self.close_reason = reason
        self.loop.request_attention(self)

    def pop_pending(self) -> bytes:
        """Remove and return all queued bytes."""
        with self.lock:
            data = b"".join(self.pending)
            self.pending.clear()
            self.pending_bytes = 0
        return data

    def has_output(self) -> bool:
        """Return whether bytes wait to be written."""
        return bool(self.partial) or bool(self.pending)
