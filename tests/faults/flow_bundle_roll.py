"""A bundle roll-out (P5) in the model of the bundle tests.

The model checks at each step that no process goes back, runs an unsigned
text, or takes new work although it missed a version.
"""

from core.bundles import test_fleet
from faults import matrix
from verbenafall_standins.fakes import memory_store

Fault = matrix.Fault
VICTIM = "p1"
STEPS = ("put_text", "set_pending", "prepare", "accept", "activate")
OPERATOR_STEPS = ("put_text", "set_pending", "accept")
OPERATOR, OTHER = "operator-a", "operator-b"
VERSION = 2
# P5 at this scale: seconds after a version was accepted or the fault ended.
LIMIT_S = 7
PAUSE_S = 8


class Run:
    """One roll-out of version 2 with a fault."""

    def __init__(self, cell):
        self.injection = cell.injections[0]
        self.generator = cell.generator()
        self.model = test_fleet.FleetMachine()
        self.injected = False
        self.violations = []

    def head(self):
        return self.model.head()

    def at(self, step):
        """Reach a step; return the fault that happens there."""
        if self.injected or step != self.injection.step:
            return None
        self.injected = True
        return self.injection.fault

    def operate(self, step):
        """Let the operator make its next move."""
        fault = self.at(step)
        if fault is not None:
            self.disturb_operator(fault)
        if OPERATOR in self.model.rollouts:
            self.model.operate(OPERATOR, 1)
        if fault is Fault.LOST_ANSWER:
            self.model.store.plan = memory_store.no_faults
        if fault is Fault.KILL:
            self.model.rollouts.pop(OPERATOR, None)
            self.start(OTHER)
        if fault is Fault.DUPLICATE:
            self.start(OTHER)

    def disturb_operator(self, fault):
        model = self.model
        if fault in (Fault.PAUSE, Fault.SLOW, Fault.DELAY):
            model.pass_time(PAUSE_S if fault is Fault.PAUSE else 2)
        if fault is Fault.CUT_OUT:
            model.lose_operator_call(memory_store.Fault.LOST_CALL, 0)
        if fault in (Fault.CUT_IN, Fault.LOST_ANSWER):
            model.lose_operator_call(memory_store.Fault.LOST_ANSWER, 0)
        if fault is Fault.STORE_DOWN:
            model.toggle_outage()

    def disturb_process(self, fault):
        model = self.model
        match fault:
            case Fault.KILL:
                model.restart(VICTIM)
            case Fault.PAUSE:
                model.pause(VICTIM)
                model.pass_time(PAUSE_S)
                model.resume(VICTIM)
            case Fault.CUT_OUT | Fault.CUT_IN:
                model.isolate(VICTIM)
            case Fault.SLOW | Fault.DELAY:
                model.toggle_store_cut(VICTIM)
                model.pass_time(2)
                model.toggle_store_cut(VICTIM)
            case Fault.DUPLICATE:
                model.queue += model.queue
            case Fault.REORDER:
                self.generator.shuffle(model.queue)
            case Fault.LOST_ANSWER:
                model.toggle_link_cut(VICTIM, "p2")
            case Fault.STORE_DOWN:
                model.toggle_outage()

    def start(self, who):
        """Begin the roll-out of the same text by an operator."""
        signed = test_fleet.bundle_helpers.signed(VERSION)
        text = signed.text
        self.model.genuine.setdefault(VERSION, set()).add(text)
        self.model.start_rollout(who, signed)

    def process_step(self, step):
        fault = self.at(step)
        if fault is not None:
            for name in self.model.running():
                self.speak(name)
            self.disturb_process(fault)
            self.model.deliver()

    def speak(self, name):
        """Put the heartbeats of a process under way."""
        process = self.model.processes[name]
        fields = process.service.heartbeat_fields()
        beat = test_fleet.messages.Heartbeat(*fields, False)
        for side in list(process.links.values()):
            side.send(beat)

    def go_on(self, seconds):
        """Let operators and time go on."""
        for _ in range(seconds):
            for who in list(self.model.rollouts):
                self.model.operate(who, 1)
            self.model.tick()

    def roll(self):
        """Roll out with the fault, then without it."""
        self.model.accept_a_first_version()
        self.start(OPERATOR)
        for step in ("put_text", "set_pending"):
            self.operate(step)
        self.process_step("prepare")
        for _ in range(LIMIT_S):
            if self.is_prepared():
                self.operate("accept")
            if self.head().accepted == VERSION:
                break
            self.go_on(1)
        self.process_step("activate")
        self.go_on(3)
        if self.head().accepted == VERSION:
            self.check_reached(self.reachable(), "with the fault")
        self.repair()
        for _ in range(2 * PAUSE_S):
            if self.head().accepted == VERSION:
                break
            self.go_on(1)
        self.go_on(LIMIT_S)
        self.check_reached(test_fleet.NAMES, "after the fault")

    def is_prepared(self):
        """Return whether the operator's next move may accept."""
        prepared = [
            process.service.heartbeat_fields()
            for process in self.model.processes.values()
        ]
        return all(VERSION in fields[:2] for fields in prepared)

    def repair(self):
        model = self.model
        for name in test_fleet.NAMES:
            model.resume(name)
        model.isolated.clear()
        model.links_cut.clear()
        model.store_cut.clear()
        model.outage = False
        model.store.plan = memory_store.no_faults
        model.sync_links()
        if not model.rollouts and self.head().accepted < VERSION:
            self.start(OTHER)

    def reachable(self):
        """Return the processes that something can still tell."""
        if self.model.outage:
            return ()
        return [n for n in self.model.running() if n not in self.model.isolated]

    def check_reached(self, names, when):
        for name in names:
            service = self.model.processes[name].service
            in_force = service.heartbeat_fields()[0]
            if in_force != VERSION:
                self.violations.append(f"{name} runs {in_force} {when}")


def run(cell: matrix.Cell) -> matrix.Report:
    """Roll a version out to four processes."""
    roll_out = Run(cell)
    try:
        roll_out.roll()
    except AssertionError as error:
        roll_out.violations.append(f"the model's check failed: {error}")
    injected = cell.injections if roll_out.injected else ()
    return matrix.Report(frozenset(injected), tuple(roll_out.violations))


def why_not(step: str, fault: Fault) -> str | None:
    """Name the fault that one operator's calls cannot have."""
    if fault is Fault.REORDER and step in OPERATOR_STEPS:
        return "an operator's calls follow each other"
    return None


FLOWS = (matrix.Flow("bundle_roll", STEPS, run, why_not),)
