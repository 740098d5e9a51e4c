"""Compares admission control with a FIFO queue that accepts every request.

Simulates one engine with a queue under overload, using the sidecar's admission
decision and fair queue. Also measures how many retries the gateway's retry
rules and retry budget allow when all endpoints fail. Prints one JSON line per
figure.
"""

import collections
import datetime
import heapq
import itertools
import random
from typing import Final
from typing import NamedTuple

import json_lines
from verbenafall_core import outcomes
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import retry_budget
from verbenafall_gateway.delivery import retry_rules
from verbenafall_sidecar.delivery import admission
from verbenafall_sidecar.delivery import dispatcher
from verbenafall_sidecar.delivery import fair_queue
from verbenafall_standins.fakes import manual_clock

SEED: Final = 20260103
SLOTS: Final = 8
MAX_QUEUE: Final = 256
MEAN_SERVICE_SECONDS: Final = 0.5
CAPACITY_PER_SECOND: Final = SLOTS / MEAN_SERVICE_SECONDS
TEAMS: Final = 4
OVERLOAD_END_SECONDS: Final = 60.0
END_SECONDS: Final = 240.0
# Offered load after the overload, as a fraction of the capacity.
NORMAL_LOAD: Final = 0.5
DEADLINES_SECONDS: Final = (1.0, 2.0, 4.0)
# Offered loads during the overload, as fractions of the capacity.
LOADS: Final = (0.8, 1.0, 1.5, 3.0)
FAILING_SECONDS: Final = 60
FAILING_ENDPOINTS: Final = 3
FAILING_RATES_PER_SECOND: Final = (1, 20, 200)


class Request(NamedTuple):
    """A request at the sidecar; times are in seconds.

    Attributes:
        arrived: Time of arrival.
        deadline: Time by which the answer must be complete.
        service_seconds: Time that the engine needs for the request.
    """

    number: int
    team: str
    arrived: float
    deadline: float
    service_seconds: float


class Figures(NamedTuple):
    """Results of a run with one load.

    Attributes:
        on_time: Requests per second that were answered before their deadline
            during the overload.
        recovery: Seconds from the end of the overload until the queue was
            empty.
        refused_at_once: Fraction of the requests not answered in time that
            were refused on arrival.
    """

    on_time: float
    recovery: float
    refused_at_once: float


class Model:
    """Discrete-event model of one engine with its queue."""

    def __init__(self, load: float, with_admission: bool) -> None:
        """Create an idle engine; without admission its queue is FIFO."""
        self.previous_arrival = 0.0
        self.load = load
        self.with_admission = with_admission
        self.generator = random.Random(f"{SEED}-{load}")
        self.team_queue: fair_queue.FairQueue[Request] = (
            fair_queue.create_fair_queue(datetime.timedelta())
        )
        self.fifo: collections.deque[Request] = collections.deque()
        self.in_flight = 0
        self.service_time = dispatcher.INITIAL_SERVICE_TIME
        self.completions: list[tuple[float, int, Request]] = []
        self.on_time = 0
        self.not_on_time = 0
        self.refused_at_once = 0
        self.emptied_at = END_SECONDS

    def run(self) -> Figures:
        """Simulate the overload and the recovery after it."""
        for number in itertools.count():
            arrival = self.draw_arrival(number)
            while (
                self.completions and self.completions[0][0] <= arrival.arrived
            ):
                finished, _, request = heapq.heappop(self.completions)
                self.finish(request, finished)
            if arrival.arrived >= END_SECONDS:
                break
            self.handle_arrival(arrival)
            self.fill_slots(arrival.arrived)
        return Figures(
            self.on_time / OVERLOAD_END_SECONDS,
            self.emptied_at - OVERLOAD_END_SECONDS,
            self.refused_at_once / max(1, self.not_on_time),
        )

    def draw_arrival(self, number: int) -> Request:
        """Return a random request that arrives after the previous one."""
        before = self.previous_arrival
        load = self.load if before < OVERLOAD_END_SECONDS else NORMAL_LOAD
        arrived = before + self.generator.expovariate(
            load * CAPACITY_PER_SECOND
        )
        self.previous_arrival = arrived
        return Request(
            number,
            f"team-{self.generator.randrange(TEAMS)}",
            arrived,
            arrived + self.generator.choice(DEADLINES_SECONDS),
            self.generator.uniform(0.5, 1.5) * MEAN_SERVICE_SECONDS,
        )

    def handle_arrival(self, request: Request) -> None:
        """Queue a request, or refuse it if admission control says so."""
        if not self.with_admission:
            self.fifo.append(request)
            return
        decision = admission.decide(
            admission.Load(
                self.in_flight,
                len(self.team_queue),
                SLOTS,
                MAX_QUEUE,
                self.service_time,
                self.team_queue.active_shares,
                self.team_queue.count_queued(request.team),
                1,
            ),
            datetime.timedelta(seconds=request.deadline - request.arrived),
        )
        if isinstance(decision, admission.Refuse):
            self.not_on_time += 1
            self.refused_at_once += 1
            return
        now = datetime.timedelta(seconds=request.arrived)
        key = str(request.number)
        self.team_queue.push(key, request.team, 1, 1.0, request, now)

    def pop_queued(self, now: float) -> Request | None:
        """Remove and return the next request, or None if none is queued.

        With admission, requests past their deadline are dropped.
        """
        if not self.with_admission:
            return self.fifo.popleft() if self.fifo else None
        while True:
            queued = self.team_queue.pop(datetime.timedelta(seconds=now))
            if queued is None or queued.item.deadline > now:
                return queued.item if queued else None
            self.not_on_time += 1

    def fill_slots(self, now: float) -> None:
        """Start queued requests while slots are free."""
        while self.in_flight < SLOTS:
            request = self.pop_queued(now)
            if request is None:
                if now >= OVERLOAD_END_SECONDS:
                    self.emptied_at = min(self.emptied_at, now)
                return
            self.in_flight += 1
            # The sidecar aborts idempotent calls at their deadline.
            end = now + request.service_seconds
            if self.with_admission:
                end = min(end, request.deadline)
            heapq.heappush(self.completions, (end, request.number, request))
            request_time = datetime.timedelta(seconds=end - now)
            difference = request_time - self.service_time
            self.service_time += difference * dispatcher.SERVICE_TIME_WEIGHT

    def finish(self, request: Request, now: float) -> None:
        """Record whether a request was on time, and reuse its slot."""
        self.in_flight -= 1
        if now < request.deadline:
            self.on_time += now < OVERLOAD_END_SECONDS
        else:
            self.not_on_time += 1
        self.fill_slots(now)


def measure_retries(rate: int) -> float:
    """Return the retries per request if every endpoint refuses."""
    clock = manual_clock.create_manual_clock()
    budget = retry_budget.create_retry_budget(clock)
    broken = attempt_events.Broken(
        outcomes.Outcome.NOT_RUN,
        outcomes.Reason.ENDPOINT_REFUSED,
        message="",
        retry_after=None,
        open_at_sidecar=False,
    )
    requests, total_retries = FAILING_SECONDS * rate, 0
    for _ in range(requests):
        clock.advance(datetime.timedelta(seconds=1 / rate))
        budget.record_request()
        for retries in range(FAILING_ENDPOINTS - 1):
            context = retry_rules.RetryContext(
                idempotent=True,
                delivered=False,
                retries=retries,
                remaining=datetime.timedelta(seconds=1),
            )
            action = retry_rules.decide(broken, context)
            if action is retry_rules.Action.GIVE_UP or not budget.try_acquire():
                break
            total_retries += 1
    return total_retries / requests


def main() -> None:
    """Run the benchmark."""
    units = ("requests/s", "s", "ratio")
    for load in LOADS:
        actual = Model(load, True).run()
        baseline = Model(load, False).run()
        for name, unit, value, baseline_value in zip(
            Figures._fields, units, actual, baseline, strict=True
        ):
            json_lines.print_figure(
                json_lines.create_figure(
                    f"admission.load_{load:g}.{name}",
                    value,
                    unit,
                    "fifo_without_admission",
                    baseline_value,
                    SEED,
                )
            )
    for rate in FAILING_RATES_PER_SECOND:
        json_lines.print_figure(
            json_lines.create_figure(
                f"admission.all_endpoints_fail.rate_{rate}.retries",
                measure_retries(rate),
                "retries/request",
                "without_budget",
                FAILING_ENDPOINTS - 1.0,
                SEED,
            )
        )


if __name__ == "__main__":
    main()
