"""Decides whether an order may be sent to an engine; pure.

Replaces fencing for engines that do not compare epochs themselves. The state
is lost when the process ends and is restored from the group record, so no
order may be sent before the record is known.
"""

import enum
from typing import NamedTuple

from verbenafall_core.expert_maps import switch


class Verdict(enum.StrEnum):
    """Result of check_order.

    PASSED: The order may be sent.
    RECORD_UNKNOWN: The group record is not known yet.
    OLD_EPOCH: A record of a later epoch is known.
    """

    PASSED = "passed"
    RECORD_UNKNOWN = "record_unknown"
    OLD_EPOCH = "old_epoch"


class Gate(NamedTuple):
    """State of the gate.

    Attributes:
        epoch: Highest epoch of the group records seen, 0 before the first.
    """

    epoch: int


def closed_gate() -> Gate:
    """Return a gate that no order passes, as no record is known."""
    return Gate(0)


def raise_epoch(gate: Gate, epoch: int) -> Gate:
    """Return a gate that requires at least the epoch of a record."""
    return Gate(max(gate.epoch, epoch))


def check_order(gate: Gate, order: switch.Order) -> Verdict:
    """Return whether an order may be sent, else the reason."""
    if gate.epoch == 0:
        return Verdict.RECORD_UNKNOWN
    if order.epoch < gate.epoch:
        return Verdict.OLD_EPOCH
    return Verdict.PASSED
