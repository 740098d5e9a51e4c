"""Reports of this endpoint's load to the gateways."""

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
# Every second it would add a third to the control bytes of an idle link.
SEND_TIME_INTERVAL: Final = datetime.timedelta(seconds=5)


class OpenLinks(Protocol):
    """The links of this process."""

    def open_links(self) -> list[link_lib.Link]:
        """Return the links whose peers have said hello."""


class LoadReporter:
    """Sends load reports."""

    def __init__(
        self,
        links: OpenLinks,
        map_version: Callable[[], int],
        clock: clock_lib.Clock,
    ) -> None:
        """Create a reporter; the map version is 0 outside of groups."""
        self.clock = clock
        self.next_time_at = clock.monotonic()
        self.links = links
        self.map_version = map_version

    def send_to(
        self, link: link_lib.Link, snapshot: dispatcher_lib.Snapshot
    ) -> None:
        """Send a report to one gateway."""
        link.send(build_report(snapshot, self.map_version()))

    def send_to_all(self, snapshot: dispatcher_lib.Snapshot) -> None:
        """Send a report to every linked gateway, at times after the time."""
        report = build_report(snapshot, self.map_version())
        data = codec.encode(report)
        now = self.clock.monotonic()
        if now >= self.next_time_at:
            self.next_time_at = now + SEND_TIME_INTERVAL
            sent_at = messages.SendTime(attempt_lib.to_ms(now))
            data = codec.encode(sent_at) + data
        for link in self.links.open_links():
            if link.peer is not None and link.peer.role == GATEWAY_ROLE:
                link.send_encoded(data)


def build_report(
    snapshot: dispatcher_lib.Snapshot, map_version: int
) -> messages.LoadReport:
    """Return the report of a load."""
    return messages.LoadReport(
        snapshot.in_flight,
        snapshot.queued,
        snapshot.slots,
        attempt_lib.to_ms(snapshot.service_time),
        snapshot.draining,
        not snapshot.endpoint_up,
        map_version,
    )


def create_load_reporter(
    links: OpenLinks,
    map_version: Callable[[], int],
    clock: clock_lib.Clock,
) -> LoadReporter:
    """Create a reporter; the map version is 0 outside of groups."""
    return LoadReporter(links, map_version, clock)
