"""Pure functions that decide which bundle version a process puts in force.

A process passes each event (a read of the head, a verified text, a heartbeat
from a peer) to apply(). decide() then returns the version to put in force and
the texts to fetch.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import datetime
import functools
from typing import Final
from typing import NamedTuple

from verbenafall_core import messages

# Time without contact to the fleet after which a newer version may have been
# accepted unnoticed, so that no new work is accepted.
CONTACT_TIMEOUT: Final = datetime.timedelta(seconds=5)
# Time without a heartbeat after which a peer no longer counts as live when the
# poll interval is chosen.
PEER_TIMEOUT: Final = datetime.timedelta(seconds=3)
# Time for which a disconnected peer still counts towards the majority.
PEER_RETENTION: Final = datetime.timedelta(seconds=60)
ISOLATED_POLL_INTERVAL: Final = datetime.timedelta(seconds=1)
MAX_REJECTED: Final = 8


class Peer(NamedTuple):
    """State of a peer as of its last heartbeat.

    Attributes:
        received_at: Monotonic time of the last heartbeat.
        closed_at: Monotonic time when the link closed, None while it is open.
        in_force: Version in force at the peer, 0 for none.
        pending: Newest verified version not yet in force at the peer, or 0.
        draining: Whether the peer was shutting down.
    """

    received_at: datetime.timedelta
    closed_at: datetime.timedelta | None
    in_force: int
    pending: int
    draining: bool


class AdoptionState(NamedTuple):
    """What a process knows about bundle versions and its peers.

    Attributes:
        in_force: Version in force, 0 for none.
        accepted: Highest version known to be accepted, 0 for none.
        pending: Highest version known to have been pending, 0 for none.
        held: Versions whose verified texts are in memory.
        rejected: Versions that failed verification, newest last.
        store_read_at: When the last successful read of the head was sent.
        behind_since: Earliest time at which a version above the one in force
            may have been accepted; None when no such version is known.
        peers: Peers by instance name. A disconnected peer is kept for at
            least PEER_RETENTION, unless it was draining.
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
        sent_at: When the read was sent, not when the response arrived, so
            that a process that pauses in between does not treat the old head
            as a recent one.
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


class HeartbeatReceived(NamedTuple):
    """A peer sent a heartbeat."""

    peer: str
    heartbeat: messages.Heartbeat


class AcceptedReported(NamedTuple):
    """A peer whose own state is confirmed reported an accepted version."""

    version: int


class LinkClosed(NamedTuple):
    """The link to a peer closed."""

    peer: str


Event = (
    HeadRead
    | TextVerified
    | TextRejected
    | HeartbeatReceived
    | AcceptedReported
    | LinkClosed
)


class Decision(NamedTuple):
    """What a process has to do next.

    Attributes:
        state: State after the decision.
        activated: Version to put in force now, or 0.
        wanted: Versions whose texts are needed, most urgent first.
    """

    state: AdoptionState
    activated: int
    wanted: tuple[int, ...]


def create_state() -> AdoptionState:
    """Return the state of a process that has just started."""
    return AdoptionState(0, 0, 0, frozenset(), (), None, None, {})


@functools.singledispatch
def apply(
    event: Event, _state: AdoptionState, _now: datetime.timedelta
) -> AdoptionState:
    """Return the state after an event."""
    raise TypeError(f"{type(event).__name__} is not an event")


@apply.register
def _(
    event: HeadRead, state: AdoptionState, _now: datetime.timedelta
) -> AdoptionState:
    updated = _learn_accepted(state, event.accepted)
    earlier = updated.store_read_at
    read_at = event.sent_at if earlier is None else max(earlier, event.sent_at)
    return updated._replace(
        pending=max(updated.pending, event.pending), store_read_at=read_at
    )


@apply.register
def _(
    event: TextVerified, state: AdoptionState, _now: datetime.timedelta
) -> AdoptionState:
    rejected = _remove_version(state.rejected, event.version)
    held = state.held | {event.version}
    return state._replace(held=held, rejected=rejected)


@apply.register
def _(
    event: TextRejected, state: AdoptionState, _now: datetime.timedelta
) -> AdoptionState:
    others = _remove_version(state.rejected, event.version)
    entry = messages.RejectedBundle(event.version, event.reason)
    return state._replace(rejected=(*others, entry)[-MAX_REJECTED:])


@apply.register
def _(
    event: HeartbeatReceived, state: AdoptionState, now: datetime.timedelta
) -> AdoptionState:
    heartbeat = event.heartbeat
    peer = Peer(
        now, None, heartbeat.in_force, heartbeat.pending, heartbeat.draining
    )
    updated = state
    if heartbeat.confirmed:
        updated = _learn_accepted(state, heartbeat.in_force)
        updated = updated._replace(
            pending=max(updated.pending, heartbeat.pending)
        )
    return updated._replace(peers={**updated.peers, event.peer: peer})


@apply.register
def _(
    event: AcceptedReported, state: AdoptionState, _now: datetime.timedelta
) -> AdoptionState:
    return _learn_accepted(state, event.version)


@apply.register
def _(
    event: LinkClosed, state: AdoptionState, now: datetime.timedelta
) -> AdoptionState:
    peer = state.peers.get(event.peer)
    if peer is None:
        return state
    peers = dict(state.peers)
    if peer.draining:
        # A planned stop does not indicate a network fault.
        del peers[event.peer]
    else:
        peers[event.peer] = peer._replace(closed_at=now)
    return state._replace(peers=peers)


def update_received_at(
    state: AdoptionState, received_at: Mapping[str, datetime.timedelta]
) -> AdoptionState:
    """Record heartbeats whose content equals that of the previous ones.

    The result is the same as applying each of them, because only the time of
    receipt differs.

    Args:
        state: State before these heartbeats.
        received_at: Monotonic time of the last heartbeat, by the name of the
            connected peer.
    """
    peers = dict(state.peers)
    for name, at in received_at.items():
        peers[name] = peers[name]._replace(received_at=at)
    return state._replace(peers=peers)


def decide(state: AdoptionState, now: datetime.timedelta) -> Decision:
    """Choose the version in force and the texts to fetch.

    Peers that have been disconnected for longer than PEER_RETENTION are
    removed first.
    """
    state = _remove_expired_peers(state, now)
    target = choose_version(state, now)
    activated = target if target > state.in_force else 0
    if activated:
        state = _activate(state, activated)
    return Decision(state, activated, wanted_versions(state))


def choose_version(state: AdoptionState, now: datetime.timedelta) -> int:
    """Return the version to put in force; never below the current one."""
    if not state.in_force:
        return _choose_first(state, now)
    best = state.in_force
    if state.accepted in state.held:
        best = max(best, state.accepted)
    if not in_contact(state, now) and state.pending in state.held:
        # The pending version may have been accepted while this process was
        # out of contact. Using it early is safe: a pending version is only
        # ever replaced by a higher one.
        best = max(best, state.pending)
    return best


def _choose_first(state: AdoptionState, now: datetime.timedelta) -> int:
    """Return the first version to put in force after a start, 0 to wait.

    Before a restart, the process may have put the pending version in force
    while it was out of contact. The pending version is therefore preferred,
    so that a restart does not return to a lower version.
    """
    if not state.accepted:
        return 0
    for version in (state.pending, state.accepted):
        if version < state.accepted or is_rejected(state, version):
            continue
        if version in state.held:
            return version
        if is_available(state, version, now):
            return 0
    return 0


def is_available(
    state: AdoptionState, version: int, now: datetime.timedelta
) -> bool:
    """Return whether a linked peer or the store can supply a text."""
    read_at = state.store_read_at
    store_available = read_at is not None and now - read_at <= CONTACT_TIMEOUT
    return store_available or any(peers_with_text(state, version))


def _activate(state: AdoptionState, version: int) -> AdoptionState:
    held = frozenset(v for v in state.held if v >= version)
    behind = state.behind_since if state.accepted > version else None
    return state._replace(in_force=version, held=held, behind_since=behind)


def wanted_versions(state: AdoptionState) -> tuple[int, ...]:
    """Return the versions whose texts are needed, most urgent first."""
    versions = [state.accepted]
    if state.pending > state.accepted:
        versions.append(state.pending)
    return tuple(
        version
        for version in versions
        if version > state.in_force and version not in state.held
    )


def prepared_version(state: AdoptionState) -> int:
    """Return the newest verified version not yet in force, or 0."""
    newer = [v for v in state.held if v > state.in_force]
    return max(newer, default=0)


def last_contact(state: AdoptionState) -> datetime.timedelta | None:
    """Return the time up to which the process was in contact with the fleet.

    That is the later of the last read of the head and the time since which
    more than half of the peers have sent a heartbeat.
    """
    received = sorted(
        (peer.received_at for peer in state.peers.values()), reverse=True
    )
    times = [state.store_read_at, *received[len(received) // 2 :][:1]]
    return max((time for time in times if time is not None), default=None)


def in_contact(state: AdoptionState, now: datetime.timedelta) -> bool:
    """Return whether the last contact is within CONTACT_TIMEOUT."""
    contact = last_contact(state)
    return contact is not None and now - contact <= CONTACT_TIMEOUT


def accepts_new_work(state: AdoptionState, now: datetime.timedelta) -> bool:
    """Return whether the process may accept new requests.

    That needs a bundle in force, contact with the fleet, and no accepted
    version that has been missing for longer than CONTACT_TIMEOUT.
    """
    if not state.in_force or not in_contact(state, now):
        return False
    behind = state.behind_since
    return behind is None or now - behind <= CONTACT_TIMEOUT


def is_confirmed(state: AdoptionState, now: datetime.timedelta) -> bool:
    """Return whether the version in force is known to be the accepted one."""
    return (
        state.in_force > 0
        and state.in_force == state.accepted
        and in_contact(state, now)
    )


def poll_interval(
    state: AdoptionState,
    now: datetime.timedelta,
    regular: datetime.timedelta,
) -> datetime.timedelta:
    """Return the time between reads of the head.

    Reads are more frequent before the first bundle is in force and while at
    most half of the peers send heartbeats, because the store is then the
    only reliable source.

    Args:
        state: State of the process.
        now: Monotonic time.
        regular: Interval while most peers are connected.
    """
    live = sum(
        now - peer.received_at <= PEER_TIMEOUT for peer in state.peers.values()
    )
    if state.in_force and live * 2 > len(state.peers):
        return regular
    return min(regular, ISOLATED_POLL_INTERVAL)


def peers_with_text(state: AdoptionState, version: int) -> Iterator[str]:
    """Yield the names of linked peers that hold the text of a version."""
    for name, peer in state.peers.items():
        if peer.closed_at is None and version in (peer.in_force, peer.pending):
            yield name


def is_rejected(state: AdoptionState, version: int) -> bool:
    """Return whether the store's text of a version failed verification."""
    return any(entry.version == version for entry in state.rejected)


def _learn_accepted(state: AdoptionState, version: int) -> AdoptionState:
    if version <= state.accepted:
        return state
    behind = state.behind_since
    if version > state.in_force and behind is None:
        # The version may have been accepted immediately after the last
        # contact.
        behind = last_contact(state)
    return state._replace(accepted=version, behind_since=behind)


def _remove_expired_peers(
    state: AdoptionState, now: datetime.timedelta
) -> AdoptionState:
    """Remove peers that were disconnected for longer than PEER_RETENTION.

    A process that is out of contact keeps them, because they still count
    towards the majority that it needs to regain contact.
    """
    expired = [
        name
        for name, peer in state.peers.items()
        if peer.closed_at is not None and now - peer.closed_at > PEER_RETENTION
    ]
    if not expired or not in_contact(state, now):
        return state
    peers = {n: p for n, p in state.peers.items() if n not in expired}
    return state._replace(peers=peers)


def _remove_version(
    rejected: tuple[messages.RejectedBundle, ...], version: int
) -> tuple[messages.RejectedBundle, ...]:
    return tuple(entry for entry in rejected if entry.version != version)
