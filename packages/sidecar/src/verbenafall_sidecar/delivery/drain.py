"""Graceful shutdown: refuses new work and finishes open attempts."""

from collections.abc import Callable
import datetime
from typing import Final
from typing import Protocol

from verbenafall_core import event_log
from verbenafall_sidecar import event_catalogue
from verbenafall_sidecar.delivery import dispatcher as dispatcher_lib

STOP_LIMIT: Final = datetime.timedelta(seconds=120)
# Part of the limit for reporting the attempts that are still open.
REPORT_TIME: Final = datetime.timedelta(milliseconds=500)


class Drainable(Protocol):
    """The part of the dispatcher that a drain needs."""

    def start_drain(self) -> None:
        """Refuse all dispatches that arrive from now on."""

    def wait_until_idle(self, limit: datetime.timedelta) -> int:
        """Wait until no attempt is open; return the number still open."""

    def abandon(self) -> None:
        """End all open attempts and report what is known about them."""

    def snapshot(self) -> dispatcher_lib.Snapshot:
        """Return the current load."""


def drain(
    dispatcher: Drainable,
    announce: Callable[[dispatcher_lib.Snapshot], None],
    limit: datetime.timedelta,
) -> int:
    """Announce the shutdown, then complete or abandon the open attempts.

    Returns:
        The number of attempts that were abandoned near the time limit.
    """
    dispatcher.start_drain()
    snapshot = dispatcher.snapshot()
    announce(snapshot)
    event_log.emit(
        event_catalogue.SIDECAR_STOPPING,
        in_flight=snapshot.in_flight,
        queued=snapshot.queued,
    )
    abandoned = dispatcher.wait_until_idle(
        max(limit - REPORT_TIME, datetime.timedelta())
    )
    if abandoned:
        dispatcher.abandon()
    return abandoned
