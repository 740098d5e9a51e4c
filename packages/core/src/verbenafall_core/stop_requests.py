"""Waits for a signal that asks the process to stop."""

import signal
import socket
from types import FrameType
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
MAX_WAKEUP_BYTES: Final = 4096


class StopRequests:
    """Whether a stop signal was received, and a wait for it.

    Python runs signal handlers on the main thread, between any two bytecode
    instructions. A signal does not interrupt a blocking call of that thread if
    it arrives just before the call or on another thread. The interpreter
    writes the number of each signal to the wakeup descriptor at once, on any
    thread, so the main thread waits at the other end of that socket.

    Handlers may interrupt wait() anywhere, as it holds no lock. A
    threading.Event would deadlock with a handler that sets it.

    Attributes:
        received: Whether a stop signal was handled.
    """

    def __init__(self, reader: socket.socket, writer: socket.socket) -> None:
        """Create an instance without installed handlers.

        Args:
            reader: Blocking socket to wait at.
            writer: The other end of it, non-blocking.
        """
        self.reader = reader
        self.writer = writer
        self.received = False

    def install(self) -> None:
        """Install the signal handlers; call on the main thread."""
        # If the buffer is full, the bytes in it wake the main thread.
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, self.handle_signal)

    def handle_signal(self, _number: int, _frame: FrameType | None) -> None:
        """Record a signal; further signals have no effect."""
        self.received = True

    def wait(self) -> None:
        """Wait for the first signal; return if one was already received.

        The handlers of other signals run during the wait and do not end it.
        """
        while not self.received:
            # The handlers run when the call has returned.
            self.reader.recv(MAX_WAKEUP_BYTES)


def create_stop_requests() -> StopRequests:
    """Create an instance whose handlers are not installed."""
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    return StopRequests(reader, writer)
