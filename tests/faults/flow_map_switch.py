"""A map switch (P4): all ranks run each step on the same map."""

import contextlib
import functools
from typing import NamedTuple
from unittest import mock

import loguru

from expert_maps import group_model
from faults import matrix
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import switch
from verbenafall_standins.fakes import memory_store

Fault = matrix.Fault
HOLDER, TARGET, SECOND_TARGET = 0, 1, 2
STEPS = tuple(step.value for step in switch.Stage)
CYCLES = 25
# Cycles after which the first of two faults is repaired, so that the group
# reaches the step of the second one.
REPAIR_CYCLES = 5


def kill(group, index):
    group.kill(index)


def pause(group, index):
    """Pause a sidecar until its lease expires and another one acquires it."""
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


def restore_store(group, index):
    """Undo the write before the call, or the call's own one."""
    group.store.restore(1)


def reorder(group, index):
    group.in_transit.reverse()


def change_nothing(group, index):
    """Change nothing; the fault is in the call itself."""


class Variant(NamedTuple):
    """How a fault is injected in a flow, and its expected effect.

    Attributes:
        call: Fault of the step's call, None if the call succeeds.
        change: Applies the other changes to the group.
        maps: Map that the group uses while the fault lasts, 0 if it is held;
            one digit per step, in the order of switch.Stage.
    """

    call: str | None
    change: object
    maps: str


FAULTS = {
    Fault.KILL: Variant("lost_answer", kill, "1100221"),
    Fault.PAUSE: Variant("late", pause, "1100020"),
    Fault.CUT_OUT: Variant("lost", cut, "1110021"),
    Fault.CUT_IN: Variant("lost_answer", cut, "1100021"),
    Fault.DELAY: Variant("late", change_nothing, "2222222"),
    Fault.DUPLICATE: Variant("duplicate", change_nothing, "2222222"),
    Fault.REORDER: Variant("late", reorder, "2222222"),
    Fault.LOST_ANSWER: Variant("lost_answer", change_nothing, "2222222"),
    Fault.SLOW: Variant("slow", change_nothing, "2222222"),
    Fault.STORE_DOWN: Variant(None, store_down, "1112221"),
    Fault.RESTORE: Variant(None, restore_store, "2222222"),
}
KILLED_BEFORE = {Fault.KILL: Variant("lost", kill, "1110020")}
RANK_REPLACED = {Fault.KILL: Variant(None, replace_rank, "2222222")}
LINKS_CUT = {Fault.CUT_OUT: Variant(None, cut, "1100021")}
PAIRED = (
    Fault.KILL,
    Fault.PAUSE,
    Fault.CUT_OUT,
    Fault.DELAY,
    Fault.STORE_DOWN,
)
STAGE_OF_PHASE = {
    record_lib.Phase.PREPARING: switch.Stage.PREPARING,
    record_lib.Phase.SWITCHING: switch.Stage.SWITCHING,
    record_lib.Phase.STABLE: switch.Stage.STABLE,
}


class Injector:
    """Injects a fault at the first call of a step."""

    def __init__(self, group, step, variant, target):
        self.group, self.step, self.variant = group, step, variant
        self.target = target
        self.triggered = self.slow_calls = 0

    def on_order(self, index, order):
        if index != self.target:
            return None
        return self.trigger(index, switch.stage_of_order(order))

    def on_write(self, index, value):
        record = record_lib.decode(value).unwrap()
        return self.trigger(index, STAGE_OF_PHASE[record.phase])

    def trigger(self, index, step):
        if step is None or step.value != self.step:
            return None
        if self.variant.call == "slow":
            self.triggered = 1
            self.slow_calls += 1
            return "lost" if self.slow_calls <= 3 else None
        if self.triggered:
            return None
        self.triggered = 1
        self.variant.change(self.group, index)
        return self.variant.call


def find_fault(injectors, method, *arguments):
    """Return the fault of the first injector that has one for a call.

    An injector is asked only once all injectors before it have triggered.
    """
    for injector in injectors:
        fault = getattr(injector, method)(*arguments)
        if fault or not injector.triggered:
            return fault
    return None


@contextlib.contextmanager
def small_margin():
    """Use a margin so small that unarmed ranks may run the boundary step.

    With the regular margin this happens only in a group with short steps.
    """
    loguru.logger.disable("verbenafall_core")
    try:
        with mock.patch.object(switch, "MARGIN_STEPS", 3):
            yield
    finally:
        loguru.logger.enable("verbenafall_core")


def run(cell, variants, fences):
    """Run a switch, with a small margin, with the faults of a cell."""
    with small_margin():
        return run_switch(cell, variants, fences)


def run_switch(cell, variants, fences):
    group = group_model.Group(fences)
    for _ in range(3):
        group.round()
    group.wanted = 2
    targets = (TARGET, SECOND_TARGET)
    injectors = [
        Injector(group, injection.step, variants[injection.fault], target)
        for injection, target in zip(cell.injections, targets, strict=False)
    ]
    group.order_fault = functools.partial(find_fault, injectors, "on_order")
    group.write_fault = functools.partial(find_fault, injectors, "on_write")
    starts = [i for i in injectors if i.step == switch.Stage.START.value]
    for injector in starts:
        group.replace_engine(injector.target)
    run_cycles(group, injectors)
    before = group.step
    group.run_steps(1)
    used_map = group.engines[0].map_version if group.step > before else 0
    violations = []
    if len(injectors) == 1:
        violations = check_map(injectors[0], used_map)
    violations += check_recovery(group)
    injected = zip(cell.injections, injectors, strict=True)
    return matrix.Report(
        frozenset(item for item, injector in injected if injector.triggered),
        tuple(violations),
    )


def run_cycles(group, injectors):
    """Run the sidecars; repair the first of two faults after some cycles."""
    repair_at = CYCLES
    for cycle in range(CYCLES + REPAIR_CYCLES * (len(injectors) - 1)):
        for index in range(group.size):
            if index in group.live():
                group.watch(index)
                group.poll(index)
            group.deliver_all()
            group.run_steps(1)
        if cycle == CYCLES - 10:
            group.wanted = 0
        if len(injectors) > 1 and injectors[0].triggered:
            repair_at = min(repair_at, cycle + REPAIR_CYCLES)
            if cycle == repair_at:
                repair(group)


def repair(group):
    """Repair the first fault, except for its late orders and writes."""
    group.store.plan = memory_store.no_faults
    group.paused.clear()
    group.cuts.clear()
    for index in range(group.size):
        if group.members[index] is None:
            group.boot(index)
    for first in range(group.size):
        for second in range(first):
            group.close(first, second)
            group.connect(first, second)


def check_map(injector, used_map):
    """Check which map the group used while the fault lasted."""
    digit = injector.variant.maps[STEPS.index(injector.step)]
    if digit == str(used_map):
        return []
    return [f"the group runs on map {used_map} and not {digit}"]


def check_recovery(group):
    """Check that all steps used one map each, and that the group recovers."""
    if group.record() is None:
        return ["the group has no record"]
    try:
        group.assert_one_map()
        group.assert_recovers()
    except AssertionError:
        if group.mixed:
            return [f"steps on two maps: {group.mixed[:3]}"]
        return [f"the group does not recover: {group.record()}"]
    return []


def exclusion_reason(variants, reason, _step, fault):
    """Exclude the faults that other flows cover."""
    return None if fault in variants else reason


def create_flows(name, variants, reason, pairs=False):
    """Create a flow for engines with fencing and one for those without."""
    return tuple(
        matrix.Flow(
            f"{name}_{suffix}",
            STEPS,
            functools.partial(run, variants=variants, fences=fences),
            functools.partial(exclusion_reason, variants, reason),
            pairs,
        )
        for suffix, fences in (("fenced", True), ("unfenced", False))
    )


FLOWS = (
    *create_flows("map_switch", FAULTS, ""),
    *create_flows(
        "map_switch_killed_before_call",
        KILLED_BEFORE,
        "covered by the flow map_switch",
    ),
    *create_flows(
        "map_switch_rank_replaced",
        RANK_REPLACED,
        "covered by the flow map_switch",
    ),
    *create_flows(
        "map_switch_links_cut",
        LINKS_CUT,
        "covered by the flow map_switch",
    ),
    *create_flows(
        "map_switch_pairs",
        {fault: FAULTS[fault] for fault in PAIRED},
        "pairs are limited to faults with lasting effects",
        pairs=True,
    ),
)
