"""Counts the open requests, for a planned stop."""

import datetime
import threading


class Activity:
    """Number of open requests; thread-safe."""

    def __init__(self) -> None:
        """Create a counter without open requests."""
        self.changed = threading.Condition()
        self.count = 0

    def record_start(self) -> None:
        """Count a new request."""
        with self.changed:
            self.count += 1

    def record_end(self) -> None:
        """Stop counting a request that has been answered."""
        with self.changed:
            self.count -= 1
            self.changed.notify_all()

    def wait_idle(self, limit: datetime.timedelta) -> int:
        """Wait until no request is open; return the number still open."""
        with self.changed:
            self.changed.wait_for(
                lambda: self.count == 0, limit.total_seconds()
            )
            return self.count


def create_activity() -> Activity:
    """Create a counter without open requests."""
    return Activity()
