"""The rank-group part of a sidecar.

Polls the engine's state, keeps the group record up to date from the store
and from the other sidecars of the group, and carries out what `switch`
decides. While this process holds the group's lease it also leads the group.
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
from verbenafall_core.expert_maps import switch
from verbenafall_core.object_store import port as store_port
from verbenafall_sidecar.group import group_loads
from verbenafall_sidecar.group import group_peers
from verbenafall_sidecar.orders import engine_orders
from verbenafall_sidecar.orders import order_port

SWITCH_POLL_INTERVAL: Final = datetime.timedelta(milliseconds=100)
STABLE_POLL_INTERVAL: Final = datetime.timedelta(seconds=1)
# In a stable group the state is sent on changes and otherwise this often.
STABLE_SEND_INTERVAL: Final = group_loads.SEND_INTERVAL
WATCH_WAIT: Final = datetime.timedelta(seconds=30)
WATCH_RETRY: Final = datetime.timedelta(seconds=1)
NO_WAIT: Final = datetime.timedelta()
# Spreads the first calls of sidecars that start together.
WATCH_START_SPREAD: Final = datetime.timedelta(seconds=2)
MAX_ORDERS_PER_POLL: Final = 4
SIDECAR_ROLE: Final = "sidecar"


class Setup(NamedTuple):
    """What a group member works with.

    Attributes:
        find_group: Returns the group in the bundle in force.
        open_links: Returns the open links of this process.
        holds_lease: Returns whether this process holds the group's lease.
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


class GroupMemberService:
    """Kernel service. The lock guards what the link callbacks share.

    Attributes:
        stored: Newest record known, None before the first.
        absent: Whether the store answered that there is no record.
        answered: Whether the store has answered a watch since the start.
        confirmed: See `switch.View`.
        peers: Open links to other sidecars, in the order of opening.
        orders: Gives orders to the engine.
        changes: Logs conditions that last for many polls once.
    """

    def __init__(self, setup: Setup) -> None:
        """Create a member that is not yet running and subscribe it."""
        self.setup = setup
        self.lock = threading.Lock()
        self.stored: coordinator_lib.Stored | None = None
        self.absent = False
        self.answered = False
        self.confirmed = False
        self.peers = group_peers.GroupPeers()
        self.own: messages.GroupMember | None = None
        self.engine_state: order_port.EngineState | None = None
        self.changes = event_log.create_condition_log()
        self.orders = engine_orders.create_engine_orders(
            setup.group, setup.engine, self.changes, setup.clock
        )
        self.polled: coordinator_lib.Stored | None = None
        self.sent: messages.GroupMember | None = None
        self.loads = group_loads.create_group_loads(setup.clock)
        self.next_send = setup.clock.monotonic()
        self.next_load = setup.clock.monotonic()
        self.next_poll = setup.clock.monotonic()
        self.coordinator = coordinator_lib.create_coordinator(
            setup.group, setup.store, setup.clock
        )
        self.generator = random.Random()
        self.first_watch = self.generator.uniform(0, 1) * WATCH_START_SPREAD
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
        """Start to poll the engine and to watch the record."""
        self.watcher.start()
        self.poller.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop polling; a pending watch ends with the process."""
        self.stopping.set()
        self.poller.stop(limit)

    def status(self) -> messages.GroupStatus:
        """Return what is known of the group."""
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
        """Drop what an earlier link of the peer sent; send the own state."""
        if link.peer is None or link.peer.role != SIDECAR_ROLE:
            return
        with self.lock:
            self.peers.add(link, link.peer.instance)
            stored, own = self.stored, self.own
        if stored is not None:
            link.send(self.record_message(stored))
        if own is not None:
            link.send(self.describe(own))

    def on_close(self, link: link_lib.Link, _reason: str) -> None:
        """Forget a peer; its ranks are unclaimed until it is back."""
        with self.lock:
            self.peers.remove(link)

    def on_record(
        self, _link: link_lib.Link, message: messages.GroupRecord
    ) -> None:
        """Take a record that a peer passed on."""
        if message.group == self.setup.group:
            self.learn(message.version, message.record)

    def on_member(
        self, link: link_lib.Link, message: messages.GroupMember
    ) -> None:
        """Take a peer's state from its newest link."""
        if message.group != self.setup.group:
            return
        with self.lock:
            if self.peers.take(link, message):
                self.loads.keep(message)

    def broadcast(
        self, message: messages.GroupRecord | messages.GroupMember
    ) -> None:
        """Send to all other sidecars."""
        with self.lock:
            links = self.peers.links()
        for link in links:
            link.send(message)

    # Record.

    def watch(self) -> None:
        """Follow the record in the store until stopped."""
        self.stopping.wait(self.first_watch.total_seconds())
        while not self.stopping.is_set():
            # The first answer must not wait: until then nobody knows that
            # the record is missing, and a new group gets none.
            wait = self.spread(WATCH_WAIT) if self.answered else NO_WAIT
            answered_before = self.answered
            found = self.watch_once(wait)
            if not found and answered_before == self.answered:
                self.stopping.wait(self.spread(WATCH_RETRY).total_seconds())

    def spread(self, duration: datetime.timedelta) -> datetime.timedelta:
        """Return a duration, jittered by a quarter."""
        jitter = periodic.JITTER
        return duration * self.generator.uniform(1 - jitter, 1 + jitter)

    def watch_once(self, wait: datetime.timedelta) -> bool:
        """Wait for a newer record; return whether one came."""
        with self.lock:
            known = self.stored.version if self.stored else 0
        name = record_lib.object_name(self.setup.group)
        result = self.setup.store.watch(name, known, wait)
        if returns.pipeline.is_successful(result):
            self.answered = True
            found = result.unwrap()
            self.learn(found.version, found.value)
            self.confirm()
            return True
        if result.failure().kind is store_port.FailureKind.MISSING:
            self.answered = True
            self.absent = known == 0
            if known:
                self.confirm()
        return False

    def confirm(self) -> None:
        """Note that the store has shown the newest record."""
        with self.lock:
            self.confirmed = self.stored is not None

    def learn(self, version: int, value: bytes) -> None:
        """Take a record if it is newer, and pass it on."""
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
        """Take a record if it is newer, and pass it on."""
        with self.lock:
            if self.stored and stored.version <= self.stored.version:
                return
            self.stored = stored
            self.orders.learn_epoch(stored.record.epoch)
        self.broadcast(self.record_message(stored))
        self.poller.run_now()

    def record_message(
        self, stored: coordinator_lib.Stored
    ) -> messages.GroupRecord:
        """Return the message that passes a record on."""
        return messages.GroupRecord(
            self.setup.group, stored.version, record_lib.encode(stored.record)
        )

    # Engine.

    def poll_when_due(self) -> None:
        """Poll at the interval of the phase."""
        now = self.setup.clock.monotonic()
        with self.lock:
            stored = self.stored
        stable = stored and stored.record.phase is record_lib.Phase.STABLE
        if stable and stored == self.polled and now < self.next_poll:
            return
        self.polled = stored
        self.next_poll = now + STABLE_POLL_INTERVAL
        self.poll()

    def poll(self) -> None:
        """Read the engine's state and do what is due."""
        spec = self.setup.find_group()
        if spec is None:
            return
        with self.lock:
            record = self.stored.record if self.stored else None
        self.orders.learn_maps(spec, record)
        if not self.read_engine():
            return
        self.obey(spec)
        self.share()
        if self.setup.holds_lease():
            self.lead(spec)

    def read_engine(self) -> bool:
        """Read the engine's state; return whether it is known."""
        result = self.setup.engine.read_state()
        if isinstance(result, returns.result.Failure):
            self.changes.emit(
                event_catalogue.ENGINE_UNREACHABLE,
                result.failure().kind,
                group=self.setup.group,
                kind=result.failure().kind,
                problem=result.failure().message,
            )
            with self.lock:
                self.own = None
            return False
        self.changes.clear(event_catalogue.ENGINE_UNREACHABLE)
        self.take_state(result.unwrap())
        return True

    def take_state(self, state: order_port.EngineState) -> None:
        """Turn the engine's state into the state that peers are told."""
        before, self.engine_state = self.engine_state, state
        if before is not None and state.map_version == 0 < before.map_version:
            # The engine was replaced and took none of the earlier orders.
            self.orders.forget_taken()
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
            )
            if record is not None:
                self.orders.report_differences(record, own)
                own = self.complete(record, own, others)
            self.own = own

    def complete(
        self,
        record: record_lib.MapRecord,
        own: messages.GroupMember,
        others: tuple[messages.GroupMember, ...],
    ) -> messages.GroupMember:
        """Add what only this sidecar knows of its ranks."""
        boundary = record.boundary_step
        waits = own.step < boundary and own.map_version == record.map_version
        switching = record.phase is record_lib.Phase.SWITCHING
        if switching and waits and self.orders.released_step == boundary:
            own = own._replace(armed_step=boundary)
        passed = switch.find_passed_boundary(record, own, others)
        return own._replace(passed_step=passed)

    def report_skew(self, state: order_port.EngineState) -> None:
        """Send the greatest over the mean step time of these ranks."""
        total = sum(state.rank_step_ms)
        if total > 0:
            skew = max(state.rank_step_ms) * len(state.rank_step_ms) / total
            name = f"group.{self.setup.group}.step_skew"
            self.setup.metrics.gauge(name, skew)

    def group_load(self, spec: model.GroupSpec) -> load_history.GroupLoad:
        """Return the load of all engines that were heard of lately."""
        with self.lock:
            if self.own is not None:
                self.loads.keep(self.describe(self.own))
            return self.loads.total(spec.experts)

    def describe(self, own: messages.GroupMember) -> messages.GroupMember:
        """Return the own message with the load of the own engine."""
        return self.loads.describe(own, self.engine_state)

    def obey(self, spec: model.GroupSpec) -> None:
        """Give the engine the orders that are due."""
        for _ in range(MAX_ORDERS_PER_POLL):
            view = self.view(spec)
            if view is None or not self.orders.may_give():
                return
            order = switch.decide_order(view)
            if order is None or self.orders.is_taken(order, self.engine_state):
                return
            state = self.orders.give(order)
            if state is None:
                return
            self.take_state(state)

    def share(self) -> None:
        """Tell the peers the own state when it is due."""
        now = self.setup.clock.monotonic()
        with self.lock:
            own, stored = self.own, self.stored
        if own is None:
            return
        switching = stored and stored.record.phase != record_lib.Phase.STABLE
        same = self.sent and self.sent._replace(step=own.step) == own
        if same and not switching and now < self.next_send:
            return
        self.sent = own
        self.next_send = now + STABLE_SEND_INTERVAL
        if now >= self.next_load:
            self.next_load = now + STABLE_SEND_INTERVAL
            own = self.describe(own)
        self.broadcast(own)

    # Decisions.

    def other_members(self) -> tuple[messages.GroupMember, ...]:
        """Return the peers' states; called with the lock held."""
        return self.peers.members_but(self.setup.instance)

    def view(self, spec: model.GroupSpec) -> switch.View | None:
        """Return what is known, None before there is a record."""
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
            # Each peer has dropped what the last process here had said
            # before it sent its state over a link to this one.
            if switch.check_coverage(view.members(), spec.ranks).complete():
                self.confirmed = True
            return view._replace(confirmed=self.confirmed)

    def lead(self, spec: model.GroupSpec) -> None:
        """Write the record if this process, as lease holder, has to."""
        view = self.view(spec)
        if view is None:
            self.create_record(spec)
            return
        with self.lock:
            stored = self.stored
        if stored is None or stored.record != view.record:
            return
        self.coordinator.observe(stored.record)
        load = self.group_load(spec)
        written = self.coordinator.write_if_due(spec, stored, view, load)
        if written is not None:
            self.adopt(written)

    def create_record(self, spec: model.GroupSpec) -> None:
        """Write the first record of a group that has none."""
        if not self.absent:
            return
        with self.lock:
            own = (self.own,) if self.own else ()
            members = (*own, *self.other_members())
        allowed = frozenset(item.version for item in spec.maps)
        record = switch.decide_first_record(members, spec.ranks, allowed)
        if record is not None:
            written = self.coordinator.write(record, 0)
            if written is not None:
                self.adopt(written)


def create_group_member(setup: Setup) -> GroupMemberService:
    """Create a member that is not yet running; call before links start."""
    return GroupMemberService(setup)
