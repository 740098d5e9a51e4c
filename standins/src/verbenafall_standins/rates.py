"""Rate limiter of the stand-ins."""

import threading

from verbenafall_core import clock as clock_lib


class TokenBucket:
    """Token bucket that holds the tokens of one second."""

    def __init__(self, per_second: float, tokens: float | None = None) -> None:
        """Create a bucket with the given tokens, by default full."""
        self.per_second = per_second
        self.tokens = per_second if tokens is None else tokens
        self.clock = clock_lib.system_clock()
        self.filled_at = self.clock.monotonic()
        self.lock = threading.Lock()

    def try_acquire(self, amount: float = 1) -> bool:
        """Remove tokens and return True if the bucket has enough.

        An amount above the capacity empties a full bucket.
        """
        with self.lock:
            now = self.clock.monotonic()
            refilled = (now - self.filled_at).total_seconds() * self.per_second
            self.tokens = min(self.per_second, self.tokens + refilled)
            self.filled_at = now
            needed = min(amount, self.per_second)
            if self.tokens < needed:
                return False
            self.tokens -= needed
            return True
