"""Attempts that this sidecar has seen, so that none is run twice or late.

An attempt that was reported as not run stays known, so that a copy of its
dispatch that arrives later is refused.
"""

import collections
import datetime
import enum
from typing import Final
from typing import NamedTuple

from verbenafall_core import outcomes

RETENTION: Final = datetime.timedelta(minutes=10)
MAX_ATTEMPTS: Final = 100_000


class AttemptState(enum.StrEnum):
    """What happened to an attempt."""

    OPEN = "open"
    CANCELLED = "cancelled"
    FINISHED = "finished"


class KnownAttempt(NamedTuple):
    """An attempt with its outcome so far."""

    state: AttemptState
    outcome: outcomes.Outcome


OPEN: Final = KnownAttempt(AttemptState.OPEN, outcomes.Outcome.UNKNOWN)


class AttemptRegistry:
    """Attempts by id; not safe to use from several threads."""

    def __init__(self, limit: int) -> None:
        """Create a registry that keeps up to limit attempts."""
        self.limit = limit
        self.attempts: dict[str, KnownAttempt] = {}
        self.closed: collections.deque[tuple[datetime.timedelta, str]] = (
            collections.deque()
        )

    def find(
        self, attempt_id: str, now: datetime.timedelta
    ) -> KnownAttempt | None:
        """Return an attempt if it is known."""
        self.expire(now)
        return self.attempts.get(attempt_id)

    def has_room(self, now: datetime.timedelta) -> bool:
        """Return whether another attempt can be kept."""
        self.expire(now)
        return len(self.attempts) < self.limit

    def open(self, attempt_id: str) -> None:
        """Note a new attempt that may run."""
        self.attempts[attempt_id] = OPEN

    def close(
        self,
        attempt_id: str,
        known: KnownAttempt,
        now: datetime.timedelta,
    ) -> bool:
        """Note the end of an attempt, or a cancel before its dispatch.

        Returns:
            False when there was no room to keep it.
        """
        if attempt_id not in self.attempts and not self.has_room(now):
            return False
        self.attempts[attempt_id] = known
        self.closed.append((now, attempt_id))
        return True

    def expire(self, now: datetime.timedelta) -> None:
        """Forget attempts that ended long ago."""
        while self.closed and now - self.closed[0][0] >= RETENTION:
            _, attempt_id = self.closed.popleft()
            self.attempts.pop(attempt_id, None)


def finished(outcome: outcomes.Outcome) -> KnownAttempt:
    """Return the record of an attempt that ended with an outcome."""
    return KnownAttempt(AttemptState.FINISHED, outcome)


def cancelled(outcome: outcomes.Outcome) -> KnownAttempt:
    """Return the record of an attempt that must not be started."""
    return KnownAttempt(AttemptState.CANCELLED, outcome)


def create_attempt_registry(limit: int = MAX_ATTEMPTS) -> AttemptRegistry:
    """Create an empty registry."""
    return AttemptRegistry(limit)
