"""Runs several steering sidecars on one thread, in an order by a seed.

The sidecars are real except for their threads, links and lists of endpoints.
Other threads may run before a call of an engine returns.
"""

import contextlib
import datetime
import random
import types

import returns.result

from steering import rank_fleet
from steering import rank_model
from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core import link_loop
from verbenafall_core import messages
from verbenafall_core import metrics
from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_sidecar.steering import leadership as leadership_lib
from verbenafall_sidecar.steering import ports as ports_lib
from verbenafall_sidecar.steering import rank_agent
from verbenafall_sidecar.steering import steering as steering_lib
from verbenafall_sidecar.steering import steering_settings
from verbenafall_standins.fakes import memory_store

SERVICE = "experts"
LINK_PORT = 7340
MILLISECOND = datetime.timedelta(milliseconds=1)
TICK = 5 * MILLISECOND
MAX_MESSAGE_DELAY = 15 * MILLISECOND
MAX_LIST_DELAY = 60 * MILLISECOND
CHECK_TICKS = 20
MAX_CALL_TIME = 30 * MILLISECOND
COUNTS_INTERVAL_TICKS = 4
PASS_TICKS = 16


class SteppedLeader:
    """Replaces the thread of a group leader by calls of run_once()."""

    def __init__(self, leader):
        self.leader = leader
        self.searches = 0
        self.search = leader.search
        leader.search = self.count_search

    def count_search(self, *arguments):
        self.searches += 1
        return self.search(*arguments)

    def run_once(self, now):
        leader = self.leader
        while not leader.inputs.empty():
            item = leader.inputs.get()
            if item is not None:
                leader.handle_input(item, now)
        if not leader.stopped:
            leader.run_cycle(now)


class SteppedLeadership(leadership_lib.Leadership):
    """A leadership without threads, which reads the list of endpoints once."""

    def __init__(self, claim, dependencies):
        super().__init__(claim, dependencies)
        self.followers = []
        self.term_task = types.SimpleNamespace(stop=lambda limit: None)
        self.stepped = SteppedLeader(self.leader)

    def start(self):
        links = self.dependencies.links
        fleet = links.fleet
        fleet.post(
            links,
            lambda: self.on_batch(fleet.listed, True, False),
            MAX_LIST_DELAY,
        )


class Link:
    """One end of a link; each end delivers to the other one in order."""

    def __init__(self, owner, address, outgoing):
        self.owner = owner
        self.address = address
        self.outgoing = outgoing
        self.peer = messages.Hello(
            messages.PROTOCOL_VERSION, "", "sidecar", "", ""
        )
        self.closed = False
        self.other_end = None

    def send(self, message):
        if self.closed:
            return False
        other = self.other_end
        self.owner.fleet.post(self, lambda: other.receive(message))
        return True

    def receive(self, message):
        if not self.closed:
            self.owner.router.on_message(self, message)

    def close(self):
        """Close this end now and the other end after its messages."""
        if not self.closed:
            self.owner.fleet.post(self, self.other_end.drop)
            self.drop()

    def drop(self):
        if not self.closed:
            self.closed = True
            self.owner.router.on_close(self, "closed")


class Links:
    """The links of one sidecar."""

    def __init__(self, fleet, host, router):
        self.fleet = fleet
        self.host = host
        self.router = router
        self.targets = {}

    def set_targets(self, wanted):
        for address in list(self.targets):
            if address not in wanted:
                link = self.targets.pop(address)
                if link is not None:
                    self.fleet.post(self, link.close)
        for address in sorted(wanted - set(self.targets)):
            self.targets[address] = None
            self.fleet.post(
                address,
                lambda address=address: self.open(address),
                self.fleet.max_connect_delay,
            )

    def open(self, address):
        if self.targets.get(address, self) is not None:
            return
        target = self.fleet.sidecars[address.host].links
        link = Link(self, address, True)
        accepted = Link(target, addresses.Address(self.host, 0), False)
        link.other_end, accepted.other_end = accepted, link
        self.targets[address] = link
        target.router.on_open(accepted)
        self.router.on_open(link)

    def batch_sends(self):
        return contextlib.nullcontext()


class EnginePort(rank_fleet.ModelPort):
    """The port to an engine that loads the experts of the orders' maps."""

    def __init__(self, fleet, number):
        super().__init__(fleet.group, number)
        self.fleet = fleet
        self.number = number

    def read_report(self):
        self.fleet.run_others()
        return super().read_report()

    def read_experts(self):
        self.fleet.run_others()
        placement = self.fleet.placements.get(self.rank.map_version)
        if placement is not None:
            return returns.result.Success(
                tuple(ranks[self.number] for ranks in placement)
            )
        return super().read_experts()

    def send_order(self, order, limit):
        self.fleet.run_others()
        if order.placement:
            self.fleet.placements[order.version] = order.placement
        answer = super().send_order(order, limit)
        self.fleet.run_others()
        return answer


class Fleet:
    """The sidecars of a rank group, by host.

    Attributes:
        placements: The maps that were ordered, by version.
        events: Messages and other events with the time when they are due.
        running: Keys of the threads that wait for a call to return.
        shift: Added to the numbers of the experts in demand.
        max_connect_delay: How long a link may take to open.
    """

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.clock = rank_fleet.ManualClock()
        self.group = rank_model.ModelGroup(rank_fleet.SIZE)
        self.ports = [
            EnginePort(self, number) for number in range(rank_fleet.SIZE)
        ]
        self.placements = {}
        self.events = []
        self.last_due = {}
        self.posted = 0
        self.running = set()
        self.ticks = 0
        self.shift = 0
        self.max_connect_delay = MAX_MESSAGE_DELAY
        self.hosts = [f"10.0.0.{n + 1}" for n in range(rank_fleet.SIZE)]
        self.listed = collection.Batch(
            1,
            tuple(
                collection.Item(
                    host,
                    1,
                    endpoints.Endpoint(
                        host,
                        SERVICE,
                        addresses.Address(host, 8000),
                        "dc",
                        1,
                        False,
                    ),
                )
                for host in self.hosts
            ),
            (),
        )
        self.store = memory_store.create_memory_store()
        self.agents = []
        self.sidecars = {}

    def start(self):
        for host in self.hosts:
            sidecar = self.create_sidecar(host)
            self.sidecars[host] = sidecar
            self.agents.append(sidecar.agent)

    def create_sidecar(self, host):
        ports = ports_lib.SidecarPorts(
            types.SimpleNamespace(read_all=self.read_services),
            None,
            self.store,
            None,
            lambda address: self.ports[self.hosts.index(address.host)],
            store_era.create_store_era(),
        )
        settings = steering_settings.SteeringSettings(
            host,
            "dc",
            SERVICE,
            addresses.Address(host, 8000),
            addresses.Address(host, LINK_PORT),
            None,
            "",
            "",
            "INFO",
            datetime.timedelta(),
            1e8,
        )
        sidecar = steering_lib.create_steering(
            settings, ports, self.clock, metrics.NullMetrics(), self.generator
        )
        sidecar.last_check = 0
        sidecar.check_phase = self.generator.randrange(CHECK_TICKS)
        sidecar.agent.report_due = (
            self.clock.time
            + self.generator.random() * rank_agent.REPORT_INTERVAL
        )
        return sidecar

    def read_services(self):
        engine = types.SimpleNamespace(layout=rank_fleet.LAYOUT)
        service = types.SimpleNamespace(engine=engine)
        value = types.SimpleNamespace(services={SERVICE: service})
        return returns.result.Success(
            types.SimpleNamespace(items=[types.SimpleNamespace(value=value)])
        )

    # Events and threads.

    def post(self, channel, event, max_delay=MAX_MESSAGE_DELAY):
        """Run an event later, after the earlier ones of its channel."""
        due = max(
            self.clock.time + self.generator.random() * max_delay,
            self.last_due.get(channel, datetime.timedelta()),
        )
        self.last_due[channel] = due
        self.posted += 1
        self.events.append((due, self.posted, event))

    def run_due_events(self):
        while True:
            due = [item for item in self.events if item[0] <= self.clock.time]
            if not due:
                return
            item = min(due, key=lambda item: item[:2])
            self.events.remove(item)
            item[2]()

    def run_others(self):
        """Let time pass during a call; other threads may run."""
        self.clock.time += self.generator.random() * MAX_CALL_TIME
        self.run_due_events()
        if self.generator.random() < 0.5:
            self.run_threads()

    def run_threads(self):
        """Run all threads once that do not wait for a call to return."""
        threads = [
            *(
                (id(agent), agent.run_once)
                for agent in sorted(
                    self.agents, key=lambda agent: agent.port.number
                )
                if not agent.stopped
            ),
            *(
                (id(sidecar), lambda sidecar=sidecar: self.run_sidecar(sidecar))
                for sidecar in self.sidecars.values()
            ),
        ]
        self.generator.shuffle(threads)
        for key, run in threads:
            if key not in self.running:
                self.running.add(key)
                try:
                    run()
                finally:
                    self.running.remove(key)

    def run_sidecar(self, sidecar):
        """Run the periodic check when due, and the leader's thread."""
        now = self.clock.monotonic()
        due = (self.ticks + sidecar.check_phase) // CHECK_TICKS
        if due != sidecar.last_check:
            sidecar.last_check = due
            sidecar.check()
        if sidecar.leadership is not None:
            sidecar.leadership.stepped.run_once(now)

    def step(self):
        """Run all threads and due events once, and passes and counts."""
        self.ticks += 1
        self.clock.time += TICK
        self.run_due_events()
        self.run_threads()
        if self.ticks % COUNTS_INTERVAL_TICKS == 0:
            for port in self.ports:
                for expert, count in ((1, 400), (5, 100), (7, 50)):
                    port.counts[(expert + self.shift) % rank_fleet.EXPERTS] += (
                        count
                    )
        if self.ticks % PASS_TICKS == 0:
            self.group.start_pass()
            assert len(self.group.maps()) == 1, "a pass started with two maps"

    # Leadership.

    def leaders(self):
        return [
            sidecar
            for sidecar in self.sidecars.values()
            if sidecar.leadership is not None
        ]

    def claim(self, number):
        """Claim the term for a sidecar, as if its leader had failed."""
        sidecar = self.sidecars[self.hosts[number]]
        if sidecar.leadership is None and sidecar.agent.report is not None:
            sidecar.claim_term(sidecar.agent.report)

    def map_term(self):
        """Return the term of the map that all ranks use, 0 for the first."""
        versions = [rank.map_version for rank in self.group.ranks]
        number = revisions.number_of(min(versions))
        return revisions.create_revision(
            revisions.era_of(min(versions)),
            number // pass_switch.VERSIONS_PER_TERM,
        )


def start_agent(agent, fleet):
    fleet.agents.append(agent)


def stop_agent(agent, _limit):
    agent.stopped = True


def create_fleet(seed, monkeypatch):
    """Create a fleet; replace the links and threads of its sidecars."""
    fleet = Fleet(seed)
    monkeypatch.setattr(
        link_loop,
        "create_link_loop",
        lambda hello, _heartbeat, router, _clock: Links(
            fleet, hello.instance, router
        ),
    )
    monkeypatch.setattr(leadership_lib, "create_leadership", SteppedLeadership)
    monkeypatch.setattr(
        rank_agent.RankAgent, "start", lambda agent: start_agent(agent, fleet)
    )
    monkeypatch.setattr(rank_agent.RankAgent, "stop", stop_agent)
    fleet.start()
    return fleet


def describe(fleet):
    """Return the leaders with the map versions and experts of their ranks."""
    return [
        (
            sidecar.settings.name,
            sidecar.leadership.term,
            sidecar.leadership.leader.switch.phase,
            {
                rank: (member.view.report.map_version, member.experts)
                for rank, member in sidecar.leadership.leader.members.items()
            },
        )
        for sidecar in fleet.leaders()
    ]
