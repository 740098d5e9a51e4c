"""The map search: valid maps, limits kept, a more even load."""

import random

import pytest

from verbenafall_core.expert_maps import demand
from verbenafall_core.expert_maps import replica_map
from verbenafall_core.expert_maps import replica_search
from verbenafall_sidecar.steering import count_plan

SHAPES = [(16, 4, 64, 5), (4, 2, 8, 3), (72, 2, 144, 3)]


def first_map(ranks, sets, experts, places):
    rows = tuple(
        tuple((rank * places + number) % experts for number in range(places))
        for rank in range(ranks)
    )
    return (rows,) * sets


def skewed(sets, experts, seed):
    draw = random.Random(seed)
    rows = []
    for _ in range(sets):
        row = [1 / (rank + 1) ** 1.1 for rank in range(experts)]
        draw.shuffle(row)
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
    @pytest.mark.parametrize(("ranks", "sets", "experts", "places"), SHAPES)
    @pytest.mark.parametrize("seed", range(3))
    def test_valid_within_limits_and_more_even(
        self, ranks, sets, experts, places, seed
    ):
        limits = replica_search.SearchLimits(places, 1, 2)
        placement = first_map(ranks, sets, experts, places)
        load = skewed(sets, experts, seed)
        pace = [1.0] * ranks
        for _ in range(4):
            found = replica_search.search(placement, load, pace, limits)
            assert replica_map.find_problem(found, experts, places) == ""
            copies = copies_by_rank(placement, found)
            assert max(max(row) for row in copies) <= 1
            assert max(map(sum, zip(*copies, strict=True))) <= 2
            before = replica_map.imbalance(placement, load, pace)
            after = replica_map.imbalance(found, load, pace)
            assert after <= before
            placement = found
        first = first_map(ranks, sets, experts, places)
        excess = replica_map.imbalance(first, load, pace) - 1
        assert after - 1 < 0.5 * excess

    def test_even_load_changes_nothing(self):
        placement = first_map(4, 1, 8, 3)
        even = [[1.0] * 8]
        spread = replica_map.rank_loads(placement[0], even[0], [1.0] * 4)
        assert max(spread) < 3
        limits = replica_search.SearchLimits(3, 1, 2)
        again = replica_search.search(
            (((0, 1), (2, 3), (4, 5), (6, 7)),), even, [1.0] * 4, limits
        )
        assert again == (((0, 1), (2, 3), (4, 5), (6, 7)),)

    def test_slow_rank_gets_less_to_do(self):
        placement = first_map(4, 1, 8, 3)
        load = [[1.0] * 8]
        pace = [1.0, 1.0, 4.0, 1.0]
        limits = replica_search.SearchLimits(3, 3, 3)
        found = replica_search.search(placement, load, pace, limits)
        before = replica_map.imbalance(placement, load, pace)
        assert replica_map.imbalance(found, load, pace) < before

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(("pace", "maps"), [(4.0, 3), (8.0, 2), (12.0, 2)])
    def test_slow_rank_soon_does_not_bind(self, pace, maps, seed):
        """All ranks wait for it, so what it holds alone must go first."""
        placement = first_map(16, 4, 64, 5)
        load = skewed(4, 64, seed)
        paces = [1.0] * 16
        paces[6] = pace
        limits = replica_search.SearchLimits(5, 1, 2)
        for _ in range(maps):
            placement = replica_search.search(placement, load, paces, limits)
            assert replica_map.find_problem(placement, 64, 5) == ""
        for ranks, row in zip(placement, load, strict=True):
            loads = replica_map.rank_loads(ranks, row, paces)
            assert loads[6] <= max(loads[:6] + loads[7:])

    def test_changes_rebuild_the_map(self):
        placement = first_map(16, 4, 64, 5)
        found = replica_search.search(
            placement,
            skewed(4, 64, 5),
            [1.0] * 16,
            replica_search.SearchLimits(5, 1, 2),
        )
        changes = replica_map.difference(placement, found)
        assert changes
        assert replica_map.apply_changes(placement, changes) == found


INCREMENTS = [
    ("grown", (1, 2), (4, 2), (3, 0)),
    ("started again", (5, 9), (1, 10), (1, 10)),
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

    def test_old_demand_fades(self, at):
        estimate = demand.DemandEstimate(1, 2, half_life=at(1))
        assert estimate.add((8, 0), at(0))
        assert estimate.add((0, 4), at(1))
        assert estimate.by_set() == [[4.0, 4.0]]

    def test_counts_of_another_layout_are_left_out(self, at):
        estimate = demand.DemandEstimate(1, 2)
        assert not estimate.add((1, 2, 3), at(0))
        assert estimate.total() == 0


class TestChosenCounts:
    @pytest.mark.parametrize("length", [256, 1728])
    def test_greatest_counts_survive(self, length):
        counts = [(index * 37) % 1009 for index in range(length)]
        chosen = demand.choose_counts(counts)
        found = demand.restore_counts(chosen, length)
        assert len(found) == length
        assert len(chosen.counts) <= demand.MAX_COUNTS
        top = sorted(range(length), key=counts.__getitem__)[-100:]
        assert all(found[index] == counts[index] for index in top)

    @pytest.mark.parametrize(
        ("size", "most"), [(16, 16), (32, 32), (72, 24), (128, 24)]
    )
    def test_few_ranks_of_large_groups_tell(self, size, most):
        counting = count_plan.choose_counting(size)
        told = sum(
            bool(count_plan.interval_of(counting, number))
            for number in range(size)
        )
        assert most / 2 < told <= most


class TestProblems:
    @pytest.mark.parametrize(("placement", "part"), PROBLEMS)
    def test_placement(self, placement, part):
        assert part in replica_map.find_problem(placement, 3, 2)
