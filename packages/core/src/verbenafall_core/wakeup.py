"""Interrupts the select() of a selector from another thread."""

import selectors
import socket
from typing import Final

READ_BYTES: Final = 4096


class Wakeup:
    """A socket pair; a byte sent on one socket makes the other readable.

    Attributes:
        reader: The socket that is registered with the selector.
    """

    def __init__(self, selector: selectors.BaseSelector) -> None:
        """Register the readable side with a selector."""
        self.reader, self.writer = socket.socketpair()
        self.reader.setblocking(False)
        self.writer.setblocking(False)
        selector.register(self.reader, selectors.EVENT_READ)

    def wake(self) -> None:
        """Interrupt select(); safe to call from any thread."""
        try:
            self.writer.send(b"\0")
        except (BlockingIOError, OSError):
            return  # A wake-up is already pending, or the loop has ended.

    def drain(self) -> None:
        """Discard the bytes sent by wake()."""
        try:
            while self.reader.recv(READ_BYTES):
                pass
        except BlockingIOError:
            return

    def close(self) -> None:
        """Close both sockets."""
        self.reader.close()
        self.writer.close()


def create_wakeup(selector: selectors.BaseSelector) -> Wakeup:
    """Create a wake-up that is registered with a selector."""
    return Wakeup(selector)
