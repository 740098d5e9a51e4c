"""Runs one attempt: claims its key, calls the endpoint, records the answer.

The phase changes under the lock that the dispatcher shares, so that a report
that an attempt did not run is made only while its call has not begun.
"""

from collections.abc import Callable
import concurrent.futures
import datetime
import functools
import threading
from typing import Final
from typing import Protocol

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import outcomes
from verbenafall_core.claims import model
from verbenafall_sidecar import event_catalogue
from verbenafall_sidecar.delivery import attempt as attempt_lib
from verbenafall_sidecar.delivery import claim_results
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import engine_errors

# A call that must not be repeated is not cut off at the client's deadline,
# so that its answer can still be recorded for the client's next request.
RECORD_GRACE: Final = datetime.timedelta(seconds=30)
MAX_CALL_THREADS: Final = 4
MAX_CLAIM_THREADS: Final = 32

NOT_RUN: Final = outcomes.Outcome.NOT_RUN
Reason = outcomes.Reason
Phase = attempt_lib.Phase


class AttemptEnds(claim_results.ClaimEnds, Protocol):
    """Ends attempts: tells the gateway and passes the slot on."""

    def end_failed(
        self, attempt: attempt_lib.Attempt, reason: outcomes.Reason
    ) -> None:
        """End an attempt that may have run."""


class AttemptRunner:
    """Runs attempts that were given a slot."""

    def __init__(
        self,
        ends: AttemptEnds,
        endpoint: endpoint_port.Endpoint,
        claims: model.Claims,
        endpoint_name: str,
        is_engine: bool,
        lock: threading.RLock,
        clock: clock_lib.Clock,
    ) -> None:
        """Create a runner without attempts."""
        self.ends = ends
        self.endpoint = endpoint
        self.claims = claims
        self.endpoint_name = endpoint_name
        self.is_engine = is_engine
        self.lock = lock
        self.clock = clock
        # A store that does not answer must not hold up idempotent work.
        self.call_pool: concurrent.futures.Executor = (
            concurrent.futures.ThreadPoolExecutor(MAX_CALL_THREADS, "calls")
        )
        self.claim_pool: concurrent.futures.Executor = (
            concurrent.futures.ThreadPoolExecutor(MAX_CLAIM_THREADS, "claims")
        )

    def start_attempt(self, attempt: attempt_lib.Attempt) -> None:
        """Begin the first step of an attempt; does not block."""
        if attempt.dispatch.idempotent:
            self.submit(self.call_pool, attempt, self.call)
        else:
            self.submit(self.claim_pool, attempt, self.claim)

    def stop(self) -> None:
        """Begin no further steps."""
        self.call_pool.shutdown(wait=False, cancel_futures=True)
        self.claim_pool.shutdown(wait=False, cancel_futures=True)

    def submit(
        self,
        pool: concurrent.futures.Executor,
        attempt: attempt_lib.Attempt,
        step: Callable[[attempt_lib.Attempt], None],
    ) -> None:
        """Run a step of an attempt on a pool."""

        def run() -> None:
            try:
                step(attempt)
            except Exception as error:  # Others must not lose their slots.
                event_log.emit(
                    event_catalogue.ATTEMPT_CRASHED,
                    attempt=attempt.dispatch.attempt_id,
                    error=repr(error),
                )
                self.ends.end_failed(attempt, Reason.ENDPOINT_FAILED)

        pool.submit(run)

    def claim(self, attempt: attempt_lib.Attempt) -> None:
        """Claim the attempt's key, then call the endpoint if it may run."""
        with self.lock:
            reason = self.find_late_reason(attempt)
        if reason is not None:
            self.end_unsent(attempt, reason)
            return
        dispatch = attempt.dispatch
        result = self.claims.start(
            dispatch.team,
            dispatch.idempotency_key,
            dispatch.attempt_id,
            model.digest_request(dispatch.method, dispatch.path, dispatch.body),
            self.endpoint_name,
        )
        claim_results.apply(result, self.call, self.ends, attempt)

    def call(self, attempt: attempt_lib.Attempt) -> None:
        """Call the endpoint unless it is too late."""
        with self.lock:
            reason = self.find_late_reason(attempt)
            if reason is None:
                # From here on a cancel does not report "not run".
                attempt.phase = Phase.RUNNING
        if reason is not None:
            self.end_unsent(attempt, reason)
            return
        limit = attempt.deadline - self.clock.monotonic()
        if not attempt.dispatch.idempotent:
            limit += RECORD_GRACE
        sink = AttemptSink(self, attempt)
        try:
            call = self.endpoint.start_call(attempt.dispatch, limit, sink)
        except ValueError:
            self.end_unsent(attempt, Reason.BAD_REQUEST)
            return
        with self.lock:
            attempt.call = call
            if attempt.muted and attempt.dispatch.idempotent:
                call.cancel()

    def find_late_reason(
        self, attempt: attempt_lib.Attempt
    ) -> outcomes.Reason | None:
        """Return why an attempt may not be started; hold the lock."""
        if attempt.cancelled:
            return Reason.CANCELLED
        if attempt.deadline <= self.clock.monotonic():
            attempt.cancelled = True
            return Reason.DEADLINE
        return None

    def finish_call(
        self, attempt: attempt_lib.Attempt, end: endpoint_port.CallResponse
    ) -> None:
        """Handle a complete answer of the endpoint."""
        if self.is_engine and end.status != engine_errors.OK:
            self.finish_error(attempt, end)
        elif attempt.claim is None:
            self.ends.end_answered(attempt, end)
        else:
            with self.lock:
                attempt.phase = Phase.RECORDING
            record = functools.partial(self.record, end=end)
            self.submit(self.claim_pool, attempt, record)

    def finish_error(
        self, attempt: attempt_lib.Attempt, end: endpoint_port.CallResponse
    ) -> None:
        """Handle an engine's error answer, which has no tokens."""
        if not engine_errors.is_bad_request(end.status):
            self.ends.end_failed(attempt, Reason.ENDPOINT_FAILED)
            return
        unsent = functools.partial(
            self.end_unsent,
            reason=Reason.BAD_REQUEST,
            detail=engine_errors.read_message(end.body),
        )
        self.submit(self.pool_of(attempt), attempt, unsent)

    def record(
        self, attempt: attempt_lib.Attempt, end: endpoint_port.CallResponse
    ) -> None:
        """Record the answer with the claim, then send it."""
        if attempt.claim is not None:
            answer = model.StoredAnswer(end.status, end.headers, end.body)
            self.claims.finish(attempt.claim, answer)
        self.ends.end_answered(attempt, end)

    def fail_call(
        self,
        attempt: attempt_lib.Attempt,
        failure: endpoint_port.CallFailure,
    ) -> None:
        """Handle a call without a complete answer."""
        if not failure.sent:
            unsent = functools.partial(
                self.end_unsent, reason=Reason.ENDPOINT_REFUSED
            )
            self.submit(self.pool_of(attempt), attempt, unsent)
            return
        late = attempt.deadline <= self.clock.monotonic()
        reason = Reason.DEADLINE if late else Reason.ENDPOINT_FAILED
        self.ends.end_failed(attempt, reason)

    def pool_of(
        self, attempt: attempt_lib.Attempt
    ) -> concurrent.futures.Executor:
        """Return the pool for the next step of an attempt."""
        return self.call_pool if attempt.claim is None else self.claim_pool

    def end_unsent(
        self,
        attempt: attempt_lib.Attempt,
        reason: outcomes.Reason,
        detail: str = "",
    ) -> None:
        """End an attempt that the endpoint provably did not process."""
        if attempt.claim is not None:
            self.claims.abandon(attempt.claim)
        self.ends.end_refused(attempt, reason, NOT_RUN, detail)


class AttemptSink:
    """Passes the endpoint's answer on to the gateway."""

    def __init__(
        self, runner: AttemptRunner, attempt: attempt_lib.Attempt
    ) -> None:
        """Create a sink for an attempt that is running."""
        self.runner = runner
        self.attempt = attempt

    def on_chunk(self, data: bytes) -> None:
        """Send the text of the next token."""
        self.attempt.send_chunk(data)

    def on_response(self, end: endpoint_port.CallResponse) -> None:
        """Handle a complete answer."""
        self.runner.finish_call(self.attempt, end)

    def on_failure(self, failure: endpoint_port.CallFailure) -> None:
        """Handle a call without a complete answer."""
        self.runner.fail_call(self.attempt, failure)


def create_attempt_runner(
    ends: AttemptEnds,
    endpoint: endpoint_port.Endpoint,
    claims: model.Claims,
    endpoint_name: str,
    is_engine: bool,
    lock: threading.RLock,
    clock: clock_lib.Clock,
) -> AttemptRunner:
    """Create a runner; its lock is the one that guards the attempts."""
    return AttemptRunner(
        ends, endpoint, claims, endpoint_name, is_engine, lock, clock
    )
