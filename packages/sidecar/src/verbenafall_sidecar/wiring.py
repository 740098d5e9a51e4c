"""Puts the services of a sidecar together."""

from collections.abc import Callable
import datetime
import threading
from typing import Final
from typing import NamedTuple
from typing import Protocol

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import http_client
from verbenafall_core import kernel as kernel_lib
from verbenafall_core import link as link_lib
from verbenafall_core import link_loop
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import periodic
from verbenafall_core import service_names
from verbenafall_core.bundles import model as bundle_model
from verbenafall_core.claims import collector
from verbenafall_core.claims import service as claim_service
from verbenafall_core.instance_list import port as list_port
from verbenafall_core.object_store import port as store_port
from verbenafall_sidecar import event_catalogue
from verbenafall_sidecar import sidecar_settings
from verbenafall_sidecar import status
from verbenafall_sidecar.delivery import attempt_registry
from verbenafall_sidecar.delivery import dispatcher as dispatcher_lib
from verbenafall_sidecar.delivery import drain
from verbenafall_sidecar.delivery import transfers
from verbenafall_sidecar.endpoint import endpoint_health
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import engine_http
from verbenafall_sidecar.endpoint import service_http
from verbenafall_sidecar.endpoint import service_view
from verbenafall_sidecar.group import load_reports

ROLE: Final = "sidecar"
METRICS_PREFIX: Final = "verbenafall.sidecar"
HOUSEKEEPING_INTERVAL: Final = datetime.timedelta(seconds=1)
FLUSH_POLL: Final = datetime.timedelta(milliseconds=20)
KERNEL_STOP_LIMIT: Final = datetime.timedelta(seconds=5)


class Bundles(
    bundle_model.BundleView,
    status.BundleStatus,
    kernel_lib.Service,
    Protocol,
):
    """The bundle service."""

    announce: Callable[[], None] | None

    def attach(self, link_router: link_router.LinkRouter) -> None:
        """Receive the bundle messages of links; call before they start."""

    def set_process_count(self, count: int) -> None:
        """Adapt the poll interval to the number of processes."""


class GroupPart(kernel_lib.Service, Protocol):
    """The rank-group part."""

    def status(self) -> messages.GroupStatus:
        """Return what is known of the group."""


class Lease(kernel_lib.Service, Protocol):
    """A lease that this process tries to hold."""

    def holds(self) -> bool:
        """Return whether this process holds the lease now."""


class Links(Protocol):
    """What the rank-group part needs of the links."""

    def open_links(self) -> list[link_lib.Link]:
        """Return the links whose peers have said hello."""


class GroupInputs(NamedTuple):
    """What the rank-group part is created from."""

    bundles: Bundles
    router: link_router.LinkRouter
    links: Links
    lease: Lease
    metrics: metrics_lib.Metrics


Instances = tuple[list_port.Instance, ...]


class Platform(NamedTuple):
    """The services that reach the platform.

    Attributes:
        instances: Polls the instance list; also a kernel service.
        watch_instances: Calls a function with each list that was read.
        create_group: Creates the rank-group part; None outside of groups.
    """

    store: store_port.ObjectStore
    bundles: Bundles
    instances: kernel_lib.Service
    watch_instances: Callable[[Callable[[Instances], None]], None]
    create_lease: Callable[[str], Lease]
    create_group: Callable[[GroupInputs], GroupPart] | None


class Sidecar:
    """All services of a sidecar."""

    def __init__(
        self,
        settings: sidecar_settings.SidecarSettings,
        platform: Platform,
        clock: clock_lib.Clock,
    ) -> None:
        """Create the services; none is running."""
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.bundles = platform.bundles
        self.metrics = create_metrics(settings)
        self.kernel = kernel_lib.create_kernel(clock)
        self.router = link_router.create_link_router()
        self.hello = messages.Hello(
            messages.PROTOCOL_VERSION,
            settings.instance,
            ROLE,
            settings.data_centre,
            settings.service,
        )
        self.links = link_loop.create_link_loop(
            self.hello, self.heartbeat, self.router, clock
        )
        self.group = self.create_group()
        self.reporter = load_reports.create_load_reporter(
            self.links, self.map_version, clock
        )
        self.loop = transfers.create_transfer_loop(
            clock, self.links.batch_sends
        )
        self.endpoint = create_endpoint(settings, self.loop)
        self.claims = claim_service.create_claim_service(platform.store, clock)
        self.dispatcher = self.create_dispatcher()
        self.health = endpoint_health.create_endpoint_health(
            self.endpoint, self.on_endpoint_change
        )
        self.subscribe()
        self.register()
        self.address = settings.listen

    def create_group(self) -> GroupPart | None:
        """Create the rank-group part of an engine in a group."""
        create = self.platform.create_group
        if create is None or not self.settings.group:
            return None
        lease = self.platform.create_lease(f"group/{self.settings.group}")
        self.kernel.register("group-lease", lease)
        self.platform.watch_instances(self.set_group_links)
        return create(
            GroupInputs(
                self.bundles, self.router, self.links, lease, self.metrics
            )
        )

    def create_dispatcher(self) -> dispatcher_lib.Dispatcher:
        """Create the dispatcher."""
        settings = self.settings
        return dispatcher_lib.create_dispatcher(
            dispatcher_lib.Configuration(
                settings.service,
                settings.instance,
                settings.max_queue,
                settings.kind == sidecar_settings.ENGINE,
            ),
            self.endpoint,
            self.claims,
            service_view.create_service_view(
                self.bundles, settings.service, settings.slots
            ),
            attempt_registry.create_attempt_registry(),
            self.reporter.send_to,
            self.clock,
            self.metrics,
        )

    def subscribe(self) -> None:
        """Connect the services to the messages of links."""
        responder = status.create_status_responder(
            self.hello, self.bundles, self.work_state, self.group_statuses
        )
        self.bundles.attach(self.router)
        self.bundles.announce = self.links.broadcast_heartbeat
        self.platform.watch_instances(
            lambda instances: self.bundles.set_process_count(len(instances))
        )
        self.router.subscribe(messages.Dispatch, self.dispatcher.on_dispatch)
        self.router.subscribe(messages.Cancel, self.dispatcher.on_cancel)
        self.router.subscribe(messages.StatusRequest, responder.on_request)
        self.router.subscribe_close(self.dispatcher.on_link_closed)
        # A report that leaves with a heartbeat costs a gateway no read more.
        self.links.before_heartbeats = self.report_load
        self.router.subscribe_open(
            lambda link: self.reporter.send_to(link, self.dispatcher.snapshot())
        )

    def register(self) -> None:
        """Register the services; the links are the last to start."""
        register = self.kernel.register
        register(service_names.ENDPOINT, self.loop)
        register(service_names.INSTANCE_LIST, self.platform.instances)
        register(service_names.BUNDLES, self.bundles)
        register(service_names.DISPATCHER, self.dispatcher)
        register("endpoint-health", self.health)
        register("housekeeping", self.task("housekeeping", self.keep_house))
        if self.settings.kind == sidecar_settings.RECORDS:
            lease = self.platform.create_lease("claims-collector")
            register("claims-collector-lease", lease)
            register(
                "claims-collector",
                collector.create_claim_collector(
                    self.platform.store, self.clock, lease.holds
                ),
            )
            register(
                service_names.CLAIMS,
                self.task("claims-resolver", self.claims.resolve),
            )
        if self.group is not None:
            register(service_names.GROUP_MEMBER, self.group)
        register(service_names.LINKS, self.links)

    def task(
        self, name: str, function: Callable[[], None]
    ) -> periodic.PeriodicTask:
        """Return a task that runs every second."""
        return periodic.create_periodic_task(
            name, HOUSEKEEPING_INTERVAL, function
        )

    def start(self) -> None:
        """Start all services.

        Raises:
            link.LinkError: The listen address cannot be bound.
        """
        self.address = self.links.listen(self.settings.listen)
        self.kernel.start()
        event_log.emit(
            event_catalogue.SIDECAR_STARTED,
            address=self.address,
            service=self.settings.service,
        )

    def stop(self) -> None:
        """Finish open attempts, then stop all services."""
        deadline = self.clock.monotonic() + self.settings.stop_limit
        left = drain.drain(
            self.dispatcher,
            self.reporter.send_to_all,
            self.settings.stop_limit,
        )
        self.flush_links(deadline)
        self.kernel.stop(KERNEL_STOP_LIMIT)
        event_log.emit(event_catalogue.SIDECAR_STOPPED, left_open=left)

    def flush_links(self, deadline: datetime.timedelta) -> None:
        """Wait until all links have written what is queued."""
        pause = threading.Event()
        while self.clock.monotonic() < deadline and any(
            link.has_output() for link in self.links.open_links()
        ):
            pause.wait(FLUSH_POLL.total_seconds())

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat of this process."""
        fields = self.bundles.heartbeat_fields()
        return messages.Heartbeat(*fields, self.dispatcher.draining)

    def keep_house(self) -> None:
        """Drop expired attempts."""
        self.dispatcher.expire_queued()

    def report_load(self) -> None:
        """Report the load to all gateways."""
        self.reporter.send_to_all(self.dispatcher.snapshot())

    def on_endpoint_change(self, up: bool) -> None:
        """Tell the dispatcher and the gateways."""
        self.dispatcher.set_endpoint_up(up)
        self.report_load()

    def work_state(self) -> status.WorkState:
        """Return what the status says about work."""
        snapshot = self.dispatcher.snapshot()
        return status.WorkState(snapshot.draining, snapshot.endpoint_up)

    def group_statuses(self) -> tuple[messages.GroupStatus, ...]:
        """Return the status of the rank group, if any."""
        return () if self.group is None else (self.group.status(),)

    def map_version(self) -> int:
        """Return the expert map in use, 0 outside of groups."""
        return 0 if self.group is None else self.group.status().map_version

    def set_group_links(self, instances: Instances) -> None:
        """Keep links to the other sidecars of the service.

        Of each pair, the instance whose name sorts first connects.
        """
        self.links.set_targets(find_group_targets(self.hello, instances))


def find_group_targets(
    hello: messages.Hello, instances: Instances
) -> set[addresses.Address]:
    """Return the addresses of the sidecars that this one connects to."""
    return {
        instance.address
        for instance in instances
        if instance.role == ROLE
        and instance.service == hello.service
        and instance.name > hello.instance
    }


def create_metrics(
    settings: sidecar_settings.SidecarSettings,
) -> metrics_lib.Metrics:
    """Return statsd metrics, or none when no server is set."""
    if settings.statsd is None:
        return metrics_lib.NullMetrics()
    return metrics_lib.create_statsd(*settings.statsd, METRICS_PREFIX)


def create_endpoint(
    settings: sidecar_settings.SidecarSettings, loop: transfers.TransferLoop
) -> endpoint_port.Endpoint:
    """Return the adapter for the kind of endpoint."""
    if settings.kind == sidecar_settings.ENGINE:
        client = http_client.create_http_client()
        return engine_http.create_http_engine(
            settings.endpoint_url, loop, client
        )
    return service_http.create_http_plain_service(settings.endpoint_url, loop)


def create_sidecar(
    settings: sidecar_settings.SidecarSettings,
    platform: Platform,
    clock: clock_lib.Clock,
) -> Sidecar:
    """Create the services of a sidecar; none is running."""
    return Sidecar(settings, platform, clock)
