"""Plan of a roll-out: what an operator does next, as pure functions."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from verbenafall_core import messages
from verbenafall_core.bundles import records
from verbenafall_core.instance_list import port as instance_port


class SetPending(NamedTuple):
    """Write the head with this version pending."""

    head: records.Head


class AwaitPrepared(NamedTuple):
    """The version is pending; wait until every live process has it."""


class AlreadyAccepted(NamedTuple):
    """The version is accepted; nothing is left to do."""


class Lost(NamedTuple):
    """Another operator's version won, or the version cannot be rolled."""

    message: str


Move = SetPending | AwaitPrepared | AlreadyAccepted | Lost


class Preparation(NamedTuple):
    """How far the live processes are with a version.

    Attributes:
        prepared: Names of processes that hold the version.
        waiting: Names of live processes that do not, or whose status is
            not known.
        rejected: Lines with process and reason.
    """

    prepared: tuple[str, ...]
    waiting: tuple[str, ...]
    rejected: tuple[str, ...]


def choose_move(
    head: records.Head, version: int, taken: frozenset[int]
) -> Move:
    """Choose what follows from a head for the operator of a version.

    Args:
        head: The head as read last.
        version: The operator's version, whose text is in the store.
        taken: Versions between the accepted one and the operator's whose
            texts exist. They belong to roll-outs that were given up, and
            their numbers cannot be used for another text.
    """
    if version == head.accepted:
        return AlreadyAccepted()
    if version < head.accepted:
        return Lost(f"version {head.accepted} is accepted and is newer")
    if head.pending == version:
        return AwaitPrepared()
    if head.pending > version:
        return Lost(f"version {head.pending} is pending and is newer")
    if head.pending or follows(head.accepted, version, taken):
        return SetPending(records.Head(head.accepted, version))
    free = next_version(head.accepted, taken)
    return Lost(
        f"version {version} skips versions: {head.accepted} is accepted,"
        f" so sign the bundle as version {free}"
    )


def follows(accepted: int, version: int, taken: frozenset[int]) -> bool:
    """Return whether every version in between is taken."""
    return all(v in taken for v in range(accepted + 1, version))


def next_version(accepted: int, taken: frozenset[int]) -> int:
    """Return the lowest version that is free."""
    version = accepted + 1
    while version in taken:
        version += 1
    return version


def assess(
    version: int,
    instances: Iterable[instance_port.Instance],
    statuses: Sequence[messages.StatusReply],
) -> Preparation:
    """Compare the live instances with their reported states."""
    by_name = {status.instance: status for status in statuses}
    live = sorted(
        instance.name
        for instance in instances
        if instance.state is instance_port.InstanceState.LIVE
    )
    prepared: list[str] = []
    waiting: list[str] = []
    for name in live:
        status = by_name.get(name)
        ready = status is not None and has_prepared(status, version)
        (prepared if ready else waiting).append(name)
    rejected = [
        f"{status.instance}: {entry.reason}"
        for status in statuses
        for entry in status.rejected
        if entry.version == version
    ]
    return Preparation(tuple(prepared), tuple(waiting), tuple(rejected))


def find_behind(
    version: int,
    instances: Iterable[instance_port.Instance],
    statuses: Sequence[messages.StatusReply],
) -> tuple[str, ...]:
    """Return the live instances not known to run a version or a newer one."""
    running = {
        status.instance for status in statuses if status.in_force >= version
    }
    return tuple(
        sorted(
            instance.name
            for instance in instances
            if instance.state is instance_port.InstanceState.LIVE
            and instance.name not in running
        )
    )


def has_prepared(status: messages.StatusReply, version: int) -> bool:
    """Return whether a process holds a version, or runs it already."""
    return status.in_force >= version or status.pending == version
