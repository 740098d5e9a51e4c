"""Limits on the open requests of each team and of the whole gateway."""

import enum
import threading


class AdmissionResult(enum.StrEnum):
    """Whether a request was admitted, or which limit refused it."""

    ADMITTED = "entered"
    TEAM_FULL = "team_full"
    GATEWAY_FULL = "gateway_full"


class TeamLimits:
    """Counts open requests by team; idle teams use no memory."""

    def __init__(self, max_open: int) -> None:
        """Create limits without open requests.

        Args:
            max_open: Maximum number of open requests of all teams together.
        """
        self.max_open = max_open
        self.lock = threading.Lock()
        self.total = 0
        self.open: dict[str, int] = {}

    def try_acquire(self, team: str, limit: int) -> AdmissionResult:
        """Count a new request unless a limit has been reached."""
        with self.lock:
            count = self.open.get(team, 0)
            if count >= limit:
                return AdmissionResult.TEAM_FULL
            if self.total >= self.max_open:
                return AdmissionResult.GATEWAY_FULL
            self.open[team] = count + 1
            self.total += 1
            return AdmissionResult.ADMITTED

    def release(self, team: str) -> None:
        """Stop counting a request that has ended."""
        with self.lock:
            self.total -= 1
            count = self.open[team] - 1
            if count:
                self.open[team] = count
            else:
                del self.open[team]


def create_team_limits(max_open: int) -> TeamLimits:
    """Create limits without open requests."""
    return TeamLimits(max_open)
