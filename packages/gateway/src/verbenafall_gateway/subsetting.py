"""Pure choice of the endpoints that this gateway keeps links with.

Each endpoint is assigned to a fixed number of gateways, so that every endpoint
gets a like part of the load however many gateways there are.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import Final

from verbenafall_core import addresses
from verbenafall_core.instance_list import port
from verbenafall_gateway import rendezvous

SIDECAR_ROLE: Final = "sidecar"
GATEWAY_ROLE: Final = "gateway"
# With fewer, gateways that differ in load make endpoints differ as much.
MIN_GATEWAYS_PER_ENDPOINT: Final = 4


def choose_targets(
    gateway: str,
    data_centre: str,
    instances: Iterable[port.Instance],
    links_per_service: int,
) -> frozenset[addresses.Address]:
    """Return the addresses of the live sidecars to link with.

    Each sidecar ranks the live gateways: those of its data centre first, then
    by a rendezvous hash. It is linked with the first of them, as many as give
    the gateways links_per_service links on average.

    Args:
        gateway: Name of this gateway, which counts as live in any case.
        data_centre: Data centre of this gateway.
        instances: The instance list.
        links_per_service: Links of a gateway with the endpoints of a service;
            a few gateways keep more, so that no endpoint is left out.
    """
    gateways = {gateway: data_centre}
    by_service: dict[str, list[port.Instance]] = collections.defaultdict(list)
    for instance in instances:
        if instance.state is not port.InstanceState.LIVE:
            continue
        if instance.role == GATEWAY_ROLE:
            gateways[instance.name] = instance.data_centre
        elif instance.role == SIDECAR_ROLE:
            by_service[instance.service].append(instance)
    by_data_centre: dict[str, list[str]] = collections.defaultdict(list)
    for name, place in gateways.items():
        by_data_centre[place].append(name)

    targets: set[addresses.Address] = set()
    for sidecars in by_service.values():
        links = links_per_service * len(gateways)
        wanted = max(
            MIN_GATEWAYS_PER_ENDPOINT, math.ceil(links / len(sidecars))
        )
        for sidecar in sidecars:
            candidates = by_data_centre.get(sidecar.data_centre, [])
            count = wanted
            if sidecar.data_centre != data_centre:
                count -= len(candidates)
                candidates = [
                    name
                    for name, place in gateways.items()
                    if place != sidecar.data_centre
                ]
            if is_among_first(gateway, sidecar.name, candidates, count):
                targets.add(sidecar.address)
    return frozenset(targets)


def is_among_first(
    gateway: str, sidecar: str, gateways: Sequence[str], count: int
) -> bool:
    """Return whether a gateway is among the first that a sidecar ranks."""
    if count <= 0:
        return False
    if count >= len(gateways):
        return True
    own = rendezvous.score(sidecar, gateway)
    ahead = sum(rendezvous.score(sidecar, name) > own for name in gateways)
    return ahead < count
