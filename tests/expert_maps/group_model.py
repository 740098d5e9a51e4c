"""In-memory model of a rank group in lock-step with its sidecars."""

import collections
import datetime
import functools

import returns.result

from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import metrics
from verbenafall_core.bundles import model
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import switch
from verbenafall_core.object_store import port as store_port
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_sidecar.group import group_member
from verbenafall_sidecar.orders import order_port
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

MAPS = (model.MapSpec(1, (0, 1, 2)), model.MapSpec(2, (1, 2, 0)))
SECOND = datetime.timedelta(seconds=1)


class Engine:
    """One rank; without a map it holds until it is released with step 0."""

    def __init__(self, group, index, fences, map_version):
        self.group, self.index, self.fences = group, index, fences
        self.map_version = map_version
        self.prepared = {map_version} - {0}
        self.armed = self.armed_version = self.epoch = 0
        self.pending = None
        self.step_ms, self.load = (), ()

    def state(self):
        return order_port.EngineState(
            "g",
            (self.index,),
            self.map_version,
            tuple(sorted(self.prepared)),
            self.armed,
            self.group.step,
            self.epoch,
            self.step_ms,
            self.load,
            self.armed_version if self.armed else 0,
        )

    def handle_order(self, order):
        if self.fences and order.epoch < self.epoch:
            return fail(order_port.FailureKind.FENCED)
        loads = order.kind is switch.OrderKind.PREPARE
        if not loads and order.map_version not in self.prepared:
            return fail(order_port.FailureKind.NOT_PREPARED)
        self.epoch = order.epoch
        if loads:
            self.prepared.add(order.map_version)
        elif order.kind is switch.OrderKind.DISARM:
            self.armed = 0 if order.step == self.armed else self.armed
        elif order.step == switch.START_STEP:
            self.map_version = self.map_version or order.map_version
        elif order.step > self.group.step:
            arms = order.kind is switch.OrderKind.ARM
            self.armed = order.step if arms else 0
            self.armed_version = order.map_version
            self.pending = None if arms else (order.step, order.map_version)
        return returns.result.Success(self.state())

    def map_at(self, step):
        """Return the map for a step, 0 if the rank holds before it."""
        if self.armed and self.armed <= step:
            return 0
        if self.pending and self.pending[0] <= step:
            return self.pending[1]
        return self.map_version


class FakeLink:
    def __init__(self, group, source, target, peer):
        self.group, self.source, self.target = group, source, target
        self.peer = messages.Hello(1, peer, "sidecar", "", "s")
        self.other = None
        self.is_open = True

    def send(self, message):
        if self.is_open and self.other.is_open:
            self.group.in_transit.append((self.other, message))
        return True


class EnginePort:
    """Sends the orders of one sidecar, subject to the group's faults."""

    def __init__(self, group, index):
        self.group, self.index = group, index

    def read_state(self):
        if self.index in self.group.unreachable:
            return fail(order_port.FailureKind.UNCERTAIN)
        return returns.result.Success(self.group.engines[self.index].state())

    def send_order(self, order, placement):
        engine = self.group.engines[self.index]
        self.group.record_order(self.index, order)
        fault = self.group.order_fault(self.index, order)
        if fault in ("late", "duplicate"):
            self.group.late_orders.append((engine, order))
        if fault not in ("late", "lost"):
            result = engine.handle_order(order)
        if fault in ("late", "lost", "lost_answer"):
            return fail(order_port.FailureKind.UNCERTAIN)
        return result


class LateStore:
    """Forwards calls to the store; updates can be lost or applied late.

    A process that does not know of a restore sends the store's own number of a
    version, which can be the number of another version now.
    """

    def __init__(self, group, index):
        self.group, self.index = group, index
        self.era = store_era.create_store_era()
        self.inner = memory_store.create_client(group.store, self.era)

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def update(self, name, value, version):
        fault = self.group.write_fault(self.index, value)
        call = functools.partial(self.send_update, name, value, version)
        if fault in ("late", "duplicate"):
            self.group.late_writes.append(call)
        if fault not in ("late", "lost"):
            result = call()
            self.era.observe(self.group.store.era)
        if fault in ("late", "lost", "lost_answer"):
            return returns.result.Failure(
                store_port.StoreFailure(store_port.FailureKind.UNCERTAIN, "")
            )
        return result

    def send_update(self, name, value, version):
        if revisions.era_of(version) < self.era.current:
            return returns.result.Failure(
                store_port.StoreFailure(store_port.FailureKind.CONFLICT, "")
            )
        store, number = self.group.store, revisions.number_of(version)
        return store.update(
            name, value, revisions.create_revision(store.era, number)
        )


class Group:
    """A group of ranks, each with a sidecar; the test injects faults.

    Attributes:
        ordered: Record behind the orders of each epoch.
        mixed: Steps that ran on more than one map, with the maps.
        late_orders: Orders that take effect when the test applies them.
        late_writes: Writes that take effect when the test applies them.
        holders: Sidecars that act as holder of the lease.
        wanted: Map that every coordinator selects, 0 for none.
        cuts: Pairs of sidecars that cannot connect.
        unreachable: Sidecars that cannot read the state of their engine.
    """

    def __init__(self, fences=True, size=3):
        self.size, self.fences = size, fences
        self.clock = manual_clock.create_manual_clock()
        self.store = memory_store.create_memory_store()
        self.step, self.mixed = 0, []
        self.maps = MAPS
        self.engines = [Engine(self, i, fences, 1) for i in range(size)]
        self.late_orders, self.late_writes, self.in_transit = [], [], []
        self.order_fault = self.write_fault = lambda index, what: None
        self.holders, self.paused, self.wanted = {0}, set(), 0
        self.cuts, self.unreachable = set(), set()
        self.ordered = {}
        self.links = collections.defaultdict(list)
        self.members = [None] * size
        self.births = [0] * size
        for index in range(size):
            self.boot(index)

    def boot(self, index):
        """Start a sidecar process with no state, and connect its links."""
        self.births[index] += 1
        store = LateStore(self, index)
        self.members[index] = group_member.create_group_member(
            group_member.Setup(
                "g",
                f"i{index}",
                self.find_group,
                EnginePort(self, index),
                store,
                link_router.create_link_router(),
                list,
                lambda: index in self.holders,
                self.clock,
                metrics.NullMetrics(),
                store.era,
            )
        )
        self.members[index].coordinator.select = lambda *_: self.wanted
        self.paused.discard(index)
        for other in range(self.size):
            if other != index:
                self.connect(index, other)

    def record_order(self, index, order):
        """Check that all orders of an epoch are given under one record."""
        record = self.members[index].stored.record
        if record.epoch == order.epoch:
            assert self.ordered.setdefault(order.epoch, record) == record

    def find_group(self):
        return model.GroupSpec(
            "g", "s", self.size, 3, self.maps, 1, 1, 10 * SECOND, 10
        )

    def connect(self, first, second):
        pair = frozenset((first, second))
        if pair in self.cuts or None in (
            self.members[first],
            self.members[second],
        ):
            return
        one = FakeLink(self, first, second, f"i{second}")
        two = FakeLink(self, second, first, f"i{first}")
        one.other, two.other = two, one
        for link in (one, two):
            self.links[pair].append(link)
            self.members[link.source].setup.router.on_open(link)

    def close(self, first, second):
        """Close all links between two sidecars at both ends."""
        for link in self.links.pop(frozenset((first, second)), []):
            link.is_open = False
            if self.members[link.source]:
                self.members[link.source].setup.router.on_close(link, "")

    def kill(self, index):
        """End a process; its peers do not detect it until the links close."""
        self.members[index] = None
        for pair, links in self.links.items():
            for link in links if index in pair else ():
                link.is_open = link.source != index
        self.in_transit = [m for m in self.in_transit if m[0].source != index]

    def replace_engine(self, index):
        self.engines[index] = Engine(self, index, self.fences, 0)
        self.late_orders = [
            late for late in self.late_orders if late[0] in self.engines
        ]

    def live(self):
        return [
            index
            for index, member in enumerate(self.members)
            if member and index not in self.paused
        ]

    def poll(self, index):
        self.clock.advance(SECOND)
        self.members[index].poll()

    def watch(self, index):
        self.members[index].watch_once(datetime.timedelta())

    def deliver(self, position, keep=False):
        link, message = self.in_transit[position]
        if not keep:
            del self.in_transit[position]
        if link.is_open and self.members[link.source]:
            self.members[link.source].setup.router.on_message(link, message)

    def deliver_all(self):
        waiting = []
        while self.in_transit:
            if self.in_transit[0][0].source in self.paused:
                waiting.append(self.in_transit.pop(0))
            else:
                self.deliver(0)
        self.in_transit = waiting

    def run_steps(self, count):
        """Run up to count steps; stop when a rank holds."""
        for _ in range(count):
            step = self.step + 1
            maps = [engine.map_at(step) for engine in self.engines]
            if 0 in maps:
                return
            if len(set(maps)) > 1:
                self.mixed.append((step, maps))
            for engine, version in zip(self.engines, maps, strict=True):
                engine.map_version = version
            self.step = step

    def round(self, steps=1):
        for index in self.live():
            self.watch(index)
        for index in self.live():
            self.poll(index)
        self.deliver_all()
        self.run_steps(steps)

    def record(self):
        stored = self.store.objects.get("groups/g")
        return record_lib.decode(stored.value).unwrap() if stored else None

    def heal(self):
        """End all faults and apply the late orders and writes."""
        self.store.plan = memory_store.no_faults
        self.order_fault = self.write_fault = lambda index, what: None
        self.holders, self.wanted = {0}, 0
        self.paused.clear()
        self.cuts.clear()
        for index in range(self.size):
            if self.members[index] is None:
                self.boot(index)
        for first in range(self.size):
            for second in range(first):
                self.close(first, second)
                self.connect(first, second)
        while self.late_orders:
            engine, order = self.late_orders.pop()
            engine.handle_order(order)
        while self.late_writes:
            self.late_writes.pop()()

    def assert_recovers(self):
        """Check that the group becomes stable and runs once faults end."""
        self.heal()
        for _ in range(60):
            self.round(steps=8)
            self.assert_one_map()
        assert self.record().phase is record_lib.Phase.STABLE
        before = self.step
        self.run_steps(5)
        assert self.step == before + 5
        assert {e.map_version for e in self.engines} == {
            self.record().map_version
        }

    def assert_one_map(self):
        assert self.mixed == []


def fail(kind):
    return returns.result.Failure(
        order_port.OrderFailure(kind, "", datetime.timedelta())
    )
