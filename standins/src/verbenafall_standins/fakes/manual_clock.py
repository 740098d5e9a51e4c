"""A clock that only moves when a test advances it."""

import datetime
from typing import Final

ORIGIN: Final = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class ManualClock:
    """Implements clock.Clock; the time of day starts at ORIGIN."""

    def __init__(self) -> None:
        """Create a clock at ORIGIN."""
        self.elapsed = datetime.timedelta()

    def now(self) -> datetime.datetime:
        """Return ORIGIN plus the time by which the clock was advanced."""
        return ORIGIN + self.elapsed

    def monotonic(self) -> datetime.timedelta:
        """Return the time by which the clock was advanced."""
        return self.elapsed

    def advance(self, step: datetime.timedelta) -> None:
        """Advance the clock by a duration."""
        self.elapsed += step


def create_manual_clock() -> ManualClock:
    """Create a clock at ORIGIN."""
    return ManualClock()
