"""Transitions of a map switch, and its recovery by a new leader."""

import pytest

from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.object_store import revisions

Phase = pass_switch.Phase
ARMED = rank_state.Armed(7, 20)


def view(rank, size=2, epoch=1, cleared=0, impossible=0, **fields):
    values = {
        "open": True,
        "step": 10,
        "map_version": 0,
        "prepared": 0,
        "armed": None,
        "held": None,
    }
    values.update(fields)
    report = rank_state.RankReport("g", rank, size, epoch, **values)
    return pass_switch.RankView(report, cleared, impossible)


def switch(phase, step=20):
    return pass_switch.Switch(phase, 3, 1, 7, (((0,), (1,)),), 0, step)


ADVANCES = [
    (
        "waits until all are prepared",
        Phase.PREPARE,
        [{"prepared": 7}, {}],
        Phase.PREPARE,
    ),
    (
        "abandons a map that cannot be prepared",
        Phase.PREPARE,
        [{"prepared": 7}, {"impossible": 7}],
        Phase.IDLE,
    ),
    (
        "abandons a switch while an earlier leader holds a pass",
        Phase.PREPARE,
        [{"prepared": 7}, {"prepared": 7, "held": 12}],
        Phase.IDLE,
    ),
    (
        "holds when all are prepared",
        Phase.PREPARE,
        [{"prepared": 7}, {"prepared": 7}],
        Phase.HOLD,
    ),
    ("arms when held", Phase.HOLD, [{"held": 20}, {}], Phase.ARM),
    ("holds a later pass", Phase.HOLD, [{"step": 21}, {}], Phase.HOLD),
    ("uses a late hold", Phase.HOLD, [{"held": 17}, {}], Phase.ARM),
    (
        "waits until the last rank is armed",
        Phase.ARM,
        [{"armed": ARMED, "held": 20}, {}],
        Phase.ARM,
    ),
    (
        "releases when all are armed",
        Phase.ARM,
        [{"armed": ARMED, "held": 20}, {"armed": ARMED}],
        Phase.RELEASE,
    ),
    (
        "does not release for another pass",
        Phase.ARM,
        [{"armed": ARMED, "held": 20}, {"armed": rank_state.Armed(7, 19)}],
        Phase.ARM,
    ),
    ("settles when released", Phase.RELEASE, [{}, {}], Phase.SETTLE),
    (
        "ends when all ranks use the map",
        Phase.SETTLE,
        [{"map_version": 7}, {"map_version": 7}],
        Phase.IDLE,
    ),
    (
        "does not release before all ranks are fenced",
        Phase.CLEAR,
        [{"cleared": 3, "held": 20}, {"cleared": 2}],
        Phase.CLEAR,
    ),
    (
        "releases when all ranks are fenced",
        Phase.CLEAR,
        [{"cleared": 3, "held": 20}, {"cleared": 3}],
        Phase.RELEASE,
    ),
    (
        "ends in a new epoch",
        Phase.ARM,
        [{"epoch": 2}, {"epoch": 2}],
        Phase.IDLE,
    ),
]

RECOVERIES = [
    ("nothing is held", [{}, {"armed": ARMED}], Phase.IDLE, 0),
    ("held, no rank armed", [{"held": 20}, {}], Phase.CLEAR, 0),
    (
        "held, one armed, all prepared",
        [{"held": 20, "armed": ARMED, "prepared": 7}, {"prepared": 7}],
        Phase.ARM,
        7,
    ),
    (
        "held, one armed, one not prepared",
        [{"held": 20, "armed": ARMED, "prepared": 7}, {}],
        Phase.CLEAR,
        0,
    ),
    (
        "armed for a pass that is not the held one",
        [{"held": 22, "armed": ARMED, "prepared": 7}, {"prepared": 7}],
        Phase.CLEAR,
        0,
    ),
    (
        "a rank is missing",
        [{"held": 20, "size": 3}, {"size": 3}],
        Phase.IDLE,
        0,
    ),
    ("group not open", [{"held": 20, "open": False}, {}], Phase.IDLE, 0),
]


def views(fields):
    return {rank: view(rank, **item) for rank, item in enumerate(fields)}


class TestAdvance:
    @pytest.mark.parametrize(
        ("phase", "fields", "expected"),
        [case[1:] for case in ADVANCES],
        ids=[case[0] for case in ADVANCES],
    )
    def test_phase(self, phase, fields, expected):
        plan = pass_switch.advance(switch(phase), views(fields))
        assert plan.switch.phase is expected

    def test_only_the_holder_gets_the_hold_order(self):
        plan = pass_switch.advance(switch(Phase.HOLD), views([{}, {}]))
        assert set(plan.orders) == {0}

    def test_every_rank_is_armed_for_one_pass(self):
        plan = pass_switch.advance(switch(Phase.ARM), views([{"held": 20}, {}]))
        assert {order.step for order in plan.orders.values()} == {20}
        assert set(plan.orders) == {0, 1}

    @pytest.mark.parametrize(
        ("held", "released"),
        [(None, {}), (19, {1: 19}), (20, {1: 20}), (21, {})],
    )
    def test_holds_that_block_the_armed_pass_are_released(self, held, released):
        """Guards against a group that stays held until the next leader."""
        ranks = views([{"armed": ARMED}, {"armed": ARMED, "held": held}])
        plan = pass_switch.advance(switch(Phase.SETTLE), ranks)
        assert plan.switch.phase is Phase.SETTLE
        assert {order.kind for order in plan.orders.values()} <= {
            rank_state.OrderKind.RELEASE
        }
        assert {
            rank: order.step for rank, order in plan.orders.items()
        } == released


class TestRecover:
    @pytest.mark.parametrize(
        ("fields", "phase", "version"),
        [case[1:] for case in RECOVERIES],
        ids=[case[0] for case in RECOVERIES],
    )
    def test_state_left_by_an_earlier_leader(self, fields, phase, version):
        found = pass_switch.recover(9, views(fields))
        assert (found.phase, found.version) == (phase, version)


class TestVersions:
    def test_versions_of_later_terms_are_higher(self):
        last = 0
        for _ in range(50):
            last = pass_switch.next_version(4, last)
        assert pass_switch.next_version(5, 0) > last


# Test id, term of the earlier leader, term of the later one. The first number
# of a pair is the store's era.
LATER_TERMS = [
    ("next number", (0, 4), (0, 5)),
    ("next number in an era", (1, 4), (1, 5)),
    ("restored, same number", (1, 5_000), (2, 5_000)),
    ("restored, numbers of a minute taken back", (1, 500_000), (2, 440_000)),
    ("restored, first number", (1, 50_000), (2, 1)),
    ("two restores", (1, 70_000), (3, 60_000)),
]
# Terms of a store that has written for years and was restored often.
LARGE_TERMS = [(0, 10**10), (1, 10**10), (100, 10**10), (4000, 10**8)]


class TestVersionsOfStoreRestored:
    @pytest.mark.parametrize(
        ("earlier", "later"),
        [case[1:] for case in LATER_TERMS],
        ids=[case[0] for case in LATER_TERMS],
    )
    def test_store_restored_versions_of_later_terms_are_higher(
        self, earlier, later
    ):
        last = 0
        for _ in range(pass_switch.VERSIONS_PER_TERM):
            last = pass_switch.next_version(
                revisions.create_revision(*earlier), last
            )
        first = pass_switch.next_version(revisions.create_revision(*later), 0)
        assert first > last

    @pytest.mark.parametrize("term", LARGE_TERMS)
    def test_store_restored_versions_are_exact_in_json(self, term):
        """Engines may parse a JSON number as a 64-bit floating-point number."""
        version = pass_switch.next_version(revisions.create_revision(*term), 0)
        assert version < 2**53
