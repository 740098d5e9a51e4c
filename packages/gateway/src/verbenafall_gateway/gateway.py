"""Creates the services of a gateway process and registers them."""

from typing import Final
from typing import NamedTuple

from cryptography.hazmat.primitives.asymmetric import ed25519

from verbenafall_core import clock as clock_lib
from verbenafall_core import http_client
from verbenafall_core import kernel as kernel_lib
from verbenafall_core import link_loop
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import service_names
from verbenafall_core.bundles import service as bundle_service
from verbenafall_core.claims import service as claim_service
from verbenafall_core.instance_list import http_adapter as list_adapter
from verbenafall_core.instance_list import service as list_service
from verbenafall_core.object_store import budget
from verbenafall_core.object_store import http_adapter as store_adapter
from verbenafall_gateway import gateway_settings
from verbenafall_gateway import status as status_lib
from verbenafall_gateway.choice import endpoint_view
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.client_http import admin_app
from verbenafall_gateway.client_http import http_app
from verbenafall_gateway.client_http import http_server
from verbenafall_gateway.delivery import activity as activity_lib
from verbenafall_gateway.delivery import drain as drain_lib
from verbenafall_gateway.delivery import request_flow
from verbenafall_gateway.links import link_targets

ADMIN_THREADS: Final = 4
# Threads beyond client_threads, so that readiness checks and refusals are
# answered immediately while the maximum number of requests is open.
SPARE_THREADS: Final = 16
METRICS_PREFIX: Final = "verbenafall.gateway"

PublicKeys = tuple[ed25519.Ed25519PublicKey, ...]


class Gateway(NamedTuple):
    """A gateway process that has not been started."""

    kernel: kernel_lib.Kernel
    drain: drain_lib.Drain
    client_server: http_server.HttpServer
    admin_server: http_server.HttpServer


def create_gateway(
    settings: gateway_settings.GatewaySettings,
    public_keys: PublicKeys,
    clock: clock_lib.Clock,
) -> Gateway:
    """Create all services without starting them."""
    metrics = create_metrics(settings)
    client = http_client.create_http_client()
    store = budget.create_budgeted_store(
        store_adapter.create_http_object_store(client, settings.object_store),
        clock,
        metrics,
    )
    bundles = bundle_service.create_bundle_service(
        store, public_keys, clock, start_spread=bundle_service.START_SPREAD
    )
    claims = claim_service.create_claim_service(store, clock)
    state = service_state.create_service_state(bundles)
    view = endpoint_view.create_endpoint_view(clock)
    flow = request_flow.create_request_flow(
        view, claims, clock, metrics, settings.data_centre
    )
    status = status_lib.create_status(
        status_lib.Identity(settings.name, settings.data_centre), state, view
    )
    router = link_router.create_link_router()
    for subscriber in (view, flow, status, bundles):
        subscriber.attach(router)
    hello = messages.Hello(
        messages.PROTOCOL_VERSION,
        settings.name,
        "gateway",
        settings.data_centre,
        "",
    )
    links = link_loop.create_link_loop(hello, state.heartbeat, router, clock)
    bundles.broadcast_heartbeat = links.broadcast_heartbeat
    instances = list_service.create_instance_list_service(
        list_adapter.create_http_instance_list(client, settings.instance_list)
    )
    instances.subscribe(lambda listed: bundles.set_process_count(len(listed)))
    targets = link_targets.create_link_targets(
        settings.name,
        settings.data_centre,
        settings.links_per_gateway,
        instances,
        links,
        view,
    )
    activity = activity_lib.create_activity()
    app = http_app.create_client_app(
        flow, state, claims, clock, metrics, settings.client_threads
    )
    client_server = http_server.create_http_server(
        settings.client_listen,
        app,
        settings.client_threads + SPARE_THREADS,
        clock,
        activity,
    )
    admin_server = http_server.create_http_server(
        settings.admin_listen,
        admin_app.create_admin_app(state, status),
        ADMIN_THREADS,
        clock,
        activity_lib.create_activity(),
    )
    kernel = kernel_lib.create_kernel(clock)
    kernel.register(service_names.BUNDLES, bundles)
    kernel.register(service_names.INSTANCE_LIST, instances)
    kernel.register(service_names.ENDPOINT_VIEW, view)
    kernel.register(service_names.REQUEST_FLOW, flow)
    kernel.register(service_names.STATUS, status)
    kernel.register(service_names.LINKS, links)
    kernel.register(service_names.LINK_TARGETS, targets)
    kernel.register(service_names.ADMIN_SERVER, admin_server)
    kernel.register(service_names.HTTP_SERVER, client_server)
    drain = drain_lib.create_drain(state, activity, flow.abandon)
    return Gateway(kernel, drain, client_server, admin_server)


def create_metrics(
    settings: gateway_settings.GatewaySettings,
) -> metrics_lib.Metrics:
    """Return a statsd client, or null metrics if no server is set."""
    if settings.statsd is None:
        return metrics_lib.NullMetrics()
    return metrics_lib.create_statsd(
        settings.statsd.host, settings.statsd.port, METRICS_PREFIX
    )
