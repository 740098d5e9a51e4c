"""Tests link selection on fixed and generated fleets."""

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
    """Size and layout of a fleet.

    Attributes:
        gateways: Number of gateways.
        services: Number of endpoints of each service.
        layout: "spread" puts each service in all data centres, "apart" each
            service in one, "random" places instances at random.
        links: Setting for the mean number of links per gateway.
    """

    gateways: int
    services: tuple[int, ...]
    data_centres: int
    layout: str
    links: int = LINKS


DESIGN_SCALE = Shape(370, (*(29,) * 20, 30), 6, "spread")
SHAPES = [
    DESIGN_SCALE,
    DESIGN_SCALE._replace(layout="apart"),
    DESIGN_SCALE._replace(layout="random"),
    Shape(370, (200, 100, 60, *(13,) * 17, 29), 6, "random"),
    Shape(370, (500, *(5,) * 19, 15), 6, "random"),
    Shape(370, (*(1,) * 10, *(60,) * 10), 6, "random"),
    Shape(370, (610,), 6, "spread"),
    Shape(20, (610,), 6, "spread"),
    Shape(20, DESIGN_SCALE.services, 6, "spread"),
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


def create_instances(shape):
    generator = random.Random(shape.gateways)
    instances = []

    def add(name, role, service, number):
        index = number % shape.data_centres
        if shape.layout == "random":
            index = generator.randrange(shape.data_centres)
        address = addresses.Address("127.0.0.1", 1 + len(instances))
        instances.append(
            port.Instance(name, role, f"dc-{index}", service, address, LIVE)
        )

    for service, count in enumerate(shape.services):
        for _ in range(count):
            number = len(instances)
            index = service if shape.layout == "apart" else number
            add(f"e-{number}", "sidecar", f"s-{service}", index)
    for number in range(shape.gateways):
        add(f"g-{number}", "gateway", "", number)
    return instances


def all_links(instances, links):
    """Return the linked pairs of names, computed once per service."""
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
    """Return the link count of each gateway and service, including zeros."""
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


def endpoint_loads(instances, pairs):
    """Return the load of each endpoint by service.

    Each gateway splits one unit of load evenly between its endpoints of a
    service.
    """
    service_of = {i.name: i.service for i in instances}
    counts = count_by_service(instances, pairs)
    found = collections.defaultdict(collections.Counter)
    for gateway, endpoint in pairs:
        service = service_of[endpoint]
        found[service][endpoint] += 1 / counts[gateway, service]
    return found


def check_minimum_links(shape):
    instances = create_instances(shape)
    pairs = all_links(instances, shape.links)
    per_endpoint = collections.Counter(endpoint for _, endpoint in pairs)
    minimum = min(link_shares.MIN_GATEWAYS_PER_ENDPOINT, shape.gateways)
    for instance in instances:
        if instance.role == "sidecar":
            assert per_endpoint[instance.name] >= minimum
    for (_, service), count in count_by_service(instances, pairs).items():
        available = shape.services[int(service.removeprefix("s-"))]
        assert count >= min(3, available)


class TestMinimumLinks:
    @pytest.mark.parametrize("shape", SHAPES)
    def test_large_fleets(self, shape):
        """Guards against idle endpoints and gateways without a service.

        When each endpoint chose its gateways independently, 1, 2 or 4 links
        per service left some of 370 gateways without a link to a service.
        """
        check_minimum_links(shape)

    @hypothesis.given(generated)
    def test_generated_fleets(self, shape):
        """Guards against layouts in which a node has too few links."""
        check_minimum_links(shape)


class TestNumberOfLinks:
    @pytest.mark.parametrize(
        ("shape", "min_links", "max_links"),
        [
            (DESIGN_SCALE, 63, 69),
            (DESIGN_SCALE._replace(links=128), 121, 135),
            # Three endpoints of each service, regardless of the setting.
            (DESIGN_SCALE._replace(links=16), 63, 63),
            # Four gateways for each endpoint, regardless of the setting.
            (Shape(20, (610,), 6, "spread"), 122, 122),
            (Shape(3, (610,), 3, "spread"), 610, 610),
            # Small fleets keep a full mesh.
            (Shape(3, (16, 3), 3, "spread"), 19, 19),
            (Shape(20, (16, 3), 3, "spread"), 19, 19),
            (Shape(1, (64,), 1, "spread"), 64, 64),
        ],
    )
    def test_links_of_a_gateway(self, shape, min_links, max_links):
        """Guards against exceeding the limit on links per gateway."""
        instances = create_instances(shape)
        pairs = all_links(instances, shape.links)
        counts = collections.Counter(gateway for gateway, _ in pairs)
        assert min_links <= min(counts.values())
        assert max(counts.values()) <= max_links

    def test_links_of_a_sidecar_at_the_design_scale(self):
        """Guards against sidecars with far more links than others."""
        pairs = all_links(create_instances(DESIGN_SCALE), LINKS)
        counts = collections.Counter(endpoint for _, endpoint in pairs)
        assert max(counts.values()) <= 40

    def test_shares_follow_the_number_of_endpoints(self):
        """Guards against large services with few links per endpoint."""
        shares = link_shares.divide_links({"a": 400, "b": 200, "c": 1}, 370, 64)
        assert shares["c"] == 370
        assert shares["a"] == pytest.approx(2 * shares["b"], abs=2)
        assert sum(shares.values()) == pytest.approx(64 * 370, abs=3)


class TestEvenLoad:
    @pytest.mark.parametrize("shape", SHAPES)
    def test_large_fleets(self, shape):
        """Guards against uneven load between a service's endpoints."""
        instances = create_instances(shape)
        found = endpoint_loads(instances, all_links(instances, shape.links))
        for by_endpoint in found.values():
            mean = by_endpoint.total() / len(by_endpoint)
            assert max(by_endpoint.values()) <= 1.2 * mean
            assert min(by_endpoint.values()) >= 0.8 * mean

    @hypothesis.given(generated)
    def test_numbers_differ_by_at_most_one(self, shape):
        """Guards against links that accumulate on one node."""
        instances = create_instances(shape)
        pairs = all_links(instances, shape.links)
        service_of = {i.name: i.service for i in instances}
        for service in {service_of[endpoint] for _, endpoint in pairs}:
            of_service = [p for p in pairs if service_of[p[1]] == service]
            for side in (0, 1):
                counts = collections.Counter(pair[side] for pair in of_service)
                assert max(counts.values()) - min(counts.values()) <= 1


def count_changed_links(instances, links, removed):
    """Remove an instance and count the changed links.

    Returns the number of its own links, and the numbers of lost and of gained
    links between other instances.
    """
    before = all_links(instances, links)
    after = all_links([i for i in instances if i is not removed], links)
    kept = {pair for pair in before if removed.name not in pair}
    return len(before) - len(kept), len(kept - after), len(after - kept)


class TestStability:
    @pytest.mark.parametrize("shape", SHAPES)
    @pytest.mark.parametrize("role", ["gateway", "sidecar"])
    def test_removing_one_instance_changes_few_links(self, shape, role):
        """Guards against link churn at each restart."""
        instances = create_instances(shape)
        total = len(all_links(instances, shape.links))
        candidates = [i for i in instances if i.role == role]
        for removed in random.Random(7).sample(candidates, 2):
            own, lost, gained = count_changed_links(
                instances, shape.links, removed
            )
            assert lost <= max(5 * own, 0.02 * total)
            assert gained <= max(6 * own, 0.02 * total)


def max_local_links(instances, pairs):
    """Return an upper bound for the links within a data centre.

    The link count of each node is taken as given. For each data centre and
    service, the bound is the smaller of the totals of its gateways and its
    endpoints, and at most the number of pairs.
    """
    data_centres = {i.name: i.data_centre for i in instances}
    service_of = {i.name: i.service for i in instances}
    sides = (collections.Counter(), collections.Counter())
    for pair in pairs:
        for side, name in zip(sides, pair, strict=True):
            side[data_centres[name], service_of[pair[1]]] += 1
    numbers = collections.Counter((i.data_centre, i.service) for i in instances)
    return sum(
        min(
            sides[0][key],
            sides[1][key],
            numbers[key] * numbers[key[0], ""],
        )
        for key in sides[1]
    )


class TestDataCentres:
    @pytest.mark.parametrize("shape", SHAPES)
    def test_links_stay_in_the_data_centre_where_they_can(self, shape):
        """Guards against needless links between data centres."""
        instances = create_instances(shape)
        data_centres = {i.name: i.data_centre for i in instances}
        pairs = all_links(instances, shape.links)
        local_links = sum(
            data_centres[one] == data_centres[other] for one, other in pairs
        )
        assert local_links >= 0.98 * max_local_links(instances, pairs)

    def test_nearly_all_links_stay_at_the_design_scale(self):
        """Guards against a low bound that hides links between data centres."""
        instances = create_instances(DESIGN_SCALE)
        data_centres = {i.name: i.data_centre for i in instances}
        pairs = all_links(instances, LINKS)
        local_links = sum(
            data_centres[one] == data_centres[other] for one, other in pairs
        )
        assert local_links >= 0.95 * len(pairs)


class TestChooseTargets:
    @pytest.mark.parametrize("order", range(3))
    def test_gateways_agree_for_any_order_of_the_list(self, order):
        """Guards against gateways that compute different links."""
        shape = Shape(30, (50, 3, 40), 3, "random")
        instances = create_instances(shape)
        expected = all_links(instances, shape.links)
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

    def test_unlisted_gateway_has_links(self):
        """Guards against a new gateway without links."""
        instances = create_instances(Shape(9, (50, 3), 3, "random"))
        chosen = subsetting.choose_targets("new", "dc-0", instances, LINKS)
        services = {i.service for i in instances if i.address in chosen}
        assert services == {"s-0", "s-1"}

    def test_list_without_endpoints(self):
        """Guards against a division by zero on an empty fleet."""
        assert not subsetting.choose_targets("g", "dc-0", [], LINKS)

    @pytest.mark.parametrize("seed", range(3))
    def test_few_links_reach_every_service(self, seed):
        """Guards against a gateway without an endpoint of some service."""
        links = 32
        instances = create_instances(Shape(40, (30,) * 8, 3, "random", links))
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
