"""Reports of this endpoint's load to the gateways."""

from collections.abc import Callable
from typing import Protocol

from verbenafall_core import codec
from verbenafall_core import link as link_lib
from verbenafall_core import messages
from verbenafall_sidecar import attempt as attempt_lib
from verbenafall_sidecar import dispatcher as dispatcher_lib

GATEWAY_ROLE = "gateway"


class OpenLinks(Protocol):
    """The links of this process."""

    def open_links(self) -> list[link_lib.Link]:
        """Return the links whose peers have said hello."""


class LoadReporter:
    """Sends load reports."""

    def __init__(
        self, links: OpenLinks, map_version: Callable[[], int]
    ) -> None:
        """Create a reporter; the map version is 0 outside of groups."""
        self.links = links
        self.map_version = map_version

    def send_to(
        self, link: link_lib.Link, snapshot: dispatcher_lib.Snapshot
    ) -> None:
        """Send a report to one gateway."""
        link.send(build_report(snapshot, self.map_version()))

    def send_to_all(self, snapshot: dispatcher_lib.Snapshot) -> None:
        """Send a report to every linked gateway."""
        report = build_report(snapshot, self.map_version())
        data = codec.encode(report)
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
    links: OpenLinks, map_version: Callable[[], int]
) -> LoadReporter:
    """Create a reporter; the map version is 0 outside of groups."""
    return LoadReporter(links, map_version)
