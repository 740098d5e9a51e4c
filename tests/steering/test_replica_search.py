"""Map search, and the demand estimate on which it is based."""

import random

import pytest

from verbenafall_core.expert_maps import demand
from verbenafall_core.expert_maps import demand_levels
from verbenafall_core.expert_maps import replica_map
from verbenafall_core.expert_maps import replica_search
from verbenafall_sidecar.steering import count_plan

# Ranks, sets, experts, experts per rank.
SHAPES = [(16, 4, 64, 5), (4, 2, 8, 3), (72, 2, 144, 3)]


def first_map(ranks, sets, experts, experts_per_rank):
    rows = tuple(
        tuple(
            (rank * experts_per_rank + number) % experts
            for number in range(experts_per_rank)
        )
        for rank in range(ranks)
    )
    return (rows,) * sets


def skewed_demand(sets, experts, seed):
    generator = random.Random(seed)
    rows = []
    for _ in range(sets):
        row = [1 / (rank + 1) ** 1.1 for rank in range(experts)]
        generator.shuffle(row)
        rows.append(row)
    return rows


def copies_by_rank(old, new):
    return [
        [
            len(set(after) - set(before))
            for before, after in zip(old_set, new_set, strict=True)
        ]
        for old_set, new_set in zip(old, new, strict=True)
    ]


class TestSearch:
    @pytest.mark.parametrize(
        ("ranks", "sets", "experts", "experts_per_rank"), SHAPES
    )
    @pytest.mark.parametrize("seed", range(3))
    def test_valid_within_limits_and_more_even(
        self, ranks, sets, experts, experts_per_rank, seed
    ):
        limits = replica_search.SearchLimits(experts_per_rank, 1, 2)
        placement = first_map(ranks, sets, experts, experts_per_rank)
        load = skewed_demand(sets, experts, seed)
        slowdowns = [1.0] * ranks
        for _ in range(4):
            found = replica_search.search(placement, load, slowdowns, limits)
            assert (
                replica_map.find_problem(found, experts, experts_per_rank) == ""
            )
            copies = copies_by_rank(placement, found)
            assert max(max(row) for row in copies) <= 1
            assert max(map(sum, zip(*copies, strict=True))) <= 2
            before = replica_map.imbalance(placement, load, slowdowns)
            after = replica_map.imbalance(found, load, slowdowns)
            assert after <= before
            placement = found
        first = first_map(ranks, sets, experts, experts_per_rank)
        excess = replica_map.imbalance(first, load, slowdowns) - 1
        assert after - 1 < 0.5 * excess

    def test_even_load_changes_nothing(self):
        placement = first_map(4, 1, 8, 3)
        even = [[1.0] * 8]
        loads = replica_map.rank_loads(placement[0], even[0], [1.0] * 4)
        assert max(loads) < 3
        limits = replica_search.SearchLimits(3, 1, 2)
        result = replica_search.search(
            (((0, 1), (2, 3), (4, 5), (6, 7)),), even, [1.0] * 4, limits
        )
        assert result == (((0, 1), (2, 3), (4, 5), (6, 7)),)

    def test_slow_rank_gets_less_load(self):
        placement = first_map(4, 1, 8, 3)
        load = [[1.0] * 8]
        slowdowns = [1.0, 1.0, 4.0, 1.0]
        limits = replica_search.SearchLimits(3, 3, 3)
        found = replica_search.search(placement, load, slowdowns, limits)
        before = replica_map.imbalance(placement, load, slowdowns)
        assert replica_map.imbalance(found, load, slowdowns) < before

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(
        ("slowdown", "maps"), [(4.0, 3), (8.0, 2), (12.0, 2)]
    )
    def test_slow_rank_is_soon_not_the_bottleneck(self, slowdown, maps, seed):
        """Guards against a slow rank that keeps experts and delays all ranks.

        The experts that only the slow rank holds must be moved first.
        """
        placement = first_map(16, 4, 64, 5)
        load = skewed_demand(4, 64, seed)
        slowdowns = [1.0] * 16
        slowdowns[6] = slowdown
        limits = replica_search.SearchLimits(5, 1, 2)
        for _ in range(maps):
            placement = replica_search.search(
                placement, load, slowdowns, limits
            )
            assert replica_map.find_problem(placement, 64, 5) == ""
        for ranks, row in zip(placement, load, strict=True):
            loads = replica_map.rank_loads(ranks, row, slowdowns)
            assert loads[6] <= max(loads[:6] + loads[7:])

    def test_applied_changes_give_the_new_map(self):
        placement = first_map(16, 4, 64, 5)
        found = replica_search.search(
            placement,
            skewed_demand(4, 64, 5),
            [1.0] * 16,
            replica_search.SearchLimits(5, 1, 2),
        )
        changes = replica_map.difference(placement, found)
        assert changes
        assert replica_map.apply_changes(placement, changes) == found


INCREMENTS = [
    ("grown", (1, 2), (4, 2), (3, 0)),
    ("restarted", (5, 9), (1, 10), (1, 10)),
    ("other length", (1,), (3, 4), (3, 4)),
]

PROBLEMS = [
    ((((0, 1), (2,)),), ""),
    ((((0, 1), (1,)),), "out"),
    ((((0, 1, 2), (2,)),), "too many"),
    ((((0, 0), (1, 2)),), "double"),
]


class TestDemand:
    @pytest.mark.parametrize(
        ("before", "after", "expected"), [case[1:] for case in INCREMENTS]
    )
    def test_increments(self, before, after, expected):
        assert demand.count_increments(before, after) == expected

    def test_old_demand_decays(self, at):
        estimate = demand.DemandEstimate(1, 2, half_life=at(1))
        assert estimate.add((8, 0), at(0))
        assert estimate.add((0, 4), at(1))
        assert estimate.by_set() == [[4.0, 4.0]]

    def test_counts_of_another_layout_are_ignored(self, at):
        estimate = demand.DemandEstimate(1, 2)
        assert not estimate.add((1, 2, 3), at(0))
        assert estimate.total() == 0


class TestDemandLevels:
    @pytest.mark.parametrize("length", [0, 1, 7, 256, 1728])
    def test_all_counts_arrive_in_time(self, length):
        encoder = demand_levels.LevelEncoder()
        counts = [(index * 37) % 1009 for index in range(length)]
        found = [0] * length
        for _ in range(20):
            levels = encoder.encode(counts)
            decoded = demand_levels.decode(levels)
            found = [a + b for a, b in zip(found, decoded, strict=True)]
            assert len(levels.levels) <= length // 2 + 1
        for total, rest, count in zip(
            found, encoder.remainders, counts, strict=True
        ):
            assert total + rest == 20 * count

    def test_short_report_is_ignored(self, at):
        estimate = demand.DemandEstimate(1, 4)
        levels = demand_levels.DemandLevels(4, 1, b"\x11")
        assert not estimate.add(demand_levels.decode(levels), at(0))

    @pytest.mark.parametrize("rate", [1e6, 4e6, 1e7, 1e9])
    @pytest.mark.parametrize("counters", [256, 1728])
    @pytest.mark.parametrize("ranks", [1, 7, 31, 71, 127])
    def test_reports_fit_the_link(self, ranks, counters, rate):
        sampling = count_plan.choose_sampling(ranks, counters, rate)
        reporting = sum(
            bool(count_plan.choose_interval(sampling, number))
            for number in range(ranks)
        )
        assert reporting >= 1
        assert sampling.interval <= count_plan.MAX_INTERVAL
        bits = 8 * demand_levels.report_bytes(counters) * reporting
        if reporting > 1:
            assert bits / sampling.interval.total_seconds() <= rate / 4 * 1.01


class TestProblems:
    @pytest.mark.parametrize(("placement", "fragment"), PROBLEMS)
    def test_placement(self, placement, fragment):
        assert fragment in replica_map.find_problem(placement, 3, 2)
