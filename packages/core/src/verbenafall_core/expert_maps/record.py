"""The record of a rank group, kept in the store as JSON."""

import enum
from typing import Final
from typing import NamedTuple
from typing import TypedDict

import msgspec
import returns.result

FIRST_EPOCH: Final = 1


class Phase(enum.StrEnum):
    """Phase of a map switch.

    STABLE: All ranks run on the map.
    PREPARING: The ranks load the target's weights; may be given up.
    SWITCHING: The boundary step is fixed; only forward from here.
    """

    STABLE = "stable"
    PREPARING = "preparing"
    SWITCHING = "switching"


class MapRecord(NamedTuple):
    """State of a group's map.

    Attributes:
        epoch: Grows by one with each write; fencing token of all orders.
        target_version: Map switched to, 0 when stable.
        boundary_step: First step on the target; when not switching, that of
            the last switch, or 0. It never decreases.
    """

    epoch: int
    phase: Phase
    map_version: int
    target_version: int
    boundary_step: int


class _Form(TypedDict):
    epoch: int
    phase: Phase
    map_version: int
    target_version: int
    boundary_step: int


RecordResult = returns.result.Result[MapRecord, str]


def object_name(group: str) -> str:
    """Return the store name of a group's record."""
    return f"groups/{group}"


def lease_name(group: str) -> str:
    """Return the name of the lease of a group."""
    return f"group/{group}"


def encode(record: MapRecord) -> bytes:
    """Return the JSON form."""
    return msgspec.json.encode(record._asdict())


def decode(data: bytes) -> RecordResult:
    """Read and check the JSON form; the failure says what is wrong."""
    try:
        form = msgspec.json.decode(data, type=_Form)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return returns.result.Failure(str(error))
    record = MapRecord(**form)
    fault = find_fault(record)
    if fault:
        return returns.result.Failure(fault)
    return returns.result.Success(record)


def find_fault(record: MapRecord) -> str:
    """Return what is inconsistent in a record, or an empty text."""
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
    """Return the record of a group that has none yet."""
    return MapRecord(FIRST_EPOCH, Phase.STABLE, map_version, 0, 0)
