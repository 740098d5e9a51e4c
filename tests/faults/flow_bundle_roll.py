"""A bundle rollout (P5) on the simulated fleet of the bundle tests.

That fleet checks at each step that no process returns to an older version,
runs an unsigned bundle, or accepts new work after it missed a version.
"""

from core.bundles import restored_fleet
from core.bundles import test_fleet
from faults import matrix
from verbenafall_standins.fakes import memory_store

Fault = matrix.Fault
TARGET = "p1"
STEPS = ("put_text", "set_pending", "prepare", "accept", "activate")
OPERATOR_STEPS = ("put_text", "set_pending", "accept")
OPERATOR, OTHER_OPERATOR = "operator-a", "operator-b"
VERSION = 2
# P5 at this scale: time until all reachable processes run a new version after
# it was accepted or the fault ended.
CONVERGENCE_LIMIT_S = 7
PAUSE_S = 8
# Numbers of the latest changes that a restore of the store undoes.
RESTORED_CHANGES = (1, 2, 4)
# The text, and the head with the pending and with the accepted version.
ROLLOUT_CHANGES = 3


class Rollout:
    """One rollout of version 2 with a fault."""

    def __init__(self, cell):
        self.injection = cell.injections[0]
        self.generator = cell.create_generator()
        self.model = restored_fleet.RestorableFleet()
        self.injected = False
        self.violations = []

    def head(self):
        return self.model.head()

    def next_fault(self, step):
        """Return the fault if its step is reached for the first time."""
        if self.injected or step != self.injection.step:
            return None
        self.injected = True
        return self.injection.fault

    def run_operator_step(self, step):
        """Run the operator's next action, with the fault of the step."""
        fault = self.next_fault(step)
        if fault is not None:
            self.apply_operator_fault(fault)
        if OPERATOR in self.model.rollouts:
            self.model.make_rollout_steps(OPERATOR, 1)
        if fault is Fault.LOST_ANSWER:
            self.model.store.plan = memory_store.no_faults
        if fault is Fault.KILL:
            self.model.rollouts.pop(OPERATOR, None)
            self.start_rollout(OTHER_OPERATOR)
        if fault is Fault.DUPLICATE:
            self.start_rollout(OTHER_OPERATOR)

    def apply_operator_fault(self, fault):
        model = self.model
        if fault in (Fault.PAUSE, Fault.SLOW, Fault.DELAY):
            model.pass_time(PAUSE_S if fault is Fault.PAUSE else 2)
        if fault is Fault.CUT_OUT:
            model.lose_operator_call(memory_store.Fault.LOST_CALL, 0)
        if fault in (Fault.CUT_IN, Fault.LOST_ANSWER):
            model.lose_operator_call(memory_store.Fault.LOST_ANSWER, 0)
        if fault is Fault.STORE_DOWN:
            model.toggle_outage()
        if fault is Fault.RESTORE:
            self.restore_store()

    def restore_store(self):
        self.model.restore_store(self.generator.choice(RESTORED_CHANGES))

    def restore_store_at_process_step(self):
        if self.injection.step != "activate":
            self.restore_store()
            return
        # Nobody but the processes knows of the version any more.
        self.advance(2)
        self.model.rollouts.clear()
        self.model.restore_store(ROLLOUT_CHANGES)

    def apply_process_fault(self, fault):
        model = self.model
        if fault is Fault.RESTORE:
            self.restore_store_at_process_step()
            return
        match fault:
            case Fault.KILL:
                model.restart(TARGET)
            case Fault.PAUSE:
                model.pause(TARGET)
                model.pass_time(PAUSE_S)
                model.resume(TARGET)
            case Fault.CUT_OUT | Fault.CUT_IN:
                model.isolate(TARGET)
            case Fault.SLOW | Fault.DELAY:
                model.toggle_store_cut(TARGET)
                model.pass_time(2)
                model.toggle_store_cut(TARGET)
            case Fault.DUPLICATE:
                model.queue += model.queue
            case Fault.REORDER:
                self.generator.shuffle(model.queue)
            case Fault.LOST_ANSWER:
                model.toggle_link_cut(TARGET, "p2")
            case Fault.STORE_DOWN:
                model.toggle_outage()

    def start_rollout(self, operator):
        """Start a rollout of the same bundle by the given operator."""
        signed = test_fleet.bundle_helpers.signed(VERSION)
        text = signed.text
        self.model.genuine.setdefault(VERSION, set()).add(text)
        self.model.start_rollout(operator, signed)

    def run_process_step(self, step):
        fault = self.next_fault(step)
        if fault is not None:
            for name in self.model.running():
                self.send_heartbeats(name)
            self.apply_process_fault(fault)
            self.model.deliver()

    def send_heartbeats(self, name):
        """Send the heartbeats of a process on all its links."""
        process = self.model.processes[name]
        fields = process.service.heartbeat_fields()
        heartbeat = test_fleet.messages.Heartbeat(*fields, False)
        for link_end in list(process.links.values()):
            link_end.send(heartbeat)

    def advance(self, seconds):
        """Advance the operators and the clock."""
        for _ in range(seconds):
            for operator in list(self.model.rollouts):
                self.model.make_rollout_steps(operator, 1)
            self.model.tick()

    def run(self):
        """Run the rollout with the fault, then check again without it."""
        self.model.accept_first_version()
        self.start_rollout(OPERATOR)
        for step in ("put_text", "set_pending"):
            self.run_operator_step(step)
        self.run_process_step("prepare")
        for _ in range(CONVERGENCE_LIMIT_S):
            if self.is_prepared():
                self.run_operator_step("accept")
            if self.head().accepted == VERSION:
                break
            self.advance(1)
        self.run_process_step("activate")
        self.advance(3)
        if self.head().accepted == VERSION:
            self.check_versions(self.reachable(), "with the fault")
        self.remove_faults()
        for _ in range(2 * PAUSE_S):
            if self.head().accepted == VERSION:
                break
            self.advance(1)
        self.advance(CONVERGENCE_LIMIT_S)
        self.check_versions(test_fleet.NAMES, "after the fault")
        self.check_store()

    def is_prepared(self):
        """Return whether each process has the version prepared or in force."""
        prepared = [
            process.service.heartbeat_fields()
            for process in self.model.processes.values()
        ]
        return all(VERSION in fields[:2] for fields in prepared)

    def remove_faults(self):
        model = self.model
        for name in test_fleet.NAMES:
            model.resume(name)
        model.isolated.clear()
        model.links_cut.clear()
        model.store_cut.clear()
        model.outage = False
        model.store.plan = memory_store.no_faults
        model.sync_links()
        is_restored = self.injection.fault is Fault.RESTORE
        if (
            not is_restored
            and not model.rollouts
            and self.head().accepted < VERSION
        ):
            self.start_rollout(OTHER_OPERATOR)

    def reachable(self):
        """Return the running processes that updates can still reach."""
        if self.model.outage:
            return ()
        return [n for n in self.model.running() if n not in self.model.isolated]

    def check_store(self):
        """Check that processes that start now find what is accepted."""
        name = test_fleet.records.bundle_name(VERSION)
        if self.head().accepted != VERSION:
            self.violations.append(f"the store has the head {self.head()}")
        if name not in self.model.store.objects:
            self.violations.append("the store has no text of the version")

    def check_versions(self, names, when):
        for name in names:
            service = self.model.processes[name].service
            in_force = service.heartbeat_fields()[0]
            if in_force != VERSION:
                self.violations.append(f"{name} runs {in_force} {when}")


def run(cell: matrix.Cell) -> matrix.Report:
    """Roll out a version to four processes."""
    rollout = Rollout(cell)
    try:
        rollout.run()
    except AssertionError as error:
        rollout.violations.append(f"the model's check failed: {error}")
    injected = cell.injections if rollout.injected else ()
    return matrix.Report(frozenset(injected), tuple(rollout.violations))


def exclusion_reason(step: str, fault: Fault) -> str | None:
    """Exclude reordering of the calls of one operator."""
    if fault is Fault.REORDER and step in OPERATOR_STEPS:
        return "an operator makes one call at a time"
    return None


FLOWS = (matrix.Flow("bundle_roll", STEPS, run, exclusion_reason),)
