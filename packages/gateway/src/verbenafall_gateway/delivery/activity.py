"""Counts open requests and waits until there are none."""

import datetime
import threading


class Activity:
    """Number of open requests; safe to use from any thread."""

    def __init__(self) -> None:
        """Create a count of zero."""
        self.changed = threading.Condition()
        self.count = 0

    def enter(self) -> None:
        """Count a request."""
        with self.changed:
            self.count += 1

    def leave(self) -> None:
        """Take back the count of a request that has been answered."""
        with self.changed:
            self.count -= 1
            self.changed.notify_all()

    def wait_idle(self, limit: datetime.timedelta) -> int:
        """Wait until no request is open; return how many still are."""
        with self.changed:
            self.changed.wait_for(
                lambda: self.count == 0, limit.total_seconds()
            )
            return self.count


def create_activity() -> Activity:
    """Create a count of zero."""
    return Activity()
