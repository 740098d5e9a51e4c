"""Replacement of a rank while other ranks rely on its being armed."""

import group_model
import pytest

from verbenafall_core.expert_maps import switch

VICTIM = 1
LAGS = range(6)


def lose_arms(_index, order):
    return "lost" if order.kind is switch.OrderKind.ARM else None


def replace_armed_rank(fences, lag, restart):
    """Replace an armed rank and poll its sidecar first, lag times."""
    group = group_model.Group(fences)
    for _ in range(3):
        group.round()
    group.wanted = 2
    for _ in range(6):
        group.round(steps=0)
    assert all(engine.armed or engine.pending for engine in group.engines)
    group.replace_engine(VICTIM)
    group.order_fault = lose_arms
    if restart:
        group.kill(VICTIM)
        group.boot(VICTIM)
    for _ in range(lag):
        group.poll(VICTIM)
        group.deliver_all()
        group.run_steps(1)
    for index in (0, 2):
        group.poll(index)
    group.run_steps(10)
    return group


def start_before_arming(patch):
    decide = switch._order_before_boundary

    def order(view, own):
        if own.map_version == 0:
            return switch._start_rank(view, own, view.record.map_version)
        return decide(view, own)

    patch.setattr(switch, "_order_before_boundary", order)


class TestReplacedRank:
    @pytest.mark.parametrize("fences", [True, False])
    @pytest.mark.parametrize("lag", LAGS)
    @pytest.mark.parametrize("restart", [True, False])
    def test_is_armed_before_it_starts(self, fences, lag, restart):
        """Guards against a replaced rank that starts unarmed.

        Other ranks may have been released because the rank was armed before
        its replacement.
        """
        group = replace_armed_rank(fences, lag, restart)
        group.assert_one_map()
        group.assert_recovers()


class TestMutation:
    @pytest.mark.parametrize("fences", [True, False])
    def test_start_before_arming_is_seen(self, monkeypatch, fences):
        start_before_arming(monkeypatch)
        groups = [
            replace_armed_rank(fences, lag, restart)
            for lag in LAGS
            for restart in (True, False)
        ]
        assert any(group.mixed for group in groups)
