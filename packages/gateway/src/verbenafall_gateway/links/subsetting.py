"""Pure choice of the endpoints that this gateway keeps links with.

Every gateway computes the links of all gateways from the instance list, and
takes its own. So gateways that read the same list agree without messages.
"""

import collections
from collections.abc import Iterable
from typing import Final

from verbenafall_core import addresses
from verbenafall_core.instance_list import port
from verbenafall_gateway.links import link_matching
from verbenafall_gateway.links import link_shares

SIDECAR_ROLE: Final = "sidecar"
GATEWAY_ROLE: Final = "gateway"
DEFAULT_LINKS_PER_GATEWAY: Final = 64


def choose_targets(
    gateway: str,
    data_centre: str,
    instances: Iterable[port.Instance],
    links_per_gateway: int,
) -> frozenset[addresses.Address]:
    """Return the addresses of the live sidecars to link with.

    Args:
        gateway: Name of this gateway, which counts as live in any case.
        data_centre: Data centre of this gateway.
        instances: The instance list.
        links_per_gateway: Mean number of links of a gateway, see
            link_shares.divide_links().
    """
    places = {gateway: data_centre}
    by_service: dict[str, list[port.Instance]] = collections.defaultdict(list)
    for instance in instances:
        if instance.state is not port.InstanceState.LIVE:
            continue
        if instance.role == GATEWAY_ROLE:
            places[instance.name] = instance.data_centre
        elif instance.role == SIDECAR_ROLE:
            by_service[instance.service].append(instance)
    gateways = [
        link_matching.create_node(name, places[name]) for name in sorted(places)
    ]
    own = sorted(places).index(gateway)
    shares = link_shares.divide_links(
        {service: len(found) for service, found in by_service.items()},
        len(gateways),
        links_per_gateway,
    )
    targets: set[addresses.Address] = set()
    for service, found in by_service.items():
        sidecars = sorted(found)
        endpoints = [
            link_matching.create_node(one.name, one.data_centre)
            for one in sidecars
        ]
        links = link_matching.match(
            service, gateways, endpoints, shares[service]
        )
        targets.update(sidecars[number].address for number in links[own])
    return frozenset(targets)
