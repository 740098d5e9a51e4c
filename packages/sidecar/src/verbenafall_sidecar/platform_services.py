"""Creates the services that use the object store and the instance list."""

import returns.pipeline
import returns.result

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import http_client
from verbenafall_core import leases
from verbenafall_core.bundles import model as bundle_model
from verbenafall_core.bundles import service as bundle_service
from verbenafall_core.bundles import signing
from verbenafall_core.instance_list import http_adapter as list_adapter
from verbenafall_core.instance_list import service as list_service
from verbenafall_core.object_store import budget
from verbenafall_core.object_store import http_adapter as store_adapter
from verbenafall_core.object_store import port as store_port
from verbenafall_core.object_store import store_era
from verbenafall_sidecar import sidecar_settings
from verbenafall_sidecar import wiring
from verbenafall_sidecar.group import group_member
from verbenafall_sidecar.orders import order_http

PlatformResult = returns.result.Result[wiring.Platform, str]


def create_platform(
    settings: sidecar_settings.SidecarSettings, clock: clock_lib.Clock
) -> PlatformResult:
    """Create the services without starting them.

    Returns:
        The services, or a text that names the invalid key file.
    """
    keys = signing.read_public_keys(settings.public_keys)
    if not returns.pipeline.is_successful(keys):
        return returns.result.Failure(str(keys.failure()))
    client = http_client.create_http_client()
    era = store_era.create_store_era()
    store = budget.create_budgeted_store(
        store_adapter.create_http_object_store(
            client, settings.object_store_url, era=era
        ),
        clock,
        wiring.create_metrics(settings),
    )
    instances = list_service.create_instance_list_service(
        list_adapter.create_http_instance_list(
            client, settings.instance_list_url
        )
    )
    bundles = bundle_service.create_bundle_service(
        store, keys.unwrap(), clock, start_spread=bundle_service.START_SPREAD
    )

    def create_lease(name: str) -> wiring.Lease:
        return leases.create_lease_service(
            store, clock, name, settings.instance, era=era
        )

    def create_group(
        dependencies: wiring.GroupDependencies,
    ) -> wiring.GroupService:
        return create_group_service(
            settings, store, era, clock, client, dependencies
        )

    return returns.result.Success(
        wiring.Platform(
            store,
            bundles,
            instances,
            instances.subscribe,
            create_lease,
            create_group if settings.group else None,
        )
    )


def create_group_service(
    settings: sidecar_settings.SidecarSettings,
    store: store_port.ObjectStore,
    era: store_era.StoreEra,
    clock: clock_lib.Clock,
    client: http_client.HttpClient,
    dependencies: wiring.GroupDependencies,
) -> wiring.GroupService:
    """Create the service that makes the sidecar a member of its rank group."""
    address = addresses.parse_address(
        settings.endpoint_url.removeprefix("http://")
    ).unwrap()

    def find_group() -> bundle_model.GroupSpec | None:
        bundle = dependencies.bundles.current()
        groups = bundle.groups if bundle else ()
        return next((g for g in groups if g.name == settings.group), None)

    return group_member.create_group_member(
        group_member.Setup(
            settings.group,
            settings.instance,
            find_group,
            order_http.create_http_order_port(client, address),
            store,
            dependencies.router,
            dependencies.links.open_links,
            dependencies.lease.holds,
            clock,
            dependencies.metrics,
            era,
        )
    )
