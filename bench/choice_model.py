"""Queueing model of engines behind gateways, with old reports and faults.

It is driven by the gateway's real endpoint view, subsetting and routing. Load
reports reach the gateways after a lag.
"""

import array
import collections
from collections.abc import Callable
import contextlib
import datetime
import heapq
import itertools
import random
from typing import Any
from typing import Final
from typing import NamedTuple
from unittest import mock

from verbenafall_core import addresses
from verbenafall_core import messages
from verbenafall_core.instance_list import port
from verbenafall_gateway.choice import endpoint_view
from verbenafall_gateway.choice import rendezvous
from verbenafall_gateway.choice import routing
from verbenafall_gateway.links import subsetting
from verbenafall_sidecar.delivery import dispatcher
from verbenafall_sidecar.group import load_reports
from verbenafall_standins.fakes import manual_clock

SEED: Final = 20260102
SLOTS: Final = 4
# Seconds of service: the prefill is short when the prefix is cached.
PREFILL: Final = 0.3
CACHED_PREFILL: Final = 0.03
DECODE: Final = 0.7
CACHED_PREFIXES: Final = 12
PREFIXES_PER_ENGINE: Final = 8
REPORT_INTERVAL: Final = 0.1
SEND_TIME_TICKS: Final = round(
    load_reports.SEND_TIME_INTERVAL.total_seconds() / REPORT_INTERVAL
)
LINK_TIMEOUT: Final = 3.0
LIST_LAG: Final = 2.0
EVENT_LAG: Final = 1.0
EVENT_LOSS: Final = 0.2
SLOWDOWN: Final = 3.0
STALL: Final = 5.0
SERVICE: Final = "llm"
POLICIES: Final = (
    "chosen",
    "random",
    "round_robin",
    "least_reported",
    "two_choices_reported",
    "cache_events",
)


class Case(NamedTuple):
    """A fleet and what happens to it.

    Attributes:
        load: Offered load as a part of the capacity without cache hits.
        seconds: Length of the run; the fault comes at a third of it.
    """

    engines: int
    gateways: int
    data_centres: int
    lag: float
    fault: str
    load: float
    seconds: float


class Figures(NamedTuple):
    """What a policy did in a case."""

    p95_queueing: float
    worst_over_mean_load: float
    cached_share: float
    same_engine_share: float
    refused: float


class Request:
    """A request on its way."""

    def __init__(self, arrived: float, prefix: int) -> None:
        """Create a request that no engine has seen."""
        self.arrived = arrived
        self.prefix = prefix
        self.tried: frozenset[str] = frozenset()
        self.started = 0.0
        self.held = False


class Engine:
    """An engine with its queue and prefix cache."""

    def __init__(self, name: str, data_centre: str, number: int) -> None:
        """Create an idle engine."""
        self.name = name
        self.data_centre = data_centre
        self.address = addresses.Address("127.0.0.1", number)
        self.running: dict[Request, Gateway] = {}
        self.waiting: collections.deque[tuple[Request, Gateway]] = (
            collections.deque()
        )
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.slowdown = 1.0
        self.stall: tuple[float, float] = (0.0, 0.0)
        # Mean as the sidecar keeps it; only the model with admission moves it.
        self.service_time = dispatcher.INITIAL_SERVICE_TIME
        self.leaving = False
        self.dead = False
        self.load_sum = 0

    @property
    def load(self) -> int:
        """Return the requests here."""
        return len(self.running) + len(self.waiting)


class FakeLink:
    """A link as the endpoint view sees it."""

    def __init__(
        self, peer: messages.Hello | None, address: addresses.Address
    ) -> None:
        """Create a link to a peer."""
        self.peer = peer
        self.address = address

    def send(self, _message: messages.Message) -> bool:
        """Accept a message."""
        return True


class Gateway:
    """A gateway with its own view; nothing is shared between gateways."""

    def __init__(
        self, name: str, data_centre: str, clock: manual_clock.ManualClock
    ) -> None:
        """Create a gateway without links."""
        self.name = name
        self.data_centre = data_centre
        self.view = endpoint_view.create_endpoint_view(clock)
        self.known: dict[addresses.Address, routing.EndpointState] = {}
        self.links: dict[addresses.Address, FakeLink] = {}
        self.turn = itertools.count()
        self.reported: dict[str, int] = {}
        self.holders: dict[int, set[str]] = collections.defaultdict(set)


class ScoreTable:
    """Rendezvous scores that were computed before, in little memory."""

    def __init__(self, engines: list[Engine]) -> None:
        """Create an empty table."""
        self.index = {e.name: n for n, e in enumerate(engines)}
        self.rows: dict[str, array.array[int]] = {}
        self.compute = rendezvous.score

    def score(self, key: str, node: str) -> int:
        """Return the same as rendezvous.score."""
        # The choice of links scores gateways, once.
        if node not in self.index:
            return self.compute(key, node)
        row = self.rows.get(key)
        if row is None:
            scores = (self.compute(key, name) for name in self.index)
            row = self.rows[key] = array.array("Q", scores)
        return row[self.index[node]]


class Model:
    """Discrete-event model of one case under one policy."""

    def __init__(self, case: Case, policy: str, seed: int = SEED) -> None:
        """Create the fleet with its links."""
        self.case = case
        self.choose: Callable[..., routing.EndpointState | None] = getattr(
            self, f"choose_{policy}"
        )
        self.policy = policy
        self.generator = random.Random(f"{seed}-{case}")
        self.choices = random.Random(seed)
        self.now = 0.0
        self.clock = manual_clock.create_manual_clock()
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        names = [f"dc-{n}" for n in range(case.data_centres)]
        self.engines = [
            Engine(f"engine-{n}", names[n % len(names)], n + 1)
            for n in range(case.engines)
        ]
        self.by_address = {e.address: e for e in self.engines}
        self.gateways = [
            Gateway(f"gateway-{n}", names[n % len(names)], self.clock)
            for n in range(case.gateways)
        ]
        self.link(self.engines, self.gateways)
        prefixes = case.engines * PREFIXES_PER_ENGINE
        self.weights = list(
            itertools.accumulate(1 / (n + 1) ** 0.8 for n in range(prefixes))
        )
        self.queueing: list[float] = []
        self.cached = 0
        self.refused = 0
        self.ticks = 0
        self.window: collections.Counter[str] = collections.Counter()
        self.same_engine: list[float] = []

    def at(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an event."""
        entry = (self.now + delay, next(self.order), action, args)
        heapq.heappush(self.events, entry)

    def run(self) -> Figures:
        """Run the case and return its figures."""
        self.run_events()
        # Requests that still wait count with the time so far.
        self.queueing += [
            self.now - request.arrived
            for engine in self.engines
            for request, _ in engine.waiting
        ]
        loads = [e.load_sum for e in self.engines if not e.dead]
        return Figures(
            sorted(self.queueing)[int(0.95 * len(self.queueing))],
            max(loads) * len(loads) / sum(loads),
            self.cached / len(self.queueing),
            sum(self.same_engine) / len(self.same_engine),
            self.refused,
        )

    def run_events(self) -> None:
        """Let everything happen until the end of the case."""
        self.at(0.0, self.arrive)
        self.at(0.0, self.tick)
        self.at(self.case.seconds / 3, self.begin_fault)
        while self.events and self.now < self.case.seconds:
            self.now, _, action, args = heapq.heappop(self.events)
            self.clock.elapsed = datetime.timedelta(seconds=self.now)
            action(*args)

    def link(self, engines: list[Engine], gateways: list[Gateway]) -> None:
        """Bring the links in line with an instance list."""
        listed = [
            port.Instance(
                e.name,
                subsetting.SIDECAR_ROLE,
                e.data_centre,
                SERVICE,
                e.address,
                port.InstanceState.LIVE,
            )
            for e in engines
        ] + [
            port.Instance(
                g.name,
                "gateway",
                g.data_centre,
                "",
                addresses.Address("127.0.0.1", 0),
                port.InstanceState.LIVE,
            )
            for g in gateways
        ]
        for gateway in gateways:
            targets = subsetting.choose_targets(
                gateway.name,
                gateway.data_centre,
                listed,
                subsetting.DEFAULT_LINKS_PER_GATEWAY,
            )
            gateway.view.set_routable(targets)
            # Sorted, as the order of a set of addresses varies between runs.
            for address in sorted(targets - gateway.links.keys()):
                engine = self.by_address[address]
                hello = messages.Hello(
                    1,
                    engine.name,
                    subsetting.SIDECAR_ROLE,
                    engine.data_centre,
                    SERVICE,
                )
                link = FakeLink(hello, address)
                gateway.links[address] = link
                gateway.view.on_open(link)
            gateway.known = {}

    def begin_fault(self) -> None:
        """Let the fault of the case happen to the first engine."""
        engine = self.engines[0]
        if self.case.fault == "slow_engine":
            engine.slowdown = SLOWDOWN
        elif self.case.fault == "stalled_rank":
            engine.stall = (self.now, self.now + STALL)
        elif self.case.fault == "leaving_engine":
            engine.leaving = True
        elif self.case.fault == "lost_data_centre":
            self.lose(engine.data_centre)

    def lose(self, data_centre: str) -> None:
        """Lose a data centre; its gateways' clients go elsewhere at once."""
        lost = [e for e in self.engines if e.data_centre == data_centre]
        self.gateways = [
            g for g in self.gateways if g.data_centre != data_centre
        ]
        for engine in lost:
            engine.dead = True
        self.at(LINK_TIMEOUT, self.close_links, lost)
        live = [e for e in self.engines if not e.dead]
        self.at(LINK_TIMEOUT + LIST_LAG, self.link, live, self.gateways)

    def close_links(self, lost: list[Engine]) -> None:
        """Close the links to lost engines and retry their requests."""
        for gateway in self.gateways:
            for engine in lost:
                if engine.address in gateway.links:
                    link = gateway.links.pop(engine.address)
                    gateway.view.on_close(link, "")
            gateway.known = {}
        for engine in lost:
            for request, gateway in [*engine.running.items(), *engine.waiting]:
                if gateway in self.gateways:
                    self.dispatch(request, gateway)
            engine.running.clear()
            engine.waiting.clear()

    def tick(self) -> None:
        """Send reports, and sample loads."""
        self.at(REPORT_INTERVAL, self.tick)
        self.ticks += 1
        reports = [
            (
                e.name,
                e.address,
                messages.LoadReport(
                    *(len(e.running), len(e.waiting), SLOTS, 1000),
                    *(e.leaving, False, 0),
                ),
            )
            for e in self.engines
            if not e.dead
        ]
        send_time = None
        # The second time is sent at once: a delay that is still unknown would
        # fill most of a run of a few seconds.
        if self.ticks == 2 or self.ticks % SEND_TIME_TICKS == 1:
            send_time = messages.SendTime(round(self.now * 1000))
        # The links open before the delay begins; the gateways cannot see a
        # delay that was there from the start.
        lag = self.case.lag if self.ticks > 1 else 0.0
        self.at(lag, self.deliver, reports, send_time)
        for engine in self.engines:
            engine.load_sum += engine.load
        if self.ticks % 10 == 0 and self.window:
            share = max(self.window.values()) / self.window.total()
            self.same_engine.append(share)
            self.window.clear()

    def deliver(
        self,
        reports: list[tuple[str, addresses.Address, messages.LoadReport]],
        send_time: messages.SendTime | None,
    ) -> None:
        """Hand reports to all gateways."""
        for gateway in self.gateways:
            gateway.known = {}
            for name, address, report in reports:
                link = gateway.links.get(address)
                if link is not None:
                    if send_time is not None:
                        gateway.view.on_send_time(link, send_time)
                    gateway.view.on_load_report(link, report)
                    gateway.reported[name] = report.in_flight + report.queued

    def arrive(self) -> None:
        """Take in a request."""
        capacity = self.case.engines * SLOTS / (PREFILL + DECODE)
        rate = self.case.load * capacity
        self.at(self.generator.expovariate(rate), self.arrive)
        prefix = self.generator.choices(
            range(len(self.weights)), cum_weights=self.weights
        )[0]
        gateway = self.generator.choice(self.gateways)
        self.begin(self.create_request(prefix), gateway)

    def create_request(self, prefix: int) -> Request:
        """Create a request that arrives now."""
        return Request(self.now, prefix)

    def begin(self, request: Request, gateway: Gateway) -> None:
        """Take a new request to an endpoint."""
        self.dispatch(request, gateway)

    def dispatch(self, request: Request, gateway: Gateway) -> None:
        """Send a request to the endpoint that the policy chooses."""
        chosen = self.choose(gateway, self.endpoints(gateway), request)
        if chosen is None:
            request.tried = frozenset()
            self.at(REPORT_INTERVAL, self.dispatch, request, gateway)
            return
        engine = self.by_address[chosen.address]
        self.window[engine.name] += 1
        request.tried |= {engine.name}
        if engine.leaving:
            self.refused += 1
            self.dispatch(request, gateway)
            return
        self.open_attempt(engine, gateway)
        engine.waiting.append((request, gateway))
        self.start_next(engine)

    def endpoints(self, gateway: Gateway) -> list[routing.EndpointState]:
        """Return what a gateway knows.

        Between two deliveries of reports only the endpoints with new or ended
        attempts change; describing all of them again takes most of the time.
        """
        if not gateway.known:
            states = gateway.view.snapshot()
            gateway.known = {state.address: state for state in states}
        return list(gateway.known.values())

    def start_next(self, engine: Engine) -> None:
        """Start waiting requests while slots are free."""
        while (
            engine.waiting and len(engine.running) < SLOTS and not engine.dead
        ):
            request, gateway = engine.waiting.popleft()
            engine.running[request] = gateway
            request.started = self.now
            self.queueing.append(self.now - request.arrived)
            service = self.draw_service(engine, request)
            self.at(service, self.finish, engine, request)

    def draw_service(self, engine: Engine, request: Request) -> float:
        """Return the service time of a request that starts now."""
        hit = request.prefix in engine.cache
        self.cached += hit
        self.use_cache(engine, request.prefix)
        service = CACHED_PREFILL if hit else PREFILL
        service += self.generator.expovariate(1 / DECODE)
        return service * engine.slowdown

    def use_cache(self, engine: Engine, prefix: int) -> None:
        """Put a prefix first in a cache and publish what changed."""
        if prefix not in engine.cache:
            self.publish(engine.name, prefix, True)
        engine.cache[prefix] = None
        engine.cache.move_to_end(prefix)
        if len(engine.cache) > CACHED_PREFIXES:
            self.publish(engine.name, engine.cache.popitem(False)[0], False)

    def publish(self, name: str, prefix: int, added: bool) -> None:
        """Publish a cache event, late or never."""
        if self.policy == "cache_events" and (
            self.choices.random() >= EVENT_LOSS
        ):
            self.at(EVENT_LAG, self.note_event, name, prefix, added)

    def note_event(self, name: str, prefix: int, added: bool) -> None:
        """Take over a cache event in all gateways."""
        for gateway in self.gateways:
            change = set.add if added else set.discard
            change(gateway.holders[prefix], name)

    def finish(self, engine: Engine, request: Request) -> None:
        """End a request, later when its engine was stalled."""
        start, end = engine.stall
        if self.now >= start and request.started < end and not request.held:
            request.held = True
            held = end - max(start, request.started)
            self.at(held, self.finish, engine, request)
            return
        gateway = engine.running.pop(request, None)
        if gateway is None or engine.dead:
            return
        self.close_attempt(engine, gateway)
        self.start_next(engine)

    def open_attempt(self, engine: Engine, gateway: Gateway) -> None:
        """Count an attempt in the gateway."""
        gateway.view.open_attempt(engine.address)
        self.describe_again(engine, gateway)

    def close_attempt(self, engine: Engine, gateway: Gateway) -> None:
        """Take back the gateway's count of an attempt."""
        link = gateway.links.get(engine.address)
        if link is not None:
            gateway.view.close_attempt(link)
            self.describe_again(engine, gateway)

    def describe_again(self, engine: Engine, gateway: Gateway) -> None:
        """Bring what a gateway knows of one engine up to date."""
        address, view = engine.address, gateway.view
        if address in gateway.known:
            gateway.known[address] = view.describe(
                address, view.endpoints[address], self.clock.monotonic()
            )

    def choose_chosen(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose as the product does."""
        choice = routing.choose(
            endpoints,
            SERVICE,
            gateway.data_centre,
            f"prompt {request.prefix}",
            request.tried,
            self.choices,
        )
        return choice.endpoint if choice else None

    def choose_whole_report(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose as the product would if all reports counted in full."""
        fresh = [e._replace(report_age=datetime.timedelta()) for e in endpoints]
        return self.choose_chosen(gateway, fresh, request)

    def usable(
        self, endpoints: list[routing.EndpointState], request: Request
    ) -> list[routing.EndpointState]:
        """Return the endpoints that a baseline chooses from."""
        return [
            e
            for e in endpoints
            if e.available and e.instance not in request.tried
        ]

    def choose_random(
        self,
        _gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose any endpoint."""
        usable = self.usable(endpoints, request)
        return self.choices.choice(usable) if usable else None

    def choose_round_robin(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose the endpoints in turn."""
        usable = self.usable(endpoints, request)
        return usable[next(gateway.turn) % len(usable)] if usable else None

    def choose_least_reported(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose the endpoint with the least reported load."""
        return min(
            self.usable(endpoints, request),
            key=lambda e: gateway.reported.get(e.instance, 0),
            default=None,
        )

    def choose_two_choices_reported(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose the better of two by reported load."""
        usable = self.usable(endpoints, request)
        drawn = self.choices.sample(usable, min(2, len(usable)))
        return min(
            drawn,
            key=lambda e: gateway.reported.get(e.instance, 0),
            default=None,
        )

    def choose_cache_events(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose an endpoint that published the prefix, within the bound."""
        usable = self.usable(endpoints, request)
        if not usable:
            return None
        limit = routing.load_limit([e.load for e in usable])
        holders = [
            e
            for e in usable
            if e.instance in gateway.holders[request.prefix] and e.load < limit
        ]
        if holders:
            return min(holders, key=lambda e: e.load)
        return routing.less_loaded_of_two(usable, self.choices)


def run_case(case: Case, policy: str, seed: int = SEED) -> Figures:
    """Run one case under one policy."""
    model = Model(case, policy, seed)
    with remember_scores(model.engines):
        return model.run()


def remember_scores(
    engines: list[Engine],
) -> contextlib.AbstractContextManager[object]:
    """Compute each score once; hashing takes most time with 610 engines."""
    return mock.patch.object(rendezvous, "score", ScoreTable(engines).score)
