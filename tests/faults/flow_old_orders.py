"""Old orders of a paused sidecar reach an engine that does not fence (P4)."""

from expert_maps import test_restarts
from faults import flow_map_switch
from faults import matrix

Fault = matrix.Fault
STEPS = ("start",)


def run(cell: matrix.Cell) -> matrix.Report:
    """Pause a sidecar between its decision and the order, over two switches."""
    violations = []
    try:
        with flow_map_switch.small_margin():
            group = test_restarts.run_late_start(fences=False)
            if group.mixed:
                violations.append("a step ran on two maps")
            group.assert_recovers()
    except AssertionError as error:
        violations.append(f"the group does not recover: {error}")
    return matrix.Report(frozenset(cell.injections), tuple(violations))


def why_not(_step: str, fault: Fault) -> str | None:
    """Only a pause makes an order old while its sender lives."""
    if fault is Fault.PAUSE:
        return None
    return "the flows map_switch_* have this fault at each order"


FLOWS = (matrix.Flow("old_orders_unfenced", STEPS, run, why_not),)
