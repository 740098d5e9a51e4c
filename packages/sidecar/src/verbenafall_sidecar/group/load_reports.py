"""Reports the load of this sidecar's endpoint to the gateways."""

from collections.abc import Callable
import datetime
from typing import Final
from typing import Protocol

from verbenafall_core import clock as clock_lib
from verbenafall_core import codec
from verbenafall_core import link as link_lib
from verbenafall_core import messages
from verbenafall_sidecar.delivery import attempt as attempt_lib
from verbenafall_sidecar.delivery import dispatcher as dispatcher_lib

GATEWAY_ROLE = "gateway"
# Sent every second, the time would add a third to the control traffic of an
# idle link.
SEND_TIME_INTERVAL: Final = datetime.timedelta(seconds=5)


class OpenLinks(Protocol):
    """The links of this process."""

    def open_links(self) -> list[link_lib.Link]:
        """Return the links on which the peer's hello was received."""


class LoadReporter:
    """Sends load reports, and at intervals the time of sending."""

    def __init__(
        self,
        links: OpenLinks,
        map_version: Callable[[], int],
        clock: clock_lib.Clock,
    ) -> None:
        """Create a reporter.

        Args:
            links: Links of this process.
            map_version: Returns the expert map in use, 0 without a group.
            clock: Clock for the time of sending.
        """
        self.clock = clock
        self.next_send_time = clock.monotonic()
        self.links = links
        self.map_version = map_version

    def send_to(
        self, link: link_lib.Link, snapshot: dispatcher_lib.Snapshot
    ) -> None:
        """Send a report, without the time of sending, to one gateway."""
        link.send(build_report(snapshot, self.map_version()))

    def send_to_all(self, snapshot: dispatcher_lib.Snapshot) -> None:
        """Send a report to all connected gateways.

        The time of sending precedes it once per SEND_TIME_INTERVAL.
        """
        report = build_report(snapshot, self.map_version())
        data = codec.encode(report)
        now = self.clock.monotonic()
        if now >= self.next_send_time:
            self.next_send_time = now + SEND_TIME_INTERVAL
            sent_at = messages.SendTime(attempt_lib.to_ms(now))
            data = codec.encode(sent_at) + data
        for link in self.links.open_links():
            if link.peer is not None and link.peer.role == GATEWAY_ROLE:
                link.send_encoded(data)


def build_report(
    snapshot: dispatcher_lib.Snapshot, map_version: int
) -> messages.LoadReport:
    """Convert the load of the dispatcher to a report."""
    return messages.LoadReport(
        snapshot.in_flight,
        snapshot.queued,
        snapshot.slots,
        attempt_lib.to_ms(snapshot.service_time),
        snapshot.draining,
        snapshot.endpoint_closed or not snapshot.endpoint_up,
        map_version,
    )


def create_load_reporter(
    links: OpenLinks,
    map_version: Callable[[], int],
    clock: clock_lib.Clock,
) -> LoadReporter:
    """Create a reporter; map_version returns 0 without a group."""
    return LoadReporter(links, map_version, clock)
