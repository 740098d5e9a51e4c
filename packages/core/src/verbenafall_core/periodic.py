"""Calls a function at a jittered interval on its own thread."""

from collections.abc import Callable
import datetime
import random
import threading
from typing import Final

from verbenafall_core import event_catalogue
from verbenafall_core import event_log

JITTER: Final = 0.25
NO_DELAY: Final = datetime.timedelta()


class PeriodicTask:
    """A function that is called repeatedly until the task is stopped."""

    def __init__(
        self,
        name: str,
        interval: datetime.timedelta,
        function: Callable[[], None],
        generator: random.Random,
        first_delay: datetime.timedelta,
    ) -> None:
        """Create a task that is not yet running."""
        self.name = name
        self.interval = interval
        self.function = function
        self.generator = generator
        self.first_delay = first_delay
        self.wake = threading.Event()
        self.wake_delay = NO_DELAY
        self.stopped = False
        self.thread = threading.Thread(target=self.run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread; the first call comes after the first delay."""
        self.thread.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop, and wait for a running call up to the limit."""
        self.stopped = True
        self.wake.set()
        if self.thread is not threading.current_thread():
            self.thread.join(limit.total_seconds())

    def run_now(self) -> None:
        """Start the next call without waiting for the interval."""
        self.wake.set()

    def run_within(self, limit: datetime.timedelta) -> None:
        """Start the next call after a random part of a time limit."""
        self.wake_delay = self.generator.uniform(0, 1) * limit
        self.wake.set()

    def run(self) -> None:
        """Call the function until stopped."""
        if self.first_delay:
            self.wake.wait(self.first_delay.total_seconds())
        while not self.stopped:
            self.wake.clear()
            try:
                self.function()
            except Exception as error:  # One failure must not end the task.
                event_log.emit(
                    event_catalogue.PERIODIC_TASK_FAILED,
                    task=self.name,
                    error=repr(error),
                )
            if not self.stopped:
                self.wake.wait(self.next_delay())
            delay, self.wake_delay = self.wake_delay, NO_DELAY
            if delay:
                self.wake.clear()
                # stop() sets both, so that one of them is seen.
                if not self.stopped:
                    self.wake.wait(delay.total_seconds())

    def next_delay(self) -> float:
        """Return the seconds until the next call: the interval with jitter."""
        factor = self.generator.uniform(1 - JITTER, 1 + JITTER)
        return self.interval.total_seconds() * factor


def create_periodic_task(
    name: str,
    interval: datetime.timedelta,
    function: Callable[[], None],
    generator: random.Random | None = None,
    first_delay: datetime.timedelta = NO_DELAY,
) -> PeriodicTask:
    """Create a task that is not yet running."""
    return PeriodicTask(
        name, interval, function, generator or random.Random(), first_delay
    )
