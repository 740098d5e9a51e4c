"""Planned shutdown: no new work, open attempts are finished."""

from collections.abc import Callable
import datetime
from typing import Final
from typing import Protocol

from verbenafall_core import event_log
from verbenafall_sidecar import event_catalogue
from verbenafall_sidecar.delivery import dispatcher as dispatcher_lib

STOP_LIMIT: Final = datetime.timedelta(seconds=120)


class Work(Protocol):
    """The open attempts."""

    def start_drain(self) -> None:
        """Refuse new dispatches from now on."""

    def wait_until_idle(self, limit: datetime.timedelta) -> int:
        """Wait until no attempt is open; return the number still open."""

    def snapshot(self) -> dispatcher_lib.Snapshot:
        """Return the load."""


def drain(
    work: Work,
    announce: Callable[[dispatcher_lib.Snapshot], None],
    limit: datetime.timedelta,
) -> int:
    """Announce the shutdown and wait for open attempts.

    Returns:
        The number of attempts that were still open at the limit.
    """
    work.start_drain()
    snapshot = work.snapshot()
    announce(snapshot)
    event_log.emit(
        event_catalogue.SIDECAR_STOPPING,
        in_flight=snapshot.in_flight,
        queued=snapshot.queued,
    )
    return work.wait_until_idle(limit)
