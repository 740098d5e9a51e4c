"""Measures admission against first in, first out without admission control.

One engine with a queue is driven by the sidecar's real admission decision and
fair queue, and by the gateway's real retry rules. Prints one JSON line per
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
SERVICE_SECONDS: Final = 0.5
CAPACITY: Final = SLOTS / SERVICE_SECONDS
TEAMS: Final = 4
OVERLOAD_END: Final = 60.0
END: Final = 240.0
NORMAL_LOAD: Final = 0.5
DEADLINES: Final = (1.0, 2.0, 4.0)
LOADS: Final = (0.8, 1.0, 1.5, 3.0)
FAILING_SECONDS: Final = 60
FAILING_ENDPOINTS: Final = 3
FAILING_RATES: Final = (1, 20, 200)


class Request(NamedTuple):
    """A request at the sidecar."""

    number: int
    team: str
    arrived: float
    deadline: float
    service: float


class Figures(NamedTuple):
    """What happened at one load.

    Attributes:
        on_time: Requests answered in time a second during the overload.
        recovery: Time from the end of the overload until the queue was empty.
        refused_at_once: Refusals on arrival as a part of all requests that
            were not answered in time.
    """

    on_time: float
    recovery: float
    refused_at_once: float


class Model:
    """One engine with its queue."""

    def __init__(self, load: float, admits: bool) -> None:
        """Create an idle engine; without admission all is queued in order."""
        self.previous = 0.0
        self.load = load
        self.admits = admits
        self.generator = random.Random(f"{SEED}-{load}")
        self.fair: fair_queue.FairQueue[Request] = fair_queue.create_fair_queue(
            datetime.timedelta()
        )
        self.fifo: collections.deque[Request] = collections.deque()
        self.in_flight = 0
        self.service_time = dispatcher.INITIAL_SERVICE_TIME
        self.finishes: list[tuple[float, int, Request]] = []
        self.on_time = 0
        self.not_on_time = 0
        self.refused_at_once = 0
        self.emptied_at = END

    def run(self) -> Figures:
        """Run the overload and the time after it."""
        for number in itertools.count():
            arrival = self.next_arrival(number)
            while self.finishes and self.finishes[0][0] <= arrival.arrived:
                finished, _, request = heapq.heappop(self.finishes)
                self.finish(request, finished)
            if arrival.arrived >= END:
                break
            self.arrive(arrival)
            self.fill_slots(arrival.arrived)
        return Figures(
            self.on_time / OVERLOAD_END,
            self.emptied_at - OVERLOAD_END,
            self.refused_at_once / max(1, self.not_on_time),
        )

    def next_arrival(self, number: int) -> Request:
        """Return the next request."""
        before = self.previous
        load = self.load if before < OVERLOAD_END else NORMAL_LOAD
        arrived = before + self.generator.expovariate(load * CAPACITY)
        self.previous = arrived
        return Request(
            number,
            f"team-{self.generator.randrange(TEAMS)}",
            arrived,
            arrived + self.generator.choice(DEADLINES),
            self.generator.uniform(0.5, 1.5) * SERVICE_SECONDS,
        )

    def arrive(self, request: Request) -> None:
        """Queue or refuse a request."""
        if not self.admits:
            self.fifo.append(request)
            return
        decision = admission.decide(
            admission.Load(
                self.in_flight,
                len(self.fair),
                SLOTS,
                MAX_QUEUE,
                self.service_time,
                self.fair.active_shares,
                self.fair.count_queued(request.team),
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
        self.fair.push(key, request.team, 1, 1.0, request, now)

    def next_queued(self, now: float) -> Request | None:
        """Take the next request that is not too late."""
        if not self.admits:
            return self.fifo.popleft() if self.fifo else None
        while True:
            queued = self.fair.pop(datetime.timedelta(seconds=now))
            if queued is None or queued.item.deadline > now:
                return queued.item if queued else None
            self.not_on_time += 1

    def fill_slots(self, now: float) -> None:
        """Start queued requests while slots are free."""
        while self.in_flight < SLOTS:
            request = self.next_queued(now)
            if request is None:
                if now >= OVERLOAD_END:
                    self.emptied_at = min(self.emptied_at, now)
                return
            self.in_flight += 1
            # The product cuts idempotent calls off at their deadline.
            end = now + request.service
            if self.admits:
                end = min(end, request.deadline)
            heapq.heappush(self.finishes, (end, request.number, request))
            request_time = datetime.timedelta(seconds=end - now)
            step = request_time - self.service_time
            self.service_time += step * dispatcher.SERVICE_TIME_WEIGHT

    def finish(self, request: Request, now: float) -> None:
        """Free the slot of a request."""
        self.in_flight -= 1
        if now < request.deadline:
            self.on_time += now < OVERLOAD_END
        else:
            self.not_on_time += 1
        self.fill_slots(now)


def count_retries(rate: int) -> float:
    """Return retries per request while every endpoint refuses."""
    clock = manual_clock.create_manual_clock()
    budget = retry_budget.create_retry_budget(clock)
    broken = attempt_events.Broken(
        outcomes.Outcome.NOT_RUN,
        outcomes.Reason.ENDPOINT_REFUSED,
        message="",
        retry_after=None,
        open_at_sidecar=False,
    )
    requests, all_retries = FAILING_SECONDS * rate, 0
    for _ in range(requests):
        clock.advance(datetime.timedelta(seconds=1 / rate))
        budget.record_request()
        for retries in range(FAILING_ENDPOINTS - 1):
            situation = retry_rules.RetryContext(
                idempotent=True,
                delivered=False,
                retries=retries,
                remaining=datetime.timedelta(seconds=1),
            )
            action = retry_rules.decide(broken, situation)
            if action is retry_rules.Action.GIVE_UP or not budget.try_acquire():
                break
            all_retries += 1
    return all_retries / requests


def main() -> None:
    """Print all figures."""
    units = ("requests/s", "s", "ratio")
    for load in LOADS:
        chosen = Model(load, True).run()
        baseline = Model(load, False).run()
        for name, unit, value, other in zip(
            Figures._fields, units, chosen, baseline, strict=True
        ):
            json_lines.print_figure(
                json_lines.create_figure(
                    f"admission.load_{load:g}.{name}",
                    value,
                    unit,
                    "fifo_without_admission",
                    other,
                    SEED,
                )
            )
    for rate in FAILING_RATES:
        json_lines.print_figure(
            json_lines.create_figure(
                f"admission.all_endpoints_fail.rate_{rate}.retries",
                count_retries(rate),
                "retries/request",
                "without_budget",
                FAILING_ENDPOINTS - 1.0,
                SEED,
            )
        )


if __name__ == "__main__":
    main()
