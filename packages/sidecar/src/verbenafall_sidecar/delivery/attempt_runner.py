"""Runs attempts: claims the key, calls the endpoint, records the response.

The phase changes under the lock shared with the dispatcher. A cancel can
therefore report "not run" only if the endpoint has not been called.
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

# A non-idempotent call may exceed the client's deadline by this much, so that
# its response can still be recorded for the client's next request.
RECORD_GRACE: Final = datetime.timedelta(seconds=30)
MAX_CALL_THREADS: Final = 4
MAX_CLAIM_THREADS: Final = 32

NOT_RUN: Final = outcomes.Outcome.NOT_RUN
Reason = outcomes.Reason
Phase = attempt_lib.Phase


class AttemptCallbacks(claim_results.ClaimCallbacks, Protocol):
    """Ends attempts: reports to the gateway and frees the slot."""

    def end_failed(
        self, attempt: attempt_lib.Attempt, reason: outcomes.Reason
    ) -> None:
        """End an attempt that may have run without a complete response."""

    def record_answer(self, response: endpoint_port.CallResponse) -> None:
        """Record what the endpoint says of itself in a response."""


class AttemptRunner:
    """Runs attempts that have been assigned a slot."""

    def __init__(
        self,
        callbacks: AttemptCallbacks,
        endpoint: endpoint_port.Endpoint,
        claims: model.Claims,
        endpoint_name: str,
        is_engine: bool,
        lock: threading.RLock,
        clock: clock_lib.Clock,
    ) -> None:
        """Create a runner; the lock is the one that guards the attempts."""
        self.callbacks = callbacks
        self.endpoint = endpoint
        self.claims = claims
        self.endpoint_name = endpoint_name
        self.is_engine = is_engine
        self.lock = lock
        self.clock = clock
        # Claims have their own threads, so that an unresponsive object store
        # does not delay idempotent attempts.
        self.call_pool: concurrent.futures.Executor = (
            concurrent.futures.ThreadPoolExecutor(MAX_CALL_THREADS, "calls")
        )
        self.claim_pool: concurrent.futures.Executor = (
            concurrent.futures.ThreadPoolExecutor(MAX_CLAIM_THREADS, "claims")
        )

    def start_attempt(self, attempt: attempt_lib.Attempt) -> None:
        """Schedule the claim or, if idempotent, the call; does not block."""
        if attempt.dispatch.idempotent:
            self.submit(self.call_pool, attempt, self.call)
        else:
            self.submit(self.claim_pool, attempt, self.claim)

    def stop(self) -> None:
        """Discard the scheduled tasks and accept no more."""
        self.call_pool.shutdown(wait=False, cancel_futures=True)
        self.claim_pool.shutdown(wait=False, cancel_futures=True)

    def submit(
        self,
        pool: concurrent.futures.Executor,
        attempt: attempt_lib.Attempt,
        step: Callable[[attempt_lib.Attempt], None],
    ) -> None:
        """Run a task on a pool; an exception fails the attempt."""

        def run() -> None:
            try:
                step(attempt)
            except Exception as error:  # Otherwise the slot would leak.
                event_log.emit(
                    event_catalogue.ATTEMPT_CRASHED,
                    attempt=attempt.dispatch.attempt_id,
                    error=repr(error),
                )
                self.callbacks.end_failed(attempt, Reason.ENDPOINT_FAILED)

        pool.submit(run)

    def claim(self, attempt: attempt_lib.Attempt) -> None:
        """Claim the idempotency key, then act on the result of the claim."""
        with self.lock:
            reason = self.find_skip_reason(attempt)
        if reason is not None:
            self.end_not_run(attempt, reason)
            return
        dispatch = attempt.dispatch
        result = self.claims.start(
            dispatch.team,
            dispatch.idempotency_key,
            dispatch.attempt_id,
            model.digest_request(dispatch.method, dispatch.path, dispatch.body),
            self.endpoint_name,
        )
        claim_results.continue_attempt(
            result, self.call, self.callbacks, attempt
        )

    def call(self, attempt: attempt_lib.Attempt) -> None:
        """Call the endpoint unless cancelled or past the deadline."""
        with self.lock:
            reason = self.find_skip_reason(attempt)
            if reason is None:
                # From here on, a cancel no longer reports "not run".
                attempt.phase = Phase.RUNNING
        if reason is not None:
            self.end_not_run(attempt, reason)
            return
        limit = attempt.deadline - self.clock.monotonic()
        if not attempt.dispatch.idempotent:
            limit += RECORD_GRACE
        sink = AttemptSink(self, attempt)
        try:
            call = self.endpoint.start_call(attempt.dispatch, limit, sink)
        except ValueError:
            self.end_not_run(attempt, Reason.BAD_REQUEST)
            return
        with self.lock:
            attempt.call = call
            if attempt.suppress_messages and attempt.dispatch.idempotent:
                call.cancel()

    def find_skip_reason(
        self, attempt: attempt_lib.Attempt
    ) -> outcomes.Reason | None:
        """Return why not to call the endpoint; the caller must hold the lock.

        An expired attempt is marked as cancelled.
        """
        if attempt.cancelled:
            return Reason.CANCELLED
        if attempt.deadline <= self.clock.monotonic():
            attempt.cancelled = True
            return Reason.DEADLINE
        return None

    def handle_response(
        self, attempt: attempt_lib.Attempt, response: endpoint_port.CallResponse
    ) -> None:
        """Send a complete response, after recording it if there is a claim."""
        self.callbacks.record_answer(response)
        if self.is_engine and response.status != engine_errors.STATUS_OK:
            self.handle_error_response(attempt, response)
        elif attempt.claim is None:
            self.callbacks.end_completed(attempt, response)
        else:
            with self.lock:
                attempt.phase = Phase.RECORDING
            record = functools.partial(self.record, response=response)
            self.submit(self.claim_pool, attempt, record)

    def handle_error_response(
        self, attempt: attempt_lib.Attempt, response: endpoint_port.CallResponse
    ) -> None:
        """Refuse or fail an attempt whose engine returned an error status."""
        if not engine_errors.is_bad_request(response.status):
            self.callbacks.end_failed(attempt, Reason.ENDPOINT_FAILED)
            return
        end_attempt = functools.partial(
            self.end_not_run,
            reason=Reason.BAD_REQUEST,
            detail=engine_errors.read_message(response.body),
        )
        self.submit(self.select_pool(attempt), attempt, end_attempt)

    def record(
        self, attempt: attempt_lib.Attempt, response: endpoint_port.CallResponse
    ) -> None:
        """Store the response with the claim, then send it to the gateway."""
        if attempt.claim is not None:
            answer = model.StoredAnswer(
                response.status, response.headers, response.body
            )
            self.claims.finish(attempt.claim, answer)
        self.callbacks.end_completed(attempt, response)

    def handle_failure(
        self,
        attempt: attempt_lib.Attempt,
        failure: endpoint_port.CallFailure,
    ) -> None:
        """End an attempt whose call failed, as not run if nothing was sent."""
        if not failure.sent:
            end_attempt = functools.partial(
                self.end_not_run, reason=Reason.ENDPOINT_REFUSED
            )
            self.submit(self.select_pool(attempt), attempt, end_attempt)
            return
        late = attempt.deadline <= self.clock.monotonic()
        reason = Reason.DEADLINE if late else Reason.ENDPOINT_FAILED
        self.callbacks.end_failed(attempt, reason)

    def select_pool(
        self, attempt: attempt_lib.Attempt
    ) -> concurrent.futures.Executor:
        """Return the claim pool if the attempt has a claim to update."""
        return self.call_pool if attempt.claim is None else self.claim_pool

    def end_not_run(
        self,
        attempt: attempt_lib.Attempt,
        reason: outcomes.Reason,
        detail: str = "",
    ) -> None:
        """Abandon the claim and end an attempt that certainly did not run."""
        if attempt.claim is not None:
            self.claims.abandon(attempt.claim)
        self.callbacks.end_refused(attempt, reason, NOT_RUN, detail)


class AttemptSink:
    """Forwards the endpoint's response to the gateway."""

    def __init__(
        self, runner: AttemptRunner, attempt: attempt_lib.Attempt
    ) -> None:
        """Create the sink for one call of the attempt."""
        self.runner = runner
        self.attempt = attempt

    def on_chunk(self, data: bytes) -> None:
        """Send a chunk to the gateway at once."""
        self.attempt.send_chunk(data)

    def on_response(self, response: endpoint_port.CallResponse) -> None:
        """Hand the complete response to the runner."""
        self.runner.handle_response(self.attempt, response)

    def on_failure(self, failure: endpoint_port.CallFailure) -> None:
        """Hand the failure to the runner."""
        self.runner.handle_failure(self.attempt, failure)


def create_attempt_runner(
    callbacks: AttemptCallbacks,
    endpoint: endpoint_port.Endpoint,
    claims: model.Claims,
    endpoint_name: str,
    is_engine: bool,
    lock: threading.RLock,
    clock: clock_lib.Clock,
) -> AttemptRunner:
    """Create a runner; the lock is the one that guards the attempts."""
    return AttemptRunner(
        callbacks, endpoint, claims, endpoint_name, is_engine, lock, clock
    )
