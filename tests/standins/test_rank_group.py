"""Tests of the rank group, step by step, without threads or HTTP."""

import datetime

import pytest

from verbenafall_standins.engines import group as group_lib
from verbenafall_standins.engines import ranks
from verbenafall_standins.engines import runs
from verbenafall_standins.fakes import manual_clock

OPTIONS = group_lib.GroupOptions(engines=2, ranks_per_engine=2, experts=4)
NEW_PLACEMENT = (3, 2, 1, 0)
NOW = datetime.timedelta()
MS = datetime.timedelta(milliseconds=1)


def create_group(**changes):
    group = group_lib.create_group(OPTIONS._replace(**changes))
    group.clock = manual_clock.create_manual_clock()
    return group


def order(group, engine, kind, step=0, epoch=1, version=2):
    placement = NEW_PLACEMENT if kind == "prepare" else ()
    return group.handle_order(
        group.engines[engine],
        ranks.Order(epoch, ranks.OrderKind(kind), version, placement, step),
    )


def run_steps(group, last):
    """Run steps up to the last one, or until the group is held."""
    while group.step < last and not group.is_held():
        group.begin_step()
        group.end_step()


# Orders as (engine, kind, step), sent after step 3; the step after which the
# group holds, or 9, where the test stops it; the map of each engine; the number
# of mixed steps.
SWITCHES = {
    "nothing ordered": ([], 9, [1, 1], 0),
    "all armed": ([(0, "arm", 6), (1, "arm", 6)], 5, [1, 1], 0),
    "one armed holds all": ([(0, "arm", 6)], 5, [1, 1], 0),
    "one of two released": (
        [(0, "arm", 6), (1, "arm", 6), (0, "release", 6)],
        5,
        [1, 1],
        0,
    ),
    "all released": (
        [(0, "arm", 6), (1, "arm", 6), (0, "release", 6), (1, "release", 6)],
        9,
        [2, 2],
        0,
    ),
    "one never armed and never released": (
        [(0, "arm", 6), (0, "release", 6)],
        9,
        [2, 1],
        4,
    ),
    "releases for different steps": (
        [(0, "release", 6), (1, "release", 8)],
        9,
        [2, 2],
        2,
    ),
    "arm for a step that has run": ([(0, "arm", 3)], 9, [1, 1], 0),
    "release for a step that has run": ([(0, "release", 3)], 9, [1, 1], 0),
    "repeated arm after the release holds again": (
        [(0, "arm", 6), (0, "release", 6), (0, "arm", 6)],
        5,
        [1, 1],
        0,
    ),
    "disarmed": ([(0, "arm", 6), (0, "disarm", 0)], 9, [1, 1], 0),
}


class TestStepBarrier:
    """Guards against a barrier that allows ranks to be at different steps.

    It would hide real steps on more than one map.
    """

    @pytest.mark.parametrize("label", SWITCHES)
    def test_switch(self, label):
        orders, last, maps, mixed = SWITCHES[label]
        group = create_group()
        for engine in (0, 1):
            assert order(group, engine, "prepare") is None
        run_steps(group, 3)
        for engine, kind, step in orders:
            assert order(group, engine, kind, step) is None
        run_steps(group, 9)
        assert group.step == last
        assert [e.ranks.map_version for e in group.engines] == maps
        assert group.mixed == mixed

    def test_held_group_continues_after_all_releases(self):
        group = create_group()
        for engine in (0, 1):
            order(group, engine, "prepare")
            order(group, engine, "arm", 6)
        run_steps(group, 9)
        order(group, 0, "release", 6)
        run_steps(group, 9)
        assert group.step == 5
        order(group, 1, "release", 6)
        run_steps(group, 9)
        assert (group.step, group.mixed) == (9, 0)

    def test_stalled_rank_holds_the_group(self):
        group = create_group()
        group.engines[1].stalled.add(3)
        run_steps(group, 9)
        assert group.step == 0
        group.engines[1].stalled.clear()
        run_steps(group, 9)
        assert group.step == 9

    def test_slowest_rank_determines_the_step_time(self):
        group = create_group()
        group.engines[1].delays_ms[3] = 30
        assert group.begin_step() == 50 * MS
        assert group.engines[1].times.mean_ms == [20, 50]
        assert group.engines[0].times.mean_ms == [20, 20]


# Orders to engine 0 after its restart at step 3, as (kind, step, map); the step
# after which the group holds, or 9, where the test stops it; the map of each
# engine.
JOINS = {
    "nothing ordered": ([], 3, [0, 1]),
    "prepared only": ([("prepare", 0, 1)], 3, [0, 1]),
    "started": ([("prepare", 0, 1), ("release", 0, 1)], 9, [1, 1]),
    "released from a later step only": (
        [("prepare", 0, 1), ("release", 6, 1)],
        3,
        [0, 1],
    ),
    "armed before the start": (
        [("prepare", 0, 1), ("arm", 6, 1), ("release", 0, 1)],
        5,
        [1, 1],
    ),
    "started twice on different maps": (
        [
            ("prepare", 0, 1),
            ("prepare", 0, 2),
            ("release", 0, 1),
            ("release", 0, 2),
        ],
        9,
        [1, 1],
    ),
}


class TestRestartedEngine:
    """Guards against a restarted engine that runs without being ordered to.

    It would hide a missing start order.
    """

    @pytest.mark.parametrize("label", JOINS)
    def test_holds_until_started(self, label):
        orders, last, maps = JOINS[label]
        group = create_group()
        run_steps(group, 3)
        group.restart(0)
        for kind, step, version in orders:
            assert order(group, 0, kind, step, version=version) is None
        run_steps(group, 9)
        assert group.step == last
        assert [e.ranks.map_version for e in group.engines] == maps
        assert group.mixed == 0

    def test_has_no_weights(self):
        group = create_group()
        group.restart(0)
        refusal = order(group, 0, "release", 0, version=1)
        assert refusal == ranks.OrderRefusal("not_prepared", 0)
        prepare = ranks.Order(1, ranks.OrderKind.PREPARE, 1, (0, 0, 1, 3), 0)
        assert group.engines[0].ranks.moved_experts(prepare) == 3

    def test_open_streams_break(self):
        group = create_group()
        run = create_run("a", last=9)
        group.engines[0].runs.submit(run)
        group.restart(0)
        assert run.ended


ORDERS = [
    # fences, epochs of the orders sent, refusal of the last
    (True, [3, 3], None),
    (True, [3, 4], None),
    (True, [3, 2], ranks.OrderRefusal("fenced", 3)),
    (False, [3, 2], None),
]


class TestOrders:
    @pytest.mark.parametrize(("fences", "epochs", "refusal"), ORDERS)
    def test_fencing(self, fences, epochs, refusal):
        group = create_group(fences=fences)
        for epoch in epochs:
            refused = order(group, 0, "prepare", epoch=epoch)
        assert refused == refusal

    @pytest.mark.parametrize("kind", ["arm", "release"])
    def test_weights_must_be_prepared(self, kind):
        group = create_group()
        refusal = order(group, 0, kind, 6, version=7)
        assert refusal == ranks.OrderRefusal("not_prepared", 0)

    def test_moved_experts(self):
        """Guards against loads of experts that the ranks already hold."""
        engine = create_group().engines[0]
        prepare = ranks.Order(1, ranks.OrderKind.PREPARE, 2, (0, 0, 1, 3), 0)
        assert engine.ranks.moved_experts(prepare) == 2
        engine.ranks.apply(prepare, 0)
        assert engine.ranks.moved_experts(prepare) == 0


def create_run(name, priority=0, prompt="prompt", last=1):
    return runs.Run(name, priority, prompt, 0, last)


class TestRuns:
    def test_lower_priority_value_is_served_first(self):
        group = create_group(slots=1)
        queue = group.engines[0].runs
        for name, priority in (("a", 5), ("b", 1), ("c", 5), ("d", 0)):
            queue.submit(create_run(name, priority))
        served = []
        for _ in range(4):
            group.begin_step()
            served += [run.request_id for run in queue.active]
            group.end_step()
        assert served == ["d", "b", "a", "c"]

    def test_cancelled_run_is_never_served(self):
        queue = create_group(slots=1).engines[0].runs
        queue.submit(create_run("a"))
        queue.runs_by_id["a"].end("cancelled")
        queue.fill_batch(NOW)
        assert queue.active == []
        assert not queue.runs_by_id["a"].finished

    def test_prefix_cache(self):
        """Guards against reloads of blocks that two prompts share."""
        cache = runs.PrefixCache(capacity=3)
        shared = "x" * runs.BLOCK_CHARACTERS * 2
        assert cache.load_prompt(shared + "a", NOW) == 3
        assert cache.load_prompt(shared + "a", NOW) == 0
        assert cache.load_prompt(shared + "b", NOW) == 1
        assert [event.kind for event in cache.events][-2:] == [
            "added",
            "evicted",
        ]
        assert cache.load_prompt(shared + "a", NOW) == 1


class TestDelayedReports:
    def test_load_is_delayed(self):
        group = create_group(load_lag_ms=100)
        group.engines[0].runs.submit(create_run("a", last=100))
        seen = []
        for _ in range(3):
            group.begin_step()
            group.end_step()
            load = group.reported_load(group.engines[0])
            seen.append(load and load.in_flight)
            group.clock.advance(60 * MS)
        assert seen == [None, None, 1]

    def test_cache_events_are_delayed_and_have_gaps(self):
        group = create_group(event_lag_ms=100, event_gap=3)
        engine = group.engines[0]
        prompt = "x" * runs.BLOCK_CHARACTERS * 7
        engine.runs.cache.load_prompt(prompt, group.clock.monotonic())
        assert list(group.reported_events(engine, 0)) == []
        group.clock.advance(100 * MS)
        found = [event.sequence for event in group.reported_events(engine, 1)]
        assert found == [2, 4, 5, 7]
