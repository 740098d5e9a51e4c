"""Each step of a map switch crossed with each fault."""

import group_model
import pytest

from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import switch
from verbenafall_standins.fakes import memory_store

VICTIM = 1
HOLDER = 0


def kill(group, index):
    group.kill(index)


def pause(group, index):
    """Paused past the lease: another holder leads meanwhile."""
    group.paused.add(index)
    group.holders = {2} | ({index} & {HOLDER})


def cut(group, index):
    for other in range(group.size):
        if other != index:
            group.cuts.add(frozenset((index, other)))
            group.close(index, other)


def replace_rank(group, index):
    group.replace_engine(index)


def store_down(group, index):
    group.store.plan = lambda _: memory_store.Fault.DOWN


def reorder(group, index):
    group.mail.reverse()


def nothing(group, index):
    """The call itself carries the fault."""


# Name of the fault: what happens to the call of the step, and beside it.
FAULTS = {
    "kill": ("lost_answer", kill),
    "kill_before": ("lost", kill),
    "pause": ("late", pause),
    "cut": (None, cut),
    "delay": ("late", nothing),
    "duplicate": ("duplicate", nothing),
    "reorder": ("late", reorder),
    "lost_answer": ("lost_answer", nothing),
    "slow": ("slow", nothing),
    "store_down": (None, store_down),
    "replace_rank": (None, replace_rank),
}
# Map that the group runs on while the fault lasts, 0 when it holds: one digit
# a fault, in the order above. A step or a fault without cells fails.
CELLS = {
    switch.Step.PREPARING: "11112222212",
    switch.Step.PREPARE: "11112222212",
    switch.Step.SWITCHING: "01002222212",
    switch.Step.ARM: "00002222222",
    switch.Step.RELEASE: "20002222222",
    switch.Step.STABLE: "22222222222",
    switch.Step.START: "10012222212",
}
WRITES = {
    record_lib.Phase.PREPARING: switch.Step.PREPARING,
    record_lib.Phase.SWITCHING: switch.Step.SWITCHING,
    record_lib.Phase.STABLE: switch.Step.STABLE,
}


class Injector:
    """Makes the first call of a step fail in a given way."""

    def __init__(self, group, step, fault):
        self.group, self.step = group, step
        self.call_fault, self.act = FAULTS[fault]
        self.hits = self.slow_calls = 0
        group.order_fault = self.on_order
        group.write_fault = self.on_write

    def on_order(self, index, order):
        if index != VICTIM:
            return None
        return self.hit(index, switch.step_of_order(order))

    def on_write(self, index, value):
        record = record_lib.decode(value).unwrap()
        return self.hit(index, WRITES[record.phase])

    def hit(self, index, step):
        if step is not self.step:
            return None
        if self.call_fault == "slow":
            self.hits = 1
            self.slow_calls += 1
            return "lost" if self.slow_calls <= 3 else None
        if self.hits:
            return None
        self.hits = 1
        self.act(self.group, index)
        return self.call_fault


def run_cell(step, fault, fences):
    """Run a switch with the fault; return the map while it lasts."""
    group = group_model.Group(fences)
    for _ in range(3):
        group.round()
    group.wanted = 2
    injector = Injector(group, step, fault)
    if step is switch.Step.START:
        group.replace_engine(VICTIM)
    for turn in range(25):
        for index in range(group.size):
            if index in group.live():
                group.watch(index)
                group.poll(index)
            group.deliver_all()
            group.run_steps(1)
        if turn == 15:
            group.wanted = 0
    before = group.step
    group.run_steps(1)
    group.assert_one_map()
    assert injector.hits == 1
    seen = group.engines[0].map_version if group.step > before else 0
    group.assert_recovers()
    return seen


def table():
    return [
        pytest.param(step, fault, int(digit), id=f"{step}-{fault}")
        for step in switch.Step
        for fault, digit in zip(FAULTS, CELLS[step], strict=True)
    ]


class TestFaultTable:
    @pytest.mark.parametrize("fences", [True, False])
    @pytest.mark.parametrize(("step", "fault", "expected"), table())
    def test_cell(self, step, fault, expected, fences):
        """Guards against mixed maps, and a group that stays held."""
        assert run_cell(step, fault, fences) == expected


def lose_arms(_index, order):
    return "lost" if order.kind is switch.OrderKind.ARM else None


class TestReplacedRank:
    @pytest.mark.parametrize("fences", [True, False])
    @pytest.mark.parametrize("lag", range(6))
    @pytest.mark.parametrize("restart", [True, False])
    def test_is_armed_before_it_starts(self, fences, lag, restart):
        """Others may count on the arming of the rank that it replaced."""
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
        group.assert_one_map()
        group.assert_recovers()
