"""Load and step times that the engines report to the lease holder."""

import group_model
import pytest

from verbenafall_core import codec
from verbenafall_core import messages
from verbenafall_core.expert_maps import load_history
from verbenafall_core.expert_maps import selection
from verbenafall_sidecar.group import group_loads

SECOND = group_model.SECOND
# The largest message of a sidecar with 8 ranks and 64 experts.
LARGEST = messages.GroupMember(
    "group-of-128", "i" * 32, tuple(range(120, 128)), 2**40, 2**31,
    (2**31, 2**31), 2**40, 2**40, 2**40,
    (group_loads.MAX_LOAD_VALUE,) * 64, (group_loads.MAX_LOAD_VALUE,) * 8,
)  # fmt: skip


def settled_group(loads, times):
    group = group_model.Group()
    for engine, load, ms in zip(group.engines, loads, times, strict=True):
        engine.load, engine.step_ms = load, (ms,)
    for _ in range(12):
        group.round()
    return group


def load_of(group, index=0):
    member = group.members[index]
    return member.group_load(member.setup.find_group())


class TestGroupLoad:
    def test_holder_sums_the_load_of_all_engines(self):
        """Guards against a selection by the load of the holder's own engine."""
        loads = [(9, 0, 0), (0, 6, 0), (0, 0, 3)]
        group = settled_group(loads, (10.0, 10.0, 10.0))
        shares = load_history.load_shares(load_of(group).history.load)
        assert shares == pytest.approx((1 / 2, 1 / 3, 1 / 6), rel=0.01)

    @pytest.mark.parametrize("slow", range(3))
    def test_straggler_on_each_rank_is_found(self, slow):
        """Guards against stragglers that are missed on other engines."""
        times = [10.0] * 3
        times[slow] = 30.0
        group = settled_group([(5, 5, 5)] * 3, times)
        load = load_of(group)
        spec = group.members[0].setup.find_group()
        shares = load_history.load_shares(load.history.load)
        assert selection.find_stragglers(
            spec, 1, shares, load.rank_step_ms
        ) == (slow,)

    def test_lost_engine_is_not_a_straggler(self):
        """Guards against a lost rank that is judged by its last step times."""
        group = settled_group([(5, 5, 5)] * 3, (10.0, 10.0, 30.0))
        group.kill(2)
        group.close(0, 2)
        group.clock.advance(group_loads.MAX_STEP_TIME_AGE + SECOND)
        group.poll(0)
        assert 2 not in load_of(group).rank_step_ms

    def test_load_of_another_length_is_ignored(self):
        """Guards against load from a peer that uses another bundle."""
        group = settled_group([(9, 0, 0), (5,), (0, 0, 3)], (1.0,) * 3)
        assert load_of(group).history.load == pytest.approx((9, 0, 3), 0.01)


class TestLoadMessages:
    def test_sent_at_the_interval_only(self):
        """Guards against load in every message, above the node's rate."""
        group = settled_group([(9, 1, 1)] * 3, (10.0,) * 3)
        sent = []
        pair = group.links[frozenset((0, 1))]
        link = next(one for one in pair if one.source == 0)
        send = link.send
        link.send = lambda message: sent.append(message) or send(message)
        group.wanted = 2
        polls = 10
        group.clock.advance(SECOND * 5)
        group.members[0].poll()
        for _ in range(polls):
            group.clock.advance(SECOND / 10)
            group.members[0].poll()
        states = [m for m in sent if isinstance(m, messages.GroupMember)]
        assert len(states) >= polls
        assert [bool(state.expert_load) for state in states].count(True) == 1

    def test_size_is_bounded(self):
        """Messages to 15 peers every 5 s stay within half of 3 KB/s."""
        assert len(codec.encode(LARGEST)) * 15 / 5 < 1500 + 1

    def test_poll_interval_does_not_affect_the_average(self):
        """Guards against a load that counts once per poll."""
        histories = []
        for polls in (1, 10):
            history = load_history.empty_history(0)
            for second in range(60):
                load = (8.0, 0.0) if second < 30 else (0.0, 8.0)
                for poll in range(polls):
                    at = SECOND * (second + poll / polls)
                    report = load_history.LoadReport(at, load)
                    history = load_history.average(history, report)
            histories.append(history.load)
        assert histories[0] == pytest.approx(histories[1], rel=0.1)
