"""Token bucket that limits retries to a share of the requests."""

import datetime
import threading
from typing import Final

from verbenafall_core import clock as clock_lib

TOKENS_PER_REQUEST: Final = 0.1
TOKENS_PER_SECOND: Final = 1.0
MAX_TOKENS: Final = 10.0


class RetryBudget:
    """Token bucket for retries, refilled per request and per second."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Create a budget that contains one token."""
        self.clock = clock
        self.lock = threading.Lock()
        self.tokens = 1.0
        self.refilled_at: datetime.timedelta = clock.monotonic()

    def record_request(self) -> None:
        """Add TOKENS_PER_REQUEST for a new request."""
        with self.lock:
            self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def try_acquire(self) -> bool:
        """Use a token for a retry; return False if none is left."""
        with self.lock:
            now = self.clock.monotonic()
            elapsed = (now - self.refilled_at).total_seconds()
            self.refilled_at = now
            added = elapsed * TOKENS_PER_SECOND
            self.tokens = min(MAX_TOKENS, self.tokens + added)
            if self.tokens < 1.0:
                return False
            self.tokens -= 1.0
            return True


def create_retry_budget(clock: clock_lib.Clock) -> RetryBudget:
    """Create a budget that contains one token."""
    return RetryBudget(clock)
