"""Takes dispatches from gateways through the queue to the endpoint.

An attempt that is not idempotent is claimed immediately before its call. A
report that an attempt did not run is made only while the attempt's phase
shows that the endpoint was not called, and the phase changes under the lock.
"""

from collections.abc import Callable
import datetime
import random
import threading
from typing import Final
from typing import NamedTuple

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import outcomes
from verbenafall_core.claims import model
from verbenafall_sidecar import event_catalogue
from verbenafall_sidecar.delivery import admission
from verbenafall_sidecar.delivery import admission_log
from verbenafall_sidecar.delivery import attempt as attempt_lib
from verbenafall_sidecar.delivery import attempt_registry
from verbenafall_sidecar.delivery import attempt_runner
from verbenafall_sidecar.delivery import fair_queue
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import service_view

NO_TIME: Final = datetime.timedelta()
RETRY_SOON: Final = datetime.timedelta(seconds=1)
FIRST_SERVICE_TIME: Final = datetime.timedelta(milliseconds=500)
SERVICE_TIME_WEIGHT: Final = 0.1
COST_BYTES: Final = 4096

NOT_RUN: Final = outcomes.Outcome.NOT_RUN
UNKNOWN: Final = outcomes.Outcome.UNKNOWN
RAN: Final = outcomes.Outcome.RAN
Reason = outcomes.Reason
Phase = attempt_lib.Phase


class Configuration(NamedTuple):
    """Fixed properties of a dispatcher.

    Attributes:
        endpoint_name: Named in claims.
        is_engine: An error status of the endpoint is no answer of a model.
    """

    service: str
    endpoint_name: str
    max_queue: int
    is_engine: bool


class Snapshot(NamedTuple):
    """Load of the dispatcher."""

    in_flight: int
    queued: int
    slots: int
    service_time: datetime.timedelta
    draining: bool
    endpoint_up: bool


SendLoad = Callable[[link_lib.Link, Snapshot], None]


class Dispatcher:
    """Queue, open attempts and slots of one endpoint."""

    def __init__(
        self,
        configuration: Configuration,
        endpoint: endpoint_port.Endpoint,
        claims: model.Claims,
        view: service_view.ServiceView,
        registry: attempt_registry.AttemptRegistry,
        send_load: SendLoad,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        generator: random.Random,
    ) -> None:
        """Create a dispatcher without attempts."""
        self.configuration = configuration
        self.view = view
        self.registry = registry
        self.send_load = send_load
        self.clock = clock
        self.metrics = metrics
        self.generator = generator
        self.created_at = clock.monotonic()
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.queue: fair_queue.FairQueue[attempt_lib.Attempt] = (
            fair_queue.create_fair_queue(clock.monotonic())
        )
        self.attempts: dict[str, attempt_lib.Attempt] = {}
        self.in_flight = 0
        self.service_time = FIRST_SERVICE_TIME
        self.draining = False
        self.stopped = False
        self.endpoint_up = True
        self.runner = attempt_runner.create_attempt_runner(
            self,
            endpoint,
            claims,
            configuration.endpoint_name,
            configuration.is_engine,
            self.lock,
            clock,
        )

    def start(self) -> None:
        """Do nothing; work starts with the first dispatch."""

    def stop(self, limit: datetime.timedelta) -> None:
        """Finish open attempts within the limit."""
        self.begin_drain()
        self.wait_until_idle(limit)
        self.stopped = True
        self.runner.stop()

    def begin_drain(self) -> None:
        """Refuse new dispatches from now on."""
        with self.lock:
            self.draining = True

    def wait_until_idle(self, limit: datetime.timedelta) -> int:
        """Wait until no attempt is open; return the number still open."""
        with self.changed:
            self.changed.wait_for(
                lambda: not self.attempts, limit.total_seconds()
            )
            return len(self.attempts)

    def set_endpoint_up(self, up: bool) -> None:
        """Take note of whether the endpoint can be reached."""
        with self.lock:
            self.endpoint_up = up

    def snapshot(self) -> Snapshot:
        """Return the load."""
        with self.lock:
            return Snapshot(
                self.in_flight,
                len(self.queue),
                self.view.slots(),
                self.service_time,
                self.draining,
                self.endpoint_up,
            )

    def on_dispatch(
        self, link: link_lib.Link, dispatch: messages.Dispatch
    ) -> None:
        """Queue or refuse a dispatch; runs on the I/O thread of the links."""
        now = self.clock.monotonic()
        with self.lock:
            known = self.registry.find(dispatch.attempt_id, now)
            if self.is_open_on(link, dispatch.attempt_id):
                self.ignore_repeat(dispatch)
            elif known is not None:
                self.refuse_known(link, dispatch, known)
            elif not self.registry.has_room(now):
                self.reply_refused(
                    link, dispatch, Reason.OVERLOADED, RETRY_SOON
                )
            else:
                self.admit(link, dispatch, now)
            self.send_load(link, self.snapshot())

    def on_cancel(self, link: link_lib.Link, cancel: messages.Cancel) -> None:
        """Give up an attempt, known or not, and report its outcome."""
        with self.lock:
            attempt = self.attempts.get(cancel.attempt_id)
            if attempt is None:
                outcome = self.cancel_closed(cancel.attempt_id)
            else:
                outcome = self.cancel_open(attempt)
            link.send(messages.CancelConfirmed(*cancel, outcome))

    def on_link_closed(self, link: link_lib.Link, _reason: str) -> None:
        """Give up the attempts of a gateway that nobody can answer."""
        with self.lock:
            lost = [a for a in self.attempts.values() if a.link is link]
            for attempt in lost:
                self.cancel_open(attempt)

    def expire_queued(self) -> None:
        """Refuse queued attempts whose deadline has passed."""
        now = self.clock.monotonic()
        with self.lock:
            expired = [
                attempt
                for attempt in self.attempts.values()
                if attempt.phase is Phase.QUEUED and attempt.deadline <= now
            ]
            for attempt in expired:
                self.queue.remove(attempt.dispatch.attempt_id)
                self.end_refused(attempt, Reason.DEADLINE, NOT_RUN)

    def is_open_on(self, link: link_lib.Link, attempt_id: str) -> bool:
        """Return whether an attempt that came on this link is open."""
        attempt = self.attempts.get(attempt_id)
        return attempt is not None and attempt.link is link

    def ignore_repeat(self, dispatch: messages.Dispatch) -> None:
        """Note a copy of a dispatch whose attempt is open.

        A refusal would name the same attempt, so the gateway would give up
        the one that runs.
        """
        self.metrics.count("dispatch.repeated")
        event_log.emit(
            event_catalogue.DISPATCH_REPEATED,
            attempt=dispatch.attempt_id,
            team=dispatch.team,
        )

    def refuse_known(
        self,
        link: link_lib.Link,
        dispatch: messages.Dispatch,
        known: attempt_registry.KnownAttempt,
    ) -> None:
        """Refuse an attempt that was dispatched or cancelled before."""
        cancelled = known.state is attempt_registry.AttemptState.CANCELLED
        reason = Reason.CANCELLED if cancelled else Reason.DUPLICATE_ATTEMPT
        event_log.emit(
            event_catalogue.ATTEMPT_REFUSED,
            attempt=dispatch.attempt_id,
            team=dispatch.team,
            reason=reason,
            state=known.state,
            outcome=known.outcome,
        )
        link.send(attempt_lib.refused(dispatch, reason, known.outcome, NO_TIME))

    def admit(
        self,
        link: link_lib.Link,
        dispatch: messages.Dispatch,
        now: datetime.timedelta,
    ) -> None:
        """Queue or refuse an attempt that is new."""
        load = self.describe_load(dispatch.team)
        remaining = datetime.timedelta(milliseconds=dispatch.remaining_ms)
        decision = self.decide(dispatch, load, remaining)
        if isinstance(decision, admission.Refuse):
            closed = attempt_registry.finished(NOT_RUN)
            self.registry.close(dispatch.attempt_id, closed, now)
            admission_log.log_decision(
                event_catalogue.ATTEMPT_REFUSED,
                dispatch,
                load,
                reason=decision.reason,
            )
            self.reply_refused(
                link, dispatch, decision.reason, decision.retry_after
            )
            return
        admission_log.log_decision(
            event_catalogue.ATTEMPT_ADMITTED,
            dispatch,
            load,
            expected_wait_ms=attempt_lib.to_ms(decision.expected_wait),
        )
        attempt = attempt_lib.Attempt(dispatch, link, now + remaining)
        self.registry.open(dispatch.attempt_id)
        self.attempts[dispatch.attempt_id] = attempt
        self.queue.push(
            dispatch.attempt_id,
            dispatch.team,
            load.team_shares,
            1 + len(dispatch.body) / COST_BYTES,
            attempt,
            now,
        )
        self.metrics.count("dispatch.admitted")
        attempt.send(
            messages.Accepted(
                dispatch.request_id, dispatch.attempt_id, len(self.queue)
            )
        )
        self.fill_slots()

    def decide(
        self,
        dispatch: messages.Dispatch,
        load: admission.Load,
        remaining: datetime.timedelta,
    ) -> admission.Decision:
        """Decide whether an attempt is queued."""
        malformed = admission.find_malformed(dispatch)
        if malformed:
            admission_log.log_malformed(dispatch, malformed)
            return admission.Refuse(Reason.BAD_REQUEST, NO_TIME)
        closed = admission.find_closed_reason(
            admission.Conditions(
                self.draining,
                self.view.takes_new_work(),
                self.endpoint_up,
                dispatch.service == self.configuration.service
                and self.view.is_known(),
            )
        )
        if closed is not None:
            return admission.Refuse(closed, RETRY_SOON)
        return admission.decide(load, remaining)

    def describe_load(self, team: str) -> admission.Load:
        """Return the inputs of admission for a team."""
        return admission.Load(
            self.in_flight,
            len(self.queue),
            self.view.slots(),
            self.configuration.max_queue,
            self.service_time,
            self.queue.active_shares,
            self.queue.queued_of(team),
            self.view.shares_of(team),
        )

    def reply_refused(
        self,
        link: link_lib.Link,
        dispatch: messages.Dispatch,
        reason: outcomes.Reason,
        retry_after: datetime.timedelta,
    ) -> None:
        """Send the refusal of a dispatch that was not admitted."""
        self.metrics.count(f"dispatch.refused.{reason}")
        link.send(
            attempt_lib.refused(
                dispatch, reason, NOT_RUN, self.spread(retry_after)
            )
        )

    def cancel_closed(self, attempt_id: str) -> outcomes.Outcome:
        """Return the outcome of an attempt that is not open.

        An attempt that is not known is kept from being started later.
        """
        now = self.clock.monotonic()
        known = self.registry.find(attempt_id, now)
        if known is not None:
            return known.outcome
        # An earlier process beside this endpoint may have run the attempt.
        complete = now - self.created_at >= attempt_registry.KEEP
        outcome = NOT_RUN if complete else UNKNOWN
        cancelled = attempt_registry.cancelled(outcome)
        kept = self.registry.close(attempt_id, cancelled, now)
        return outcome if kept else UNKNOWN

    def cancel_open(self, attempt: attempt_lib.Attempt) -> outcomes.Outcome:
        """Give up an open attempt as far as its phase allows."""
        attempt.muted = True
        if attempt.phase is Phase.QUEUED:
            attempt.cancelled = True
            self.queue.remove(attempt.dispatch.attempt_id)
            self.end(attempt, attempt_registry.cancelled(NOT_RUN))
            return NOT_RUN
        if attempt.phase is Phase.STARTING:
            attempt.cancelled = True
            return NOT_RUN
        # The answer to a call that must not be repeated is still recorded.
        if attempt.dispatch.idempotent and attempt.call is not None:
            attempt.call.cancel()
        return UNKNOWN

    def fill_slots(self) -> None:
        """Start queued attempts while slots are free."""
        while not self.stopped and self.in_flight < self.view.slots():
            now = self.clock.monotonic()
            queued = self.queue.pop(now)
            if queued is None:
                return
            attempt = queued.item
            attempt.phase = Phase.STARTING
            attempt.started_at = now
            self.in_flight += 1
            self.runner.begin(attempt)

    def end_refused(
        self,
        attempt: attempt_lib.Attempt,
        reason: outcomes.Reason,
        outcome: outcomes.Outcome,
        detail: str = "",
    ) -> None:
        """End an attempt that was not started."""
        wait = self.spread(RETRY_SOON)
        with self.lock:
            if self.end(attempt, attempt_registry.finished(outcome), reason):
                attempt.send_refused(reason, outcome, wait, detail)
                self.send_load(attempt.link, self.snapshot())

    def end_failed(
        self, attempt: attempt_lib.Attempt, reason: outcomes.Reason
    ) -> None:
        """End an attempt that may have run."""
        with self.lock:
            if self.end(attempt, attempt_registry.finished(UNKNOWN), reason):
                attempt.send_failed(reason, self.spread(RETRY_SOON))
                self.send_load(attempt.link, self.snapshot())

    def end_answered(
        self, attempt: attempt_lib.Attempt, end: endpoint_port.CallEnd
    ) -> None:
        """End an attempt with a complete answer."""
        with self.lock:
            if self.end(attempt, attempt_registry.finished(RAN)):
                attempt.send_answer(end)
                self.send_load(attempt.link, self.snapshot())

    def end(
        self,
        attempt: attempt_lib.Attempt,
        known: attempt_registry.KnownAttempt,
        reason: str = "",
    ) -> bool:
        """Forget an open attempt and pass its slot on.

        Returns:
            False when the attempt has ended before.
        """
        if attempt.phase is Phase.ENDED:
            return False
        attempt.phase = Phase.ENDED
        now = self.clock.monotonic()
        attempt_id = attempt.dispatch.attempt_id
        self.registry.close(attempt_id, known, now)
        del self.attempts[attempt_id]
        if attempt.started_at is not None:
            self.in_flight -= 1
            if known.outcome is RAN:
                self.note_service_time(now - attempt.started_at)
        event_log.emit(
            event_catalogue.ATTEMPT_ENDED,
            attempt=attempt_id,
            team=attempt.dispatch.team,
            outcome=known.outcome,
            reason=reason,
            chunks=attempt.chunk_count,
        )
        self.fill_slots()
        self.changed.notify_all()
        return True

    def note_service_time(self, duration: datetime.timedelta) -> None:
        """Add a measurement to the mean service time."""
        self.metrics.timing("attempt.service_time", duration)
        step = (duration - self.service_time) * SERVICE_TIME_WEIGHT
        self.service_time += step

    def spread(self, base: datetime.timedelta) -> datetime.timedelta:
        """Spread a retry delay."""
        return outcomes.jitter_retry_after(base, self.generator)


def create_dispatcher(
    configuration: Configuration,
    endpoint: endpoint_port.Endpoint,
    claims: model.Claims,
    view: service_view.ServiceView,
    registry: attempt_registry.AttemptRegistry,
    send_load: SendLoad,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    generator: random.Random | None = None,
) -> Dispatcher:
    """Create a dispatcher without attempts."""
    return Dispatcher(
        configuration,
        endpoint,
        claims,
        view,
        registry,
        send_load,
        clock,
        metrics,
        generator or random.Random(),
    )
