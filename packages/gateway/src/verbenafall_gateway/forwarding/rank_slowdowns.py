"""How fast the ranks of a group are, as their leader tells."""

from collections.abc import Mapping
from typing import Final

# What a leader has not repeated for this time is forgotten, in seconds.
MAX_AGE_SECONDS: Final = 3.0
# All ranks wait for the slowest one, so ranks from this pace on get no
# requests while others are there.
SLOW_THRESHOLD: Final = 1.3
# Streams leave a rank from this pace on. Below it they end sooner where they
# are than after their prompt was read again elsewhere.
MOVE_STREAMS_THRESHOLD: Final = 3.0


class RankSlowdowns:
    """The newest paces, by host of the engine; event loop only."""

    def __init__(self) -> None:
        """Create paces of which nothing is known."""
        self.terms: dict[str, int] = {}
        self.slowdowns: dict[str, Mapping[str, float]] = {}
        self.received_at: dict[str, float] = {}

    def record(
        self, group: str, term: int, slowdowns: Mapping[str, float], now: float
    ) -> None:
        """Take what a leader tells, unless a later leader has spoken."""
        if term < self.terms.get(group, 0):
            return
        self.terms[group] = term
        self.slowdowns[group] = slowdowns
        self.received_at[group] = now

    def is_slow(self, host: str, now: float) -> bool:
        """Return whether the engine on a host holds back its group."""
        return self.slowdown_of(host, now) >= SLOW_THRESHOLD

    def should_move_streams(self, host: str, now: float) -> bool:
        """Return whether streams should go on at other engines."""
        return self.slowdown_of(host, now) >= MOVE_STREAMS_THRESHOLD

    def slowdown_of(self, host: str, now: float) -> float:
        """Return the time that a rank needs for work, 1 when not known."""
        return max(
            (
                slowdowns.get(host, 1.0)
                for group, slowdowns in self.slowdowns.items()
                if now - self.received_at[group] < MAX_AGE_SECONDS
            ),
            default=1.0,
        )


def create_rank_slowdowns() -> RankSlowdowns:
    """Create paces of which nothing is known."""
    return RankSlowdowns()
