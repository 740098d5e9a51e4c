"""Map state of a rank group, stored as JSON in the object store."""

import enum
from typing import Final
from typing import NamedTuple
from typing import TypedDict

import msgspec
import returns.result

from verbenafall_core import json_documents

FIRST_EPOCH: Final = 1


class Phase(enum.StrEnum):
    """Phase of a map switch.

    STABLE: All ranks use the map.
    PREPARING: The ranks load the target's weights; can still be cancelled.
    SWITCHING: The boundary step is set; the switch can only be completed.
    """

    STABLE = "stable"
    PREPARING = "preparing"
    SWITCHING = "switching"


class MapRecord(NamedTuple):
    """State of a group's map.

    Attributes:
        epoch: Incremented with each write; fencing token of all orders.
        target_version: Map to switch to, 0 when stable.
        boundary_step: First step that uses the target. When not switching,
            the one of the last switch, or 0. Never decreases.
    """

    epoch: int
    phase: Phase
    map_version: int
    target_version: int
    boundary_step: int


class _RecordJson(TypedDict):
    epoch: int
    phase: Phase
    map_version: int
    target_version: int
    boundary_step: int


RecordResult = returns.result.Result[MapRecord, str]


def object_name(group: str) -> str:
    """Return the name of a group's record in the object store."""
    return f"groups/{group}"


def lease_name(group: str) -> str:
    """Return the name of a group's lease."""
    return f"group/{group}"


def encode(record: MapRecord) -> bytes:
    """Serialize a record to JSON."""
    return msgspec.json.encode(record._asdict())


def decode(data: bytes) -> RecordResult:
    """Parse and validate a record; the failure describes the problem."""
    try:
        fields = json_documents.decode(data, _RecordJson)
    except json_documents.JsonError as error:
        return returns.result.Failure(str(error))
    record = MapRecord(**fields)
    problem = find_inconsistency(record)
    if problem:
        return returns.result.Failure(problem)
    return returns.result.Success(record)


def find_inconsistency(record: MapRecord) -> str:
    """Return the first inconsistency of a record, or an empty string."""
    stable = record.phase is Phase.STABLE
    switching = record.phase is Phase.SWITCHING
    target = record.target_version
    checks = (
        (record.epoch < FIRST_EPOCH, "epoch is not positive"),
        (record.map_version < 1, "map_version is not positive"),
        (record.boundary_step < 0, "boundary_step is negative"),
        (stable and target != 0, "target_version in phase stable"),
        (not stable and target < 1, "target_version is not positive"),
        (target == record.map_version, "target_version equals map_version"),
        (switching and record.boundary_step < 1, "no boundary_step"),
    )
    return next((problem for failed, problem in checks if failed), "")


def first_record(map_version: int) -> MapRecord:
    """Return the initial record of a group that uses a map."""
    return MapRecord(FIRST_EPOCH, Phase.STABLE, map_version, 0, 0)
