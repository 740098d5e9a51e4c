"""Runs the switch model in long random sequences, also with mutations."""

import random

import pytest

from steering import test_pass_switch_machine as machine
from verbenafall_core.expert_maps import pass_switch

SEEDS = 500
STEPS = 300
OUTCOMES = ("done", "lost", "late", "unanswered")


def run_sequence(seed):
    """Run one random sequence; return how often the map changed.

    Raises:
        AssertionError: A pass started with two maps.
    """
    generator = random.Random(seed)
    model = machine.SwitchMachine()
    fault_probability = generator.choice([0, 0.02, 0.1])
    steps = [
        (12, model.start_pass),
        (30, lambda: model.report_state(generator.randrange(machine.SIZE))),
        (
            3,
            lambda: model.report_to_old_leader(
                generator.randrange(machine.SIZE)
            ),
        ),
        (20, lambda: model.advance_leader(generator.randrange(2))),
        (30, lambda: deliver_order(model, generator, fault_probability)),
        (2, lambda: model.late and model.apply_late(generator.randrange(8))),
    ]
    if fault_probability:
        steps += [
            (1, lambda: model.restart_agent(generator.randrange(machine.SIZE))),
            (0.5, model.new_leader),
            (0.2, model.crash),
        ]
    weights = [weight for weight, _ in steps]
    for _ in range(STEPS):
        generator.choices(steps, weights)[0][1]()
    return model.switched


def deliver_order(model, generator, fault_probability):
    weights = [
        1 - 3 * fault_probability,
        fault_probability,
        fault_probability,
        fault_probability,
    ]
    outcome = generator.choices(OUTCOMES, weights)[0]
    model.send_order(generator.randrange(machine.SIZE), outcome)


def release_early(switch, ranks):
    """Mutation: release the group when all ranks but one are armed."""
    armed = sum(pass_switch.is_armed(switch, v.report) for v in ranks.values())
    if armed >= machine.SIZE - 1:
        return switch._replace(phase=pass_switch.Phase.RELEASE)
    return switch


def arm_without_hold(switch, ranks):
    """Mutation: arm the ranks without waiting for the hold."""
    del ranks
    return switch._replace(phase=pass_switch.Phase.ARM)


def clear_without_fence(switch, ranks):
    """Mutation: release the group without fencing late orders."""
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


class TestRandomSequences:
    def test_no_pass_has_two_maps_and_maps_change(self):
        """Guards against a model in which no switch ever happens."""
        assert sum(run_sequence(seed) for seed in range(SEEDS)) > SEEDS / 5

    @pytest.mark.parametrize(("phase", "step"), MUTATIONS)
    def test_mutations_are_found(self, monkeypatch, phase, step):
        """Guards against a model that accepts any behaviour."""
        monkeypatch.setitem(pass_switch._TRANSITIONS, phase, step)
        found = 0
        for seed in range(SEEDS * 2):
            try:
                run_sequence(seed)
            except AssertionError:
                found += 1
        assert found > 0
