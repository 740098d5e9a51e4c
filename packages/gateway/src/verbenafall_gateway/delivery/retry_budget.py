"""One token bucket that bounds retries to a share of the requests."""

import datetime
import threading
from typing import Final

from verbenafall_core import clock as clock_lib

TOKENS_PER_REQUEST: Final = 0.1
TOKENS_PER_SECOND: Final = 1.0
MAX_TOKENS: Final = 10.0


class RetryBudget:
    """Tokens for retries, filled by requests and by time."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Create a budget with one token."""
        self.clock = clock
        self.lock = threading.Lock()
        self.tokens = 1.0
        self.filled_at: datetime.timedelta = clock.monotonic()

    def record_request(self) -> None:
        """Add the share that a new request brings."""
        with self.lock:
            self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def try_acquire(self) -> bool:
        """Take one token for a retry; False when the budget is used up."""
        with self.lock:
            now = self.clock.monotonic()
            passed = (now - self.filled_at).total_seconds()
            self.filled_at = now
            added = passed * TOKENS_PER_SECOND
            self.tokens = min(MAX_TOKENS, self.tokens + added)
            if self.tokens < 1.0:
                return False
            self.tokens -= 1.0
            return True


def create_retry_budget(clock: clock_lib.Clock) -> RetryBudget:
    """Create a budget with one token."""
    return RetryBudget(clock)
