"""Discrete-event model of engines behind gateways, with delays and faults.

Uses the gateway's endpoint view, subsetting and routing. Load reports reach
the gateways after a configurable lag.
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
# The service time is a prefill, which is short if the prefix is cached, and an
# exponentially distributed decode.
PREFILL_SECONDS: Final = 0.3
CACHED_PREFILL_SECONDS: Final = 0.03
MEAN_DECODE_SECONDS: Final = 0.7
PREFIX_CACHE_CAPACITY: Final = 12
# Number of different prefixes in the load, divided by the number of engines.
PREFIXES_PER_ENGINE: Final = 8
REPORT_INTERVAL_SECONDS: Final = 0.1
# Reports from one SendTime message to the next.
SEND_TIME_TICKS: Final = round(
    load_reports.SEND_TIME_INTERVAL.total_seconds() / REPORT_INTERVAL_SECONDS
)
LINK_TIMEOUT_SECONDS: Final = 3.0
LIST_LAG_SECONDS: Final = 2.0
EVENT_LAG_SECONDS: Final = 1.0
EVENT_LOSS_RATE: Final = 0.2
SLOWDOWN_FACTOR: Final = 3.0
STALL_SECONDS: Final = 5.0
SERVICE: Final = "llm"
# "chosen" is the gateway's own routing, the others are baselines.
POLICIES: Final = (
    "chosen",
    "random",
    "round_robin",
    "least_reported",
    "two_choices_reported",
    "cache_events",
)


class Case(NamedTuple):
    """A fleet with its load and fault.

    The string representation of a case is part of the random seed, so renaming
    the class or a field changes the figures.

    Attributes:
        lag: Delay of load reports in seconds.
        fault: Fault of the first engine or its data centre, or "none".
        load: Offered load as a fraction of the capacity without cache hits.
        seconds: Length of the run; the fault starts after a third of it.
    """

    engines: int
    gateways: int
    data_centres: int
    lag: float
    fault: str
    load: float
    seconds: float


class Figures(NamedTuple):
    """Results of a policy in a case.

    Attributes:
        p95_queueing: 95th percentile of the queueing time in seconds.
        worst_over_mean_load: Load of the most loaded engine divided by the
            mean load, over all engines that are not lost.
        cached_share: Fraction of the requests whose prefix was cached.
        same_engine_share: Mean fraction of a second's dispatches that went to
            the engine with the most of them.
        refused: Number of attempts that a draining engine refused.
    """

    p95_queueing: float
    worst_over_mean_load: float
    cached_share: float
    same_engine_share: float
    refused: float


class Request:
    """A request with its progress.

    Attributes:
        tried: Names of the engines to which it was dispatched.
        stalled: Whether its end was already postponed by a stalled engine.
    """

    def __init__(self, arrived: float, prefix: int) -> None:
        """Create a request that has not been dispatched yet."""
        self.arrived = arrived
        self.prefix = prefix
        self.tried: frozenset[str] = frozenset()
        self.started = 0.0
        self.stalled = False


class Engine:
    """An engine with its queue and prefix cache.

    Attributes:
        cache: Cached prefixes, least recently used first.
        stall: Start and end of the time without progress.
        service_time: Moving average that the sidecar keeps; only the model
            with admission control updates it.
        slowdown: Service time as a multiple of the usual time.
        leaving: Whether it drains and refuses new requests.
        dead: Whether it was lost with its data centre.
        load_sum: Sum of its sampled loads.
    """

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
        self.service_time = dispatcher.INITIAL_SERVICE_TIME
        self.leaving = False
        self.dead = False
        self.load_sum = 0

    @property
    def load(self) -> int:
        """Return the number of running and queued requests."""
        return len(self.running) + len(self.waiting)


class FakeLink:
    """Link that discards all messages, for the endpoint view."""

    def __init__(
        self, peer: messages.Hello | None, address: addresses.Address
    ) -> None:
        """Create an open link."""
        self.peer = peer
        self.address = address

    def send(self, _message: messages.Message) -> bool:
        """Discard a message and report it as queued."""
        return True


class Gateway:
    """A gateway; gateways share no state.

    Attributes:
        endpoint_states: Endpoint states from the view; empty if outdated.
        reported_loads: Last reported load by engine name.
        holders: Names of the engines that published each cached prefix.
    """

    def __init__(
        self, name: str, data_centre: str, clock: manual_clock.ManualClock
    ) -> None:
        """Create a gateway without links."""
        self.name = name
        self.data_centre = data_centre
        self.view = endpoint_view.create_endpoint_view(clock)
        self.endpoint_states: dict[
            addresses.Address, routing.EndpointState
        ] = {}
        self.links: dict[addresses.Address, FakeLink] = {}
        self.round_robin_count = itertools.count()
        self.reported_loads: dict[str, int] = {}
        self.holders: dict[int, set[str]] = collections.defaultdict(set)


class ScoreCache:
    """Compact cache of rendezvous scores."""

    def __init__(self, engines: list[Engine]) -> None:
        """Create an empty cache for the given engines."""
        self.index = {e.name: n for n, e in enumerate(engines)}
        self.rows: dict[str, array.array[int]] = {}
        self.compute = rendezvous.score

    def score(self, key: str, node: str) -> int:
        """Return the result of rendezvous.score, computed at most once."""
        # Subsetting also scores gateways, but each only once.
        if node not in self.index:
            return self.compute(key, node)
        row = self.rows.get(key)
        if row is None:
            scores = (self.compute(key, name) for name in self.index)
            row = self.rows[key] = array.array("Q", scores)
        return row[self.index[node]]


class Model:
    """Simulation of one case under one policy."""

    def __init__(self, case: Case, policy: str, seed: int = SEED) -> None:
        """Create the fleet and open its links."""
        self.case = case
        self.choose: Callable[..., routing.EndpointState | None] = getattr(
            self, f"choose_{policy}"
        )
        self.policy = policy
        self.generator = random.Random(f"{seed}-{case}")
        self.policy_generator = random.Random(seed)
        self.now = 0.0
        self.clock = manual_clock.create_manual_clock()
        self.event_numbers = itertools.count()
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
        self.update_links(self.engines, self.gateways)
        # The popularity of the prefixes follows a Zipf distribution.
        prefixes = case.engines * PREFIXES_PER_ENGINE
        self.cumulative_weights = list(
            itertools.accumulate(1 / (n + 1) ** 0.8 for n in range(prefixes))
        )
        self.queueing_times: list[float] = []
        self.cache_hits = 0
        self.refused = 0
        self.ticks = 0
        self.dispatch_counts: collections.Counter[str] = collections.Counter()
        self.same_engine_shares: list[float] = []

    def schedule(
        self, delay: float, action: Callable[..., None], *args: Any
    ) -> None:
        """Schedule an action after a delay in seconds."""
        entry = (self.now + delay, next(self.event_numbers), action, args)
        heapq.heappush(self.events, entry)

    def run(self) -> Figures:
        """Simulate the case and return its figures."""
        self.run_events()
        # Requests that are still queued count with their waiting time so far.
        self.queueing_times += [
            self.now - request.arrived
            for engine in self.engines
            for request, _ in engine.waiting
        ]
        loads = [e.load_sum for e in self.engines if not e.dead]
        return Figures(
            sorted(self.queueing_times)[int(0.95 * len(self.queueing_times))],
            max(loads) * len(loads) / sum(loads),
            self.cache_hits / len(self.queueing_times),
            sum(self.same_engine_shares) / len(self.same_engine_shares),
            self.refused,
        )

    def run_events(self) -> None:
        """Process events until the end of the case."""
        self.schedule(0.0, self.handle_arrival)
        self.schedule(0.0, self.tick)
        self.schedule(self.case.seconds / 3, self.start_fault)
        while self.events and self.now < self.case.seconds:
            self.now, _, action, args = heapq.heappop(self.events)
            self.clock.elapsed = datetime.timedelta(seconds=self.now)
            action(*args)

    def update_links(
        self, engines: list[Engine], gateways: list[Gateway]
    ) -> None:
        """Choose and open the gateways' links for an instance list."""
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
            # Sorted because the order of the set of addresses varies by run.
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
            gateway.endpoint_states = {}

    def start_fault(self) -> None:
        """Apply the fault of the case to engine 0 or its data centre."""
        engine = self.engines[0]
        if self.case.fault == "slow_engine":
            engine.slowdown = SLOWDOWN_FACTOR
        elif self.case.fault == "stalled_rank":
            engine.stall = (self.now, self.now + STALL_SECONDS)
        elif self.case.fault == "leaving_engine":
            engine.leaving = True
        elif self.case.fault == "lost_data_centre":
            self.fail_data_centre(engine.data_centre)

    def fail_data_centre(self, data_centre: str) -> None:
        """Remove a data centre; clients use other gateways immediately."""
        lost = [e for e in self.engines if e.data_centre == data_centre]
        self.gateways = [
            g for g in self.gateways if g.data_centre != data_centre
        ]
        for engine in lost:
            engine.dead = True
        self.schedule(LINK_TIMEOUT_SECONDS, self.handle_link_timeout, lost)
        live = [e for e in self.engines if not e.dead]
        self.schedule(
            LINK_TIMEOUT_SECONDS + LIST_LAG_SECONDS,
            self.update_links,
            live,
            self.gateways,
        )

    def handle_link_timeout(self, lost: list[Engine]) -> None:
        """Close the links to lost engines and dispatch their requests again."""
        for gateway in self.gateways:
            for engine in lost:
                if engine.address in gateway.links:
                    link = gateway.links.pop(engine.address)
                    gateway.view.on_close(link, "")
            gateway.endpoint_states = {}
        for engine in lost:
            for request, gateway in [*engine.running.items(), *engine.waiting]:
                if gateway in self.gateways:
                    self.dispatch(request, gateway)
            engine.running.clear()
            engine.waiting.clear()

    def tick(self) -> None:
        """Send the engines' load reports and sample their loads."""
        self.schedule(REPORT_INTERVAL_SECONDS, self.tick)
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
        # The second send time follows on the next tick: otherwise the gateways
        # would not know the delay for most of a run of a few seconds.
        if self.ticks == 2 or self.ticks % SEND_TIME_TICKS == 1:
            send_time = messages.SendTime(round(self.now * 1000))
        # The first reports have no delay, as the gateways cannot detect a delay
        # that has existed since the links were opened.
        lag = self.case.lag if self.ticks > 1 else 0.0
        self.schedule(lag, self.deliver_reports, reports, send_time)
        for engine in self.engines:
            engine.load_sum += engine.load
        if self.ticks % 10 == 0 and self.dispatch_counts:
            share = (
                max(self.dispatch_counts.values())
                / self.dispatch_counts.total()
            )
            self.same_engine_shares.append(share)
            self.dispatch_counts.clear()

    def deliver_reports(
        self,
        reports: list[tuple[str, addresses.Address, messages.LoadReport]],
        send_time: messages.SendTime | None,
    ) -> None:
        """Pass load reports to the gateways that are linked to the senders."""
        for gateway in self.gateways:
            gateway.endpoint_states = {}
            for name, address, report in reports:
                link = gateway.links.get(address)
                if link is not None:
                    if send_time is not None:
                        gateway.view.on_send_time(link, send_time)
                    gateway.view.on_load_report(link, report)
                    gateway.reported_loads[name] = (
                        report.in_flight + report.queued
                    )

    def handle_arrival(self) -> None:
        """Create a request at a random gateway and schedule the next one."""
        capacity = (
            self.case.engines * SLOTS / (PREFILL_SECONDS + MEAN_DECODE_SECONDS)
        )
        rate = self.case.load * capacity
        self.schedule(self.generator.expovariate(rate), self.handle_arrival)
        prefix = self.generator.choices(
            range(len(self.cumulative_weights)),
            cum_weights=self.cumulative_weights,
        )[0]
        gateway = self.generator.choice(self.gateways)
        self.start_request(self.create_request(prefix), gateway)

    def create_request(self, prefix: int) -> Request:
        """Create a request that arrives now."""
        return Request(self.now, prefix)

    def start_request(self, request: Request, gateway: Gateway) -> None:
        """Dispatch a new request for the first time."""
        self.dispatch(request, gateway)

    def dispatch(self, request: Request, gateway: Gateway) -> None:
        """Send a request to the endpoint that the policy chooses.

        If no endpoint is usable, try all of them again after an interval.
        """
        chosen = self.choose(gateway, self.list_endpoints(gateway), request)
        if chosen is None:
            request.tried = frozenset()
            self.schedule(
                REPORT_INTERVAL_SECONDS, self.dispatch, request, gateway
            )
            return
        engine = self.by_address[chosen.address]
        self.dispatch_counts[engine.name] += 1
        request.tried |= {engine.name}
        if engine.leaving:
            self.refused += 1
            self.dispatch(request, gateway)
            return
        self.open_attempt(engine, gateway)
        engine.waiting.append((request, gateway))
        self.start_queued(engine)

    def list_endpoints(self, gateway: Gateway) -> list[routing.EndpointState]:
        """Return the endpoint states of a gateway, from a cache if possible.

        Between two deliveries of reports, only endpoints with started or ended
        attempts change. Taking a new snapshot for each request would dominate
        the run time.
        """
        if not gateway.endpoint_states:
            states = gateway.view.snapshot()
            gateway.endpoint_states = {state.address: state for state in states}
        return list(gateway.endpoint_states.values())

    def start_queued(self, engine: Engine) -> None:
        """Start queued requests while slots are free."""
        while (
            engine.waiting and len(engine.running) < SLOTS and not engine.dead
        ):
            request, gateway = engine.waiting.popleft()
            engine.running[request] = gateway
            request.started = self.now
            self.queueing_times.append(self.now - request.arrived)
            service = self.draw_service_seconds(engine, request)
            self.schedule(service, self.finish, engine, request)

    def draw_service_seconds(self, engine: Engine, request: Request) -> float:
        """Return a random service time for a request and update the cache."""
        hit = request.prefix in engine.cache
        self.cache_hits += hit
        self.update_cache(engine, request.prefix)
        service = CACHED_PREFILL_SECONDS if hit else PREFILL_SECONDS
        service += self.generator.expovariate(1 / MEAN_DECODE_SECONDS)
        return service * engine.slowdown

    def update_cache(self, engine: Engine, prefix: int) -> None:
        """Mark a prefix as most recently used and publish cache changes."""
        if prefix not in engine.cache:
            self.publish_cache_event(engine.name, prefix, True)
        engine.cache[prefix] = None
        engine.cache.move_to_end(prefix)
        if len(engine.cache) > PREFIX_CACHE_CAPACITY:
            self.publish_cache_event(
                engine.name, engine.cache.popitem(False)[0], False
            )

    def publish_cache_event(self, name: str, prefix: int, added: bool) -> None:
        """Publish a cache event, which arrives late or is lost."""
        if self.policy == "cache_events" and (
            self.policy_generator.random() >= EVENT_LOSS_RATE
        ):
            self.schedule(
                EVENT_LAG_SECONDS, self.apply_cache_event, name, prefix, added
            )

    def apply_cache_event(self, name: str, prefix: int, added: bool) -> None:
        """Apply a cache event in all gateways."""
        for gateway in self.gateways:
            change = set.add if added else set.discard
            change(gateway.holders[prefix], name)

    def finish(self, engine: Engine, request: Request) -> None:
        """End a request, or postpone its end if its engine was stalled."""
        start, end = engine.stall
        if self.now >= start and request.started < end and not request.stalled:
            request.stalled = True
            delay = end - max(start, request.started)
            self.schedule(delay, self.finish, engine, request)
            return
        gateway = engine.running.pop(request, None)
        if gateway is None or engine.dead:
            return
        self.close_attempt(engine, gateway)
        self.start_queued(engine)

    def open_attempt(self, engine: Engine, gateway: Gateway) -> None:
        """Increase the gateway's count of open attempts at an engine."""
        gateway.view.open_attempt(engine.address)
        self.refresh_state(engine, gateway)

    def close_attempt(self, engine: Engine, gateway: Gateway) -> None:
        """Decrease the gateway's count of open attempts at an engine."""
        link = gateway.links.get(engine.address)
        if link is not None:
            gateway.view.close_attempt(link)
            self.refresh_state(engine, gateway)

    def refresh_state(self, engine: Engine, gateway: Gateway) -> None:
        """Update the cached endpoint state of one engine."""
        address, view = engine.address, gateway.view
        if address in gateway.endpoint_states:
            gateway.endpoint_states[address] = view.describe(
                address, view.endpoints[address], self.clock.monotonic()
            )

    def choose_chosen(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose as the gateway does."""
        choice = routing.choose(
            endpoints,
            SERVICE,
            gateway.data_centre,
            f"prompt {request.prefix}",
            request.tried,
            self.policy_generator,
        )
        return choice.endpoint if choice else None

    def choose_whole_report(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose as the gateway would if it did not discount stale reports."""
        fresh = [e._replace(report_age=datetime.timedelta()) for e in endpoints]
        return self.choose_chosen(gateway, fresh, request)

    def filter_usable(
        self, endpoints: list[routing.EndpointState], request: Request
    ) -> list[routing.EndpointState]:
        """Return the available endpoints not yet tried, for a baseline."""
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
        """Choose a random endpoint."""
        usable = self.filter_usable(endpoints, request)
        return self.policy_generator.choice(usable) if usable else None

    def choose_round_robin(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose the endpoints in round-robin order."""
        usable = self.filter_usable(endpoints, request)
        return (
            usable[next(gateway.round_robin_count) % len(usable)]
            if usable
            else None
        )

    def choose_least_reported(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose the endpoint with the lowest reported load."""
        return min(
            self.filter_usable(endpoints, request),
            key=lambda e: gateway.reported_loads.get(e.instance, 0),
            default=None,
        )

    def choose_two_choices_reported(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose the less loaded of two random endpoints, by reported load."""
        usable = self.filter_usable(endpoints, request)
        sampled = self.policy_generator.sample(usable, min(2, len(usable)))
        return min(
            sampled,
            key=lambda e: gateway.reported_loads.get(e.instance, 0),
            default=None,
        )

    def choose_cache_events(
        self,
        gateway: Gateway,
        endpoints: list[routing.EndpointState],
        request: Request,
    ) -> routing.EndpointState | None:
        """Choose an endpoint that published the prefix, within the load bound.

        Without one, choose the less loaded of two random endpoints.
        """
        usable = self.filter_usable(endpoints, request)
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
        return routing.less_loaded_of_two(usable, self.policy_generator)


def run_case(case: Case, policy: str, seed: int = SEED) -> Figures:
    """Simulate one case under one policy."""
    model = Model(case, policy, seed)
    with cache_scores(model.engines):
        return model.run()


def cache_scores(
    engines: list[Engine],
) -> contextlib.AbstractContextManager[object]:
    """Cache rendezvous scores; hashing dominates runs with 610 engines."""
    return mock.patch.object(rendezvous, "score", ScoreCache(engines).score)
