"""Fakes and builders for the sidecar's tests."""

import concurrent.futures
import random

from verbenafall_core import messages
from verbenafall_core import metrics
from verbenafall_core import outcomes
from verbenafall_core.claims import service as claim_service
from verbenafall_sidecar.delivery import attempt_registry
from verbenafall_sidecar.delivery import dispatcher as dispatcher_lib
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import service_view
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

DISPATCH = messages.Dispatch(
    request_id="r",
    attempt_id="r.1",
    service="svc",
    team="team",
    priority=1,
    remaining_ms=10_000,
    idempotent=True,
    idempotency_key="",
    method="POST",
    path="/reserve",
    headers=(),
    body=b"{}",
    resume_index=0,
    resume_text="",
)
NON_IDEMPOTENT = DISPATCH._replace(idempotent=False, idempotency_key="key")
RESPONSE = endpoint_port.CallResponse(200, (("x", "y"),), b"done", "")
NOT_RUN = outcomes.Outcome.NOT_RUN
UNKNOWN = outcomes.Outcome.UNKNOWN
RAN = outcomes.Outcome.RAN


class FakeBundles:
    def __init__(self):
        self.confirmed = True
        self.bundle = None

    def current(self):
        return self.bundle

    def accepts_new_work(self):
        return self.confirmed


class FakeView(service_view.ServiceView):
    def is_known(self):
        return True


class FakeLink:
    def __init__(self):
        self.sent = []
        self.peer = None

    def send(self, message):
        if not isinstance(message, messages.LoadReport):
            self.sent.append(message)
        return True

    def last_message(self):
        return self.sent[-1] if self.sent else None


class FakeEndpoint:
    """Keeps each call open until the test ends it."""

    def __init__(self):
        self.sinks = {}
        self.started = []
        self.cancelled = []

    def start_call(self, dispatch, limit, sink):
        self.started.append(dispatch.attempt_id)
        self.sinks[dispatch.attempt_id] = sink
        endpoint = self

        class Call:
            def cancel(self):
                endpoint.cancelled.append(dispatch.attempt_id)

        return Call()


class ManualPool:
    """Executor that runs its tasks only when the test calls run()."""

    def __init__(self):
        self.tasks = []

    def submit(self, task):
        self.tasks.append(task)

    def run(self):
        while self.tasks:
            self.tasks.pop(0)()

    def shutdown(self, wait, cancel_futures):
        self.tasks.clear()


class DispatcherHarness:
    """A dispatcher whose endpoint, store, link and pools are fakes."""

    def __init__(self, slots=1, max_queue=10, is_engine=False):
        self.clock = manual_clock.create_manual_clock()
        self.store = memory_store.create_memory_store()
        self.claims = claim_service.create_claim_service(self.store, self.clock)
        self.bundles = FakeBundles()
        self.endpoint = FakeEndpoint()
        self.link = FakeLink()
        self.reports = []
        self.pool = ManualPool()
        self.dispatcher = dispatcher_lib.create_dispatcher(
            dispatcher_lib.Configuration("svc", "ep", max_queue, is_engine),
            self.endpoint,
            self.claims,
            FakeView(self.bundles, "svc", slots),
            attempt_registry.create_attempt_registry(),
            lambda _link, snapshot: self.reports.append(snapshot),
            self.clock,
            metrics.NullMetrics(),
            random.Random(1),
        )
        pools = (
            self.dispatcher.runner.call_pool,
            self.dispatcher.runner.claim_pool,
        )
        for pool in pools:
            assert isinstance(pool, concurrent.futures.Executor)
            pool.shutdown()
        self.dispatcher.runner.call_pool = self.dispatcher.runner.claim_pool = (
            self.pool
        )

    def dispatch(self, dispatch, run=True):
        self.dispatcher.on_dispatch(self.link, dispatch)
        if run:
            self.pool.run()

    def cancel(self, attempt_id="r.1"):
        self.dispatcher.on_cancel(self.link, messages.Cancel("r", attempt_id))
        return self.link.last_message().outcome

    def respond(self, attempt_id="r.1", response=RESPONSE):
        self.endpoint.sinks[attempt_id].on_response(response)
        self.pool.run()

    def fail(self, sent, attempt_id="r.1"):
        failure = endpoint_port.CallFailure(sent, "test")
        self.endpoint.sinks[attempt_id].on_failure(failure)
        self.pool.run()
