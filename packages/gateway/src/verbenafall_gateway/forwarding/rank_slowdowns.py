"""Slowdowns of the ranks of a group, as reported by its leader.

A slowdown is the time that a rank needs for its work relative to the usual
time: 1.0 is normal, 2.0 takes twice as long.
"""

from collections.abc import Mapping
from typing import Final

# Slowdowns that the leader has not repeated within this time are ignored.
MAX_AGE_SECONDS: Final = 3.0
# All ranks of a group wait for the slowest one, so ranks at or above this
# slowdown get no requests while enough others are available.
SLOW_THRESHOLD: Final = 1.3
# Streams are moved away from a rank at or above this slowdown. Below it,
# processing the prompt again on another rank would take longer than finishing
# on this one.
MOVE_STREAMS_THRESHOLD: Final = 3.0


class RankSlowdowns:
    """The latest slowdowns by rank group and engine host.

    Not thread-safe: call it on the event loop only.
    """

    def __init__(self) -> None:
        """Create a record without any reported slowdowns."""
        self.terms: dict[str, int] = {}
        self.slowdowns: dict[str, Mapping[str, float]] = {}
        self.received_at: dict[str, float] = {}

    def record(
        self, group: str, term: int, slowdowns: Mapping[str, float], now: float
    ) -> None:
        """Store a leader's report unless a later term has reported already."""
        if term < self.terms.get(group, 0):
            return
        self.terms[group] = term
        self.slowdowns[group] = slowdowns
        self.received_at[group] = now

    def is_slow(self, host: str, now: float) -> bool:
        """Return whether the engine on a host slows down its rank group."""
        return self.slowdown_of(host, now) >= SLOW_THRESHOLD

    def should_move_streams(self, host: str, now: float) -> bool:
        """Return whether streams on a host should move to other engines."""
        return self.slowdown_of(host, now) >= MOVE_STREAMS_THRESHOLD

    def slowdown_of(self, host: str, now: float) -> float:
        """Return the slowdown of the engine on a host, 1 if unknown."""
        return max(
            (
                slowdowns.get(host, 1.0)
                for group, slowdowns in self.slowdowns.items()
                if now - self.received_at[group] < MAX_AGE_SECONDS
            ),
            default=1.0,
        )


def create_rank_slowdowns() -> RankSlowdowns:
    """Create a record without any reported slowdowns."""
    return RankSlowdowns()
