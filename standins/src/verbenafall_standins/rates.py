"""Rate limit of the stand-ins."""

import threading

from verbenafall_core import clock as clock_lib


class TokenBucket:
    """Allows a rate, with bursts of one second's worth."""

    def __init__(self, per_second: float, tokens: float | None = None) -> None:
        """Create a bucket, a full one unless the tokens are given."""
        self.per_second = per_second
        self.tokens = per_second if tokens is None else tokens
        self.clock = clock_lib.system_clock()
        self.filled_at = self.clock.monotonic()
        self.lock = threading.Lock()

    def take(self, amount: float = 1) -> bool:
        """Take tokens if there are enough."""
        with self.lock:
            now = self.clock.monotonic()
            gained = (now - self.filled_at).total_seconds() * self.per_second
            self.tokens = min(self.per_second, self.tokens + gained)
            self.filled_at = now
            # An amount above the capacity takes a full bucket.
            needed = min(amount, self.per_second)
            if self.tokens < needed:
                return False
            self.tokens -= needed
            return True
