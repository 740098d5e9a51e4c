"""Queueing model with admission, deadlines and retries at each endpoint.

The sidecar's real admission decision refuses requests, and the gateway's real
retry rules and retry budget decide whether they go to another endpoint.
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
# Seconds; two, four and eight times the mean service time.
DEADLINES: Final = (2.0, 4.0, 8.0)


class AdmissionFigures(NamedTuple):
    """What a policy did under admission.

    Attributes:
        goodput: Requests answered in time a second.
        on_time_share: Part of the requests that were answered in time.
        retries: Retries per request.
        cached_share: Part of the started requests whose prefix was cached.
    """

    goodput: float
    on_time_share: float
    retries: float
    cached_share: float


class LimitedRequest(choice_model.Request):
    """A request with a deadline."""

    def __init__(self, arrived: float, prefix: int, deadline: float) -> None:
        """Create a request that no engine has seen."""
        super().__init__(arrived, prefix)
        self.deadline = deadline
        self.retries = 0


class AdmittingModel(choice_model.Model):
    """Model whose engines refuse what would be late."""

    def __init__(self, case: choice_model.Case, policy: str) -> None:
        """Create the fleet with its links and retry budgets."""
        super().__init__(case, policy)
        self.budgets = {
            g.name: retry_budget.create_retry_budget(self.clock)
            for g in self.gateways
        }
        self.arrived = 0
        self.started = 0
        self.on_time = 0
        self.retries = 0

    def summarize(self) -> AdmissionFigures:
        """Return the figures of the whole run."""
        return AdmissionFigures(
            self.on_time / self.case.seconds,
            self.on_time / self.arrived,
            self.retries / self.arrived,
            self.cached / self.started,
        )

    def create_request(self, prefix: int) -> choice_model.Request:
        """Create a request that arrives now."""
        self.arrived += 1
        deadline = self.now + self.generator.choice(DEADLINES)
        return LimitedRequest(self.now, prefix, deadline)

    def begin(
        self, request: choice_model.Request, gateway: choice_model.Gateway
    ) -> None:
        """Count a new request in the retry budget and dispatch it."""
        self.budgets[gateway.name].record_request()
        self.dispatch(request, gateway)

    def dispatch(
        self, request: choice_model.Request, gateway: choice_model.Gateway
    ) -> None:
        """Send a request to the endpoint that the policy chooses."""
        assert isinstance(request, LimitedRequest)
        chosen = self.choose(gateway, self.endpoints(gateway), request)
        if chosen is None:
            return
        engine = self.by_address[chosen.address]
        self.window[engine.name] += 1
        request.tried |= {engine.name}
        decision = admission.decide(
            describe_load(engine),
            datetime.timedelta(seconds=request.deadline - self.now),
        )
        if isinstance(decision, admission.Refuse):
            self.follow_refusal(request, gateway, decision)
            return
        self.open_attempt(engine, gateway)
        engine.waiting.append((request, gateway))
        self.start_next(engine)

    def follow_refusal(
        self,
        request: LimitedRequest,
        gateway: choice_model.Gateway,
        refusal: admission.Refuse,
    ) -> None:
        """Retry a refused request if rules and budget allow it."""
        self.refused += 1
        broken = attempt_events.Broken(
            outcomes.Outcome.NOT_RUN,
            refusal.reason,
            message="",
            retry_after=refusal.retry_after,
            open_at_sidecar=False,
        )
        situation = retry_rules.RetryContext(
            idempotent=True,
            delivered=False,
            retries=request.retries,
            remaining=datetime.timedelta(seconds=request.deadline - self.now),
        )
        action = retry_rules.decide(broken, situation)
        if action is retry_rules.Action.GIVE_UP:
            return
        if self.budgets[gateway.name].try_acquire():
            request.retries += 1
            self.retries += 1
            self.dispatch(request, gateway)

    def start_next(self, engine: choice_model.Engine) -> None:
        """Start waiting requests that are not too late."""
        while engine.waiting and len(engine.running) < choice_model.SLOTS:
            request, gateway = engine.waiting.popleft()
            assert isinstance(request, LimitedRequest)
            if request.deadline <= self.now:
                self.close_attempt(engine, gateway)
                continue
            engine.running[request] = gateway
            request.started = self.now
            self.started += 1
            # The sidecar cuts an idempotent call off at its deadline.
            service = min(
                self.draw_service(engine, request), request.deadline - self.now
            )
            self.at(service, self.finish, engine, request)

    def finish(
        self, engine: choice_model.Engine, request: choice_model.Request
    ) -> None:
        """End a request and free its slot."""
        assert isinstance(request, LimitedRequest)
        gateway = engine.running.pop(request)
        self.on_time += self.now < request.deadline
        took = datetime.timedelta(seconds=self.now - request.started)
        step = took - engine.service_time
        engine.service_time += step * dispatcher.SERVICE_TIME_WEIGHT
        self.close_attempt(engine, gateway)
        self.start_next(engine)


def describe_load(engine: choice_model.Engine) -> admission.Load:
    """Return what the admission decision looks at, with a single team."""
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
    """Run one case under one policy."""
    model = AdmittingModel(case, policy)
    with choice_model.remember_scores(model.engines):
        model.run_events()
    return model.summarize()
