"""Limits the streams of a service while its events come too slowly; no I/O.

Each running stream lengthens every pass of a rank group, and with it the pause
between the events of all streams. Answers load that is above what the engines
bear at the moment, such as the return of all clients after a restart, when the
expert map does not fit the demand yet.
"""

from collections.abc import Callable
from typing import Final

# A pause that is longer than this part of the target counts as slow. The next
# streams to start would make it longer.
SLOW_FRACTION: Final = 0.85
# Share of slow pauses from which fewer streams are started. A single one among
# some twenty makes a stream late.
MAX_SLOW_SHARE: Final = 0.05
# Pauses that are counted before the limit is adjusted, and the least time
# between two adjustments: two to three passes.
MIN_PAUSES: Final = 8
ADJUST_SECONDS: Final = 0.2
# A longer pause is a stall of the group, which fewer streams would not shorten.
MAX_PAUSE_SECONDS: Final = 0.6
DECREASE_FACTOR: Final = 0.75
INCREASE: Final = 0.05
MIN_SHARE: Final = 0.25
# The limit stays this far above the usual load: it prevents that streams pile
# up, and does not turn away the usual ones, whose number is not the cause.
USUAL_LOAD_MARGIN: Final = 1.25
# Weight of the newest load in the moving average of the usual one.
LOAD_SMOOTHING: Final = 0.05
# After a stall the group has its initial expert map, and many requests wait.
RESTART_SHARE: Final = 0.4
# Part of the slots in use up to which requests may start that are late already,
# so that they do not make the next ones late too.
LATE_SHARE: Final = 0.5


class PassPace:
    """Pauses of one service, and the share of its slots to use.

    All times are in seconds of one clock.

    Attributes:
        share: Part of the slots that may be in use, at most 1.
        pauses: Pauses since the last adjustment.
        slow: Those of them that were slow.
        usual_load: Average load per slot while the pauses were not slow, None
            before the first adjustment.
    """

    def __init__(self) -> None:
        """Allow all slots."""
        self.share = 1.0
        self.pauses = 0
        self.slow = 0
        self.adjusted_at = 0.0
        self.usual_load: float | None = None

    def restart(self) -> None:
        """Use fewer slots at first, as the service was stalled."""
        self.share = max(self.min_share(), min(self.share, RESTART_SHARE))

    def min_share(self) -> float:
        """Return the part of the slots that stays in use in any case."""
        usual = USUAL_LOAD_MARGIN * (self.usual_load or 0.0)
        return min(1.0, max(MIN_SHARE, usual))

    def share_for(self, late: bool) -> float:
        """Return the part of the slots up to which a request may start.

        Args:
            late: Whether its latency target can no longer be met.
        """
        return self.share * LATE_SHARE if late else self.share

    def record_pause(
        self,
        pause: float,
        target: float,
        now: float,
        load_per_slot: Callable[[], float],
    ) -> None:
        """Count the pause between two events of a stream.

        Args:
            pause: Length of the pause.
            target: Longest pause with which the stream is on time.
            now: Current time.
            load_per_slot: Returns the open requests of all gateways per slot.
        """
        if pause > MAX_PAUSE_SECONDS:
            return
        self.pauses += 1
        self.slow += pause > SLOW_FRACTION * target
        if self.pauses < MIN_PAUSES or now - self.adjusted_at < ADJUST_SECONDS:
            return
        if self.slow > MAX_SLOW_SHARE * self.pauses:
            self.share = max(self.min_share(), self.share * DECREASE_FACTOR)
        else:
            self.share = min(1.0, self.share + INCREASE)
            load = load_per_slot()
            if self.usual_load is None:
                self.usual_load = load
            self.usual_load += (load - self.usual_load) * LOAD_SMOOTHING
        self.pauses = self.slow = 0
        self.adjusted_at = now
