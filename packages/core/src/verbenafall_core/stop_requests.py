"""Waits for a signal that asks the process to stop."""

import queue
import signal
from types import FrameType
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class StopRequests:
    """Queue of the stop signals received so far.

    Python runs signal handlers on the main thread, between any two bytecode
    instructions. A handler that set a threading.Event would deadlock if it
    interrupted Event.wait() while that holds the event's lock. The put() of a
    SimpleQueue is reentrant: it may interrupt a get() of the same thread.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.received: queue.SimpleQueue[int] = queue.SimpleQueue()

    def install(self) -> None:
        """Install the signal handlers; call on the main thread."""
        for number in STOP_SIGNALS:
            signal.signal(number, self.handle_signal)

    def handle_signal(self, number: int, _frame: FrameType | None) -> None:
        """Record a signal; further signals have no effect."""
        self.received.put(number)

    def wait(self) -> None:
        """Wait for the first signal; return if one was already received."""
        self.received.get()


def create_stop_requests() -> StopRequests:
    """Create an empty queue whose handlers are not installed."""
    return StopRequests()
