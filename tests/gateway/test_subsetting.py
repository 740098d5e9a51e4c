"""Choice of the links of a gateway, over generated fleets."""

import collections
import random
from typing import NamedTuple

import hypothesis
from hypothesis import strategies
import pytest

from verbenafall_core import addresses
from verbenafall_core.instance_list import port
from verbenafall_gateway.links import link_matching
from verbenafall_gateway.links import link_shares
from verbenafall_gateway.links import subsetting

LINKS = subsetting.DEFAULT_LINKS_PER_GATEWAY
LIVE = port.InstanceState.LIVE


class Shape(NamedTuple):
    """Numbers of instances; "spread", "apart" or "random" data centres."""

    gateways: int
    services: tuple[int, ...]
    data_centres: int
    layout: str
    links: int = LINKS


DESIGN = Shape(370, (*(29,) * 20, 30), 6, "spread")
SHAPES = [
    DESIGN,
    DESIGN._replace(layout="apart"),
    DESIGN._replace(layout="random"),
    Shape(370, (200, 100, 60, *(13,) * 17, 29), 6, "random"),
    Shape(370, (500, *(5,) * 19, 15), 6, "random"),
    Shape(370, (*(1,) * 10, *(60,) * 10), 6, "random"),
    Shape(370, (610,), 6, "spread"),
    Shape(20, (610,), 6, "spread"),
    Shape(20, DESIGN.services, 6, "spread"),
    Shape(5, (100, 7), 3, "spread"),
    Shape(40, (80,), 3, "spread", 16),
    Shape(60, (4,) * 21, 6, "random"),
    Shape(60, (4,) * 21, 6, "random", 1),
]

generated = strategies.builds(
    Shape,
    strategies.integers(1, 40),
    strategies.lists(strategies.integers(1, 40), min_size=1, max_size=8).map(
        tuple
    ),
    strategies.integers(1, 6),
    strategies.sampled_from(("spread", "apart", "random")),
    strategies.integers(1, 100),
)


def build(shape):
    generator = random.Random(shape.gateways)
    instances = []

    def add(name, role, service, number):
        place = number % shape.data_centres
        if shape.layout == "random":
            place = generator.randrange(shape.data_centres)
        address = addresses.Address("127.0.0.1", 1 + len(instances))
        instances.append(
            port.Instance(name, role, f"dc-{place}", service, address, LIVE)
        )

    for service, count in enumerate(shape.services):
        for _ in range(count):
            number = len(instances)
            place = service if shape.layout == "apart" else number
            add(f"e-{number}", "sidecar", f"s-{service}", place)
    for number in range(shape.gateways):
        add(f"g-{number}", "gateway", "", number)
    return instances


def list_links(instances, links):
    """Return all pairs of names, for each service computed once."""
    gateways = sorted(i for i in instances if i.role == "gateway")
    services = collections.defaultdict(list)
    for instance in sorted(instances):
        if instance.role == "sidecar":
            services[instance.service].append(instance)
    shares = link_shares.divide_links(
        {service: len(found) for service, found in services.items()},
        len(gateways),
        links,
    )
    nodes = [link_matching.create_node(g.name, g.data_centre) for g in gateways]
    pairs = set()
    for service, found in services.items():
        endpoints = [
            link_matching.create_node(e.name, e.data_centre) for e in found
        ]
        chosen = link_matching.match(service, nodes, endpoints, shares[service])
        for gateway, numbers in zip(gateways, chosen, strict=True):
            pairs |= {(gateway.name, found[number].name) for number in numbers}
    return pairs


def count_by_service(instances, pairs):
    """Return the links of each gateway with each service, also zeros."""
    service_of = {i.name: i.service for i in instances}
    services = {i.service for i in instances if i.role == "sidecar"}
    counts = {
        (i.name, service): 0
        for i in instances
        if i.role == "gateway"
        for service in services
    }
    for gateway, endpoint in pairs:
        counts[gateway, service_of[endpoint]] += 1
    return counts


def loads(instances, pairs):
    """Return by service the load of each endpoint.

    Each gateway gives its endpoints of a service like parts of one unit.
    """
    service_of = {i.name: i.service for i in instances}
    counts = count_by_service(instances, pairs)
    found = collections.defaultdict(collections.Counter)
    for gateway, endpoint in pairs:
        service = service_of[endpoint]
        found[service][endpoint] += 1 / counts[gateway, service]
    return found


def check_least(shape):
    instances = build(shape)
    pairs = list_links(instances, shape.links)
    per_endpoint = collections.Counter(endpoint for _, endpoint in pairs)
    least = min(link_shares.MIN_GATEWAYS_PER_ENDPOINT, shape.gateways)
    for instance in instances:
        if instance.role == "sidecar":
            assert per_endpoint[instance.name] >= least
    for (_, service), count in count_by_service(instances, pairs).items():
        available = shape.services[int(service.removeprefix("s-"))]
        assert count >= min(3, available)


class TestLeastLinks:
    @pytest.mark.parametrize("shape", SHAPES)
    def test_large_fleets(self, shape):
        """Guards against idle endpoints and gateways without a service.

        When each endpoint chose gateways by itself, 1, 2 or 4 links for each
        service left some of 370 gateways without any link to some service.
        """
        check_least(shape)

    @hypothesis.given(generated)
    def test_generated_fleets(self, shape):
        """Guards against layouts in which some node is left short."""
        check_least(shape)


class TestNumberOfLinks:
    @pytest.mark.parametrize(
        ("shape", "fewest", "most"),
        [
            (DESIGN, 63, 69),
            (DESIGN._replace(links=128), 121, 135),
            # Three endpoints of each service, whatever the setting.
            (DESIGN._replace(links=16), 63, 63),
            # Four gateways for each endpoint, whatever the setting.
            (Shape(20, (610,), 6, "spread"), 122, 122),
            (Shape(3, (610,), 3, "spread"), 610, 610),
            # Small fleets keep a full mesh.
            (Shape(3, (16, 3), 3, "spread"), 19, 19),
            (Shape(20, (16, 3), 3, "spread"), 19, 19),
            (Shape(1, (64,), 1, "spread"), 64, 64),
        ],
    )
    def test_links_of_a_gateway(self, shape, fewest, most):
        """Guards against more links than the limits of control allow."""
        instances = build(shape)
        pairs = list_links(instances, shape.links)
        counts = collections.Counter(gateway for gateway, _ in pairs)
        assert fewest <= min(counts.values())
        assert max(counts.values()) <= most

    def test_links_of_a_sidecar_at_the_design_scale(self):
        """Guards against sidecars that serve far more links than others."""
        pairs = list_links(build(DESIGN), LINKS)
        counts = collections.Counter(endpoint for _, endpoint in pairs)
        assert max(counts.values()) <= 40

    def test_shares_follow_the_number_of_endpoints(self):
        """Guards against large services with few links to each endpoint."""
        shares = link_shares.divide_links({"a": 400, "b": 200, "c": 1}, 370, 64)
        assert shares["c"] == 370
        assert shares["a"] == pytest.approx(2 * shares["b"], abs=2)
        assert sum(shares.values()) == pytest.approx(64 * 370, abs=3)


class TestEvenLoad:
    @pytest.mark.parametrize("shape", SHAPES)
    def test_large_fleets(self, shape):
        """Guards against endpoints that get much more work than others."""
        instances = build(shape)
        found = loads(instances, list_links(instances, shape.links))
        for by_endpoint in found.values():
            mean = by_endpoint.total() / len(by_endpoint)
            assert max(by_endpoint.values()) <= 1.2 * mean
            assert min(by_endpoint.values()) >= 0.8 * mean

    @hypothesis.given(generated)
    def test_numbers_differ_by_at_most_one(self, shape):
        """Guards against links that pile up on one node."""
        instances = build(shape)
        pairs = list_links(instances, shape.links)
        service_of = {i.name: i.service for i in instances}
        for service in {service_of[endpoint] for _, endpoint in pairs}:
            of_service = [p for p in pairs if service_of[p[1]] == service]
            for side in (0, 1):
                counts = collections.Counter(pair[side] for pair in of_service)
                assert max(counts.values()) - min(counts.values()) <= 1


def moved_links(instances, links, gone):
    """Return how many links an instance has, and how many others change."""
    before = list_links(instances, links)
    after = list_links([i for i in instances if i is not gone], links)
    kept = {pair for pair in before if gone.name not in pair}
    return len(before) - len(kept), len(kept - after), len(after - kept)


class TestStability:
    @pytest.mark.parametrize("shape", SHAPES)
    @pytest.mark.parametrize("role", ["gateway", "sidecar"])
    def test_one_instance_less(self, shape, role):
        """Guards against links that are reshuffled at each restart."""
        instances = build(shape)
        total = len(list_links(instances, shape.links))
        candidates = [i for i in instances if i.role == role]
        for gone in random.Random(7).sample(candidates, 2):
            own, lost, gained = moved_links(instances, shape.links, gone)
            assert lost <= max(5 * own, 0.02 * total)
            assert gained <= max(6 * own, 0.02 * total)


def most_near_links(instances, pairs):
    """Return how many links could at most stay in their data centre.

    With the numbers of links as they are: in each data centre and service,
    what the gateways and the endpoints have, whichever is less.
    """
    place = {i.name: i.data_centre for i in instances}
    service_of = {i.name: i.service for i in instances}
    sides = (collections.Counter(), collections.Counter())
    for pair in pairs:
        for side, name in zip(sides, pair, strict=True):
            side[place[name], service_of[pair[1]]] += 1
    numbers = collections.Counter((i.data_centre, i.service) for i in instances)
    return sum(
        min(
            sides[0][place_and_service],
            sides[1][place_and_service],
            numbers[place_and_service] * numbers[place_and_service[0], ""],
        )
        for place_and_service in sides[1]
    )


class TestDataCentres:
    @pytest.mark.parametrize("shape", SHAPES)
    def test_links_stay_in_the_data_centre_where_they_can(self, shape):
        """Guards against needless links between data centres."""
        instances = build(shape)
        place = {i.name: i.data_centre for i in instances}
        pairs = list_links(instances, shape.links)
        near = sum(place[one] == place[other] for one, other in pairs)
        assert near >= 0.98 * most_near_links(instances, pairs)

    def test_nearly_all_links_stay_at_the_design_scale(self):
        """Guards against a bound that is met by links to far endpoints."""
        instances = build(DESIGN)
        place = {i.name: i.data_centre for i in instances}
        pairs = list_links(instances, LINKS)
        near = sum(place[one] == place[other] for one, other in pairs)
        assert near >= 0.95 * len(pairs)


class TestChooseTargets:
    @pytest.mark.parametrize("order", range(3))
    def test_gateways_agree_whatever_the_order_of_the_list(self, order):
        """Guards against gateways that each compute other links."""
        shape = Shape(30, (50, 3, 40), 3, "random")
        instances = build(shape)
        expected = list_links(instances, shape.links)
        name_of = {i.address: i.name for i in instances}
        random.Random(order).shuffle(instances)
        found = {
            (i.name, name_of[address])
            for i in instances
            if i.role == "gateway"
            for address in subsetting.choose_targets(
                i.name, i.data_centre, instances, shape.links
            )
        }
        assert found == expected

    def test_gateway_that_is_not_listed_yet_has_links(self):
        """Guards against a new gateway without endpoints."""
        instances = build(Shape(9, (50, 3), 3, "random"))
        chosen = subsetting.choose_targets("new", "dc-0", instances, LINKS)
        services = {i.service for i in instances if i.address in chosen}
        assert services == {"s-0", "s-1"}

    def test_list_without_endpoints(self):
        """Guards against a division by zero on an empty fleet."""
        assert not subsetting.choose_targets("g", "dc-0", [], LINKS)

    @pytest.mark.parametrize("seed", range(3))
    def test_few_links_reach_every_service(self, seed):
        """Guards against a gateway that has no endpoint of a service."""
        links = 32
        instances = build(Shape(40, (30,) * 8, 3, "random", links))
        random.Random(seed).shuffle(instances)
        for gateway in instances:
            if gateway.role != "gateway":
                continue
            chosen = subsetting.choose_targets(
                gateway.name, gateway.data_centre, instances, links
            )
            found = collections.Counter(
                i.service for i in instances if i.address in chosen
            )
            assert len(found) == 8
            assert min(found.values()) >= 3
            assert sum(found.values()) <= links + 8
