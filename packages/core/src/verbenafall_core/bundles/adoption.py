"""Decides which bundle version a process puts in force, as pure functions.

A process feeds what arrives (a read of the head, a verified text, a peer's
heartbeat) into apply() and then asks settle() for what follows from it.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import datetime
import functools
from typing import Final
from typing import NamedTuple

from verbenafall_core import messages

DOUBT_AFTER: Final = datetime.timedelta(seconds=5)
PEER_LOST_AFTER: Final = datetime.timedelta(seconds=3)
PEER_FORGOTTEN_AFTER: Final = datetime.timedelta(seconds=60)
LONELY_POLL_INTERVAL: Final = datetime.timedelta(seconds=1)
MAX_REJECTED: Final = 8


class Peer(NamedTuple):
    """What the last heartbeat of a peer said.

    Attributes:
        heard_at: Monotonic time of the last heartbeat.
        closed_at: When its link closed, None while the link is open.
        draining: Whether it was stopping.
    """

    heard_at: datetime.timedelta
    closed_at: datetime.timedelta | None
    in_force: int
    pending: int
    draining: bool


class Knowledge(NamedTuple):
    """What a process knows of bundles.

    Attributes:
        in_force: Version in force, 0 for none.
        accepted: Highest version known to be accepted, 0 for none.
        pending: Highest version known to have been pending, 0 for none.
        held: Versions whose texts are held and verified.
        rejected: Versions that failed verification, newest last.
        store_read_at: When the last successful read of the head was sent.
        behind_since: Time since which a version above the one in force may
            have been accepted; None when none is known.
        peers: Peers by instance name, lost ones for a while too.
    """

    in_force: int
    accepted: int
    pending: int
    held: frozenset[int]
    rejected: tuple[messages.RejectedBundle, ...]
    store_read_at: datetime.timedelta | None
    behind_since: datetime.timedelta | None
    peers: Mapping[str, Peer]


class HeadRead(NamedTuple):
    """The head was read from the store.

    Attributes:
        sent_at: When the read was sent. A pause between the read and its
            use must not make old knowledge look new.
    """

    accepted: int
    pending: int
    sent_at: datetime.timedelta


class TextVerified(NamedTuple):
    """The text of a version was fetched and verified."""

    version: int


class TextRejected(NamedTuple):
    """The store's text of a version failed verification."""

    version: int
    reason: str


class PeerHeard(NamedTuple):
    """A heartbeat arrived."""

    peer: str
    heartbeat: messages.Heartbeat


class AcceptedHeard(NamedTuple):
    """A peer with current knowledge said that a version is accepted."""

    version: int


class PeerClosed(NamedTuple):
    """The link with a peer closed."""

    peer: str


Event = (
    HeadRead
    | TextVerified
    | TextRejected
    | PeerHeard
    | AcceptedHeard
    | PeerClosed
)


class Step(NamedTuple):
    """What follows from the knowledge of a process.

    Attributes:
        knowledge: Knowledge after the step.
        activated: Version to put in force now, or 0.
        wanted: Versions whose texts are needed.
    """

    knowledge: Knowledge
    activated: int
    wanted: tuple[int, ...]


def create_knowledge() -> Knowledge:
    """Return the knowledge of a process that has just started."""
    return Knowledge(0, 0, 0, frozenset(), (), None, None, {})


@functools.singledispatch
def apply(
    event: Event, _knowledge: Knowledge, _now: datetime.timedelta
) -> Knowledge:
    """Return the knowledge after an event."""
    raise TypeError(f"{type(event).__name__} is no event")


@apply.register
def _(
    event: HeadRead, knowledge: Knowledge, _now: datetime.timedelta
) -> Knowledge:
    learned = _learn_accepted(knowledge, event.accepted)
    earlier = learned.store_read_at
    read_at = event.sent_at if earlier is None else max(earlier, event.sent_at)
    return learned._replace(
        pending=max(learned.pending, event.pending), store_read_at=read_at
    )


@apply.register
def _(
    event: TextVerified, knowledge: Knowledge, _now: datetime.timedelta
) -> Knowledge:
    rejected = _without(knowledge.rejected, event.version)
    held = knowledge.held | {event.version}
    return knowledge._replace(held=held, rejected=rejected)


@apply.register
def _(
    event: TextRejected, knowledge: Knowledge, _now: datetime.timedelta
) -> Knowledge:
    others = _without(knowledge.rejected, event.version)
    entry = messages.RejectedBundle(event.version, event.reason)
    return knowledge._replace(rejected=(*others, entry)[-MAX_REJECTED:])


@apply.register
def _(
    event: PeerHeard, knowledge: Knowledge, now: datetime.timedelta
) -> Knowledge:
    beat = event.heartbeat
    peer = Peer(now, None, beat.in_force, beat.pending, beat.draining)
    learned = knowledge
    if beat.confirmed:
        learned = _learn_accepted(knowledge, beat.in_force)
        learned = learned._replace(pending=max(learned.pending, beat.pending))
    return learned._replace(peers={**learned.peers, event.peer: peer})


@apply.register
def _(
    event: AcceptedHeard, knowledge: Knowledge, _now: datetime.timedelta
) -> Knowledge:
    return _learn_accepted(knowledge, event.version)


@apply.register
def _(
    event: PeerClosed, knowledge: Knowledge, now: datetime.timedelta
) -> Knowledge:
    peer = knowledge.peers.get(event.peer)
    if peer is None:
        return knowledge
    peers = dict(knowledge.peers)
    if peer.draining:
        del peers[event.peer]  # A planned stop is no sign of a lost network.
    else:
        peers[event.peer] = peer._replace(closed_at=now)
    return knowledge._replace(peers=peers)


def hear_again(
    knowledge: Knowledge, heard_at: Mapping[str, datetime.timedelta]
) -> Knowledge:
    """Return the knowledge after heartbeats that repeated the last ones.

    Equal to applying each of them, as only the time is new.

    Args:
        knowledge: What was known before.
        heard_at: Monotonic time of the last heartbeat by open peer.
    """
    peers = dict(knowledge.peers)
    for name, at in heard_at.items():
        peers[name] = peers[name]._replace(heard_at=at)
    return knowledge._replace(peers=peers)


def settle(knowledge: Knowledge, now: datetime.timedelta) -> Step:
    """Choose the version in force and the texts that are needed."""
    knowledge = _forget_peers(knowledge, now)
    target = choose_version(knowledge, now)
    activated = target if target > knowledge.in_force else 0
    if activated:
        knowledge = _activate(knowledge, activated)
    return Step(knowledge, activated, wanted_versions(knowledge))


def choose_version(knowledge: Knowledge, now: datetime.timedelta) -> int:
    """Return the version that should be in force, never a lower one."""
    if not knowledge.in_force:
        return _choose_first(knowledge, now)
    best = knowledge.in_force
    if knowledge.accepted in knowledge.held:
        best = max(best, knowledge.accepted)
    if not in_contact(knowledge, now) and knowledge.pending in knowledge.held:
        # The version may have been accepted unseen, and pending versions are
        # only ever followed by higher ones.
        best = max(best, knowledge.pending)
    return best


def _choose_first(knowledge: Knowledge, now: datetime.timedelta) -> int:
    """Return the version to start with, 0 to wait.

    A process may have run a pending version before its restart, by itself or
    because it was accepted unseen. Starting with the pending version keeps
    the restarted process from going back.
    """
    if not knowledge.accepted:
        return 0
    for version in (knowledge.pending, knowledge.accepted):
        if version < knowledge.accepted or is_rejected(knowledge, version):
            continue
        if version in knowledge.held:
            return version
        if is_obtainable(knowledge, version, now):
            return 0
    return 0


def is_obtainable(
    knowledge: Knowledge, version: int, now: datetime.timedelta
) -> bool:
    """Return whether a linked peer or the store can give a text."""
    read_at = knowledge.store_read_at
    store_works = read_at is not None and now - read_at <= DOUBT_AFTER
    return store_works or any(holders(knowledge, version))


def _activate(knowledge: Knowledge, version: int) -> Knowledge:
    held = frozenset(v for v in knowledge.held if v >= version)
    behind = knowledge.behind_since if knowledge.accepted > version else None
    return knowledge._replace(in_force=version, held=held, behind_since=behind)


def wanted_versions(knowledge: Knowledge) -> tuple[int, ...]:
    """Return the versions whose texts are needed, the most urgent first."""
    versions = [knowledge.accepted]
    if knowledge.pending > knowledge.accepted:
        versions.append(knowledge.pending)
    return tuple(
        version
        for version in versions
        if version > knowledge.in_force and version not in knowledge.held
    )


def prepared_version(knowledge: Knowledge) -> int:
    """Return the newest verified version not yet in force, or 0."""
    newer = [v for v in knowledge.held if v > knowledge.in_force]
    return max(newer, default=0)


def last_contact(knowledge: Knowledge) -> datetime.timedelta | None:
    """Return when the process last knew what the fleet knows.

    That is the last read from the store, or the time since which more than
    half of the peers have been heard, whichever is later.
    """
    heard = sorted(
        (peer.heard_at for peer in knowledge.peers.values()), reverse=True
    )
    times = [knowledge.store_read_at, *heard[len(heard) // 2 :][:1]]
    return max((time for time in times if time is not None), default=None)


def in_contact(knowledge: Knowledge, now: datetime.timedelta) -> bool:
    """Return whether the last contact is recent enough to rely on."""
    contact = last_contact(knowledge)
    return contact is not None and now - contact <= DOUBT_AFTER


def accepts_new_work(knowledge: Knowledge, now: datetime.timedelta) -> bool:
    """Return whether a bundle is in force and no newer one was missed."""
    if not knowledge.in_force or not in_contact(knowledge, now):
        return False
    behind = knowledge.behind_since
    return behind is None or now - behind <= DOUBT_AFTER


def is_confirmed(knowledge: Knowledge, now: datetime.timedelta) -> bool:
    """Return whether peers may rely on the version in force."""
    return (
        knowledge.in_force > 0
        and knowledge.in_force == knowledge.accepted
        and in_contact(knowledge, now)
    )


def poll_interval(
    knowledge: Knowledge,
    now: datetime.timedelta,
    regular: datetime.timedelta,
) -> datetime.timedelta:
    """Return the time between reads of the head.

    Without links the store is the only contact, so it is read more often.
    """
    live = sum(
        now - peer.heard_at <= PEER_LOST_AFTER
        for peer in knowledge.peers.values()
    )
    if knowledge.in_force and live * 2 > len(knowledge.peers):
        return regular
    return min(regular, LONELY_POLL_INTERVAL)


def holders(knowledge: Knowledge, version: int) -> Iterator[str]:
    """Yield the linked peers that hold the text of a version."""
    for name, peer in knowledge.peers.items():
        if peer.closed_at is None and version in (peer.in_force, peer.pending):
            yield name


def is_rejected(knowledge: Knowledge, version: int) -> bool:
    """Return whether the store's text of a version was rejected."""
    return any(entry.version == version for entry in knowledge.rejected)


def _learn_accepted(knowledge: Knowledge, version: int) -> Knowledge:
    if version <= knowledge.accepted:
        return knowledge
    behind = knowledge.behind_since
    if version > knowledge.in_force and behind is None:
        # The version may have been accepted right after the last contact.
        behind = last_contact(knowledge)
    return knowledge._replace(accepted=version, behind_since=behind)


def _forget_peers(knowledge: Knowledge, now: datetime.timedelta) -> Knowledge:
    """Drop peers that are long gone, as seen by a process in contact."""
    gone = [
        name
        for name, peer in knowledge.peers.items()
        if peer.closed_at is not None
        and now - peer.closed_at > PEER_FORGOTTEN_AFTER
    ]
    if not gone or not in_contact(knowledge, now):
        return knowledge
    peers = {n: p for n, p in knowledge.peers.items() if n not in gone}
    return knowledge._replace(peers=peers)


def _without(
    rejected: tuple[messages.RejectedBundle, ...], version: int
) -> tuple[messages.RejectedBundle, ...]:
    return tuple(entry for entry in rejected if entry.version != version)
