"""Formats the output of `bundle status`."""

from verbenafall_core import messages
from verbenafall_core.bundles import records
from verbenafall_core.bundles import roll

HEADER = "instance role data_centre in_force pending rejected ready"


def format_view(head: records.Head | None, view: roll.FleetView) -> list[str]:
    """Return the lines of the head and of all processes.

    Listed instances without a status come last.
    """
    lines = [format_head(head), HEADER]
    lines += [format_process(status) for status in view.statuses]
    reporting = {status.instance for status in view.statuses}
    lines += [
        f"{instance.name} {instance.role} {instance.data_centre} - - -"
        f" unknown ({instance.state}, no status)"
        for instance in view.instances or ()
        if instance.name not in reporting
    ]
    return lines


def format_head(head: records.Head | None) -> str:
    """Return the line of the head; None means that it could not be read."""
    if head is None:
        return "head unknown"
    return f"head accepted={head.accepted} pending={head.pending or '-'}"


def format_process(status: messages.StatusReply) -> str:
    """Return the line of a process that reported its status."""
    rejected = "; ".join(
        f"{entry.version} ({entry.reason})" for entry in status.rejected
    )
    ready = "yes" if status.ready else f"no ({status.not_ready_reason})"
    return (
        f"{status.instance} {status.role} {status.data_centre}"
        f" {status.in_force or '-'} {status.pending or '-'}"
        f" {rejected or '-'} {ready}"
    )


def is_converged(head: records.Head | None, view: roll.FleetView) -> bool:
    """Return whether all processes are ready and use the accepted bundle."""
    reporting = {status.instance for status in view.statuses}
    return (
        head is not None
        and view.instances is not None
        and all(instance.name in reporting for instance in view.instances)
        and all(
            status.ready and status.in_force >= head.accepted
            for status in view.statuses
        )
    )
