"""Creates the settings and the bundle of the demonstration run."""

import configparser
import hashlib
import json
import pathlib
from typing import Any

from verbenafall_core import addresses
from verbenafall_standins.demo import plan as plan_lib
from verbenafall_standins.engines import group as group_lib

IniSections = dict[str, dict[str, str]]


def create_bundle(plan: plan_lib.Plan) -> dict[str, Any]:
    """Return the bundle, with the teams whose services are all in the plan."""
    services = sorted({sidecar.service for sidecar in plan.sidecars})
    engines = {s.service for s in plan.sidecars if s.kind == "engine"}
    return {
        "version": 1,
        "deployment": "demonstration",
        "region": "ar-centro",
        "data_centres": list(plan_lib.DATA_CENTRES),
        "services": [
            create_service(name, name in engines) for name in services
        ],
        "teams": [
            create_team(name)
            for name, caller in plan_lib.CALLERS.items()
            if {caller.model_service, caller.records_service} <= {*services}
        ],
        "groups": [
            create_group(name, plan.engines_of(name)) for name in plan.groups()
        ],
    }


def create_service(name: str, is_engine: bool) -> dict[str, Any]:
    """Return the entry of a service in the bundle."""
    return {
        "name": name,
        "kind": "model" if is_engine else "records",
        "model": name if is_engine else "",
        "slots": 16,
        "deadline_ms": 20_000,
        "fences_orders": False,
        "rules": [],
    }


def create_team(name: str) -> dict[str, Any]:
    """Return the entry of a team, which stores its credential as a digest."""
    caller = plan_lib.CALLERS[name]
    digest = hashlib.sha256(caller.credential.encode()).hexdigest()
    return {
        "name": name,
        "credential_digests": [digest],
        "shares": 2 if name == "desk" else 1,
        "max_in_flight": 100,
        "priority": 0,
        "services": [caller.model_service, caller.records_service],
    }


def create_group(
    name: str, sidecars: list[plan_lib.SidecarPlan]
) -> dict[str, Any]:
    """Return the entry of a rank group with three maps.

    Map 1 is the one that the engines start with.
    """
    ranks = len(sidecars) * plan_lib.RANKS_PER_ENGINE
    initial = group_lib.default_placement(plan_lib.EXPERTS, ranks)
    shifted = tuple((rank + 1) % ranks for rank in initial)
    spread = tuple(expert % ranks for expert in range(plan_lib.EXPERTS))
    return {
        "name": name,
        "service": sidecars[0].service,
        "ranks": ranks,
        "experts": plan_lib.EXPERTS,
        "maps": [
            {"version": number, "placement": list(placement)}
            for number, placement in enumerate((initial, shifted, spread), 1)
        ],
        "skew_weight": 4.0,
        "move_weight": 0.01,
        "minimum_dwell_ms": 2000,
        "moves_per_minute": 600,
    }


def create_platform_settings(plan: plan_lib.Plan) -> IniSections:
    """Return the section with the addresses of the platform services."""
    return {
        "platform": {
            "object_store": f"http://{plan.object_store}",
            "instance_list": f"http://{plan.instance_list}",
        },
    }


def create_gateway_settings(
    plan: plan_lib.Plan, gateway: plan_lib.GatewayPlan, key: pathlib.Path
) -> IniSections:
    """Return the settings of a gateway; key is the public key file."""
    return create_platform_settings(plan) | {
        "instance": {
            "name": gateway.name,
            "data_centre": gateway.data_centre,
        },
        "listen": {
            "client": str(gateway.client),
            "admin": str(gateway.admin),
        },
        "bundles": {"public_keys": str(key)},
    }


def create_sidecar_settings(
    plan: plan_lib.Plan, sidecar: plan_lib.SidecarPlan, key: pathlib.Path
) -> IniSections:
    """Return the settings of a sidecar; key is the public key file."""
    sections = create_platform_settings(plan) | {
        "instance": {
            "name": sidecar.name,
            "data_centre": sidecar.data_centre,
        },
        "listen": {"links": str(sidecar.links)},
        "endpoint": {
            "service": sidecar.service,
            "kind": sidecar.kind,
            "url": f"http://{sidecar.endpoint}",
        },
        "bundles": {"public_keys": str(key)},
    }
    if sidecar.group:
        ranks = ", ".join(str(rank) for rank in sidecar.ranks)
        sections["group"] = {"name": sidecar.group, "ranks": ranks}
    return sections


def create_instance_list(plan: plan_lib.Plan) -> list[dict[str, str]]:
    """Return the content of the instance list: all gateways and sidecars."""
    gateways = [
        create_instance(
            gateway.name, "gateway", gateway.data_centre, "", gateway.admin
        )
        for gateway in plan.gateways
    ]
    sidecars = [
        create_instance(
            sidecar.name,
            "sidecar",
            sidecar.data_centre,
            sidecar.service,
            sidecar.links,
        )
        for sidecar in plan.sidecars
    ]
    return gateways + sidecars


def create_instance(
    name: str,
    role: str,
    data_centre: str,
    service: str,
    address: addresses.Address,
) -> dict[str, str]:
    """Return one entry of the instance list."""
    return {
        "name": name,
        "role": role,
        "data_centre": data_centre,
        "service": service,
        "address": str(address),
        "state": "live",
    }


def write_settings(path: pathlib.Path, sections: IniSections) -> pathlib.Path:
    """Write settings to an INI file and return its path."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)
    return path


def write_bundle(path: pathlib.Path, bundle: dict[str, Any]) -> pathlib.Path:
    """Write a bundle to a JSON file and return its path."""
    path.write_text(json.dumps(bundle, indent=1) + "\n", encoding="utf-8")
    return path
