"""Pure matching of the gateways with the endpoints of one service.

Both sides get a like number of links. Pairs are taken in an order that
depends on nothing but the two names, so that an instance that comes or goes
moves few links of the others.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
from typing import Final
from typing import NamedTuple

from verbenafall_gateway.choice import rendezvous

# Largest prime below 2**30: scores of one machine digit sort fastest.
SCORE_PRIME: Final = 1_073_741_789


class Node(NamedTuple):
    """A gateway or an endpoint.

    Attributes:
        weight: Hash of the name.
    """

    name: str
    data_centre: str
    weight: int


class Matching:
    """Links between gateways and endpoints, by their indices."""

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
        self.gateway_room = spread_links(gateways, links, salt)
        self.endpoint_room = spread_links(endpoints, links, salt)
        self.by_gateway: list[set[int]] = [set() for _ in gateways]
        self.by_endpoint: list[set[int]] = [set() for _ in endpoints]

    def link(self, gateway: int, endpoint: int) -> None:
        """Link a pair."""
        self.gateway_room[gateway] -= 1
        self.endpoint_room[endpoint] -= 1
        self.by_gateway[gateway].add(endpoint)
        self.by_endpoint[endpoint].add(gateway)

    def unlink(self, gateway: int, endpoint: int) -> None:
        """Take back a link."""
        self.gateway_room[gateway] += 1
        self.endpoint_room[endpoint] += 1
        self.by_gateway[gateway].remove(endpoint)
        self.by_endpoint[endpoint].remove(gateway)

    def fill(self, gateways: Iterable[int], endpoints: Iterable[int]) -> None:
        """Link the pairs that have room on both sides, best scores first."""
        open_gateways = [g for g in gateways if self.gateway_room[g] > 0]
        open_endpoints = [e for e in endpoints if self.endpoint_room[e] > 0]
        weights = [self.endpoints[e].weight for e in open_endpoints]
        scores = [
            self.gateways[g].weight * weight % SCORE_PRIME
            for g in open_gateways
            for weight in weights
        ]
        width = len(open_endpoints)
        for place in sorted(range(len(scores)), key=scores.__getitem__):
            gateway = open_gateways[place // width]
            if self.gateway_room[gateway] <= 0:
                continue
            endpoint = open_endpoints[place % width]
            if self.endpoint_room[endpoint] <= 0:
                continue
            if endpoint not in self.by_gateway[gateway]:
                self.link(gateway, endpoint)

    def complete(self) -> None:
        """Use up the room of nodes that are linked with each other already.

        A gateway and an endpoint with room get one link more each, at the
        cost of one link between two others. Such a link always exists,
        because the numbers of links on a side differ by at most one.
        """
        short = [
            gateway
            for gateway, room in enumerate(self.gateway_room)
            for _ in range(room)
        ]
        for gateway in short:
            endpoint = max(
                self.by_gateway[gateway], key=self.endpoint_room.__getitem__
            )
            self.exchange(gateway, endpoint)

    def exchange(self, gateway: int, endpoint: int) -> None:
        """Replace a link of two others by one link to each of a pair."""
        second = max(
            set(range(len(self.endpoints))) - self.by_gateway[gateway],
            key=lambda e: self.rank(gateway, e),
        )
        first = max(
            self.by_endpoint[second] - self.by_endpoint[endpoint],
            key=lambda g: self.rank(g, endpoint),
        )
        self.unlink(first, second)
        self.link(first, endpoint)
        self.link(gateway, second)

    def rank(self, gateway: int, endpoint: int) -> tuple[bool, int]:
        """Return a key by which pairs are preferred."""
        near, far = self.gateways[gateway], self.endpoints[endpoint]
        return (
            near.data_centre == far.data_centre,
            near.weight * far.weight % SCORE_PRIME,
        )


def match(
    service: str,
    gateways: Sequence[Node],
    endpoints: Sequence[Node],
    links: int,
) -> list[set[int]]:
    """Return the indices of the endpoints of each gateway.

    The numbers of links of the gateways differ by at most one, and so do
    those of the endpoints. Pairs of one data centre come first.

    Args:
        service: Name of the service.
        gateways: Live gateways, in an order that all gateways agree on.
        endpoints: Live endpoints of the service, likewise.
        links: Links of all gateways together.
    """
    if links >= len(gateways) * len(endpoints):
        return [set(range(len(endpoints))) for _ in gateways]
    matching = Matching(gateways, endpoints, links, hash_name(service))
    near_gateways = _by_data_centre(gateways)
    for data_centre, near in _by_data_centre(endpoints).items():
        matching.fill(near_gateways.get(data_centre, ()), near)
    matching.fill(range(len(gateways)), range(len(endpoints)))
    matching.complete()
    return matching.by_gateway


def spread_links(nodes: Sequence[Node], links: int, salt: int) -> list[int]:
    """Return like numbers of links, which differ by at most one.

    Without the salt the same gateways would get one more for each service.
    """
    room = [links // len(nodes)] * len(nodes)
    order = sorted(
        range(len(nodes)), key=lambda n: nodes[n].weight * salt % SCORE_PRIME
    )
    for node in itertools.islice(order, links % len(nodes)):
        room[node] += 1
    return room


def create_node(name: str, data_centre: str) -> Node:
    """Create a node with the hash of its name."""
    return Node(name, data_centre, hash_name(name))


def hash_name(name: str) -> int:
    """Return a hash above zero and below SCORE_PRIME."""
    return 1 + rendezvous.score("link", name) % (SCORE_PRIME - 1)


def _by_data_centre(nodes: Sequence[Node]) -> dict[str, list[int]]:
    """Return the indices of nodes by data centre."""
    found: dict[str, list[int]] = collections.defaultdict(list)
    for index, node in enumerate(nodes):
        found[node.data_centre].append(index)
    return found
