"""Limit on the open requests of each team at this gateway."""

import threading


class TeamLimits:
    """Open requests by team; teams without any take no memory."""

    def __init__(self) -> None:
        """Create limits without open requests."""
        self.lock = threading.Lock()
        self.open: dict[str, int] = {}

    def try_enter(self, team: str, limit: int) -> bool:
        """Count a new request; False when the team is at its limit."""
        with self.lock:
            count = self.open.get(team, 0)
            if count >= limit:
                return False
            self.open[team] = count + 1
            return True

    def leave(self, team: str) -> None:
        """Take back the count of a request that has ended."""
        with self.lock:
            count = self.open[team] - 1
            if count:
                self.open[team] = count
            else:
                del self.open[team]


def create_team_limits() -> TeamLimits:
    """Create limits without open requests."""
    return TeamLimits()
