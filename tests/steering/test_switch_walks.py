"""Long random walks of the switch model, and mutations that they find."""

import random

import pytest

from steering import test_pass_switch_machine as machine
from verbenafall_core.expert_maps import pass_switch

SEEDS = 500
STEPS = 300
FATES = ("done", "lost", "late", "unanswered")


def walk(seed):
    """Play one walk; return how often the map changed.

    Raises:
        AssertionError: A pass began with two maps.
    """
    draw = random.Random(seed)
    model = machine.SwitchMachine()
    trouble = draw.choice([0, 0.02, 0.1])
    steps = [
        (12, model.begin_pass),
        (30, lambda: model.report_state(draw.randrange(machine.SIZE))),
        (3, lambda: model.report_to_old_leader(draw.randrange(machine.SIZE))),
        (20, lambda: model.act(draw.randrange(2))),
        (30, lambda: give(model, draw, trouble)),
        (2, lambda: model.late and model.apply_late(draw.randrange(8))),
    ]
    if trouble:
        steps += [
            (1, lambda: model.restart_agent(draw.randrange(machine.SIZE))),
            (0.5, model.new_leader),
            (0.2, model.crash),
        ]
    weights = [weight for weight, _ in steps]
    for _ in range(STEPS):
        draw.choices(steps, weights)[0][1]()
    return model.switched


def give(model, draw, trouble):
    weights = [1 - 3 * trouble, trouble, trouble, trouble]
    fate = draw.choices(FATES, weights)[0]
    model.send_order(draw.randrange(machine.SIZE), fate)


def release_early(switch, ranks):
    """Release the group when all ranks but one are armed."""
    armed = sum(pass_switch.is_armed(switch, v.report) for v in ranks.values())
    if armed >= machine.SIZE - 1:
        return switch._replace(phase=pass_switch.Phase.RELEASE)
    return switch


def arm_without_hold(switch, ranks):
    """Go on without waiting for the hold."""
    del ranks
    return switch._replace(phase=pass_switch.Phase.ARM)


def clear_without_fence(switch, ranks):
    """Release the group without making late orders void."""
    if pass_switch.is_complete(ranks) and all(
        view.report.armed is None for view in ranks.values()
    ):
        return switch._replace(phase=pass_switch.Phase.RELEASE)
    return switch


MUTATIONS = [
    (pass_switch.Phase.ARM, release_early),
    (pass_switch.Phase.HOLD, arm_without_hold),
    (pass_switch.Phase.CLEAR, clear_without_fence),
]


class TestWalks:
    def test_no_pass_has_two_maps_and_maps_change(self):
        """Guards against a switch that is safe since it never happens."""
        assert sum(walk(seed) for seed in range(SEEDS)) > SEEDS / 5

    @pytest.mark.parametrize(("phase", "step"), MUTATIONS)
    def test_mutations_are_found(self, monkeypatch, phase, step):
        """Guards against a model that would pass anything."""
        monkeypatch.setitem(pass_switch._TRANSITIONS, phase, step)
        found = 0
        for seed in range(SEEDS * 2):
            try:
                walk(seed)
            except AssertionError:
                found += 1
        assert found > 0
