"""Stateful model of processes, operators, a store and links with faults.

Guards against processes that lose, revert or miss an accepted bundle when
store responses are lost, links are cut, and processes pause or restart.
"""

import datetime
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import returns.result

import bundle_helpers
from verbenafall_core import addresses
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core.bundles import records
from verbenafall_core.bundles import roll
from verbenafall_core.bundles import service as service_lib
from verbenafall_core.instance_list import port as instance_port
from verbenafall_core.object_store import port
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

SECOND = datetime.timedelta(seconds=1)
CONTACT_TIMEOUT = 5 * SECOND
NAMES = ("p0", "p1", "p2", "p3")
ADDRESS = addresses.Address("127.0.0.1", 1)
HEAL_TICKS = 12

processes = strategies.sampled_from(NAMES)
operators = strategies.sampled_from(("operator-a", "operator-b"))
faults = strategies.sampled_from(
    [memory_store.Fault.LOST_ANSWER, memory_store.Fault.LOST_CALL]
)


class ProcessStore:
    """The store as seen by one process, which may be cut off from it."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def read(self, name):
        if self.is_cut():
            return fail_as_cut()
        result = self.fleet.store.read(name)
        if name == records.HEAD_NAME:
            self.fleet.record_head_read(self.name)
        return result

    def create(self, name, value):
        if self.is_cut():
            return fail_as_cut()
        return self.fleet.store.create(name, value)

    def update(self, name, value, version):
        if self.is_cut():
            return fail_as_cut()
        return self.fleet.store.update(name, value, version)

    def is_cut(self):
        return self.name in self.fleet.store_cut or self.fleet.outage


def fail_as_cut():
    failure = port.StoreFailure(port.FailureKind.UNAVAILABLE, "cut")
    return returns.result.Failure(failure)


class ModelLink:
    """One end of a link."""

    def __init__(self, fleet, owner, peer):
        self.fleet = fleet
        self.owner = owner
        self.peer = messages.Hello(1, peer, "sidecar", "dc-1", "chat")

    def send(self, message):
        self.fleet.queue.append((self, message))
        return True


class Process:
    """One process from its start to its next restart."""

    def __init__(self, fleet, name):
        self.service = service_lib.create_bundle_service(
            ProcessStore(fleet, name),
            bundle_helpers.PUBLIC_KEYS,
            fleet.clock,
            generator=random.Random(name),
        )
        self.router = link_router.create_link_router()
        self.service.attach(self.router)
        self.links = {}
        self.started_at = fleet.clock.monotonic()
        self.store_read_at = None
        self.received_at = {}
        self.reports = []  # (time received, accepted version)


class OperatorFleet:
    """The fleet as seen by operators: without isolated processes."""

    def __init__(self, fleet):
        self.fleet = fleet

    def notify(self):
        for name in self.fleet.running():
            self.fleet.processes[name].service.poll_now()

    def read(self):
        instances = tuple(
            instance_port.Instance(
                name,
                "sidecar",
                "dc-1",
                "chat",
                ADDRESS,
                instance_port.InstanceState.LIVE,
            )
            for name in sorted(self.fleet.listed)
        )
        statuses = tuple(
            self.status(name)
            for name in self.fleet.running()
            if name not in self.fleet.isolated
        )
        return roll.FleetView(instances, statuses, ())

    def status(self, name):
        service = self.fleet.processes[name].service
        in_force, pending, _ = service.heartbeat_fields()
        return messages.StatusReply(
            0,
            name,
            "sidecar",
            "dc-1",
            "chat",
            in_force,
            pending,
            service.rejected(),
            True,
            "",
            False,
            (),
        )


class FleetMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = manual_clock.create_manual_clock()
        self.store = memory_store.create_memory_store()
        self.outage = False
        self.store_cut = set()
        self.isolated = {}
        self.links_cut = set()
        self.paused = {}
        self.listed = set(NAMES)
        self.queue = []
        self.fault_plan = []
        self.rollouts = {}
        self.genuine = {}
        self.highest = dict.fromkeys(NAMES, 0)
        self.processes = {}
        for name in NAMES:
            self.processes[name] = Process(self, name)
        self.sync_links()

    # Simulated environment.

    def running(self):
        return [name for name in NAMES if name not in self.paused]

    def connected(self, one, other):
        return (
            one != other
            and frozenset((one, other)) not in self.links_cut
            and not {one, other} & (set(self.isolated) | set(self.paused))
        )

    def sync_links(self):
        """Open and close links to match the simulated network."""
        for name in self.running():
            process = self.processes[name]
            for peer in NAMES:
                linked = process.links.get(peer)
                usable = linked is not None and linked.other_end is not None
                usable = usable and self.connected(name, peer)
                if linked is not None and not usable:
                    del process.links[peer]
                    process.router.on_close(linked, "cut")
        for name in self.running():
            for peer in self.running():
                if name < peer and self.connected(name, peer):
                    self.open_link(name, peer)

    def open_link(self, name, peer):
        one, other = self.processes[name], self.processes[peer]
        if peer in one.links and name in other.links:
            return
        link_ends = [ModelLink(self, name, peer), ModelLink(self, peer, name)]
        link_ends[0].other_end, link_ends[1].other_end = (
            link_ends[1],
            link_ends[0],
        )
        for process, link_end in zip((one, other), link_ends, strict=True):
            process.links[link_end.peer.instance] = link_end
            process.router.on_open(link_end)

    def deliver(self):
        """Deliver all messages, including those sent during delivery."""
        while self.queue:
            link_end, message = self.queue.pop(0)
            receiver = link_end.peer.instance
            if not self.connected(link_end.owner, receiver):
                continue
            process = self.processes[receiver]
            other_end = link_end.other_end
            if (
                other_end is None
                or process.links.get(link_end.owner) is not other_end
            ):
                continue
            if isinstance(message, messages.Heartbeat):
                self.record_heartbeat(process, link_end.owner, message)
            process.router.on_message(other_end, message)
            process.service.process_pushes()

    def record_heartbeat(self, process, sender, heartbeat):
        now = self.clock.monotonic()
        process.received_at[sender] = now
        if heartbeat.confirmed:
            process.reports.append((now, heartbeat.in_force))

    def record_head_read(self, name):
        process = self.processes[name]
        now = self.clock.monotonic()
        process.store_read_at = now
        process.reports.append((now, self.head().accepted))

    def head(self):
        stored = self.store.objects.get(records.HEAD_NAME)
        if stored is None:
            return records.Head(0, 0)
        return records.decode_head(stored.value).unwrap()

    def tick(self):
        self.clock.advance(SECOND)
        self.sync_links()
        for name in self.running():
            process = self.processes[name]
            heartbeat = messages.Heartbeat(
                *process.service.heartbeat_fields(), False
            )
            for link_end in list(process.links.values()):
                link_end.send(heartbeat)
        self.deliver()
        for name in self.running():
            self.processes[name].service.poll_store()
            self.deliver()
            self.processes[name].service.process_pushes()
        now = self.clock.monotonic()
        for name, since in {**self.isolated, **self.paused}.items():
            if now - since > 3 * SECOND:
                self.listed.discard(name)
        self.listed |= set(self.running()) - set(self.isolated)
        self.check()

    # Rules.

    @stateful.initialize()
    def accept_first_version(self):
        self.begin_rollout("operator-a", 1)
        self.run_rollouts(8)
        assert self.head() == records.Head(1, 0)

    @stateful.rule(name=processes, prepared=strategies.booleans())
    def accept_while_isolated(self, name, prepared):
        """Roll out while a process is isolated before or after preparing."""
        if not prepared:
            self.isolate(name)
        self.begin_rollout("operator-a", 1)
        self.run_rollouts(2)
        self.isolate(name)
        self.run_rollouts(8)

    @stateful.rule(seconds=strategies.integers(1, 7))
    def pass_time(self, seconds):
        for _ in range(seconds):
            self.tick()

    @stateful.rule(who=operators, step=strategies.integers(1, 2))
    def begin_rollout(self, who, step):
        head = self.head()
        version = max(head) + step
        text = bundle_helpers.text_of(version, region=who)
        signed = bundle_helpers.signed(version, text=text)
        self.genuine.setdefault(version, set()).add(text)
        self.start_rollout(who, signed)

    @stateful.rule()
    def begin_forged_rollout(self):
        version = max(self.head()) + 1
        forged = bundle_helpers.signed(version, bundle_helpers.OTHER_KEY)
        self.start_rollout("operator-b", forged)

    def start_rollout(self, who, signed):
        runner = roll.create_rollout(
            self.store,
            OperatorFleet(self),
            self.clock,
            lambda _step: None,
            lambda _line: None,
            signed,
            60 * SECOND,
        )
        self.rollouts[who] = [runner, False]

    @stateful.precondition(lambda self: self.rollouts)
    @stateful.rule(who=operators, steps=strategies.integers(1, 3))
    def make_rollout_steps(self, who, steps):
        for _ in range(steps):
            if who not in self.rollouts:
                return
            runner, stored = self.rollouts[who]
            outcome = runner.advance() if stored else runner.put_text()
            if isinstance(outcome, roll.RolloutResult):
                self.check_end(runner, outcome)
                del self.rollouts[who]
            elif outcome:
                self.rollouts[who][1] = True

    @stateful.rule(seconds=strategies.integers(3, 8))
    def run_rollouts(self, seconds):
        """Advance the rollouts and the clock together."""
        for _ in range(seconds):
            for who in list(self.rollouts):
                self.make_rollout_steps(who, 1)
            self.tick()

    def check_end(self, runner, outcome):
        if outcome.status is roll.RolloutStatus.ACCEPTED:
            assert self.head().accepted >= runner.version

    @stateful.rule(fault=faults, skip=strategies.integers(0, 3))
    def lose_operator_call(self, fault, skip):
        seen = []

        def plan(call):
            if call.operation in ("create", "update"):
                seen.append(call)
                if len(seen) == skip + 1:
                    return fault
            return memory_store.Fault.DOWN if self.outage else None

        self.store.plan = plan

    @stateful.rule()
    def toggle_outage(self):
        self.outage = not self.outage
        fault = memory_store.Fault.DOWN if self.outage else None
        self.store.plan = lambda _call: fault

    @stateful.rule(name=processes)
    def toggle_store_cut(self, name):
        self.store_cut ^= {name}

    @stateful.rule(one=processes, other=processes)
    def toggle_link_cut(self, one, other):
        if one != other:
            self.links_cut ^= {frozenset((one, other))}
            self.sync_links()

    @stateful.rule(name=processes)
    def isolate(self, name):
        self.isolated.setdefault(name, self.clock.monotonic())
        self.store_cut.add(name)
        self.sync_links()

    @stateful.rule(name=processes, with_store=strategies.booleans())
    def rejoin(self, name, with_store):
        self.isolated.pop(name, None)
        if with_store:
            self.store_cut.discard(name)
        self.sync_links()

    @stateful.rule(name=processes)
    def pause(self, name):
        self.paused.setdefault(name, self.clock.monotonic())
        self.sync_links()

    @stateful.rule(name=processes)
    def resume(self, name):
        if self.paused.pop(name, None) is not None:
            self.check()
            self.sync_links()

    @stateful.rule(name=processes)
    def restart(self, name):
        self.paused.pop(name, None)
        for link_end in self.processes[name].links.values():
            link_end.other_end.other_end = None
        self.processes[name] = Process(self, name)
        # An isolated process may put a pending version in force that is then
        # replaced and never accepted. After a restart, only accepted versions
        # are a lower bound.
        self.highest[name] = min(self.highest[name], self.head().accepted)
        self.sync_links()

    @stateful.rule(name=processes, peer=processes)
    def restart_with_one_peer(self, name, peer):
        """Restart a process that can reach only one peer."""
        if name == peer:
            return
        self.resume(peer)
        for one in (name, peer):
            self.isolated.pop(one, None)
            self.store_cut.add(one)
            for other in NAMES:
                if other not in (name, peer):
                    self.links_cut.add(frozenset((one, other)))
        self.links_cut.discard(frozenset((name, peer)))
        self.restart(name)
        for _ in range(3):
            self.tick()

    @stateful.rule(name=processes)
    def push_forged_text(self, name):
        process = self.processes[name]
        for link_end in list(process.links.values())[:1]:
            for version in process.service.wanted:
                forged = bundle_helpers.signed(
                    version, bundle_helpers.OTHER_KEY
                )
                push = messages.BundlePush(
                    version,
                    True,
                    True,
                    records.compress(forged.text),
                    forged.signature,
                )
                process.router.on_message(link_end, push)

    @stateful.rule(
        by_store=strategies.booleans(), by_links=strategies.booleans()
    )
    def heal(self, by_store, by_links):
        """Repair the store or the links; check that all processes catch up."""
        if not by_store and not by_links:
            return
        for name in NAMES:
            self.resume(name)
        if by_links:
            self.isolated.clear()
            self.links_cut.clear()
        if by_store:
            self.outage = False
            self.store.plan = memory_store.no_faults
            self.store_cut.clear()
        accepted = self.reachable_version(by_store)
        for _ in range(HEAL_TICKS):
            self.tick()
        for name in NAMES:
            service = self.processes[name].service
            in_force = service.heartbeat_fields()[0]
            assert in_force >= accepted, (name, in_force, accepted)
            assert not accepted or service.accepts_new_work(), name

    def reachable_version(self, by_store):
        """Return the lowest version that all processes must reach."""
        if by_store:
            return self.head().accepted
        return max(
            min(p.service.state.in_force, p.service.state.accepted)
            for p in self.processes.values()
        )

    def teardown(self):
        self.heal(True, True)

    # Invariants.

    def check(self):
        for name in self.running():
            process = self.processes[name]
            self.check_version(name, process)
            self.check_new_work(name, process)

    def check_version(self, name, process):
        bundle = process.service.current()
        if bundle is None:
            return
        assert bundle.version >= self.highest[name], name
        self.highest[name] = bundle.version
        text = bundle_helpers.text_of(bundle.version, region=bundle.region)
        assert text in self.genuine[bundle.version]
        stored = self.store.objects[records.bundle_name(bundle.version)]
        decoded = records.decode_bundle(bundle.version, stored.value)
        assert decoded.unwrap().text == text

    def check_new_work(self, name, process):
        if not process.service.accepts_new_work():
            return
        now = self.clock.monotonic()
        recent = sum(
            now - at <= CONTACT_TIMEOUT for at in process.received_at.values()
        )
        by_store = process.store_read_at is not None and (
            now - process.store_read_at <= CONTACT_TIMEOUT
        )
        by_links = recent * 2 > len(process.received_at)
        assert by_store or by_links, name
        in_force = process.service.heartbeat_fields()[0]
        for at, version in process.reports:
            assert version <= in_force or now - at <= CONTACT_TIMEOUT, name


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    # No shrinking, as it takes minutes; the failing steps are printed anyway.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)


class TestFleet(FleetMachine.TestCase):
    """Runs the state machine as a test."""
