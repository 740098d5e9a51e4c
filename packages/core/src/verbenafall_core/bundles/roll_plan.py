"""Pure functions that choose the next action of a rollout."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from verbenafall_core import messages
from verbenafall_core.bundles import records
from verbenafall_core.instance_list import port as instance_port


class SetPending(NamedTuple):
    """Write a head in which the version is pending."""

    head: records.Head


class AwaitPrepared(NamedTuple):
    """The version is pending; wait until every live process has prepared it."""


class AlreadyAccepted(NamedTuple):
    """The version is accepted; the head needs no further change."""


class Lost(NamedTuple):
    """The version cannot be rolled out.

    A newer version is accepted or pending, or the number skips versions.
    """

    message: str


Action = SetPending | AwaitPrepared | AlreadyAccepted | Lost


class Preparation(NamedTuple):
    """Progress of the live processes in preparing a version.

    Attributes:
        prepared: Names of live processes that have prepared the version.
        waiting: Names of live processes that have not, or whose status is
            unknown.
        rejected: One "process: reason" line for each process at which the
            version failed verification.
    """

    prepared: tuple[str, ...]
    waiting: tuple[str, ...]
    rejected: tuple[str, ...]


def choose_action(
    head: records.Head, version: int, used: frozenset[int]
) -> Action:
    """Choose the next action from the head.

    Args:
        head: The head as last read.
        version: Version to roll out; its text is in the store.
        used: Versions between the accepted one and this one whose texts are
            in the store. They belong to abandoned rollouts, and their numbers
            cannot be used for another text.
    """
    if version == head.accepted:
        return AlreadyAccepted()
    if version < head.accepted:
        return Lost(f"version {head.accepted} is accepted and is newer")
    if head.pending == version:
        return AwaitPrepared()
    if head.pending > version:
        return Lost(f"version {head.pending} is pending and is newer")
    if head.pending or all_used_between(head.accepted, version, used):
        return SetPending(records.Head(head.accepted, version))
    free = next_free_version(head.accepted, used)
    return Lost(
        f"version {version} skips versions: {head.accepted} is accepted,"
        f" so sign the bundle as version {free}"
    )


def all_used_between(accepted: int, version: int, used: frozenset[int]) -> bool:
    """Return whether every version strictly between the two is used."""
    return all(v in used for v in range(accepted + 1, version))


def next_free_version(accepted: int, used: frozenset[int]) -> int:
    """Return the lowest unused version above the accepted one."""
    version = accepted + 1
    while version in used:
        version += 1
    return version


def assess(
    version: int,
    instances: Iterable[instance_port.Instance],
    statuses: Sequence[messages.StatusReply],
) -> Preparation:
    """Determine which live instances have prepared or rejected a version."""
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
    """Return the live instances not known to run the version or a newer one."""
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
    """Return whether a process has prepared or already passed a version."""
    return status.in_force >= version or status.pending == version
