"""Waiting for a signal that asks the process to stop."""

import queue
import signal
from types import FrameType
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class StopRequests:
    """The signals received so far.

    Handlers run on the main thread, between any two steps of what it does. An
    event set there waits forever if the main thread holds the event's lock at
    that moment, as it does on its way into the wait. The put() of a
    SimpleQueue may interrupt a get() of the same thread.
    """

    def __init__(self) -> None:
        """Create an object without requests."""
        self.received: queue.SimpleQueue[int] = queue.SimpleQueue()

    def install(self) -> None:
        """Handle the signals from now on; call on the main thread."""
        for number in STOP_SIGNALS:
            signal.signal(number, self.note)

    def note(self, number: int, _frame: FrameType | None) -> None:
        """Take a signal; a second one changes nothing."""
        self.received.put(number)

    def wait(self) -> None:
        """Wait for the first signal, which may have come before."""
        self.received.get()


def create_stop_requests() -> StopRequests:
    """Create an object without requests."""
    return StopRequests()
