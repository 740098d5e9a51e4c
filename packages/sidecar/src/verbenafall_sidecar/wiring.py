"""Creates and connects the services of a sidecar."""

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
FLUSH_POLL_INTERVAL: Final = datetime.timedelta(milliseconds=20)
KERNEL_STOP_LIMIT: Final = datetime.timedelta(seconds=5)


class Bundles(
    bundle_model.BundleView,
    status.BundleStatus,
    kernel_lib.Service,
    Protocol,
):
    """Interface of the bundle service."""

    broadcast_heartbeat: Callable[[], None] | None

    def attach(self, link_router: link_router.LinkRouter) -> None:
        """Subscribe to bundle messages; call this before the links start."""

    def set_process_count(self, count: int) -> None:
        """Set the poll interval for a number of processes."""


class GroupService(kernel_lib.Service, Protocol):
    """Interface of the service that joins a rank group."""

    def status(self) -> messages.GroupStatus:
        """Return the status of the group."""


class Lease(kernel_lib.Service, Protocol):
    """Interface of the service that tries to hold a lease."""

    def holds(self) -> bool:
        """Return whether this process holds the lease now."""


class Links(Protocol):
    """Interface of the links that the rank-group service uses."""

    def open_links(self) -> list[link_lib.Link]:
        """Return the links on which the peer's hello was received."""


class GroupDependencies(NamedTuple):
    """Dependencies of the rank-group service."""

    bundles: Bundles
    router: link_router.LinkRouter
    links: Links
    lease: Lease
    metrics: metrics_lib.Metrics


Instances = tuple[list_port.Instance, ...]


class Platform(NamedTuple):
    """Services that use the object store and the instance list.

    Attributes:
        instances: Kernel service that polls the instance list.
        watch_instances: Subscribes a function to each list that is read.
        create_lease: Creates the service for a lease by its name.
        create_group: Creates the rank-group service, None without a group.
    """

    store: store_port.ObjectStore
    bundles: Bundles
    instances: kernel_lib.Service
    watch_instances: Callable[[Callable[[Instances], None]], None]
    create_lease: Callable[[str], Lease]
    create_group: Callable[[GroupDependencies], GroupService] | None


class Sidecar:
    """A sidecar process: its services and their lifetime.

    Attributes:
        address: Address for links; with the actual port after start().
    """

    def __init__(
        self,
        settings: sidecar_settings.SidecarSettings,
        platform: Platform,
        clock: clock_lib.Clock,
    ) -> None:
        """Create, connect and register the services without starting them."""
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

    def create_group(self) -> GroupService | None:
        """Create the rank-group service and its lease, None without a group."""
        create = self.platform.create_group
        if create is None or not self.settings.group:
            return None
        lease = self.platform.create_lease(f"group/{self.settings.group}")
        self.kernel.register("group-lease", lease)
        self.platform.watch_instances(self.set_group_links)
        return create(
            GroupDependencies(
                self.bundles, self.router, self.links, lease, self.metrics
            )
        )

    def create_dispatcher(self) -> dispatcher_lib.Dispatcher:
        """Create the dispatcher from the settings and the other services."""
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
        """Subscribe the services to messages and events of the links."""
        responder = status.create_status_responder(
            self.hello, self.bundles, self.work_state, self.group_statuses
        )
        self.bundles.attach(self.router)
        self.bundles.broadcast_heartbeat = self.links.broadcast_heartbeat
        self.platform.watch_instances(
            lambda instances: self.bundles.set_process_count(len(instances))
        )
        self.router.subscribe(messages.Dispatch, self.dispatcher.on_dispatch)
        self.router.subscribe(messages.Cancel, self.dispatcher.on_cancel)
        self.router.subscribe(messages.StatusRequest, responder.on_request)
        self.router.subscribe_close(self.dispatcher.on_link_closed)
        # A report and a heartbeat are written together, so that the report
        # costs a gateway no extra read.
        self.links.before_heartbeats = self.report_load
        self.router.subscribe_open(
            lambda link: self.reporter.send_to(link, self.dispatcher.snapshot())
        )

    def register(self) -> None:
        """Register the services; links are last, so they start last."""
        register = self.kernel.register
        register(service_names.ENDPOINT, self.loop)
        register(service_names.INSTANCE_LIST, self.platform.instances)
        register(service_names.BUNDLES, self.bundles)
        register(service_names.DISPATCHER, self.dispatcher)
        register("endpoint-health", self.health)
        register(
            "housekeeping",
            self.create_task("housekeeping", self.expire_attempts),
        )
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
                self.create_task("claims-resolver", self.claims.resolve),
            )
        if self.group is not None:
            register(service_names.GROUP_MEMBER, self.group)
        register(service_names.LINKS, self.links)

    def create_task(
        self, name: str, function: Callable[[], None]
    ) -> periodic.PeriodicTask:
        """Create a task that runs once per HOUSEKEEPING_INTERVAL."""
        return periodic.create_periodic_task(
            name, HOUSEKEEPING_INTERVAL, function
        )

    def start(self) -> None:
        """Listen on the link address, then start all services.

        Raises:
            link_sockets.LinkError: The address cannot be bound.
        """
        self.address = self.links.listen(self.settings.listen)
        self.kernel.start()
        event_log.emit(
            event_catalogue.SIDECAR_STARTED,
            address=self.address,
            service=self.settings.service,
        )

    def stop(self) -> None:
        """Wait for open attempts up to the limit, then stop all services."""
        deadline = self.clock.monotonic() + self.settings.stop_limit
        left_open = drain.drain(
            self.dispatcher,
            self.reporter.send_to_all,
            self.settings.stop_limit,
        )
        self.flush_links(deadline)
        self.kernel.stop(KERNEL_STOP_LIMIT)
        event_log.emit(event_catalogue.SIDECAR_STOPPED, left_open=left_open)

    def flush_links(self, deadline: datetime.timedelta) -> None:
        """Wait until all links have written their output, or the deadline."""
        pause = threading.Event()
        while self.clock.monotonic() < deadline and any(
            link.has_output() for link in self.links.open_links()
        ):
            pause.wait(FLUSH_POLL_INTERVAL.total_seconds())

    def heartbeat(self) -> messages.Heartbeat:
        """Return a heartbeat with the bundle versions and the drain state."""
        fields = self.bundles.heartbeat_fields()
        return messages.Heartbeat(*fields, self.dispatcher.draining)

    def expire_attempts(self) -> None:
        """Refuse the queued attempts whose deadline has passed."""
        self.dispatcher.expire_queued()

    def report_load(self) -> None:
        """Send the load to all connected gateways."""
        self.reporter.send_to_all(self.dispatcher.snapshot())

    def on_endpoint_change(self, up: bool) -> None:
        """Notify the dispatcher and, by a load report, the gateways."""
        self.dispatcher.set_endpoint_up(up)
        self.report_load()

    def work_state(self) -> status.WorkState:
        """Return the state of the sidecar and its endpoint."""
        snapshot = self.dispatcher.snapshot()
        return status.WorkState(snapshot.draining, snapshot.endpoint_up)

    def group_statuses(self) -> tuple[messages.GroupStatus, ...]:
        """Return the status of the rank group, empty without a group."""
        return () if self.group is None else (self.group.status(),)

    def map_version(self) -> int:
        """Return the expert map in use, 0 without a group."""
        return 0 if self.group is None else self.group.status().map_version

    def set_group_links(self, instances: Instances) -> None:
        """Make the other sidecars of the service the targets of links.

        Of two sidecars, the one whose name sorts first connects.
        """
        self.links.set_targets(find_group_targets(self.hello, instances))


def find_group_targets(
    hello: messages.Hello, instances: Instances
) -> set[addresses.Address]:
    """Return addresses of the service's sidecars whose names sort later."""
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
    """Create statsd metrics, or null metrics without a server."""
    if settings.statsd is None:
        return metrics_lib.NullMetrics()
    return metrics_lib.create_statsd(*settings.statsd, METRICS_PREFIX)


def create_endpoint(
    settings: sidecar_settings.SidecarSettings, loop: transfers.TransferLoop
) -> endpoint_port.Endpoint:
    """Create the adapter for the kind of endpoint in the settings."""
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
    """Create a sidecar without starting its services."""
    return Sidecar(settings, platform, clock)
