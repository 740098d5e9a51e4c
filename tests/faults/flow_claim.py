"""Two attempts start with the same key: at most one may run (P1)."""

from faults import matrix
from verbenafall_core.claims import model
from verbenafall_core.claims import service
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

Fault = matrix.Fault
STORE_FAULTS = {
    Fault.LOST_ANSWER: memory_store.Fault.LOST_ANSWER,
    Fault.CUT_OUT: memory_store.Fault.LOST_CALL,
    Fault.STORE_DOWN: memory_store.Fault.DOWN,
}
STEPS = ("first_create", "second_create")
# More than all changes of the flow.
RESTORED_CHANGES = 10


def run(cell: matrix.Cell) -> matrix.Report:
    """Claim a key in two attempts with the fault and in a third without.

    A restore comes after the call of its step.
    """
    store = memory_store.create_memory_store()
    claims = service.create_claim_service(
        store, manual_clock.create_manual_clock()
    )
    injected = set()
    injection = cell.injections[0]
    step = ""

    def plan(call: memory_store.Call) -> memory_store.Fault | None:
        is_outage = (
            injection.fault is Fault.STORE_DOWN and injection in injected
        )
        if is_outage or (step, call.operation) == (injection.step, "create"):
            injected.add(injection)
            return STORE_FAULTS.get(injection.fault)
        return None

    store.plan = plan
    results = []
    for step in STEPS:
        results.append(claims.start("t", "k", f"{step}.1", "d", "ep"))
        if injection == (step, Fault.RESTORE):
            store.restore(RESTORED_CHANGES)
    store.plan = memory_store.no_faults
    results.append(claims.start("t", "k", "third.1", "d", "ep"))
    started = sum(isinstance(item, model.StartedClaim) for item in results)
    violations = [f"{started} attempts may run"] if started > 1 else []
    return matrix.Report(frozenset(injected), tuple(violations))


def exclusion_reason(_step: str, fault: Fault) -> str | None:
    """Exclude faults that do not apply to a single store call."""
    if fault in STORE_FAULTS or fault is Fault.RESTORE:
        return None
    return "covered by the flows with processes, links and time"


FLOWS = (matrix.Flow("claim", STEPS, run, exclusion_reason),)
