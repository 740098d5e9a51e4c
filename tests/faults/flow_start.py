"""A process that starts beside a running fleet finds the accepted bundle (P5).

The store loses the latest roll-out, of which only the running processes know.
"""

from core.bundles import restored_fleet
from core.bundles import test_fleet
from faults import matrix

Fault = matrix.Fault
TARGET = "p1"
STEPS = ("before_start", "started", "in_force")
VERSION = 2
# The text, and the head with the pending and with the accepted version.
ROLLOUT_CHANGES = 3
# P5 at this scale, in seconds.
CONVERGENCE_LIMIT_S = 7


class Start:
    """The start of one process with a restore of the store."""

    def __init__(self, cell):
        self.injection = cell.injections[0]
        self.generator = cell.create_generator()
        self.model = restored_fleet.RestorableFleet()
        self.injected = False
        self.violations = []

    def run(self):
        """Roll out version 2, then start a process again."""
        self.model.accept_first_version()
        self.model.begin_rollout("operator-a", 1)
        self.model.run_rollouts(CONVERGENCE_LIMIT_S)
        self.reach("before_start")
        self.model.restart(TARGET)
        self.reach("started")
        self.model.tick()
        self.reach("in_force")
        self.model.pass_time(CONVERGENCE_LIMIT_S)
        for name in test_fleet.NAMES:
            service = self.model.processes[name].service
            in_force = service.heartbeat_fields()[0]
            if in_force != VERSION:
                self.violations.append(f"{name} runs {in_force}")
        if self.model.head().accepted != VERSION:
            self.violations.append(f"the store has {self.model.head()}")
        if self.model.lacks_text(VERSION):
            self.violations.append("the store has no text of the version")

    def reach(self, step):
        """Restore the store if the fault is at this step."""
        if self.injection == (step, Fault.RESTORE):
            self.injected = True
            changes = self.generator.randint(1, ROLLOUT_CHANGES)
            self.model.restore_store(changes)


def run(cell: matrix.Cell) -> matrix.Report:
    """Start a process beside three others."""
    start = Start(cell)
    try:
        start.run()
    except AssertionError as error:
        start.violations.append(f"the model's check failed: {error}")
    injected = cell.injections if start.injected else ()
    return matrix.Report(frozenset(injected), tuple(start.violations))


def exclusion_reason(_step: str, fault: Fault) -> str | None:
    """Exclude all faults but a restore of the store."""
    if fault is Fault.RESTORE:
        return None
    return "restarts with other faults are in tests/core/bundles/test_fleet.py"


FLOWS = (matrix.Flow("start", STEPS, run, exclusion_reason),)
