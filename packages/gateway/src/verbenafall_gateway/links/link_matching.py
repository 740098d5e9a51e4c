"""Matches gateways with the endpoints of one service (no I/O).

Links are spread evenly over both sides. Pairs are linked in an order that
depends only on the two names, so that adding or removing an instance changes
few links between the others.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
from typing import Final
from typing import NamedTuple

from verbenafall_gateway.choice import rendezvous

# Largest prime below 2**30. Scores that fit one digit of a Python integer
# sort fastest.
SCORE_PRIME: Final = 1_073_741_789


class Node(NamedTuple):
    """A gateway or an endpoint.

    Attributes:
        weight: Hash of the name, above zero and below SCORE_PRIME.
    """

    name: str
    data_centre: str
    weight: int


class Matching:
    """Links between gateways and endpoints, by index.

    The capacity of a node is the number of links that it still needs.
    """

    def __init__(
        self,
        gateways: Sequence[Node],
        endpoints: Sequence[Node],
        links: int,
        salt: int,
    ) -> None:
        """Create a matching without links."""
        self.gateways = gateways
        self.endpoints = endpoints
        self.gateway_capacity = distribute_links(gateways, links, salt)
        self.endpoint_capacity = distribute_links(endpoints, links, salt)
        self.by_gateway: list[set[int]] = [set() for _ in gateways]
        self.by_endpoint: list[set[int]] = [set() for _ in endpoints]

    def link(self, gateway: int, endpoint: int) -> None:
        """Add a link and reduce the capacity of both nodes."""
        self.gateway_capacity[gateway] -= 1
        self.endpoint_capacity[endpoint] -= 1
        self.by_gateway[gateway].add(endpoint)
        self.by_endpoint[endpoint].add(gateway)

    def unlink(self, gateway: int, endpoint: int) -> None:
        """Remove a link and restore the capacity of both nodes."""
        self.gateway_capacity[gateway] += 1
        self.endpoint_capacity[endpoint] += 1
        self.by_gateway[gateway].remove(endpoint)
        self.by_endpoint[endpoint].remove(gateway)

    def fill(self, gateways: Iterable[int], endpoints: Iterable[int]) -> None:
        """Link pairs with capacity on both sides, lowest score first."""
        open_gateways = [g for g in gateways if self.gateway_capacity[g] > 0]
        open_endpoints = [e for e in endpoints if self.endpoint_capacity[e] > 0]
        weights = [self.endpoints[e].weight for e in open_endpoints]
        scores = [
            self.gateways[g].weight * weight % SCORE_PRIME
            for g in open_gateways
            for weight in weights
        ]
        width = len(open_endpoints)
        for position in sorted(range(len(scores)), key=scores.__getitem__):
            gateway = open_gateways[position // width]
            if self.gateway_capacity[gateway] <= 0:
                continue
            endpoint = open_endpoints[position % width]
            if self.endpoint_capacity[endpoint] <= 0:
                continue
            if endpoint not in self.by_gateway[gateway]:
                self.link(gateway, endpoint)

    def use_remaining_capacity(self) -> None:
        """Use up capacity left on nodes that are already linked together.

        A gateway and an endpoint with capacity get one more link each by
        replacing a link between two other nodes. Such a link always exists,
        because link counts on each side differ by at most one.
        """
        underlinked = [
            gateway
            for gateway, capacity in enumerate(self.gateway_capacity)
            for _ in range(capacity)
        ]
        for gateway in underlinked:
            endpoint = max(
                self.by_gateway[gateway], key=self.endpoint_capacity.__getitem__
            )
            self.replace_link(gateway, endpoint)

    def replace_link(self, gateway: int, endpoint: int) -> None:
        """Add a link to each of a pair by rerouting one of two other nodes.

        The link first-second becomes first-endpoint and gateway-second.
        """
        second = max(
            set(range(len(self.endpoints))) - self.by_gateway[gateway],
            key=lambda e: self.preference(gateway, e),
        )
        first = max(
            self.by_endpoint[second] - self.by_endpoint[endpoint],
            key=lambda g: self.preference(g, endpoint),
        )
        self.unlink(first, second)
        self.link(first, endpoint)
        self.link(gateway, second)

    def preference(self, gateway: int, endpoint: int) -> tuple[bool, int]:
        """Return a sort key for pairs; the highest is preferred.

        Pairs within one data centre come before all others.
        """
        first, second = self.gateways[gateway], self.endpoints[endpoint]
        return (
            first.data_centre == second.data_centre,
            first.weight * second.weight % SCORE_PRIME,
        )


def match(
    service: str,
    gateways: Sequence[Node],
    endpoints: Sequence[Node],
    links: int,
) -> list[set[int]]:
    """Return the indices of each gateway's endpoints.

    Link counts differ by at most one between gateways, and likewise between
    endpoints. Pairs within one data centre are preferred.

    Args:
        service: Name of the service.
        gateways: Live gateways, in the same order on every gateway.
        endpoints: Live endpoints of the service, in the same order too.
        links: Total number of links of all gateways.
    """
    if links >= len(gateways) * len(endpoints):
        return [set(range(len(endpoints))) for _ in gateways]
    matching = Matching(gateways, endpoints, links, hash_name(service))
    local_gateways = _by_data_centre(gateways)
    for data_centre, local_endpoints in _by_data_centre(endpoints).items():
        matching.fill(local_gateways.get(data_centre, ()), local_endpoints)
    matching.fill(range(len(gateways)), range(len(endpoints)))
    matching.use_remaining_capacity()
    return matching.by_gateway


def distribute_links(nodes: Sequence[Node], links: int, salt: int) -> list[int]:
    """Divide links evenly: the counts of the nodes differ by at most one.

    Without the salt, the same gateways would get the extra link for every
    service.
    """
    capacity = [links // len(nodes)] * len(nodes)
    order = sorted(
        range(len(nodes)), key=lambda n: nodes[n].weight * salt % SCORE_PRIME
    )
    for node in itertools.islice(order, links % len(nodes)):
        capacity[node] += 1
    return capacity


def create_node(name: str, data_centre: str) -> Node:
    """Create a node, with its weight computed from the name."""
    return Node(name, data_centre, hash_name(name))


def hash_name(name: str) -> int:
    """Return a hash above zero and below SCORE_PRIME."""
    return 1 + rendezvous.score("link", name) % (SCORE_PRIME - 1)


def _by_data_centre(nodes: Sequence[Node]) -> dict[str, list[int]]:
    """Group the indices of nodes by data centre."""
    found: dict[str, list[int]] = collections.defaultdict(list)
    for index, node in enumerate(nodes):
        found[node.data_centre].append(index)
    return found
