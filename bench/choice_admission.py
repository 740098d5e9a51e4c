"""Extends choice_model with deadlines, admission control and retries.

The sidecar's admission decision refuses requests; the gateway's retry rules
and retry budget decide whether a refused request goes to another endpoint.
"""

import datetime
from typing import Final
from typing import NamedTuple

import choice_model
from verbenafall_core import outcomes
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import retry_budget
from verbenafall_gateway.delivery import retry_rules
from verbenafall_sidecar.delivery import admission
from verbenafall_sidecar.delivery import dispatcher

MAX_QUEUE: Final = 256
# Two, four and eight times the mean service time without a cache hit.
DEADLINES_SECONDS: Final = (2.0, 4.0, 8.0)


class AdmissionFigures(NamedTuple):
    """Results of a policy under admission control.

    Attributes:
        goodput: Requests per second answered before their deadline.
        on_time_share: Fraction of the requests answered before their deadline.
        retries: Retries per request.
        cached_share: Fraction of the started requests whose prefix was cached.
    """

    goodput: float
    on_time_share: float
    retries: float
    cached_share: float


class RequestWithDeadline(choice_model.Request):
    """A request with a deadline."""

    def __init__(self, arrived: float, prefix: int, deadline: float) -> None:
        """Create a request that has not been dispatched yet."""
        super().__init__(arrived, prefix)
        self.deadline = deadline
        self.retries = 0


class AdmittingModel(choice_model.Model):
    """Model whose engines refuse requests that would miss their deadline."""

    def __init__(self, case: choice_model.Case, policy: str) -> None:
        """Create the fleet with links and one retry budget per gateway."""
        super().__init__(case, policy)
        self.retry_budgets = {
            g.name: retry_budget.create_retry_budget(self.clock)
            for g in self.gateways
        }
        self.arrivals = 0
        self.started_requests = 0
        self.on_time = 0
        self.retries = 0

    def summarize(self) -> AdmissionFigures:
        """Return the figures of the complete run."""
        return AdmissionFigures(
            self.on_time / self.case.seconds,
            self.on_time / self.arrivals,
            self.retries / self.arrivals,
            self.cache_hits / self.started_requests,
        )

    def create_request(self, prefix: int) -> choice_model.Request:
        """Create a request that arrives now and has a random deadline."""
        self.arrivals += 1
        deadline = self.now + self.generator.choice(DEADLINES_SECONDS)
        return RequestWithDeadline(self.now, prefix, deadline)

    def start_request(
        self, request: choice_model.Request, gateway: choice_model.Gateway
    ) -> None:
        """Count a new request in the retry budget and dispatch it."""
        self.retry_budgets[gateway.name].record_request()
        self.dispatch(request, gateway)

    def dispatch(
        self, request: choice_model.Request, gateway: choice_model.Gateway
    ) -> None:
        """Send a request to the chosen endpoint, which queues or refuses it."""
        assert isinstance(request, RequestWithDeadline)
        chosen = self.choose(gateway, self.list_endpoints(gateway), request)
        if chosen is None:
            return
        engine = self.by_address[chosen.address]
        self.dispatch_counts[engine.name] += 1
        request.tried |= {engine.name}
        decision = admission.decide(
            create_admission_load(engine),
            datetime.timedelta(seconds=request.deadline - self.now),
        )
        if isinstance(decision, admission.Refuse):
            self.handle_refusal(request, gateway, decision)
            return
        self.open_attempt(engine, gateway)
        engine.waiting.append((request, gateway))
        self.start_queued(engine)

    def handle_refusal(
        self,
        request: RequestWithDeadline,
        gateway: choice_model.Gateway,
        refusal: admission.Refuse,
    ) -> None:
        """Retry a refused request if the retry rules and budget allow it."""
        self.refused += 1
        broken = attempt_events.Broken(
            outcomes.Outcome.NOT_RUN,
            refusal.reason,
            message="",
            retry_after=refusal.retry_after,
            open_at_sidecar=False,
        )
        context = retry_rules.RetryContext(
            idempotent=True,
            delivered=False,
            retries=request.retries,
            remaining=datetime.timedelta(seconds=request.deadline - self.now),
        )
        action = retry_rules.decide(broken, context)
        if action is retry_rules.Action.GIVE_UP:
            return
        if self.retry_budgets[gateway.name].try_acquire():
            request.retries += 1
            self.retries += 1
            self.dispatch(request, gateway)

    def start_queued(self, engine: choice_model.Engine) -> None:
        """Start queued requests while slots are free; drop expired ones."""
        while engine.waiting and len(engine.running) < choice_model.SLOTS:
            request, gateway = engine.waiting.popleft()
            assert isinstance(request, RequestWithDeadline)
            if request.deadline <= self.now:
                self.close_attempt(engine, gateway)
                continue
            engine.running[request] = gateway
            request.started = self.now
            self.started_requests += 1
            # The sidecar aborts an idempotent call at its deadline.
            service = min(
                self.draw_service_seconds(engine, request),
                request.deadline - self.now,
            )
            self.schedule(service, self.finish, engine, request)

    def finish(
        self, engine: choice_model.Engine, request: choice_model.Request
    ) -> None:
        """End a request, update the mean service time and reuse the slot."""
        assert isinstance(request, RequestWithDeadline)
        gateway = engine.running.pop(request)
        self.on_time += self.now < request.deadline
        elapsed = datetime.timedelta(seconds=self.now - request.started)
        difference = elapsed - engine.service_time
        engine.service_time += difference * dispatcher.SERVICE_TIME_WEIGHT
        self.close_attempt(engine, gateway)
        self.start_queued(engine)


def create_admission_load(engine: choice_model.Engine) -> admission.Load:
    """Return the input of the admission decision for a single team."""
    return admission.Load(
        len(engine.running),
        len(engine.waiting),
        choice_model.SLOTS,
        MAX_QUEUE,
        engine.service_time,
        active_shares=1 if engine.waiting else 0,
        team_queued=len(engine.waiting),
        team_shares=1,
    )


def run_case(case: choice_model.Case, policy: str) -> AdmissionFigures:
    """Simulate one case under one policy."""
    model = AdmittingModel(case, policy)
    with choice_model.cache_scores(model.engines):
        model.run_events()
    return model.summarize()
