"""State machine of engines, a store that is restored, and two gateways.

Checks that no gateway uses an endpoint again that it has seen leave, and that
all gateways use the engines that are ready once nothing changes any more.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import revisions
from verbenafall_gateway.forwarding import endpoint_directory

NAMES = ("a", "b", "c")
REPORT_INTERVAL = 1.2
LAPSE = 3 * REPORT_INTERVAL
TICK = 0.4
QUIET = LAPSE + endpoint_directory.COPIED_ENTRY_LAPSE_SECONDS + 4.0


class Engine:
    """An engine, which reports its state to the store while it runs.

    Attributes:
        ended: Starts that are draining or over.
    """

    def __init__(self, name):
        self.name = name
        self.start = 0
        self.state = "stopped"
        self.frozen = False
        self.reported_at = 0.0
        self.ended = set()

    def value(self):
        return endpoints.Endpoint(
            *(
                self.name,
                "s",
                addresses.Address(f"10.0.0.{ord(self.name)}", 80),
                "dc",
                4,
            ),
            self.state == "draining",
            self.start,
        )


class Store:
    """The entries, their changes, and a copy after each change."""

    def __init__(self):
        self.era = 1
        self.number = 0
        self.entries = {}
        self.copies = [(0, {})]

    def write(self, name, value):
        """Write an entry, or remove it if there is no value."""
        known = self.entries.get(name)
        if (known.value if known else None) == value:
            return
        self.number += 1
        version = revisions.create_revision(self.era, self.number)
        self.entries[name] = collection.Item(name, version, value)
        self.copies.append((self.number, dict(self.entries)))

    def restore(self, age):
        """Return to the copy before some number of changes."""
        del self.copies[max(1, len(self.copies) - age) :]
        self.number, entries = self.copies[-1]
        self.era += 1
        self.entries = {
            name: item._replace(
                version=revisions.create_revision(
                    self.era, revisions.number_of(item.version)
                )
            )
            for name, item in entries.items()
        }

    def revision(self):
        return revisions.create_revision(self.era, self.number)


class Gateway:
    """A directory that follows the store and hears of departures from a peer.

    Attributes:
        seen_ended: Starts of engines that it has seen drain or end.
        inbox: Departures that the peer has reported and that are on the way.
    """

    def __init__(self):
        self.directory = endpoint_directory.create_endpoint_directory()
        self.revision = None
        self.online = True
        self.after_outage = False
        self.seen_ended = set()
        self.inbox = []

    def poll(self, store, engines, now):
        if not self.online:
            return
        complete = self.revision is None or (
            revisions.era_of(self.revision) < store.era
        )
        items = [
            item
            for item in store.entries.values()
            if (item.value if complete else item.version > self.revision)
        ]
        self.record_ended(items, engines, now)
        self.revision = store.revision()
        batch = collection.Batch(self.revision, tuple(items), ())
        self.directory.apply(batch, complete, self.after_outage, now)
        self.after_outage = False
        self.directory.expire(now)

    def record_ended(self, items, engines, now):
        """Record the starts that are over and of which the items show it.

        A removal does not count right after an outage, as the entries of
        engines that run may have lapsed.
        """
        ended_at = self.directory.outage_ended_at
        in_grace = self.after_outage or (
            ended_at is not None
            and now - ended_at < endpoint_directory.REGISTRATION_GRACE_SECONDS
        )
        for item in items:
            if item.value:
                if item.value.draining:
                    self.seen_ended.add((item.name, item.value.started_at))
                continue
            listed = self.directory.listed.get(item.name)
            if listed is None or in_grace:
                continue
            if listed.value.started_at in engines[item.name].ended:
                self.seen_ended.add((item.name, listed.value.started_at))


class RestoredStoreMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.store = Store()
        self.engines = {name: Engine(name) for name in NAMES}
        self.gateways = [Gateway(), Gateway()]
        first, second = self.gateways
        first.directory.leaving_changed = second.inbox.append
        second.directory.leaving_changed = first.inbox.append
        for engine in self.engines.values():
            self.start_engine(engine)

    def start_engine(self, engine):
        engine.start += 1
        engine.state = "ready"
        self.report(engine)

    def report(self, engine):
        engine.reported_at = self.now
        self.store.write(engine.name, engine.value())

    def run_engines(self):
        """Make the reports that are due; remove the entries of the silent."""
        for engine in self.engines.values():
            silent = self.now - engine.reported_at
            reports = engine.state != "stopped" and not engine.frozen
            if reports and silent >= REPORT_INTERVAL:
                self.report(engine)
            elif silent >= LAPSE:
                self.store.write(engine.name, None)

    @stateful.rule(ticks=strategies.integers(1, 12))
    def pass_time(self, ticks):
        for _ in range(ticks):
            self.now += TICK
            self.run_engines()
            for gateway in self.gateways:
                gateway.poll(self.store, self.engines, self.now)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def drain(self, name):
        engine = self.engines[name]
        if engine.state == "ready":
            engine.state = "draining"
            engine.ended.add(engine.start)
            if not engine.frozen:
                self.report(engine)

    @stateful.rule(
        name=strategies.sampled_from(NAMES), removes=strategies.booleans()
    )
    def stop(self, name, removes):
        """Stop an engine; not all remove their entry."""
        engine = self.engines[name]
        engine.state = "stopped"
        engine.frozen = False
        engine.ended.add(engine.start)
        if removes:
            self.store.write(name, None)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def start_again(self, name):
        engine = self.engines[name]
        if engine.state == "stopped":
            self.start_engine(engine)

    @stateful.rule(
        name=strategies.sampled_from(NAMES), frozen=strategies.booleans()
    )
    def freeze(self, name, frozen):
        self.engines[name].frozen = frozen

    @stateful.rule(age=strategies.integers(0, 8))
    def restore(self, age):
        self.store.restore(age)

    @stateful.rule(
        number=strategies.integers(0, 1), online=strategies.booleans()
    )
    def connect_gateway(self, number, online):
        gateway = self.gateways[number]
        if gateway.online and not online:
            gateway.directory.mark_store_lost()
            gateway.after_outage = True
        gateway.online = online

    @stateful.rule(number=strategies.integers(0, 1))
    def restart_gateway(self, number):
        peer = self.gateways[1 - number]
        started = Gateway()
        started.directory.leaving_changed = peer.inbox.append
        peer.directory.leaving_changed = started.inbox.append
        self.gateways[number] = started

    @stateful.rule(number=strategies.integers(0, 1), lost=strategies.booleans())
    def deliver_reports(self, number, lost):
        gateway = self.gateways[number]
        if not lost:
            for leaving in gateway.inbox:
                gateway.directory.merge_leaving(leaving)
        gateway.inbox.clear()

    @stateful.rule(number=strategies.integers(0, 1))
    def open_link(self, number):
        leaving = self.gateways[1 - number].directory.leaving_versions()
        self.gateways[number].directory.merge_leaving(leaving)

    @stateful.invariant()
    def departed_endpoints_are_not_used(self):
        for gateway in self.gateways:
            for endpoint in gateway.directory.usable("s"):
                start = (endpoint.id, endpoint.started_at)
                assert start not in gateway.seen_ended

    def teardown(self):
        """Let nothing change any more; all ready engines must be used."""
        for gateway in self.gateways:
            gateway.online = True
        for engine in self.engines.values():
            engine.frozen = False
        self.pass_time(int(QUIET / TICK))
        ready = {
            (engine.name, engine.start)
            for engine in self.engines.values()
            if engine.state == "ready"
        }
        for gateway in self.gateways:
            used = {
                (endpoint.id, endpoint.started_at)
                for endpoint in gateway.directory.usable("s")
            }
            assert used == ready
        super().teardown()


RestoredStoreMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25
)
TestStoreRestoredMachine = RestoredStoreMachine.TestCase
