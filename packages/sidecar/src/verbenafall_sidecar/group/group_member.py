"""Makes a sidecar a member of a rank group.

Polls the engine's state, follows the group record in the store and in messages
of the group's other sidecars, and sends the engine the orders that `switch`
decides. While this process holds the group's lease it also writes the record.
"""

from collections.abc import Callable
from collections.abc import Sequence
import datetime
import random
import threading
from typing import Final
from typing import NamedTuple

import returns.pipeline
import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import periodic
from verbenafall_core.bundles import model
from verbenafall_core.expert_maps import coordinator as coordinator_lib
from verbenafall_core.expert_maps import event_catalogue
from verbenafall_core.expert_maps import load_history
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import restored_record
from verbenafall_core.expert_maps import switch
from verbenafall_core.object_store import port as store_port
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_sidecar.group import group_loads
from verbenafall_sidecar.group import group_peers
from verbenafall_sidecar.orders import engine_orders
from verbenafall_sidecar.orders import order_port

SWITCH_POLL_INTERVAL: Final = datetime.timedelta(milliseconds=100)
STABLE_POLL_INTERVAL: Final = datetime.timedelta(seconds=1)
# In a stable group the state is sent when it changes and at this interval.
STABLE_SEND_INTERVAL: Final = group_loads.SEND_INTERVAL
# Time for which the store waits for a newer record before it answers.
WATCH_WAIT: Final = datetime.timedelta(seconds=30)
# Mean delay of a retry. Delays vary by a factor of three: when the watches of
# all sidecars end at once, their retries must not exceed the store's rate.
WATCH_RETRY: Final = datetime.timedelta(seconds=2)
WATCH_RETRY_JITTER: Final = 0.5
NO_WAIT: Final = datetime.timedelta()
# Maximum random delay of the first watch, as many sidecars may start together.
WATCH_START_SPREAD: Final = datetime.timedelta(seconds=2)
# Time within which all sidecars read their records after a restore.
RESTORE_SPREAD: Final = datetime.timedelta(seconds=4)
MAX_ORDERS_PER_POLL: Final = 4
SIDECAR_ROLE: Final = "sidecar"


class Setup(NamedTuple):
    """Configuration and dependencies of a group member.

    Attributes:
        find_group: Returns the group in the bundle in force, None without one.
        open_links: Returns the open links of this process.
        holds_lease: Returns whether this process holds the group's lease.
        era: The era that the store's adapter reports to.
    """

    group: str
    instance: str
    find_group: Callable[[], model.GroupSpec | None]
    engine: order_port.OrderPort
    store: store_port.ObjectStore
    router: link_router.LinkRouter
    open_links: Callable[[], Sequence[link_lib.Link]]
    holds_lease: Callable[[], bool]
    clock: clock_lib.Clock
    metrics: metrics_lib.Metrics
    era: store_era.StoreEra


class GroupMemberService:
    """Kernel service that keeps the engine on the map of the group record.

    The lock guards the attributes that the link callbacks use as well.

    Attributes:
        stored: Newest known record, None before the first.
        record_missing: Whether the store has answered that it has no record.
        store_answered: Whether the store has answered a watch since the start.
        confirmed: See `switch.View`.
        peers: Open links to other sidecars, in the order of opening.
        own: State of this sidecar as sent to peers, None while the engine
            cannot be read.
        engine_state: Last state read from the engine.
        change_log: Logs a condition that lasts for many polls only once.
        orders: Sends orders to the engine.
        polled_record: Record at the last poll.
        last_sent: Last state of this sidecar that was sent to the peers.
        restored_era: Era of the last restore after which a read was planned.
        next_read: When to read the record next if it is of an earlier era.
    """

    def __init__(self, setup: Setup) -> None:
        """Create a stopped member and subscribe it to the events of links."""
        self.setup = setup
        self.lock = threading.Lock()
        self.stored: coordinator_lib.Stored | None = None
        self.record_missing = False
        self.store_answered = False
        self.confirmed = False
        self.peers = group_peers.GroupPeers()
        self.own: messages.GroupMember | None = None
        self.engine_state: order_port.EngineState | None = None
        self.change_log = event_log.create_condition_log()
        self.orders = engine_orders.create_engine_orders(
            setup.group, setup.engine, self.change_log, setup.clock
        )
        self.polled_record: coordinator_lib.Stored | None = None
        self.last_sent: messages.GroupMember | None = None
        self.loads = group_loads.create_group_loads(setup.clock)
        self.next_send = setup.clock.monotonic()
        self.next_load_send = setup.clock.monotonic()
        self.next_poll = setup.clock.monotonic()
        self.restored_era = 0
        self.next_read = setup.clock.monotonic()
        self.coordinator = coordinator_lib.create_coordinator(
            setup.group, setup.store, setup.clock
        )
        self.generator = random.Random()
        self.watch_start_delay = (
            self.generator.uniform(0, 1) * WATCH_START_SPREAD
        )
        self.stopping = threading.Event()
        self.watcher = threading.Thread(
            target=self.watch, name="group-watch", daemon=True
        )
        self.poller = periodic.create_periodic_task(
            "group-poll", SWITCH_POLL_INTERVAL, self.poll_when_due
        )
        setup.router.subscribe_open(self.on_open)
        setup.router.subscribe_close(self.on_close)
        setup.router.subscribe(messages.GroupRecord, self.on_record)
        setup.router.subscribe(messages.GroupMember, self.on_member)

    def start(self) -> None:
        """Start the threads that poll the engine and watch the record."""
        self.watcher.start()
        self.poller.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop polling; a watch in progress ends with the process."""
        self.stopping.set()
        self.poller.stop(limit)

    def status(self) -> messages.GroupStatus:
        """Return the status of the group; epoch 0 if no record is known."""
        with self.lock:
            step = self.own.step if self.own else 0
            engine = self.engine_state
            load = engine.expert_load if engine else ()
            if self.stored is None:
                return messages.GroupStatus(
                    self.setup.group, 0, "", 0, step, load
                )
            record = self.stored.record
            return messages.GroupStatus(
                self.setup.group,
                record.epoch,
                record.phase,
                record.map_version,
                step,
                load,
            )

    # Links.

    def on_open(self, link: link_lib.Link) -> None:
        """Add a sidecar's link; send the record and this sidecar's state."""
        if link.peer is None or link.peer.role != SIDECAR_ROLE:
            return
        with self.lock:
            self.peers.add(link, link.peer.instance)
            stored, own = self.stored, self.own
        if stored is not None:
            link.send(self.record_message(stored))
        if own is not None:
            link.send(self.add_load(own))

    def on_close(self, link: link_lib.Link, _reason: str) -> None:
        """Remove a link; a peer without links claims no ranks."""
        with self.lock:
            self.peers.remove(link)

    def on_record(
        self, _link: link_lib.Link, message: messages.GroupRecord
    ) -> None:
        """Adopt a record that a peer has sent if it is of this group."""
        if message.group == self.setup.group:
            self.receive_record(message.version, message.record)

    def on_member(
        self, link: link_lib.Link, message: messages.GroupMember
    ) -> None:
        """Store a peer's state and load if received on its newest link."""
        if message.group != self.setup.group:
            return
        with self.lock:
            if self.peers.accept(link, message):
                self.loads.set_member(message)

    def broadcast(
        self, message: messages.GroupRecord | messages.GroupMember
    ) -> None:
        """Send a message to all connected sidecars of the group."""
        with self.lock:
            links = self.peers.links()
        for link in links:
            link.send(message)

    # Record.

    def watch(self) -> None:
        """Watch the record in the store until stopped."""
        self.stopping.wait(self.watch_start_delay.total_seconds())
        while not self.stopping.is_set():
            if self.is_record_outdated():
                # The poll reads the record at a random time.
                self.stopping.wait(self.retry_delay().total_seconds())
                continue
            # The first call must not wait: until it returns, it is not known
            # whether the record is missing, and a new group gets no record.
            wait = self.spread(WATCH_WAIT) if self.store_answered else NO_WAIT
            answered_before = self.store_answered
            found = self.watch_once(wait)
            if not found and answered_before == self.store_answered:
                self.stopping.wait(self.retry_delay().total_seconds())

    def retry_delay(self) -> datetime.timedelta:
        """Return the random delay before a call to the store is repeated."""
        jitter = WATCH_RETRY_JITTER
        return WATCH_RETRY * self.generator.uniform(1 - jitter, 1 + jitter)

    def spread(self, duration: datetime.timedelta) -> datetime.timedelta:
        """Return a duration with up to 25% of random jitter."""
        jitter = periodic.JITTER
        return duration * self.generator.uniform(1 - jitter, 1 + jitter)

    def watch_once(self, wait: datetime.timedelta) -> bool:
        """Wait for a newer record; return whether the store returned one."""
        era = self.setup.era.current
        with self.lock:
            known_record = self.stored
        known = known_record.version if known_record else 0
        name = record_lib.object_name(self.setup.group)
        result = self.setup.store.watch(name, known, wait)
        if returns.pipeline.is_successful(result):
            self.store_answered = True
            found = result.unwrap()
            self.receive_record(found.version, found.value)
            self.confirm()
            return True
        if result.failure().kind is store_port.FailureKind.MISSING:
            self.store_answered = True
            self.record_missing = known == 0
            if known_record and revisions.era_of(known) < era:
                self.adopt(restored_record.mark_missing(known_record, era))
            elif known:
                self.confirm()
        return False

    def is_record_outdated(self) -> bool:
        """Return whether the store was restored after the record was read."""
        with self.lock:
            stored = self.stored
        return stored is not None and self.setup.era.is_past(stored.version)

    def read_record_after_restore(self, now: datetime.timedelta) -> None:
        """Read the record if it is outdated; the watch may still wait."""
        if not self.is_record_outdated():
            return
        if self.restored_era != self.setup.era.current:
            self.restored_era = self.setup.era.current
            self.next_read = now + self.generator.uniform(0, 1) * RESTORE_SPREAD
        if now >= self.next_read:
            self.next_read = now + self.retry_delay()
            self.watch_once(NO_WAIT)

    def confirm(self) -> None:
        """Mark the known record, if any, as confirmed by the store."""
        with self.lock:
            self.confirmed = self.stored is not None

    def receive_record(self, version: int, value: bytes) -> None:
        """Decode and adopt a record; log and ignore an invalid one."""
        result = record_lib.decode(value)
        if isinstance(result, returns.result.Failure):
            event_log.emit(
                event_catalogue.RECORD_INVALID,
                group=self.setup.group,
                version=version,
                problem=result.failure(),
            )
            return
        self.adopt(coordinator_lib.Stored(version, result.unwrap()))

    def adopt(self, stored: coordinator_lib.Stored) -> None:
        """Store a record and send it to the peers if it is newer.

        Rejects orders of earlier epochs from then on and polls at once.
        """
        with self.lock:
            stored = restored_record.merge(self.stored, stored)
            if stored == self.stored:
                return
            self.stored = stored
            self.orders.raise_epoch(stored.record.epoch)
        self.broadcast(self.record_message(stored))
        self.poller.run_now()

    def record_message(
        self, stored: coordinator_lib.Stored
    ) -> messages.GroupRecord:
        """Return the message that sends a record to a peer."""
        return messages.GroupRecord(
            self.setup.group, stored.version, record_lib.encode(stored.record)
        )

    # Engine.

    def poll_when_due(self) -> None:
        """Poll, but only once per STABLE_POLL_INTERVAL in a stable group."""
        now = self.setup.clock.monotonic()
        self.read_record_after_restore(now)
        with self.lock:
            stored = self.stored
        stable = stored and stored.record.phase is record_lib.Phase.STABLE
        if stable and stored == self.polled_record and now < self.next_poll:
            return
        self.polled_record = stored
        self.next_poll = now + STABLE_POLL_INTERVAL
        self.poll()

    def poll(self) -> None:
        """Read the engine, then send the orders and the state that are due.

        The lease holder also writes the record if that is due.
        """
        spec = self.setup.find_group()
        if spec is None:
            return
        with self.lock:
            record = self.stored.record if self.stored else None
        self.orders.update_maps(spec, record)
        if not self.read_engine():
            return
        self.send_due_orders(spec)
        self.send_state_if_due()
        if self.setup.holds_lease():
            self.write_record_if_due(spec)

    def read_engine(self) -> bool:
        """Read and handle the engine's state; return whether that succeeded."""
        result = self.setup.engine.read_state()
        if isinstance(result, returns.result.Failure):
            self.change_log.emit(
                event_catalogue.ENGINE_UNREACHABLE,
                result.failure().kind,
                group=self.setup.group,
                kind=result.failure().kind,
                problem=result.failure().message,
            )
            with self.lock:
                self.own = None
            return False
        self.change_log.clear(event_catalogue.ENGINE_UNREACHABLE)
        self.handle_state(result.unwrap())
        return True

    def handle_state(self, state: order_port.EngineState) -> None:
        """Update this sidecar's state from the engine's; log differences."""
        before, self.engine_state = self.engine_state, state
        if before is not None and state.map_version == 0 < before.map_version:
            # The engine was replaced: the new one has accepted no order.
            self.orders.clear_accepted()
        self.loads.add_own(state)
        self.report_skew(state)
        with self.lock:
            record = self.stored.record if self.stored else None
            if state.map_version == 0 or state.armed_step:
                self.orders.released_step = 0
            others = self.other_members()
            own = messages.GroupMember(
                group=self.setup.group,
                instance=self.setup.instance,
                ranks=state.ranks,
                epoch=state.epoch,
                map_version=state.map_version,
                prepared=state.prepared,
                armed_step=state.armed_step,
                passed_step=0,
                step=state.step,
                armed_version=state.armed_version,
                record_version=self.stored.version if self.stored else 0,
                record_epoch=self.stored.record.epoch if self.stored else 0,
            )
            if record is not None:
                self.orders.report_differences(record, own)
                own = self.add_switch_state(record, own, others)
            self.own = own

    def add_switch_state(
        self,
        record: record_lib.MapRecord,
        own: messages.GroupMember,
        others: tuple[messages.GroupMember, ...],
    ) -> messages.GroupMember:
        """Set armed_step and passed_step from the record and the peers' states.

        A rank that was released but has not reached the boundary step counts
        as armed, because it can no longer run that step on the old map.
        """
        boundary = record.boundary_step
        waits = own.step < boundary and own.map_version == record.map_version
        switching = record.phase is record_lib.Phase.SWITCHING
        if switching and waits and self.orders.released_step == boundary:
            own = own._replace(armed_step=boundary)
        passed = switch.find_passed_boundary(record, own, others)
        return own._replace(passed_step=passed)

    def report_skew(self, state: order_port.EngineState) -> None:
        """Set the gauge of the longest step time divided by the mean."""
        total = sum(state.rank_step_ms)
        if total > 0:
            skew = max(state.rank_step_ms) * len(state.rank_step_ms) / total
            name = f"group.{self.setup.group}.step_skew"
            self.setup.metrics.gauge(name, skew)

    def group_load(self, spec: model.GroupSpec) -> load_history.GroupLoad:
        """Return the load of the group, including this sidecar's engine."""
        with self.lock:
            if self.own is not None:
                self.loads.set_member(self.add_load(self.own))
            return self.loads.total(spec.experts)

    def add_load(self, own: messages.GroupMember) -> messages.GroupMember:
        """Return this sidecar's state with the load of its engine added."""
        return self.loads.add_load(own, self.engine_state)

    def send_due_orders(self, spec: model.GroupSpec) -> None:
        """Send the engine the orders that are due, with a limit per poll."""
        for _ in range(MAX_ORDERS_PER_POLL):
            view = self.view(spec)
            if view is None or not self.orders.may_send():
                return
            if not self.is_record_in_force():
                return
            order = switch.decide_order(view)
            if order is None or self.orders.is_release_in_effect(
                order, self.engine_state
            ):
                return
            state = self.orders.send(order)
            if state is None:
                return
            self.handle_state(state)

    def send_state_if_due(self) -> None:
        """Send this sidecar's state to the peers if that is due.

        It is due at each poll during a switch. Otherwise it is due when more
        than the step has changed, and once per STABLE_SEND_INTERVAL. The load
        is included at most once per interval.
        """
        now = self.setup.clock.monotonic()
        with self.lock:
            own, stored = self.own, self.stored
        if own is None:
            return
        switching = stored and stored.record.phase != record_lib.Phase.STABLE
        same = self.last_sent and self.last_sent._replace(step=own.step) == own
        if same and not switching and now < self.next_send:
            return
        self.last_sent = own
        self.next_send = now + STABLE_SEND_INTERVAL
        if now >= self.next_load_send:
            self.next_load_send = now + STABLE_SEND_INTERVAL
            own = self.add_load(own)
        self.broadcast(own)

    # Decisions.

    def is_record_in_force(self) -> bool:
        """Return whether orders may be given under the known record."""
        with self.lock:
            return self.stored is not None and restored_record.is_in_force(
                self.stored
            )

    def other_members(self) -> tuple[messages.GroupMember, ...]:
        """Return the states of the peers; the caller holds the lock."""
        return self.peers.members_except(self.setup.instance)

    def view(self, spec: model.GroupSpec) -> switch.View | None:
        """Return the input for decisions, None without a record."""
        with self.lock:
            if self.stored is None:
                return None
            view = switch.View(
                self.stored.record,
                self.own,
                self.other_members(),
                spec.ranks,
                self.confirmed,
            )
            # When a link to this process opens, a peer first discards the
            # state that an earlier process of this instance sent, and then
            # sends its own. With all states received, none relies on it.
            if switch.check_coverage(view.members(), spec.ranks).complete():
                self.confirmed = True
            return view._replace(confirmed=self.confirmed)

    def write_record_if_due(self, spec: model.GroupSpec) -> None:
        """Write the next record, or the first one, if that is due."""
        view = self.view(spec)
        if view is None:
            self.create_record(spec)
            return
        with self.lock:
            stored = self.stored
        if stored is None or stored.record != view.record:
            return
        if restored_record.needs_rewrite(stored) and (
            self.rewrite_record(spec, stored, view)
            or not restored_record.is_in_force(stored)
        ):
            return
        self.coordinator.observe(stored.record)
        load = self.group_load(spec)
        written = self.coordinator.write_if_due(spec, stored, view, load)
        if written is not None:
            self.adopt(written)

    def rewrite_record(
        self,
        spec: model.GroupSpec,
        stored: coordinator_lib.Stored,
        view: switch.View,
    ) -> bool:
        """Write a record that came back again; return whether it was due."""
        record = restored_record.decide_rewrite(
            stored, view.members(), spec.ranks
        )
        if record is None or not self.coordinator.may_write():
            return False
        written = self.coordinator.write(record, stored.version)
        if written is not None:
            event_log.emit(
                event_catalogue.RECORD_RESTORED,
                group=self.setup.group,
                **record._asdict(),
            )
            self.adopt(written)
        return True

    def create_record(self, spec: model.GroupSpec) -> None:
        """Write the first record if the store has none."""
        if not self.record_missing:
            return
        with self.lock:
            own = (self.own,) if self.own else ()
            members = (*own, *self.other_members())
        allowed = frozenset(item.version for item in spec.maps)
        record = restored_record.decide_first_record(
            members, spec.ranks, allowed, self.setup.era.current
        )
        if record is not None:
            written = self.coordinator.write(record, 0)
            if written is not None:
                self.adopt(written)


def create_group_member(setup: Setup) -> GroupMemberService:
    """Create a stopped member; call this before the links start."""
    return GroupMemberService(setup)
