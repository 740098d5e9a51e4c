"""Outcomes of recent attempts, so that no attempt runs twice.

Refused and cancelled attempts are recorded too. A gateway that received
the outcome not_run may retry elsewhere, so a late duplicate of the dispatch
must be refused.
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
    """State of an attempt in the registry.

    OPEN: Queued or running.
    CANCELLED: Cancelled while queued, or before its dispatch arrived.
    FINISHED: Ended or refused.
    """

    OPEN = "open"
    CANCELLED = "cancelled"
    FINISHED = "finished"


class AttemptRecord(NamedTuple):
    """State of an attempt, and its outcome as far as it is known."""

    state: AttemptState
    outcome: outcomes.Outcome


OPEN: Final = AttemptRecord(AttemptState.OPEN, outcomes.Outcome.UNKNOWN)


class AttemptRegistry:
    """Records of attempts by id; not thread-safe."""

    def __init__(self, limit: int) -> None:
        """Create an empty registry of at most limit attempts."""
        self.limit = limit
        self.attempts: dict[str, AttemptRecord] = {}
        self.closed: collections.deque[tuple[datetime.timedelta, str]] = (
            collections.deque()
        )

    def find(
        self, attempt_id: str, now: datetime.timedelta
    ) -> AttemptRecord | None:
        """Return the record of an attempt, or None if there is none."""
        self.expire(now)
        return self.attempts.get(attempt_id)

    def has_room(self, now: datetime.timedelta) -> bool:
        """Return whether the registry can hold another attempt."""
        self.expire(now)
        return len(self.attempts) < self.limit

    def open(self, attempt_id: str) -> None:
        """Record a new attempt that may run."""
        self.attempts[attempt_id] = OPEN

    def close(
        self,
        attempt_id: str,
        record: AttemptRecord,
        now: datetime.timedelta,
    ) -> bool:
        """Record the end of an attempt, or a cancel that precedes its dispatch.

        Returns:
            False when the attempt is new and the registry is full.
        """
        if attempt_id not in self.attempts and not self.has_room(now):
            return False
        self.attempts[attempt_id] = record
        self.closed.append((now, attempt_id))
        return True

    def expire(self, now: datetime.timedelta) -> None:
        """Remove attempts that ended longer ago than the retention period."""
        while self.closed and now - self.closed[0][0] >= RETENTION:
            _, attempt_id = self.closed.popleft()
            self.attempts.pop(attempt_id, None)


def finished(outcome: outcomes.Outcome) -> AttemptRecord:
    """Build the record of an attempt that ended with the outcome."""
    return AttemptRecord(AttemptState.FINISHED, outcome)


def cancelled(outcome: outcomes.Outcome) -> AttemptRecord:
    """Build the record of an attempt that must not be started."""
    return AttemptRecord(AttemptState.CANCELLED, outcome)


def create_attempt_registry(limit: int = MAX_ATTEMPTS) -> AttemptRegistry:
    """Create an empty registry of at most limit attempts."""
    return AttemptRegistry(limit)
