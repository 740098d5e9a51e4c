"""A lease: one holder at a time, and one again after each fault."""

import datetime

import returns.result

from faults import matrix
from verbenafall_core import leases
from verbenafall_core.object_store import port
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

Fault = matrix.Fault
SECOND = datetime.timedelta(seconds=1)
STEPS = ("create", "renew", "take_over", "release")
# Two durations of the lease and one interval of its renewal.
TURNS = 2 * (leases.DURATION // leases.RENEW_INTERVAL) + 1
WRITES = ("create", "update")


class Instance:
    """A process with its own clock; a fault hits the write of a step."""

    def __init__(self, model, name, offset):
        self.model = model
        self.clock = manual_clock.create_manual_clock()
        self.clock.advance(offset)
        self.service = leases.create_lease_service(self, self.clock, "x", name)
        self.alive = True
        self.paused_until = None
        self.cut = False

    def read(self, name):
        if self.cut or self.model.down:
            return fail(port.FailureKind.UNAVAILABLE)
        return self.model.store.read(name)

    def create(self, name, value):
        return self.write(lambda: self.model.store.create(name, value))

    def update(self, name, value, version):
        return self.write(lambda: self.model.store.update(name, value, version))

    def write(self, make):
        fault = self.model.fault_of(self)
        if self.cut or self.model.down:
            return fail(port.FailureKind.UNAVAILABLE)
        return CALLS.get(fault, answer)(self, make)


def fail(kind):
    return returns.result.Failure(port.StoreFailure(kind, ""))


def answer(_instance, make):
    return make()


def die_after(instance, make):
    make()
    instance.alive = False
    return fail(port.FailureKind.UNCERTAIN)


def pause_after(instance, make):
    """The process is stopped between the write and its answer."""
    result = make()
    instance.model.pass_time(leases.DURATION + SECOND, without=instance)
    return result


def cut_before(instance, _make):
    instance.cut = True
    return fail(port.FailureKind.UNCERTAIN)


def cut_after(instance, make):
    instance.cut = True
    make()
    return fail(port.FailureKind.UNCERTAIN)


def delay(instance, make):
    instance.model.late.append(make)
    return fail(port.FailureKind.UNCERTAIN)


def duplicate(instance, make):
    instance.model.late.append(make)
    return make()


def lose_answer(_instance, make):
    make()
    return fail(port.FailureKind.UNCERTAIN)


def be_slow(instance, make):
    instance.model.advance(4 * SECOND)
    result = make()
    instance.model.advance(4 * SECOND)
    return result


def store_down(instance, _make):
    instance.model.down = True
    return fail(port.FailureKind.UNAVAILABLE)


CALLS = {
    Fault.KILL: die_after,
    Fault.PAUSE: pause_after,
    Fault.CUT_OUT: cut_before,
    Fault.CUT_IN: cut_after,
    Fault.DELAY: delay,
    Fault.DUPLICATE: duplicate,
    Fault.LOST_ANSWER: lose_answer,
    Fault.SLOW: be_slow,
    Fault.STORE_DOWN: store_down,
}


class Model:
    """Two instances that want one lease."""

    def __init__(self, injections):
        self.store = memory_store.create_memory_store()
        self.injections = list(injections)
        self.injected = set()
        self.step = ""
        self.actor = None
        self.down = False
        self.late = []
        self.violations = []
        self.instances = [
            Instance(self, "one", 1000 * SECOND),
            Instance(self, "two", 0 * SECOND),
        ]

    def fault_of(self, instance):
        if instance is not self.actor:
            return None
        for injection in self.injections:
            if injection.step == self.step and injection not in self.injected:
                self.injected.add(injection)
                return injection.fault
        return None

    def advance(self, duration):
        for instance in self.instances:
            instance.clock.advance(duration)
        self.check()

    def pass_time(self, duration, without=None):
        """Let time pass; the other instances go on."""
        end = self.instances[0].clock.monotonic() + duration
        while self.instances[0].clock.monotonic() < end:
            self.advance(leases.RENEW_INTERVAL)
            for instance in self.instances:
                if instance.alive and instance is not without:
                    instance.service.run_once()
                    self.check()

    def check(self):
        holders = [i for i in self.instances if i.alive and i.service.holds()]
        if len(holders) > 1:
            self.violations.append("two holders")

    def act(self, step, index):
        """Run the service of one instance as a step of the flow."""
        self.step, self.actor = step, self.instances[index]
        if not self.actor.alive:
            return
        if step == "release":
            self.actor.service.release()
        else:
            self.actor.service.run_once()
        self.step = ""
        self.check()

    def heal(self):
        """End all faults; a dead process is replaced."""
        self.down = False
        for make in self.late:
            make()
            self.check()
        for number, instance in enumerate(self.instances):
            instance.cut = False
            if not instance.alive or instance.service.released:
                self.instances[number] = Instance(self, "new", 0 * SECOND)


def run(cell: matrix.Cell) -> matrix.Report:
    """Create, renew, lose by a pause, and release a lease."""
    model = Model(cell.injections)
    model.act("create", 0)
    model.advance(leases.RENEW_INTERVAL)
    model.act("renew", 0)
    model.advance(leases.DURATION)
    model.instances[1].service.run_once()
    model.advance(leases.DURATION)
    model.act("take_over", 1)
    model.act("release", 1)
    model.pass_time(leases.DURATION)
    model.heal()
    model.pass_time(TURNS * leases.RENEW_INTERVAL)
    holders = [i for i in model.instances if i.service.holds()]
    if not holders:
        model.violations.append("no holder after the fault")
    return matrix.Report(frozenset(model.injected), tuple(model.violations))


def why_not(_step: str, fault: Fault) -> str | None:
    """Name the fault that a process with one call at a time cannot have."""
    if fault is Fault.REORDER:
        return "a process makes one call on its lease at a time"
    return None


FLOWS = (matrix.Flow("lease", STEPS, run, why_not),)
