"""Under any faults, each step runs on the same map in all ranks."""

import group_model
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from verbenafall_standins.fakes import memory_store

INDEX = st.integers(0, 2)
ORDER_FAULTS = st.sampled_from(["lost", "lost_answer", "late", "duplicate"])


def once(choose):
    """Return a fault plan that injects a single fault."""
    used = []

    def plan(index, _what):
        fault = None if used else choose(index)
        used.extend([fault] if fault else [])
        return fault

    return plan


class SwitchMachine(stateful.RuleBasedStateMachine):
    fences = True

    def __init__(self):
        super().__init__()
        self.group = group_model.Group(self.fences)
        for _ in range(3):
            self.group.round()

    @stateful.initialize(rounds=st.integers(0, 6))
    def begin_switch(self, rounds):
        """Start a switch and run part of it, so that faults hit any phase."""
        self.group.wanted = 2
        for _ in range(rounds):
            self.group.round()

    @stateful.rule(count=st.integers(1, 6))
    def run_steps(self, count):
        self.group.run_steps(count)

    @stateful.rule(steps=st.integers(0, 3))
    def round(self, steps):
        self.group.round(steps)

    @stateful.rule(index=INDEX, steps=st.integers(0, 6))
    def round_of_one(self, index, steps):
        """Run one sidecar ahead of the others."""
        if index in self.group.live():
            self.group.watch(index)
            self.group.poll(index)
        self.group.deliver_all()
        self.group.run_steps(steps)

    @stateful.rule()
    def want_other_map(self):
        record = self.group.record()
        self.group.wanted = 3 - record.map_version if record else 2

    @stateful.rule(index=INDEX)
    def poll(self, index):
        if index in self.group.live():
            self.group.poll(index)

    @stateful.rule(index=INDEX)
    def watch(self, index):
        if index in self.group.live():
            self.group.watch(index)

    @stateful.rule(position=st.integers(0, 30), keep=st.booleans())
    def deliver(self, position, keep):
        """Deliver a message out of order; keep makes it a duplicate."""
        if position < len(self.group.in_transit):
            self.group.deliver(position, keep)

    @stateful.rule(index=INDEX)
    def lose_messages(self, index):
        self.group.in_transit = [
            m for m in self.group.in_transit if m[0].source != index
        ]

    @stateful.rule(index=INDEX, boot=st.booleans(), engine=st.booleans())
    def kill(self, index, boot, engine):
        self.group.kill(index)
        if engine:
            self.group.replace_engine(index)
        if boot:
            self.group.boot(index)

    @stateful.rule(index=INDEX)
    def boot(self, index):
        if self.group.members[index] is None:
            self.group.boot(index)

    @stateful.rule(index=INDEX)
    def replace_engine(self, index):
        self.group.replace_engine(index)

    @stateful.rule(index=INDEX)
    def pause_or_continue(self, index):
        self.group.paused ^= {index}

    @stateful.rule(holders=st.frozensets(INDEX))
    def change_holders(self, holders):
        """Several sidecars hold the lease if one was paused past its end."""
        self.group.holders = set(holders)

    @stateful.rule(first=INDEX, second=INDEX, back=st.booleans())
    def cut(self, first, second, back):
        if first != second:
            self.group.close(first, second)
            if back:
                self.group.connect(first, second)

    @stateful.rule(index=INDEX, fault=st.none() | ORDER_FAULTS)
    def fault_orders(self, index, fault):
        self.group.order_fault = once(lambda i: fault if i == index else None)

    @stateful.rule(fault=st.none() | ORDER_FAULTS)
    def fault_writes(self, fault):
        self.group.write_fault = once(lambda _: fault)

    @stateful.rule(position=st.integers(0, 5))
    def late_order(self, position):
        if position < len(self.group.late_orders):
            engine, order = self.group.late_orders.pop(position)
            engine.handle_order(order)

    @stateful.rule()
    def late_write(self):
        if self.group.late_writes:
            self.group.late_writes.pop(0)()

    @stateful.rule(fault=st.none() | st.sampled_from(memory_store.Fault))
    def fault_store(self, fault):
        """Set a store fault that lasts until it is changed."""
        self.group.store.plan = lambda _call: fault

    @stateful.invariant()
    def one_map(self):
        self.group.assert_one_map()

    def teardown(self):
        self.group.assert_recovers()


class UnfencedMachine(SwitchMachine):
    fences = False


SETTINGS = hypothesis.settings(
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFencing = SwitchMachine.TestCase
TestFencing.settings = SETTINGS
TestUnfenced = UnfencedMachine.TestCase
TestUnfenced.settings = SETTINGS
