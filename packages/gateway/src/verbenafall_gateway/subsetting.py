"""Pure choice of the endpoints that this gateway keeps links with."""

import collections
from collections.abc import Iterable
from typing import Final

from verbenafall_core import addresses
from verbenafall_core.instance_list import port
from verbenafall_gateway import rendezvous

SIDECAR_ROLE: Final = "sidecar"


def choose_targets(
    gateway: str,
    data_centre: str,
    instances: Iterable[port.Instance],
    links_per_service: int,
) -> frozenset[addresses.Address]:
    """Return the addresses of the live sidecars to link with.

    Sidecars of the gateway's data centre come first, then the order is that
    of a rendezvous hash of gateway and sidecar.
    """
    by_service: dict[str, list[port.Instance]] = collections.defaultdict(list)
    for instance in instances:
        if instance.role != SIDECAR_ROLE:
            continue
        if instance.state is port.InstanceState.LIVE:
            by_service[instance.service].append(instance)

    def rank(instance: port.Instance) -> tuple[bool, int]:
        remote = instance.data_centre != data_centre
        return remote, -rendezvous.score(gateway, instance.name)

    return frozenset(
        instance.address
        for group in by_service.values()
        for instance in sorted(group, key=rank)[:links_per_service]
    )
