"""State of the endpoints that this gateway has links with."""

import datetime
import threading
from typing import Protocol

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_gateway.choice import report_age
from verbenafall_gateway.choice import routing
from verbenafall_gateway.links import subsetting


class LinkPort(Protocol):
    """The link operations that the gateway's services use."""

    peer: messages.Hello | None
    address: addresses.Address

    def send(self, message: messages.Message) -> bool:
        """Queue a message; return False if no byte of it was queued."""


class LinkedEndpoint:
    """Mutable state of one linked endpoint."""

    def __init__(
        self,
        link: LinkPort,
        hello: messages.Hello,
        opened_at: datetime.timedelta,
    ) -> None:
        """Create the state of an endpoint that has not reported its load."""
        self.link = link
        self.hello = hello
        self.own_in_flight = 0
        self.reported_queue = 0
        self.reported_at = opened_at
        self.delay: report_age.LinkDelay | None = None
        self.draining = False
        self.leaving = False
        self.has_bundle = True


class EndpointView:
    """Linked endpoints by address; thread-safe."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Create a view without endpoints."""
        self.clock = clock
        self.lock = threading.Lock()
        self.endpoints: dict[addresses.Address, LinkedEndpoint] = {}
        self.routable: frozenset[addresses.Address] | None = None

    def attach(self, router: link_router.LinkRouter) -> None:
        """Subscribe to link events, load reports and heartbeats."""
        router.subscribe_open(self.on_open)
        router.subscribe_close(self.on_close)
        router.subscribe(messages.LoadReport, self.on_load_report)
        router.subscribe(messages.SendTime, self.on_send_time)
        router.subscribe(messages.Heartbeat, self.on_heartbeat)

    def start(self) -> None:
        """Do nothing; the view is updated by link callbacks."""

    def stop(self, limit: datetime.timedelta) -> None:
        """Do nothing; the view has no threads."""

    def on_open(self, link: LinkPort) -> None:
        """Add the endpoint of a new link if the peer is a sidecar."""
        hello = link.peer
        if hello is None or hello.role != subsetting.SIDECAR_ROLE:
            return
        with self.lock:
            self.endpoints[link.address] = LinkedEndpoint(
                link, hello, self.clock.monotonic()
            )

    def on_close(self, link: LinkPort, _reason: str) -> None:
        """Remove the endpoint of a closed link."""
        with self.lock:
            endpoint = self.endpoints.get(link.address)
            if endpoint is not None and endpoint.link is link:
                del self.endpoints[link.address]

    def on_load_report(
        self, link: LinkPort, report: messages.LoadReport
    ) -> None:
        """Store the queue length and drain state that a sidecar reports."""
        with self.lock:
            endpoint = self.endpoints.get(link.address)
            if endpoint is None or endpoint.link is not link:
                return
            endpoint.reported_queue = report.queued
            endpoint.reported_at = self.clock.monotonic()
            endpoint.draining = report.draining
            endpoint.leaving = report.leaving

    def on_send_time(self, link: LinkPort, message: messages.SendTime) -> None:
        """Update the estimated delay of a sidecar's messages."""
        sent_at = datetime.timedelta(milliseconds=message.sent_at_ms)
        with self.lock:
            endpoint = self.endpoints.get(link.address)
            if endpoint is not None and endpoint.link is link:
                endpoint.delay = report_age.observe_delay(
                    endpoint.delay, sent_at, self.clock.monotonic()
                )

    def on_heartbeat(
        self, link: LinkPort, heartbeat: messages.Heartbeat
    ) -> None:
        """Store whether a sidecar is draining or still without a bundle."""
        with self.lock:
            endpoint = self.endpoints.get(link.address)
            if endpoint is not None and endpoint.link is link:
                endpoint.draining = heartbeat.draining
                endpoint.has_bundle = heartbeat.in_force > 0

    def set_routable(self, routable: frozenset[addresses.Address]) -> None:
        """Limit new work to these addresses from the instance list.

        Until the first call, all linked endpoints may get new work.
        """
        with self.lock:
            self.routable = routable

    def snapshot(self) -> list[routing.EndpointState]:
        """Return the state of all linked endpoints."""
        with self.lock:
            now = self.clock.monotonic()
            return [
                self.describe(address, endpoint, now)
                for address, endpoint in self.endpoints.items()
            ]

    def describe(
        self,
        address: addresses.Address,
        endpoint: LinkedEndpoint,
        now: datetime.timedelta,
    ) -> routing.EndpointState:
        """Return the state of one endpoint; the caller holds the lock."""
        return routing.EndpointState(
            endpoint.hello.instance,
            endpoint.hello.service,
            endpoint.hello.data_centre,
            address,
            endpoint.own_in_flight,
            endpoint.reported_queue,
            self.is_available(address, endpoint),
            report_age.estimate_age(endpoint.reported_at, endpoint.delay, now),
        )

    def is_available(
        self, address: addresses.Address, endpoint: LinkedEndpoint
    ) -> bool:
        """Return whether an endpoint may get new work."""
        if endpoint.draining or endpoint.leaving or not endpoint.has_bundle:
            return False
        return self.routable is None or address in self.routable

    def open_attempt(self, address: addresses.Address) -> LinkPort | None:
        """Count an attempt on an endpoint and return its link.

        Returns None if the endpoint became unavailable after it was chosen.
        The link may be closed as soon as no attempt is counted on it.
        """
        with self.lock:
            endpoint = self.endpoints.get(address)
            if endpoint is None or not self.is_available(address, endpoint):
                return None
            endpoint.own_in_flight += 1
            return endpoint.link

    def close_attempt(self, link: LinkPort) -> None:
        """Stop counting an attempt that was opened on a link."""
        with self.lock:
            endpoint = self.endpoints.get(link.address)
            if endpoint is not None and endpoint.link is link:
                endpoint.own_in_flight -= 1

    def busy_addresses(self) -> frozenset[addresses.Address]:
        """Return the addresses of endpoints with open attempts."""
        with self.lock:
            return frozenset(
                address
                for address, endpoint in self.endpoints.items()
                if endpoint.own_in_flight > 0
            )

    def links(self) -> list[LinkPort]:
        """Return the links to all endpoints."""
        with self.lock:
            return [endpoint.link for endpoint in self.endpoints.values()]


def create_endpoint_view(clock: clock_lib.Clock) -> EndpointView:
    """Create a view without endpoints."""
    return EndpointView(clock)
