"""Outdated orders of a paused sidecar, to an engine without fencing (P4)."""

from expert_maps import test_restarts
from faults import flow_map_switch
from faults import matrix

Fault = matrix.Fault
STEPS = ("start",)


def run(cell: matrix.Cell) -> matrix.Report:
    """Pause a sidecar at an order and resume it during the second switch."""
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


def exclusion_reason(_step: str, fault: Fault) -> str | None:
    """Exclude all faults that do not make a live sidecar send old orders."""
    if fault is Fault.PAUSE:
        return None
    return "covered at each order by the flows map_switch_*"


FLOWS = (matrix.Flow("old_orders_unfenced", STEPS, run, exclusion_reason),)
