"""Selects the endpoints that this gateway has links with (no I/O).

Every gateway computes the links of all gateways from the instance list and
uses its own. Gateways that read the same list therefore agree without
exchanging messages.
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
    """Return the addresses of the live sidecars that need a link.

    Args:
        gateway: Name of this gateway; counts as live even if not listed.
        data_centre: Data centre of this gateway.
        instances: The instance list.
        links_per_gateway: Target mean number of links per gateway; see
            link_shares.divide_links().
    """
    data_centres = {gateway: data_centre}
    by_service: dict[str, list[port.Instance]] = collections.defaultdict(list)
    for instance in instances:
        if instance.state is not port.InstanceState.LIVE:
            continue
        if instance.role == GATEWAY_ROLE:
            data_centres[instance.name] = instance.data_centre
        elif instance.role == SIDECAR_ROLE:
            by_service[instance.service].append(instance)
    gateways = [
        link_matching.create_node(name, data_centres[name])
        for name in sorted(data_centres)
    ]
    own_index = sorted(data_centres).index(gateway)
    shares = link_shares.divide_links(
        {service: len(found) for service, found in by_service.items()},
        len(gateways),
        links_per_gateway,
    )
    targets: set[addresses.Address] = set()
    for service, found in by_service.items():
        sidecars = sorted(found)
        endpoints = [
            link_matching.create_node(sidecar.name, sidecar.data_centre)
            for sidecar in sidecars
        ]
        links = link_matching.match(
            service, gateways, endpoints, shares[service]
        )
        targets.update(sidecars[number].address for number in links[own_index])
    return frozenset(targets)
