"""Creates the services that reach the platform.

These modules belong to other parts of the workspace and are looked up by
name, so that the sidecar's own modules do not depend on them.
"""

import importlib
from typing import Any

import returns.pipeline
import returns.result

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import http_client
from verbenafall_sidecar import sidecar_settings
from verbenafall_sidecar import wiring

PlatformResult = returns.result.Result[wiring.Platform, str]


def core_module(name: str) -> Any:
    """Return a module of the core package."""
    return importlib.import_module(f"verbenafall_core.{name}")


def create_platform(
    settings: sidecar_settings.SidecarSettings, clock: clock_lib.Clock
) -> PlatformResult:
    """Create the services; the failure says which key file is bad."""
    keys = core_module("bundles.signing").read_public_keys(settings.public_keys)
    if not returns.pipeline.is_successful(keys):
        return returns.result.Failure(str(keys.failure()))
    client = http_client.create_http_client()
    store = core_module("object_store.http_adapter").create_http_object_store(
        client, settings.object_store_url
    )
    source = core_module("instance_list.http_adapter")
    instances = core_module(
        "instance_list.service"
    ).create_instance_list_service(
        source.create_http_instance_list(client, settings.instance_list_url)
    )
    bundles = core_module("bundles.service").create_bundle_service(
        store, keys.unwrap(), clock
    )

    def create_lease(name: str) -> Any:
        return core_module("leases").create_lease_service(
            store, clock, name, settings.instance
        )

    def create_group(inputs: wiring.GroupInputs) -> Any:
        return create_group_part(settings, store, clock, client, inputs)

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


def create_group_part(
    settings: sidecar_settings.SidecarSettings,
    store: Any,
    clock: clock_lib.Clock,
    client: http_client.HttpClient,
    inputs: wiring.GroupInputs,
) -> Any:
    """Create the rank-group part."""
    group_member = importlib.import_module("verbenafall_sidecar.group_member")
    order_http = importlib.import_module("verbenafall_sidecar.order_http")
    address = addresses.parse_address(
        settings.endpoint_url.removeprefix("http://")
    ).unwrap()

    def find_group() -> Any:
        bundle = inputs.bundles.current()
        groups = bundle.groups if bundle else ()
        return next((g for g in groups if g.name == settings.group), None)

    return group_member.create_group_member(
        group_member.Setup(
            settings.group,
            settings.instance,
            find_group,
            order_http.create_http_order_port(client, address),
            store,
            inputs.router,
            inputs.links.open_links,
            inputs.lease.holds,
            clock,
            inputs.metrics,
        )
    )
