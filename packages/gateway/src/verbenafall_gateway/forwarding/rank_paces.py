"""How fast the ranks of a group are, as their leader tells."""

from collections.abc import Mapping
from typing import Final

# What a leader has not repeated for this time is forgotten, in seconds.
MAX_AGE_SECONDS: Final = 3.0
# All ranks wait for the slowest one, so ranks from this pace on get no
# requests while others are there.
SLOW_PACE: Final = 1.3


class RankPaces:
    """The newest paces, by host of the engine; event loop only."""

    def __init__(self) -> None:
        """Create paces of which nothing is known."""
        self.terms: dict[str, int] = {}
        self.paces: dict[str, Mapping[str, float]] = {}
        self.heard_at: dict[str, float] = {}

    def take(
        self, group: str, term: int, paces: Mapping[str, float], now: float
    ) -> None:
        """Take what a leader tells, unless a later leader has spoken."""
        if term < self.terms.get(group, 0):
            return
        self.terms[group] = term
        self.paces[group] = paces
        self.heard_at[group] = now

    def is_slow(self, host: str, now: float) -> bool:
        """Return whether the engine on a host holds back its group."""
        return any(
            paces.get(host, 1.0) >= SLOW_PACE
            for group, paces in self.paces.items()
            if now - self.heard_at[group] < MAX_AGE_SECONDS
        )


def create_rank_paces() -> RankPaces:
    """Create paces of which nothing is known."""
    return RankPaces()
