"""A lease has at most one holder, and has one again after each fault."""

import datetime

import returns.result

from faults import matrix
from verbenafall_core import leases
from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

Fault = matrix.Fault
SECOND = datetime.timedelta(seconds=1)
STEPS = ("create", "renew", "take_over", "release")
# Rounds in two lease durations and one renewal interval.
RECOVERY_ROUNDS = 2 * (leases.DURATION // leases.RENEW_INTERVAL) + 1
WRITES = ("create", "update")


class Instance:
    """A process with its own clock and its own access to the store."""

    def __init__(self, model, name, offset):
        self.model = model
        self.clock = manual_clock.create_manual_clock()
        self.clock.advance(offset)
        self.service = leases.create_lease_service(self, self.clock, "x", name)
        self.alive = True
        self.paused_until = None
        self.cut = False

    def read(self, name):
        if self.cut or self.model.store_is_down:
            return fail(port.FailureKind.UNAVAILABLE)
        return self.model.store.read(name)

    def create(self, name, value):
        return self.write(lambda: self.model.store.create(name, value))

    def update(self, name, value, version):
        return self.write(lambda: self.model.store.update(name, value, version))

    def write(self, perform):
        fault = self.model.next_fault(self)
        if self.cut or self.model.store_is_down:
            return fail(port.FailureKind.UNAVAILABLE)
        return FAULTY_WRITES.get(fault, write_normally)(self, perform)


def fail(kind):
    return returns.result.Failure(port.StoreFailure(kind, ""))


def write_normally(_instance, perform):
    return perform()


def kill_after_write(instance, perform):
    perform()
    instance.alive = False
    return fail(port.FailureKind.UNCERTAIN)


def pause_after_write(instance, perform):
    """Pause the process between the write and its answer."""
    result = perform()
    instance.model.pass_time(leases.DURATION + SECOND, paused_instance=instance)
    return result


def cut_before_write(instance, _perform):
    instance.cut = True
    return fail(port.FailureKind.UNCERTAIN)


def cut_after_write(instance, perform):
    instance.cut = True
    perform()
    return fail(port.FailureKind.UNCERTAIN)


def delay_write(instance, perform):
    instance.model.late_writes.append(perform)
    return fail(port.FailureKind.UNCERTAIN)


def duplicate_write(instance, perform):
    instance.model.late_writes.append(perform)
    return perform()


def lose_answer(_instance, perform):
    perform()
    return fail(port.FailureKind.UNCERTAIN)


def write_slowly(instance, perform):
    instance.model.advance(4 * SECOND)
    result = perform()
    instance.model.advance(4 * SECOND)
    return result


def restore_before_write(instance, perform):
    """Lose the previous write; the other process acts before the call."""
    model = instance.model
    model.store.restore(1)
    for other in model.instances:
        if other is not instance:
            other.service.run_once()
    model.check_holders()
    return perform()


def take_store_down(instance, _perform):
    instance.model.store_is_down = True
    return fail(port.FailureKind.UNAVAILABLE)


FAULTY_WRITES = {
    Fault.KILL: kill_after_write,
    Fault.PAUSE: pause_after_write,
    Fault.CUT_OUT: cut_before_write,
    Fault.CUT_IN: cut_after_write,
    Fault.DELAY: delay_write,
    Fault.DUPLICATE: duplicate_write,
    Fault.LOST_ANSWER: lose_answer,
    Fault.SLOW: write_slowly,
    Fault.STORE_DOWN: take_store_down,
    Fault.RESTORE: restore_before_write,
}


class Model:
    """Two instances that compete for a lease."""

    def __init__(self, injections):
        self.store = memory_store.create_memory_store()
        self.injections = list(injections)
        self.injected = set()
        self.step = ""
        self.active_instance = None
        self.store_is_down = False
        self.late_writes = []
        self.violations = []
        self.instances = [
            Instance(self, "one", 1000 * SECOND),
            Instance(self, "two", 0 * SECOND),
        ]

    def next_fault(self, instance):
        if instance is not self.active_instance:
            return None
        for injection in self.injections:
            if injection.step == self.step and injection not in self.injected:
                self.injected.add(injection)
                return injection.fault
        return None

    def advance(self, duration):
        for instance in self.instances:
            instance.clock.advance(duration)
        self.check_holders()

    def pass_time(self, duration, paused_instance=None):
        """Advance the clocks and run all instances but the paused one."""
        end = self.instances[0].clock.monotonic() + duration
        while self.instances[0].clock.monotonic() < end:
            self.advance(leases.RENEW_INTERVAL)
            for instance in self.instances:
                if instance.alive and instance is not paused_instance:
                    instance.service.run_once()
                    self.check_holders()

    def check_holders(self):
        """Check that no two instances hold the lease in one era.

        A holder that has not learned of a restore keeps a lower token until
        its lease ends.
        """
        eras = [
            revisions.era_of(held.version)
            for instance in self.instances
            if instance.alive and (held := instance.service.held()) is not None
        ]
        if len(set(eras)) < len(eras):
            self.violations.append("two holders")

    def run_step(self, step, index):
        """Run one instance as a step of the flow, unless it was killed."""
        self.step, self.active_instance = step, self.instances[index]
        if not self.active_instance.alive:
            return
        if step == "release":
            self.active_instance.service.release()
        else:
            self.active_instance.service.run_once()
        self.step = ""
        self.check_holders()

    def remove_faults(self):
        """Remove all faults, apply late writes and replace ended processes."""
        self.store_is_down = False
        for perform in self.late_writes:
            perform()
            self.check_holders()
        for number, instance in enumerate(self.instances):
            instance.cut = False
            if not instance.alive or instance.service.released:
                self.instances[number] = Instance(self, "new", 0 * SECOND)


def run(cell: matrix.Cell) -> matrix.Report:
    """Create, renew, take over after expiry, and release a lease."""
    model = Model(cell.injections)
    model.run_step("create", 0)
    model.advance(leases.RENEW_INTERVAL)
    model.run_step("renew", 0)
    model.advance(leases.DURATION)
    model.instances[1].service.run_once()
    model.advance(leases.DURATION)
    model.run_step("take_over", 1)
    model.run_step("release", 1)
    model.pass_time(leases.DURATION)
    model.remove_faults()
    model.pass_time(RECOVERY_ROUNDS * leases.RENEW_INTERVAL)
    holders = [i for i in model.instances if i.service.holds()]
    if not holders:
        model.violations.append("no holder after the fault")
    if len(holders) > 1:
        model.violations.append("two holders after the fault")
    return matrix.Report(frozenset(model.injected), tuple(model.violations))


def exclusion_reason(_step: str, fault: Fault) -> str | None:
    """Exclude reordering, because a process makes one call at a time."""
    if fault is Fault.REORDER:
        return "a process makes one call on its lease at a time"
    return None


FLOWS = (matrix.Flow("lease", STEPS, run, exclusion_reason),)
