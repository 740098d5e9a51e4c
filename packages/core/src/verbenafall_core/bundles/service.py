"""Keeps the bundle of a process current, from the store and from peers."""

import collections
from collections.abc import Callable
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
from verbenafall_core.bundles import model
from verbenafall_core.bundles import records
from verbenafall_core.bundles import signing
from verbenafall_core.object_store import port

POLL_INTERVAL: Final = datetime.timedelta(seconds=2)
MAX_POLLS_PER_SECOND: Final = 20
# A start takes two to five calls, and the store takes 2,000 reads a second.
MAX_STARTS_PER_SECOND: Final = 250
# Spread of the starts while the number of processes is not known.
START_SPREAD: Final = datetime.timedelta(seconds=4)
CHECK_INTERVAL: Final = datetime.timedelta(milliseconds=250)
FETCH_INTERVAL: Final = datetime.timedelta(seconds=1)
MAX_WAITING_PUSHES: Final = 8
NO_SPREAD: Final = datetime.timedelta()
NO_BUNDLE: Final = "no_bundle"


class HeldText(NamedTuple):
    """A verified bundle and its text as it is sent to peers."""

    bundle: model.Bundle
    data: bytes
    signature: bytes


class Fetch(NamedTuple):
    """Attempts to get the text of a version."""

    tries: int
    due: datetime.timedelta


class BundleService:
    """Bundles of a process; safe to use from any thread.

    One thread makes the store calls, another verifies the texts from peers,
    so that neither a slow store nor a long text delays the links.

    Attributes:
        knowledge: What is known, but for the times in heard_at; read it by
            known() where these matter.
        beats: Last heartbeat that was taken in, by open peer.
        heard_at: Time of a later and equal heartbeat, by open peer.
        announce: Sends a heartbeat to all peers now, None for none.
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
        self.public_keys = public_keys
        self.clock = clock
        self.interval = poll_interval
        self.generator = generator
        self.lock = threading.RLock()
        self.knowledge = adoption.create_knowledge()
        self.wanted: tuple[int, ...] = ()
        self.texts: dict[int, HeldText] = {}
        self.bundle: model.Bundle | None = None
        self.links: dict[str, link_lib.Link] = {}
        self.beats: dict[str, messages.Heartbeat] = {}
        self.heard_at: dict[str, datetime.timedelta] = {}
        self.pushes: collections.deque[messages.BundlePush] = collections.deque(
            maxlen=MAX_WAITING_PUSHES
        )
        self.fetches: dict[int, Fetch] = {}
        self.last_poll: datetime.timedelta | None = None
        self.jitter = 1.0
        self.created_at = clock.monotonic()
        self.start_spread = start_spread
        self.start_share = generator.uniform(0, 1) if start_spread else 0.0
        self.poll_requested = False
        self.store_failing = False
        self.reported_ready: bool | None = None
        self.announced = (0, 0)
        self.announce: Callable[[], None] | None = None
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
        """Stop after the calls that are running, if any."""
        deadline = self.clock.monotonic() + limit
        for task in (self.store_task, self.text_task):
            left = deadline - self.clock.monotonic()
            task.stop(max(left, datetime.timedelta()))

    def attach(self, link_router: link_router_lib.LinkRouter) -> None:
        """Receive the bundle messages of links; call before they start."""
        link_router.subscribe_open(self.on_open)
        link_router.subscribe_close(self.on_close)
        link_router.subscribe(messages.Heartbeat, self.on_heartbeat)
        link_router.subscribe(messages.BundleRequest, self.on_request)
        link_router.subscribe(messages.BundlePush, self.on_push)

    def current(self) -> model.Bundle | None:
        """Return the bundle in force."""
        return self.bundle

    def known(self) -> adoption.Knowledge:
        """Return the knowledge with the times of repeated heartbeats."""
        with self.lock:
            if self.heard_at:
                self.knowledge = adoption.hear_again(
                    self.knowledge, self.heard_at
                )
                self.heard_at = {}
            return self.knowledge

    def accepts_new_work(self) -> bool:
        """Return whether a bundle is in force and not in doubt."""
        now = self.clock.monotonic()
        return adoption.accepts_new_work(self.known(), now)

    def not_ready_reason(self) -> str:
        """Return why no new work is taken, empty when it is."""
        if self.accepts_new_work():
            return ""
        if self.bundle is None:
            return NO_BUNDLE
        return outcomes.Reason.BUNDLE_UNCONFIRMED.value

    def heartbeat_fields(self) -> tuple[int, int, bool]:
        """Return the version in force, the pending one, and confirmed."""
        known = self.known()
        return (
            known.in_force,
            adoption.prepared_version(known),
            adoption.is_confirmed(known, self.clock.monotonic()),
        )

    def rejected(self) -> tuple[messages.RejectedBundle, ...]:
        """Return the versions that failed verification."""
        return self.knowledge.rejected

    def poll_now(self) -> None:
        """Read the head from the store without waiting for the interval."""
        self.poll_requested = True
        self.store_task.run_now()

    def set_process_count(self, count: int) -> None:
        """Adapt the intervals to the number of processes."""
        self.interval = regular_interval(count)
        spread = datetime.timedelta(seconds=count / MAX_STARTS_PER_SECOND)
        self.start_spread = min(self.start_spread, spread)

    def on_open(self, link: link_lib.Link) -> None:
        """Remember a link by its peer's name."""
        if link.peer is not None:
            with self.lock:
                self.links[link.peer.instance] = link

    def on_close(self, link: link_lib.Link, _reason: str) -> None:
        """Note that a peer is gone, unless it has a newer link."""
        if link.peer is None:
            return
        name = link.peer.instance
        with self.lock:
            if self.links.get(name) is not link:
                return
            del self.links[name]
            self.receive(adoption.PeerClosed(name))
            self.beats.pop(name, None)

    def on_heartbeat(
        self, link: link_lib.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Take in what a peer knows.

        Most heartbeats repeat the last one. Only their time is noted, as
        deciding on each would cost the square of the number of links.
        """
        if link.peer is None:
            return
        name = link.peer.instance
        with self.lock:
            is_current = self.links.get(name) is link
            if is_current and self.beats.get(name) == heartbeat:
                self.heard_at[name] = self.clock.monotonic()
                return
            self.receive(adoption.PeerHeard(name, heartbeat))
            if is_current:
                self.beats[name] = heartbeat
            else:
                self.beats.pop(name, None)

    def on_request(
        self, link: link_lib.Link, request: messages.BundleRequest
    ) -> None:
        """Send the text of a version, if it is held."""
        with self.lock:
            text = self.texts.get(request.version)
            known = self.known()
        if text is None:
            return
        link.send(
            messages.BundlePush(
                request.version,
                request.version <= known.accepted,
                adoption.is_confirmed(known, self.clock.monotonic()),
                text.data,
                text.signature,
            )
        )

    def on_push(self, _link: link_lib.Link, push: messages.BundlePush) -> None:
        """Queue a text that was asked for; its check takes too long here."""
        with self.lock:
            if push.version not in self.wanted:
                return
            self.pushes.append(push)
        self.text_task.run_now()

    def process_pushes(self) -> None:
        """Verify the queued texts, then do what is due by the clock."""
        while self.pushes:
            self.take_push(self.pushes.popleft())
        self.settle()
        self.report_readiness()

    def take_push(self, push: messages.BundlePush) -> None:
        """Verify a text from a peer."""
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
        self.hold(result.unwrap(), "peer")
        if push.accepted and push.confirmed:
            self.receive(adoption.AcceptedHeard(push.version))

    def poll_store(self) -> None:
        """Read the head when it is due, then the texts that are missing."""
        if self.poll_is_due():
            self.read_head()
        for version in self.wanted:
            self.fetch(version)

    def poll_is_due(self) -> bool:
        """Return whether the head should be read now."""
        now = self.clock.monotonic()
        if self.poll_requested:
            return True
        if self.last_poll is None:
            delay = self.start_share * self.start_spread
            return now - self.created_at >= delay
        interval = adoption.poll_interval(self.known(), now, self.interval)
        return now - self.last_poll >= interval * self.jitter

    def read_head(self) -> None:
        """Read the head once."""
        self.poll_requested = False
        sent_at = self.clock.monotonic()
        self.last_poll = sent_at
        self.jitter = self.generator.uniform(
            1 - periodic.JITTER, 1 + periodic.JITTER
        )
        result = self.store.read(records.HEAD_NAME)
        if isinstance(result, returns.result.Success):
            self.take_head(result.unwrap().value, sent_at)
        elif result.failure().kind is port.FailureKind.MISSING:
            self.note_store("")
            self.receive(adoption.HeadRead(0, 0, sent_at))
        else:
            self.note_store(result.failure().message)

    def take_head(self, value: bytes, sent_at: datetime.timedelta) -> None:
        """Take in the value of the head."""
        head = records.decode_head(value)
        if not isinstance(head, returns.result.Success):
            self.note_store(head.failure())
            return
        self.note_store("")
        accepted, pending = head.unwrap()
        self.receive(adoption.HeadRead(accepted, pending, sent_at))

    def note_store(self, problem: str) -> None:
        """Report when the store starts or ceases to fail."""
        if problem and not self.store_failing:
            event_log.emit(event_catalogue.BUNDLE_STORE_FAILED, reason=problem)
        elif not problem and self.store_failing:
            event_log.emit(event_catalogue.BUNDLE_STORE_RECOVERED)
        self.store_failing = bool(problem)

    def fetch(self, version: int) -> None:
        """Ask a peer and the store in turn for the text of a version.

        Peers come first, so that a roll-out to a large fleet costs the
        store one read for each gateway and not for each process.
        """
        now = self.clock.monotonic()
        tried = self.fetches.get(version, Fetch(0, now))
        if now < tried.due:
            return
        self.fetches[version] = Fetch(tried.tries + 1, now + FETCH_INTERVAL)
        if tried.tries % 2 == 0 and self.ask_peer(version):
            return
        if not adoption.is_rejected(self.knowledge, version):
            self.fetch_from_store(version)

    def ask_peer(self, version: int) -> bool:
        """Ask a linked peer that holds a version; False without one."""
        with self.lock:
            names = [
                name
                for name in adoption.holders(self.knowledge, version)
                if name in self.links
            ]
            if not names:
                return False
            link = self.links[self.generator.choice(names)]
        return link.send(messages.BundleRequest(version))

    def fetch_from_store(self, version: int) -> None:
        """Read and verify the store's text of a version."""
        read = self.store.read(records.bundle_name(version))
        if not isinstance(read, returns.result.Success):
            self.note_store(read.failure().message)
            return
        result = records.decode_bundle(version, read.unwrap().value).bind(
            lambda signed: records.verify(signed, self.public_keys)
        )
        if isinstance(result, returns.result.Success):
            self.hold(result.unwrap(), "store")
            return
        event_log.emit(
            event_catalogue.BUNDLE_REJECTED,
            version=version,
            reason=result.failure(),
        )
        self.receive(adoption.TextRejected(version, result.failure()))

    def hold(self, verified: records.Verified, source: str) -> None:
        """Keep a verified text."""
        signed = verified.signed
        text = HeldText(
            verified.bundle, records.compress(signed.text), signed.signature
        )
        with self.lock:
            if signed.version not in self.wanted:
                return
            self.texts[signed.version] = text
            self.fetches.pop(signed.version, None)
            self.receive(adoption.TextVerified(signed.version))
        event_log.emit(
            event_catalogue.BUNDLE_PREPARED,
            version=signed.version,
            source=source,
        )

    def receive(self, event: adoption.Event) -> None:
        """Take in an event and do what follows from it."""
        with self.lock:
            now = self.clock.monotonic()
            self.knowledge = adoption.apply(event, self.known(), now)
            self.settle()

    def announce_versions(self) -> None:
        """Tell the peers of changed versions without waiting a heartbeat."""
        in_force, prepared, _ = self.heartbeat_fields()
        if self.announced != (in_force, prepared):
            self.announced = (in_force, prepared)
            if self.announce is not None:
                self.announce()

    def settle(self) -> None:
        """Put a version in force and ask for texts as far as due."""
        with self.lock:
            now = self.clock.monotonic()
            step = adoption.settle(self.known(), now)
            if step.activated:
                self.bundle = self.texts[step.activated].bundle
            self.knowledge = step.knowledge
            news = set(step.wanted) - set(self.wanted)
            self.wanted = step.wanted
            if step.activated:
                self.drop_old_texts()
        self.announce_versions()
        if step.activated:
            event_log.emit(
                event_catalogue.BUNDLE_IN_FORCE,
                version=step.activated,
                accepted=step.knowledge.accepted,
            )
        if news:
            self.store_task.run_now()

    def drop_old_texts(self) -> None:
        """Drop texts and attempts below the version in force."""
        lowest = self.knowledge.in_force
        self.texts = {v: t for v, t in self.texts.items() if v >= lowest}
        self.fetches = {v: f for v, f in self.fetches.items() if v >= lowest}

    def report_readiness(self) -> None:
        """Log each change between taking and not taking new work."""
        ready = self.accepts_new_work()
        if ready == self.reported_ready or self.bundle is None:
            return
        if ready and self.reported_ready is not None:
            event_log.emit(
                event_catalogue.BUNDLE_CONFIRMED,
                version=self.knowledge.in_force,
            )
        elif not ready:
            event_log.emit(
                event_catalogue.BUNDLE_UNCONFIRMED,
                in_force=self.knowledge.in_force,
                accepted=self.knowledge.accepted,
            )
        self.reported_ready = ready


def regular_interval(process_count: int) -> datetime.timedelta:
    """Return the poll interval that bounds the reads of all processes."""
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
        store: Where the head and the texts are read.
        public_keys: Keys of which one must have signed a bundle.
        clock: Source of time.
        poll_interval: Mean time between reads of the head.
        generator: Source of jitter and of the choice among peers.
        start_spread: Time over which the first reads of processes that
            start together are spread.
    """
    return BundleService(
        store,
        public_keys,
        clock,
        poll_interval,
        generator or random.Random(),
        start_spread,
    )
