"""Keeps the bundle of a process up to date from the store and its peers."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import random
import threading
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import link_router as link_router_lib
from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_core import periodic
from verbenafall_core.bundles import adoption
from verbenafall_core.bundles import event_catalogue
from verbenafall_core.bundles import head_repair
from verbenafall_core.bundles import model
from verbenafall_core.bundles import records
from verbenafall_core.bundles import signing
from verbenafall_core.object_store import port

POLL_INTERVAL: Final = datetime.timedelta(seconds=2)
MAX_POLLS_PER_SECOND: Final = 20
# A starting process makes two to five store calls, and the store serves
# 2,000 reads per second.
MAX_STARTS_PER_SECOND: Final = 250
# Used until the number of processes is known.
START_SPREAD: Final = datetime.timedelta(seconds=4)
CHECK_INTERVAL: Final = datetime.timedelta(milliseconds=250)
FETCH_INTERVAL: Final = datetime.timedelta(seconds=1)
MAX_QUEUED_PUSHES: Final = 8
NO_SPREAD: Final = datetime.timedelta()
NO_BUNDLE: Final = "no_bundle"


class HeldText(NamedTuple):
    """A verified bundle and its text, compressed for sending to peers.

    Attributes:
        bundle: Bundle parsed from the text.
        data: Compressed text.
        signature: Detached signature of the uncompressed text.
    """

    bundle: model.Bundle
    data: bytes
    signature: bytes


class FetchState(NamedTuple):
    """Retry state of fetching the text of a version.

    Attributes:
        attempts: Number of attempts so far.
        next_at: Monotonic time from which the next attempt may be made.
    """

    attempts: int
    next_at: datetime.timedelta


class BundleService:
    """Bundles of a process; safe to use from any thread.

    One thread makes the store calls and another verifies the texts from
    peers, so that neither a slow store nor a long text delays the threads of
    the links.

    Attributes:
        state: Adoption state, except for the times in received_at; use
            current_state() where these matter.
        wanted: Versions whose texts are needed, most urgent first.
        texts: Verified texts by version.
        last_heartbeats: Last heartbeat that was applied to the state, by
            instance name of the connected peer.
        received_at: Time of the latest heartbeat that repeated the one in
            last_heartbeats and is not yet merged into the state, by instance
            name of the connected peer.
        fetches: Retry state by version.
        start_fraction: Point in the start spread at which the first read of
            the head is made.
        last_versions: Version in force and prepared version at the last call of
            broadcast_version_change().
        broadcast_heartbeat: Sends a heartbeat on all links immediately, if
            set.
    """

    def __init__(
        self,
        store: port.ObjectStore,
        public_keys: signing.PublicKeys,
        clock: clock_lib.Clock,
        poll_interval: datetime.timedelta,
        generator: random.Random,
        start_spread: datetime.timedelta,
    ) -> None:
        """Create a service that is not yet running."""
        self.store = store
        self.head_repair = head_repair.create_head_repair(store)
        self.public_keys = public_keys
        self.clock = clock
        self.interval = poll_interval
        self.generator = generator
        self.lock = threading.RLock()
        self.state = adoption.create_state()
        self.wanted: tuple[int, ...] = ()
        self.texts: dict[int, HeldText] = {}
        self.bundle: model.Bundle | None = None
        self.links: dict[str, link_lib.Link] = {}
        self.last_heartbeats: dict[str, messages.Heartbeat] = {}
        self.received_at: dict[str, datetime.timedelta] = {}
        self.pushes: collections.deque[messages.BundlePush] = collections.deque(
            maxlen=MAX_QUEUED_PUSHES
        )
        self.fetches: dict[int, FetchState] = {}
        self.last_poll: datetime.timedelta | None = None
        self.jitter = 1.0
        self.created_at = clock.monotonic()
        self.start_spread = start_spread
        self.start_fraction = generator.uniform(0, 1) if start_spread else 0.0
        self.poll_requested = False
        self.store_failing = False
        self.logged_ready: bool | None = None
        self.last_versions = (0, 0)
        self.broadcast_heartbeat: Callable[[], None] | None = None
        self.store_task = periodic.create_periodic_task(
            "bundle-store", CHECK_INTERVAL, self.poll_store, generator
        )
        self.text_task = periodic.create_periodic_task(
            "bundle-texts", CHECK_INTERVAL, self.process_pushes, generator
        )

    def start(self) -> None:
        """Start both threads; the head is read within the start spread."""
        self.store_task.start()
        self.text_task.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop both threads, waiting up to the limit for running calls."""
        deadline = self.clock.monotonic() + limit
        for task in (self.store_task, self.text_task):
            left = deadline - self.clock.monotonic()
            task.stop(max(left, datetime.timedelta()))

    def attach(self, link_router: link_router_lib.LinkRouter) -> None:
        """Subscribe to the bundle messages of links, before links open."""
        link_router.subscribe_open(self.on_open)
        link_router.subscribe_close(self.on_close)
        link_router.subscribe(messages.Heartbeat, self.on_heartbeat)
        link_router.subscribe(messages.BundleRequest, self.on_request)
        link_router.subscribe(messages.BundlePush, self.on_push)

    def current(self) -> model.Bundle | None:
        """Return the bundle in force, None before the first one."""
        return self.bundle

    def current_state(self) -> adoption.AdoptionState:
        """Merge the times of repeated heartbeats; return the state."""
        with self.lock:
            if self.received_at:
                self.state = adoption.update_received_at(
                    self.state, self.received_at
                )
                self.received_at = {}
            return self.state

    def accepts_new_work(self) -> bool:
        """Return whether new requests may be accepted.

        That needs a bundle in force, and no sign that the process may have
        missed a newer accepted one.
        """
        now = self.clock.monotonic()
        return adoption.accepts_new_work(self.current_state(), now)

    def not_ready_reason(self) -> str:
        """Return why no new work is accepted, empty when it is."""
        if self.accepts_new_work():
            return ""
        if self.bundle is None:
            return NO_BUNDLE
        return outcomes.Reason.BUNDLE_UNCONFIRMED.value

    def heartbeat_fields(self) -> tuple[int, int, bool]:
        """Return the fields in_force, pending and confirmed of a heartbeat."""
        state = self.current_state()
        return (
            state.in_force,
            adoption.prepared_version(state),
            adoption.is_confirmed(state, self.clock.monotonic()),
        )

    def rejected(self) -> tuple[messages.RejectedBundle, ...]:
        """Return the versions that failed verification."""
        return self.state.rejected

    def poll_now(self) -> None:
        """Make the store thread read the head without waiting for a poll."""
        self.poll_requested = True
        self.store_task.run_now()

    def set_process_count(self, count: int) -> None:
        """Scale the poll interval and start spread to the fleet's size.

        The start spread is only ever reduced.
        """
        self.interval = regular_interval(count)
        spread = datetime.timedelta(seconds=count / MAX_STARTS_PER_SECOND)
        self.start_spread = min(self.start_spread, spread)

    def on_open(self, link: link_lib.Link) -> None:
        """Register a link by its peer's name, replacing an older link."""
        if link.peer is not None:
            with self.lock:
                self.links[link.peer.instance] = link

    def on_close(self, link: link_lib.Link, _reason: str) -> None:
        """Record that a peer disconnected, unless it has a newer link."""
        if link.peer is None:
            return
        name = link.peer.instance
        with self.lock:
            if self.links.get(name) is not link:
                return
            del self.links[name]
            self.handle_event(adoption.LinkClosed(name))
            self.last_heartbeats.pop(name, None)

    def on_heartbeat(
        self, link: link_lib.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Apply a heartbeat to the state.

        Most heartbeats repeat the previous one. For these, only the time is
        recorded: a decision for every heartbeat would cost time proportional
        to the square of the number of links.
        """
        if link.peer is None:
            return
        name = link.peer.instance
        with self.lock:
            is_current = self.links.get(name) is link
            if is_current and self.last_heartbeats.get(name) == heartbeat:
                self.received_at[name] = self.clock.monotonic()
                return
            self.handle_event(adoption.HeartbeatReceived(name, heartbeat))
            if is_current:
                self.last_heartbeats[name] = heartbeat
            else:
                self.last_heartbeats.pop(name, None)

    def on_request(
        self, link: link_lib.Link, request: messages.BundleRequest
    ) -> None:
        """Send the text of the requested version, if it is available."""
        with self.lock:
            text = self.texts.get(request.version)
            state = self.current_state()
        if text is None:
            return
        link.send(
            messages.BundlePush(
                request.version,
                request.version <= state.accepted,
                adoption.is_confirmed(state, self.clock.monotonic()),
                text.data,
                text.signature,
            )
        )

    def on_push(self, _link: link_lib.Link, push: messages.BundlePush) -> None:
        """Queue a requested text for verification on the text thread.

        Verification takes too long for the thread of the link.
        """
        with self.lock:
            if push.version not in self.wanted:
                return
            self.pushes.append(push)
        self.text_task.run_now()

    def process_pushes(self) -> None:
        """Verify the queued texts, then act on the time that has passed.

        Contact with the fleet times out without any event, so the decision
        and the readiness are re-evaluated on each call.
        """
        while self.pushes:
            self.verify_push(self.pushes.popleft())
        self.adopt()
        self.log_readiness_change()

    def verify_push(self, push: messages.BundlePush) -> None:
        """Verify a text from a peer and keep it if it is valid."""
        with self.lock:
            if push.version not in self.wanted:
                return
        result = records.decompress(push.text).bind(
            lambda text: records.verify(
                model.SignedBundle(push.version, text, push.signature),
                self.public_keys,
            )
        )
        if not isinstance(result, returns.result.Success):
            event_log.emit(
                event_catalogue.BUNDLE_PEER_TEXT_REFUSED,
                version=push.version,
                reason=result.failure(),
            )
            return
        self.add_text(result.unwrap(), "peer")
        if push.accepted and push.confirmed:
            self.handle_event(adoption.AcceptedReported(push.version))

    def poll_store(self) -> None:
        """Read the head when it is due, then fetch the missing texts."""
        if self.poll_is_due():
            self.read_head()
        for version in self.wanted:
            self.fetch(version)

    def poll_is_due(self) -> bool:
        """Return whether the head is to be read now.

        The first read is due at a random time within the start spread, later
        ones after a jittered interval, and a requested one immediately.
        """
        now = self.clock.monotonic()
        if self.poll_requested:
            return True
        if self.last_poll is None:
            delay = self.start_fraction * self.start_spread
            return now - self.created_at >= delay
        interval = adoption.poll_interval(
            self.current_state(), now, self.interval
        )
        return now - self.last_poll >= interval * self.jitter

    def read_head(self) -> None:
        """Read the head and choose the jitter of the next interval.

        A missing head means that no version has been accepted yet.
        """
        self.poll_requested = False
        sent_at = self.clock.monotonic()
        self.last_poll = sent_at
        self.jitter = self.generator.uniform(
            1 - periodic.JITTER, 1 + periodic.JITTER
        )
        result = self.store.read(records.HEAD_NAME)
        if isinstance(result, returns.result.Success):
            stored = result.unwrap()
            head = records.decode_head(stored.value)
            if isinstance(head, returns.result.Success):
                self.handle_head(head.unwrap(), stored.version, sent_at)
            else:
                self.record_store_result(head.failure())
        elif result.failure().kind is port.FailureKind.MISSING:
            self.handle_head(records.Head(0, 0), 0, sent_at)
        else:
            self.record_store_result(result.failure().message)

    def handle_head(
        self,
        head: records.Head,
        object_version: int,
        sent_at: datetime.timedelta,
    ) -> None:
        """Apply the head to the state; write it again if it is too old."""
        self.record_store_result("")
        self.handle_event(
            adoption.HeadRead(head.accepted, head.pending, sent_at)
        )
        with self.lock:
            known = records.Head(self.state.accepted, self.state.pending)
            texts = dict(self.texts)
        newer = head_repair.find_newer_head(head, known)
        if newer is not None:
            self.head_repair.write(
                newer, object_version, decompress_texts(newer, texts)
            )

    def record_store_result(self, problem: str) -> None:
        """Log when store reads start to fail and when they work again.

        Args:
            problem: Error of the last read, empty after a success.
        """
        if problem and not self.store_failing:
            event_log.emit(event_catalogue.BUNDLE_STORE_FAILED, reason=problem)
        elif not problem and self.store_failing:
            event_log.emit(event_catalogue.BUNDLE_STORE_RECOVERED)
        self.store_failing = bool(problem)

    def fetch(self, version: int) -> None:
        """Fetch the text of a version, alternately from a peer and the store.

        Peers come first, so that a rollout to a large fleet costs the store
        one read per gateway instead of one per process. A text that failed
        verification is not read from the store again.
        """
        now = self.clock.monotonic()
        previous = self.fetches.get(version, FetchState(0, now))
        if now < previous.next_at:
            return
        self.fetches[version] = FetchState(
            previous.attempts + 1, now + FETCH_INTERVAL
        )
        if previous.attempts % 2 == 0 and self.request_from_peer(version):
            return
        if not adoption.is_rejected(self.state, version):
            self.fetch_from_store(version)

    def request_from_peer(self, version: int) -> bool:
        """Request a text from a random linked peer that has it.

        Returns:
            False if there is no such peer or the request cannot be sent.
        """
        with self.lock:
            names = [
                name
                for name in adoption.peers_with_text(self.state, version)
                if name in self.links
            ]
            if not names:
                return False
            link = self.links[self.generator.choice(names)]
        return link.send(messages.BundleRequest(version))

    def fetch_from_store(self, version: int) -> None:
        """Read a text from the store; keep it or record its rejection."""
        read = self.store.read(records.bundle_name(version))
        if not isinstance(read, returns.result.Success):
            self.record_store_result(read.failure().message)
            return
        result = records.decode_bundle(version, read.unwrap().value).bind(
            lambda signed: records.verify(signed, self.public_keys)
        )
        if isinstance(result, returns.result.Success):
            self.add_text(result.unwrap(), "store")
            return
        event_log.emit(
            event_catalogue.BUNDLE_REJECTED,
            version=version,
            reason=result.failure(),
        )
        self.handle_event(adoption.TextRejected(version, result.failure()))

    def add_text(self, verified: records.VerifiedBundle, source: str) -> None:
        """Keep a verified text, unless its version is no longer wanted."""
        signed = verified.signed
        text = HeldText(
            verified.bundle, records.compress(signed.text), signed.signature
        )
        with self.lock:
            if signed.version not in self.wanted:
                return
            self.texts[signed.version] = text
            self.fetches.pop(signed.version, None)
            self.handle_event(adoption.TextVerified(signed.version))
        event_log.emit(
            event_catalogue.BUNDLE_PREPARED,
            version=signed.version,
            source=source,
        )

    def handle_event(self, event: adoption.Event) -> None:
        """Apply an event to the state and act on the new decision."""
        with self.lock:
            now = self.clock.monotonic()
            self.state = adoption.apply(event, self.current_state(), now)
            self.adopt()

    def broadcast_version_change(self) -> None:
        """Send a heartbeat early if either version has changed."""
        in_force, prepared, _ = self.heartbeat_fields()
        if self.last_versions != (in_force, prepared):
            self.last_versions = (in_force, prepared)
            if self.broadcast_heartbeat is not None:
                self.broadcast_heartbeat()

    def adopt(self) -> None:
        """Put the chosen version in force and request missing texts.

        Peers are notified if the version in force or the prepared one has
        changed. Safe to call at any time, as it has no effect when nothing
        has changed.
        """
        with self.lock:
            now = self.clock.monotonic()
            decision = adoption.decide(self.current_state(), now)
            if decision.activated:
                self.bundle = self.texts[decision.activated].bundle
            self.state = decision.state
            newly_wanted = set(decision.wanted) - set(self.wanted)
            self.wanted = decision.wanted
            if decision.activated:
                self.drop_old_texts()
        self.broadcast_version_change()
        if decision.activated:
            event_log.emit(
                event_catalogue.BUNDLE_IN_FORCE,
                version=decision.activated,
                accepted=decision.state.accepted,
            )
        if newly_wanted:
            self.store_task.run_now()

    def drop_old_texts(self) -> None:
        """Discard texts and retry states below the version in force."""
        lowest = self.state.in_force
        self.texts = {v: t for v, t in self.texts.items() if v >= lowest}
        self.fetches = {v: f for v, f in self.fetches.items() if v >= lowest}

    def log_readiness_change(self) -> None:
        """Log when the process stops or resumes accepting new work.

        A process that is ready as soon as it has a bundle logs neither event.
        """
        ready = self.accepts_new_work()
        if ready == self.logged_ready or self.bundle is None:
            return
        if ready and self.logged_ready is not None:
            event_log.emit(
                event_catalogue.BUNDLE_CONFIRMED,
                version=self.state.in_force,
            )
        elif not ready:
            event_log.emit(
                event_catalogue.BUNDLE_UNCONFIRMED,
                in_force=self.state.in_force,
                accepted=self.state.accepted,
            )
        self.logged_ready = ready


def decompress_texts(
    head: records.Head, texts: Mapping[int, HeldText]
) -> dict[int, model.SignedBundle]:
    """Return the signed texts of a head's versions, as far as they are held."""
    held = {version: texts[version] for version in head if version in texts}
    return {
        version: model.SignedBundle(version, data, text.signature)
        for version, text in held.items()
        if (data := records.decompress(text.data).value_or(None)) is not None
    }


def regular_interval(process_count: int) -> datetime.timedelta:
    """Return the poll interval that caps the fleet at MAX_POLLS_PER_SECOND."""
    spread = datetime.timedelta(seconds=process_count / MAX_POLLS_PER_SECOND)
    return max(POLL_INTERVAL, spread)


def create_bundle_service(
    store: port.ObjectStore,
    public_keys: signing.PublicKeys,
    clock: clock_lib.Clock,
    poll_interval: datetime.timedelta = POLL_INTERVAL,
    generator: random.Random | None = None,
    start_spread: datetime.timedelta = NO_SPREAD,
) -> BundleService:
    """Create a service that is not yet running.

    Args:
        store: Store from which the head and the texts are read.
        public_keys: Keys, one of which must have signed a bundle.
        clock: Source of monotonic time.
        poll_interval: Mean time between reads of the head.
        generator: Random source for jitter and for the choice of a peer.
        start_spread: Period over which the first reads are distributed when
            many processes start together.
    """
    return BundleService(
        store,
        public_keys,
        clock,
        poll_interval,
        generator or random.Random(),
        start_spread,
    )
