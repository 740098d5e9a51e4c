"""A clock that moves only when told to."""

import datetime
from typing import Final

ORIGIN: Final = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class ManualClock:
    """A clock for tests."""

    def __init__(self) -> None:
        """Create a clock at its origin."""
        self.elapsed = datetime.timedelta()

    def now(self) -> datetime.datetime:
        """Return the origin plus the time advanced."""
        return ORIGIN + self.elapsed

    def monotonic(self) -> datetime.timedelta:
        """Return the time advanced."""
        return self.elapsed

    def advance(self, step: datetime.timedelta) -> None:
        """Move the clock."""
        self.elapsed += step


def create_manual_clock() -> ManualClock:
    """Create a clock at its origin."""
    return ManualClock()
