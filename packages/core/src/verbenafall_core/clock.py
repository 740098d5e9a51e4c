"""Clock interface and the system clock."""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time, injected so that tests can replace it."""

    def now(self) -> datetime.datetime:
        """Return the time of day in UTC."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary origin; it never decreases."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime.datetime:
        """Return the time of day in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary origin; it never decreases."""
        return datetime.timedelta(seconds=time.monotonic())


def system_clock() -> Clock:
    """Return the clock of the operating system."""
    return SystemClock()
