"""Admits, queues and starts dispatched attempts, and reports their ends.

The idempotency key of a non-idempotent attempt is claimed immediately before
the call. A cancel reports an attempt as not run only if its phase shows that
the endpoint was not called; the phase changes under the lock.
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
from verbenafall_sidecar.delivery import endpoint_statements
from verbenafall_sidecar.delivery import fair_queue
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import service_view

NO_DELAY: Final = datetime.timedelta()
DEFAULT_RETRY_AFTER: Final = datetime.timedelta(seconds=1)
INITIAL_SERVICE_TIME: Final = datetime.timedelta(milliseconds=500)
# Weight of the newest measurement in the moving average.
SERVICE_TIME_WEIGHT: Final = 0.1
# A dispatch costs 1 in the fair queue; each such number of body bytes adds 1.
BYTES_PER_COST_UNIT: Final = 4096

NOT_RUN: Final = outcomes.Outcome.NOT_RUN
UNKNOWN: Final = outcomes.Outcome.UNKNOWN
RAN: Final = outcomes.Outcome.RAN
Reason = outcomes.Reason
Phase = attempt_lib.Phase


class Configuration(NamedTuple):
    """Fixed properties of a dispatcher.

    Attributes:
        endpoint_name: Name of the endpoint in claims.
        is_engine: Whether the endpoint is a model engine, whose error
            responses are reported as refusals or failures.
    """

    service: str
    endpoint_name: str
    max_queue: int
    is_engine: bool


class Snapshot(NamedTuple):
    """Load and availability of the dispatcher at one time.

    Attributes:
        endpoint_closed: Whether the endpoint has said that it leaves or pauses.
    """

    in_flight: int
    queued: int
    slots: int
    service_time: datetime.timedelta
    draining: bool
    endpoint_up: bool
    endpoint_closed: bool = False


SendLoad = Callable[[link_lib.Link, Snapshot], None]


class Dispatcher:
    """Queue, open attempts and slots of one endpoint.

    Attributes:
        queue: Attempts that wait for a slot.
        attempts: Open attempts by id, queued or running.
        in_flight: Number of attempts that occupy a slot.
        service_time: Moving average of the slot time of completed attempts.
        lock: Guards the queue, the attempts and their phases.
    """

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
        self.attempt_ended = threading.Condition(self.lock)
        self.queue: fair_queue.FairQueue[attempt_lib.Attempt] = (
            fair_queue.create_fair_queue(clock.monotonic())
        )
        self.attempts: dict[str, attempt_lib.Attempt] = {}
        self.in_flight = 0
        self.service_time = INITIAL_SERVICE_TIME
        self.draining = False
        self.stopped = False
        self.endpoint_up = True
        self.closed_time = endpoint_statements.create_closed_time()
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
        """Do nothing; the dispatcher is driven by messages."""

    def stop(self, limit: datetime.timedelta) -> None:
        """Refuse new work, wait for open attempts, then stop the runner."""
        self.start_drain()
        self.wait_until_idle(limit)
        self.stopped = True
        self.runner.stop()

    def start_drain(self) -> None:
        """Refuse all dispatches that arrive from now on."""
        with self.lock:
            self.draining = True

    def abandon(self) -> None:
        """End all open attempts, as the process stops.

        An attempt that the endpoint has not been called for has not run.
        """
        with self.lock:
            self.draining = True
            self.stopped = True
            for attempt in list(self.attempts.values()):
                if attempt.phase in (Phase.QUEUED, Phase.STARTING):
                    attempt.cancelled = True
                    self.queue.remove(attempt.dispatch.attempt_id)
                    self.end_refused(attempt, Reason.DRAINING, NOT_RUN)
                    continue
                # A non-idempotent call continues, so that its response is
                # recorded if it ends in time.
                if attempt.dispatch.idempotent and attempt.call is not None:
                    attempt.call.cancel()
                self.end_failed(attempt, Reason.DRAINING)
                attempt.suppress_messages = True

    def wait_until_idle(self, limit: datetime.timedelta) -> int:
        """Wait until no attempt is open; return the number still open."""
        with self.attempt_ended:
            self.attempt_ended.wait_for(
                lambda: not self.attempts, limit.total_seconds()
            )
            return len(self.attempts)

    def set_endpoint_up(self, up: bool) -> None:
        """Record whether the endpoint can be reached."""
        with self.lock:
            self.endpoint_up = up
            if up:
                self.closed_time.open()
                self.fill_slots()

    def record_answer(self, response: endpoint_port.CallResponse) -> None:
        """Call the endpoint no more for a time if a response says so.

        The queued attempts that cannot wait so long are refused.
        """
        statement = endpoint_statements.read_statement(
            response.status, response.headers
        )
        if statement is None:
            return
        now = self.clock.monotonic()
        with self.lock:
            if not self.closed_time.close(statement.closed_for, now):
                return
            event_log.emit(
                event_catalogue.ENDPOINT_CLOSED,
                leaving=statement.leaving,
                seconds=statement.closed_for.total_seconds(),
                queued=len(self.queue),
            )
            self.metrics.count("endpoint.closed")
            for attempt in list(self.attempts.values()):
                if (
                    attempt.phase is Phase.QUEUED
                    and attempt.deadline <= self.closed_time.until
                ):
                    self.queue.remove(attempt.dispatch.attempt_id)
                    self.end_refused(attempt, Reason.ENDPOINT_REFUSED, NOT_RUN)

    def snapshot(self) -> Snapshot:
        """Return the current load."""
        with self.lock:
            return Snapshot(
                self.in_flight,
                len(self.queue),
                self.view.slots(),
                self.service_time,
                self.draining,
                self.endpoint_up,
                bool(self.closed_time.left(self.clock.monotonic())),
            )

    def on_dispatch(
        self, link: link_lib.Link, dispatch: messages.Dispatch
    ) -> None:
        """Admit or refuse a dispatch; runs on the I/O thread of the links."""
        now = self.clock.monotonic()
        with self.lock:
            record = self.registry.find(dispatch.attempt_id, now)
            if self.is_open_on(link, dispatch.attempt_id):
                self.ignore_duplicate(dispatch)
            elif record is not None:
                self.refuse_recorded(link, dispatch, record)
            elif not self.registry.has_room(now):
                self.reply_refused(
                    link, dispatch, Reason.OVERLOADED, DEFAULT_RETRY_AFTER
                )
            else:
                self.admit(link, dispatch, now)
            self.send_load(link, self.snapshot())

    def on_cancel(self, link: link_lib.Link, cancel: messages.Cancel) -> None:
        """Cancel an attempt, even one not seen yet, and confirm its outcome."""
        with self.lock:
            attempt = self.attempts.get(cancel.attempt_id)
            if attempt is None:
                outcome = self.cancel_not_open(cancel.attempt_id)
            else:
                outcome = self.cancel_open(attempt)
            link.send(messages.CancelConfirmed(*cancel, outcome))

    def on_link_closed(self, link: link_lib.Link, _reason: str) -> None:
        """Cancel the attempts whose gateway is no longer connected."""
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
            # A time for which the endpoint wanted no calls may have ended.
            self.fill_slots()

    def is_open_on(self, link: link_lib.Link, attempt_id: str) -> bool:
        """Return whether an open attempt was dispatched on this link."""
        attempt = self.attempts.get(attempt_id)
        return attempt is not None and attempt.link is link

    def ignore_duplicate(self, dispatch: messages.Dispatch) -> None:
        """Log and count a duplicate of a dispatch whose attempt is open.

        A refusal would carry the same attempt id, so the gateway would give
        up the attempt that runs.
        """
        self.metrics.count("dispatch.repeated")
        event_log.emit(
            event_catalogue.DISPATCH_REPEATED,
            attempt=dispatch.attempt_id,
            team=dispatch.team,
        )

    def refuse_recorded(
        self,
        link: link_lib.Link,
        dispatch: messages.Dispatch,
        record: attempt_registry.AttemptRecord,
    ) -> None:
        """Refuse an attempt that has a record; report its recorded outcome."""
        cancelled = record.state is attempt_registry.AttemptState.CANCELLED
        reason = Reason.CANCELLED if cancelled else Reason.DUPLICATE_ATTEMPT
        event_log.emit(
            event_catalogue.ATTEMPT_REFUSED,
            attempt=dispatch.attempt_id,
            team=dispatch.team,
            reason=reason,
            state=record.state,
            outcome=record.outcome,
        )
        link.send(
            attempt_lib.build_refusal(
                dispatch, reason, record.outcome, NO_DELAY
            )
        )

    def admit(
        self,
        link: link_lib.Link,
        dispatch: messages.Dispatch,
        now: datetime.timedelta,
    ) -> None:
        """Queue or refuse an attempt that has no record yet."""
        load = self.describe_load(dispatch.team)
        remaining = datetime.timedelta(milliseconds=dispatch.remaining_ms)
        decision = self.decide(dispatch, load, remaining)
        if isinstance(decision, admission.Refuse):
            record = attempt_registry.finished(NOT_RUN)
            self.registry.close(dispatch.attempt_id, record, now)
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
            1 + len(dispatch.body) / BYTES_PER_COST_UNIT,
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
        """Check the dispatch, then the sidecar's state, then the load."""
        problem = admission.find_dispatch_problem(dispatch)
        if problem:
            admission_log.log_malformed(dispatch, problem)
            return admission.Refuse(Reason.BAD_REQUEST, NO_DELAY)
        reason = admission.find_unavailable_reason(
            admission.Conditions(
                self.draining,
                self.view.accepts_new_work(),
                self.endpoint_up,
                dispatch.service == self.configuration.service
                and self.view.is_known(),
            )
        )
        if reason is not None:
            return admission.Refuse(reason, DEFAULT_RETRY_AFTER)
        closed = self.closed_time.left(self.clock.monotonic())
        if closed and closed >= remaining:
            return admission.Refuse(Reason.ENDPOINT_REFUSED, closed)
        return admission.decide(load, remaining - closed)

    def describe_load(self, team: str) -> admission.Load:
        """Return the load as admission control sees it for a team."""
        return admission.Load(
            self.in_flight,
            len(self.queue),
            self.view.slots(),
            self.configuration.max_queue,
            self.service_time,
            self.queue.active_shares,
            self.queue.count_queued(team),
            self.view.shares_for(team),
        )

    def reply_refused(
        self,
        link: link_lib.Link,
        dispatch: messages.Dispatch,
        reason: outcomes.Reason,
        retry_after: datetime.timedelta,
    ) -> None:
        """Refuse a dispatch as not run, with jitter on the retry delay."""
        self.metrics.count(f"dispatch.refused.{reason}")
        link.send(
            attempt_lib.build_refusal(
                dispatch, reason, NOT_RUN, self.add_jitter(retry_after)
            )
        )

    def cancel_not_open(self, attempt_id: str) -> outcomes.Outcome:
        """Return the outcome of an attempt that is not open.

        An attempt without a record is recorded as cancelled, so that a
        dispatch that arrives later is refused.
        """
        now = self.clock.monotonic()
        record = self.registry.find(attempt_id, now)
        if record is not None:
            return record.outcome
        # A previous process may have run the attempt, unless this one has been
        # running for the entire retention period.
        complete = now - self.created_at >= attempt_registry.RETENTION
        outcome = NOT_RUN if complete else UNKNOWN
        cancelled = attempt_registry.cancelled(outcome)
        recorded = self.registry.close(attempt_id, cancelled, now)
        return outcome if recorded else UNKNOWN

    def cancel_open(self, attempt: attempt_lib.Attempt) -> outcomes.Outcome:
        """Cancel an open attempt; its phase decides the reported outcome."""
        attempt.suppress_messages = True
        if attempt.phase is Phase.QUEUED:
            attempt.cancelled = True
            self.queue.remove(attempt.dispatch.attempt_id)
            self.finish_attempt(attempt, attempt_registry.cancelled(NOT_RUN))
            return NOT_RUN
        if attempt.phase is Phase.STARTING:
            attempt.cancelled = True
            return NOT_RUN
        # A non-idempotent call continues, so that its response is recorded.
        if attempt.dispatch.idempotent and attempt.call is not None:
            attempt.call.cancel()
        return UNKNOWN

    def fill_slots(self) -> None:
        """Start queued attempts while there are free slots."""
        while not self.stopped and self.in_flight < self.view.slots():
            now = self.clock.monotonic()
            if self.closed_time.left(now):
                return
            queued = self.queue.pop(now)
            if queued is None:
                return
            attempt = queued.item
            attempt.phase = Phase.STARTING
            attempt.started_at = now
            self.in_flight += 1
            self.runner.start_attempt(attempt)

    def end_refused(
        self,
        attempt: attempt_lib.Attempt,
        reason: outcomes.Reason,
        outcome: outcomes.Outcome,
        detail: str = "",
    ) -> None:
        """End an attempt that the endpoint did not process."""
        retry_after = self.add_jitter(DEFAULT_RETRY_AFTER)
        with self.lock:
            if self.finish_attempt(
                attempt, attempt_registry.finished(outcome), reason
            ):
                attempt.send_refused(reason, outcome, retry_after, detail)
                self.send_load(attempt.link, self.snapshot())

    def end_failed(
        self, attempt: attempt_lib.Attempt, reason: outcomes.Reason
    ) -> None:
        """End an attempt that may have run without a complete response."""
        with self.lock:
            if self.finish_attempt(
                attempt, attempt_registry.finished(UNKNOWN), reason
            ):
                attempt.send_failed(
                    reason, self.add_jitter(DEFAULT_RETRY_AFTER)
                )
                self.send_load(attempt.link, self.snapshot())

    def end_completed(
        self, attempt: attempt_lib.Attempt, response: endpoint_port.CallResponse
    ) -> None:
        """End an attempt with a complete response."""
        with self.lock:
            if self.finish_attempt(attempt, attempt_registry.finished(RAN)):
                attempt.send_response(response)
                self.send_load(attempt.link, self.snapshot())

    def finish_attempt(
        self,
        attempt: attempt_lib.Attempt,
        record: attempt_registry.AttemptRecord,
        reason: str = "",
    ) -> bool:
        """Close an open attempt, free its slot and start queued attempts.

        Returns:
            False when the attempt had already ended.
        """
        if attempt.phase is Phase.ENDED:
            return False
        attempt.phase = Phase.ENDED
        now = self.clock.monotonic()
        attempt_id = attempt.dispatch.attempt_id
        self.registry.close(attempt_id, record, now)
        del self.attempts[attempt_id]
        if attempt.started_at is not None:
            self.in_flight -= 1
            if record.outcome is RAN:
                self.record_service_time(now - attempt.started_at)
        event_log.emit(
            event_catalogue.ATTEMPT_ENDED,
            attempt=attempt_id,
            team=attempt.dispatch.team,
            outcome=record.outcome,
            reason=reason,
            chunks=attempt.chunk_count,
        )
        self.fill_slots()
        self.attempt_ended.notify_all()
        return True

    def record_service_time(self, duration: datetime.timedelta) -> None:
        """Update the moving average of the service time."""
        self.metrics.timing("attempt.service_time", duration)
        step = (duration - self.service_time) * SERVICE_TIME_WEIGHT
        self.service_time += step

    def add_jitter(self, base: datetime.timedelta) -> datetime.timedelta:
        """Randomize a retry delay, so that clients do not return together."""
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
