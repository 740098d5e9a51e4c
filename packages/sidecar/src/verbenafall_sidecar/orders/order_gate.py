"""Decides whether an order may be passed on to an engine; pure.

Takes the place of fencing for engines that do not fence. The state is lost
with the process and restored from the group record, so until that is known
no order passes.
"""

import enum
from typing import NamedTuple

from verbenafall_core.expert_maps import switch


class Verdict(enum.StrEnum):
    """Whether an order passes."""

    PASSED = "passed"
    RECORD_UNKNOWN = "record_unknown"
    OLD_EPOCH = "old_epoch"


class Gate(NamedTuple):
    """Highest epoch seen, 0 while the group record is not known."""

    epoch: int


def closed_gate() -> Gate:
    """Return the gate of a process that does not know the record."""
    return Gate(0)


def raise_epoch(gate: Gate, epoch: int) -> Gate:
    """Return the gate after a record of that epoch was seen."""
    return Gate(max(gate.epoch, epoch))


def check_order(gate: Gate, order: switch.Order) -> Verdict:
    """Return whether an order passes."""
    if gate.epoch == 0:
        return Verdict.RECORD_UNKNOWN
    if order.epoch < gate.epoch:
        return Verdict.OLD_EPOCH
    return Verdict.PASSED
