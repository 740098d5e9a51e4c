"""Clock interface and the system clock."""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time that is passed to whatever needs it."""

    def now(self) -> datetime.datetime:
        """Return the time of day in UTC."""

    def monotonic(self) -> datetime.timedelta:
        """Return a reading that never goes back, from an arbitrary origin."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime.datetime:
        """Return the time of day in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Return the monotonic clock of the operating system."""
        return datetime.timedelta(seconds=time.monotonic())


def system_clock() -> Clock:
    """Return the clock of the operating system."""
    return SystemClock()
