"""Runs requests: attempts, retries and resumed streams.

The flow of a request is a generator that runs on the request's thread.
Closing it cancels the attempt in progress.
"""

from collections.abc import Generator
import datetime
import random
import threading
from typing import Final

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import identifiers
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import outcomes
from verbenafall_core.claims import model as claims_model
from verbenafall_gateway import event_catalogue
from verbenafall_gateway.choice import endpoint_view
from verbenafall_gateway.choice import routing
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import claim_settling
from verbenafall_gateway.delivery import direct_delivery
from verbenafall_gateway.delivery import flow_events
from verbenafall_gateway.delivery import open_attempts
from verbenafall_gateway.delivery import request_progress
from verbenafall_gateway.delivery import retry_budget
from verbenafall_gateway.delivery import retry_rules
from verbenafall_gateway.delivery import stream_assembly

# Share of the client's time that is reserved for the confirmation of a cancel,
# so that the final answer is sent before the deadline.
CANCEL_RESERVE_SHARE: Final = 0.1
MAX_CANCEL_RESERVE: Final = datetime.timedelta(milliseconds=100)
DEFAULT_RETRY_AFTER: Final = datetime.timedelta(seconds=1)

_ZERO: Final = datetime.timedelta()


class RequestFlow:
    """Runs requests; thread-safe.

    Attributes:
        abandoned: Whether open requests get their final answer at once, as
            this process stops.
    """

    def __init__(
        self,
        view: endpoint_view.EndpointView,
        claims: claims_model.Claims,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        data_centre: str,
        generator: random.Random,
    ) -> None:
        """Create a service without open requests."""
        self.view = view
        self.clock = clock
        self.metrics = metrics
        self.data_centre = data_centre
        self.generator = generator
        self.budget = retry_budget.create_retry_budget(clock)
        self.attempts = open_attempts.create_open_attempts(metrics)
        self.settling = claim_settling.create_claim_settling(claims, clock)
        self.lock = threading.Lock()
        self.open_keys: dict[tuple[str, str], int] = {}
        self.abandoned = False

    def attach(self, router: link_router.LinkRouter) -> None:
        """Subscribe to attempt messages on links."""
        self.attempts.attach(router)

    def start(self) -> None:
        """Do nothing; requests run on their callers' threads."""

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop settling claims; the HTTP server has drained requests before."""
        del limit  # The store's adapter limits the duration of a settle.
        self.settling.stop()

    def abandon(self) -> None:
        """End all open requests with a refusal, and start no attempts."""
        self.abandoned = True
        self.attempts.abandon()

    def run(
        self,
        request: request_progress.FlowRequest,
        client: direct_delivery.Client | None = None,
    ) -> flow_events.Flow:
        """Run a request; the last event is Complete or a Refusal.

        Args:
            request: The request.
            client: Gets the tokens of a resumable request directly instead
                of as events. The first token is still an event; direct
                delivery starts when the caller requests the event after it.
        """
        self.budget.record_request()
        remaining = request.deadline - self.clock.monotonic()
        reserve = min(
            max(remaining, _ZERO) * CANCEL_RESERVE_SHARE, MAX_CANCEL_RESERVE
        )
        started = self.clock.monotonic()
        progress = request_progress.Progress(
            request, request.deadline - reserve, started, client
        )
        key = (request.team, request.idempotency_key)
        self.add_open_key(key)
        try:
            yield from self.run_attempts(progress)
        finally:
            self.remove_open_key(key)
            duration = self.clock.monotonic() - started
            self.metrics.timing(f"request.{request.service}", duration)

    def run_attempts(
        self, progress: request_progress.Progress
    ) -> flow_events.Flow:
        """Run attempts until one completes or no retry is allowed."""
        while True:
            attempt = self.dispatch(progress)
            if attempt is None:
                yield self.refuse_without_endpoint(progress)
                return
            result = yield from self.relay_chunks(progress, attempt)
            if isinstance(result, attempt_events.Complete):
                yield result
                return
            if not self.may_retry(progress, result):
                yield self.refuse(progress, result)
                return
            progress.retries += 1
            if not progress.request.resumable:
                yield flow_events.Restarted()

    def add_open_key(self, key: tuple[str, str]) -> None:
        """Register that a request with this idempotency key is open."""
        if key[1]:
            with self.lock:
                self.open_keys[key] = self.open_keys.get(key, 0) + 1

    def remove_open_key(self, key: tuple[str, str]) -> None:
        """Unregister one request with this idempotency key."""
        if not key[1]:
            return
        with self.lock:
            self.open_keys[key] -= 1
            if not self.open_keys[key]:
                del self.open_keys[key]

    def is_key_open(self, team: str, key: str) -> bool:
        """Return whether a request with this key is open on this gateway."""
        with self.lock:
            return (team, key) in self.open_keys

    def dispatch(
        self, progress: request_progress.Progress
    ) -> open_attempts.OpenAttempt | None:
        """Send the request to an endpoint.

        Returns None if no endpoint is usable, the time is up or this process
        stops.
        """
        while (
            self.clock.monotonic() < progress.cancel_at and not self.abandoned
        ):
            choice = self.choose(progress)
            if choice is None:
                return None
            progress.tried |= {choice.endpoint.instance}
            link = self.view.open_attempt(choice.endpoint.address)
            if link is None:
                continue
            progress.attempts += 1
            attempt = open_attempts.OpenAttempt(
                identifiers.attempt_id(
                    progress.request.request_id, progress.attempts
                ),
                choice.endpoint.instance,
                link,
            )
            self.attempts.add(attempt)
            if self.abandoned:
                # It may have been added too late for abandon().
                self.discard(attempt)
                return None
            message = self.build_dispatch(progress, attempt.attempt_id)
            if link.send(message):
                return attempt
            # No byte was queued, so the request can go to another endpoint.
            self.discard(attempt)
        return None

    def choose(
        self, progress: request_progress.Progress
    ) -> routing.Choice | None:
        """Choose an endpoint and log the choice."""
        request = progress.request
        choice = routing.choose(
            self.view.snapshot(),
            request.service,
            self.data_centre,
            request.affinity,
            progress.tried,
            self.generator,
        )
        if choice is None:
            event_log.emit(
                event_catalogue.ROUTE_NOT_FOUND,
                request=request.request_id,
                service=request.service,
                tried=len(progress.tried),
            )
            return None
        event_log.emit(
            event_catalogue.ROUTE_CHOSEN,
            request=request.request_id,
            service=request.service,
            endpoint=choice.endpoint.instance,
            reason=choice.reason,
            load=choice.endpoint.load,
            load_limit=choice.load_limit,
            candidates=choice.candidates,
            resume_index=len(progress.delivered),
        )
        return choice

    def build_dispatch(
        self, progress: request_progress.Progress, attempt_id: str
    ) -> messages.Dispatch:
        """Build the dispatch message of an attempt."""
        request = progress.request
        remaining = progress.cancel_at - self.clock.monotonic()
        return messages.Dispatch(
            request_id=request.request_id,
            attempt_id=attempt_id,
            service=request.service,
            team=request.team,
            priority=request.priority,
            remaining_ms=max(1, int(remaining.total_seconds() * 1000)),
            idempotent=request.idempotent,
            idempotency_key=request.idempotency_key,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            resume_index=len(progress.delivered),
            resume_text="".join(progress.delivered),
        )

    def relay_chunks(
        self,
        progress: request_progress.Progress,
        attempt: open_attempts.OpenAttempt,
    ) -> Generator[
        flow_events.Delta | flow_events.ClientDisconnected,
        None,
        attempt_events.Complete | attempt_events.Broken,
    ]:
        """Deliver an attempt's chunks until it ends.

        If the attempt may still be running at the sidecar when this ends, for
        example because the flow was closed, it is cancelled.
        """
        progress.resume_index = len(progress.delivered)
        receiver = direct_delivery.Receiver(
            stream_assembly.create_assembly(
                attempt.attempt_id, progress.resume_index
            ),
            progress.client,
            progress.delivered,
        )
        open_at_sidecar = True
        try:
            while True:
                event = self.next_event(progress, attempt, receiver)
                if event is None:
                    open_at_sidecar = False
                    return self.cancel_expired(
                        progress, attempt, receiver.assembly
                    )
                if isinstance(event, flow_events.ClientDisconnected):
                    yield event
                    continue
                if isinstance(event, attempt_events.PartialWrite):
                    receiver.flush()
                reaction = attempt_events.react(event, receiver.assembly)
                if isinstance(reaction, attempt_events.Deliver):
                    receiver.assembly = reaction.assembly
                    self.record_delivered(progress, reaction.data)
                    yield flow_events.Delta(reaction.data)
                elif isinstance(reaction, attempt_events.Continue):
                    self.count_dropped(reaction)
                else:
                    open_at_sidecar = (
                        isinstance(reaction, attempt_events.Broken)
                        and reaction.open_at_sidecar
                    )
                    return reaction
        finally:
            self.discard(attempt)
            if open_at_sidecar:
                self.send_cancel(progress, attempt)

    def next_event(
        self,
        progress: request_progress.Progress,
        attempt: open_attempts.OpenAttempt,
        receiver: direct_delivery.Receiver,
    ) -> attempt_events.AttemptEvent | flow_events.ClientDisconnected | None:
        """Wait for an event; return None at the deadline.

        The first token of a request starts its answer, so only later tokens
        may be delivered directly by the link thread.
        """
        client = progress.client
        direct = client is not None and progress.answered
        check_client = direct_delivery.needs_disconnect_check(
            client, progress.answered
        )
        while True:
            left = progress.cancel_at - self.clock.monotonic()
            limit = direct_delivery.wait_timeout(left, check_client)
            event = attempt.next_event(limit, receiver if direct else None)
            if event is not None or limit == left:
                return event
            if client is not None and client.is_disconnected():
                return flow_events.ClientDisconnected()

    def record_delivered(
        self, progress: request_progress.Progress, data: bytes
    ) -> None:
        """Record a token for a possible resume; time the first token."""
        if not progress.answered:
            progress.answered = True
            time_to_first_chunk = self.clock.monotonic() - progress.started
            service = progress.request.service
            self.metrics.timing(f"first_chunk.{service}", time_to_first_chunk)
        if progress.request.resumable:
            progress.delivered.append(data.decode("utf-8", "replace"))

    def count_dropped(self, reaction: attempt_events.Continue) -> None:
        """Count a discarded chunk in the metrics."""
        if reaction.dropped:
            self.metrics.count("attempt.dropped_chunks")

    def discard(self, attempt: open_attempts.OpenAttempt) -> None:
        """Remove an attempt from the registry and its endpoint's count."""
        self.attempts.remove(attempt)
        self.view.close_attempt(attempt.link)

    def send_cancel(
        self,
        progress: request_progress.Progress,
        attempt: open_attempts.OpenAttempt,
    ) -> None:
        """Send the sidecar a request to cancel an attempt."""
        attempt.link.send(
            messages.Cancel(progress.request.request_id, attempt.attempt_id)
        )

    def cancel_expired(
        self,
        progress: request_progress.Progress,
        attempt: open_attempts.OpenAttempt,
        assembly: stream_assembly.Assembly,
    ) -> attempt_events.Complete | attempt_events.Broken:
        """Cancel an attempt at its deadline and determine whether it ran.

        An answer that was completed in the meantime is discarded, as its
        chunks would reach the client too late.
        """
        self.send_cancel(progress, attempt)
        outcome = attempt_events.effective_outcome(
            outcomes.Outcome.UNKNOWN, assembly
        )
        while True:
            event = attempt.next_event(
                progress.request.deadline - self.clock.monotonic()
            )
            if event is None:
                break
            if isinstance(event, messages.Chunk | messages.End):
                outcome = outcomes.Outcome.RAN
                break
            reaction = attempt_events.react(event, assembly)
            if isinstance(reaction, attempt_events.Broken):
                outcome = reaction.outcome
                break
        return attempt_events.Broken(
            outcome,
            outcomes.Reason.DEADLINE,
            "the request's deadline has passed",
            None,
            open_at_sidecar=False,
        )

    def may_retry(
        self, progress: request_progress.Progress, broken: attempt_events.Broken
    ) -> bool:
        """Settle a broken attempt; return whether to retry."""
        broken = self.settling.settle(progress, broken)
        progress.last = broken
        progress.outcome = retry_rules.more_severe(
            progress.outcome, broken.outcome
        )
        context = retry_rules.RetryContext(
            progress.request.idempotent,
            len(progress.delivered) > progress.resume_index,
            progress.retries,
            _ZERO
            if self.abandoned
            else progress.cancel_at - self.clock.monotonic(),
        )
        action = retry_rules.decide(broken, context)
        if (
            action is retry_rules.Action.RETRY_WITH_BUDGET
            and not self.budget.try_acquire()
        ):
            action = retry_rules.Action.GIVE_UP
        event_log.emit(
            event_catalogue.ATTEMPT_BROKEN,
            request=progress.request.request_id,
            attempt=progress.attempts,
            reason=broken.reason,
            outcome=broken.outcome,
            delivered=len(progress.delivered),
            action=action,
            detail=broken.message,
        )
        self.metrics.count(f"attempt.broken.{broken.reason}")
        return action is not retry_rules.Action.GIVE_UP

    def refuse(
        self, progress: request_progress.Progress, broken: attempt_events.Broken
    ) -> outcomes.Refusal:
        """Return the refusal that ends a request after a broken attempt."""
        return outcomes.Refusal(
            progress.outcome,
            broken.reason,
            broken.message,
            broken.retry_after or self.default_retry_after(),
        )

    def refuse_without_endpoint(
        self, progress: request_progress.Progress
    ) -> outcomes.Refusal:
        """Return the refusal for a request without a usable endpoint."""
        if self.clock.monotonic() >= progress.cancel_at:
            reason = outcomes.Reason.DEADLINE
            message = "the request's deadline has passed"
        elif progress.last is not None:
            reason = progress.last.reason
            message = f"{progress.last.message}; no other endpoint is left"
        elif self.abandoned:
            reason = outcomes.Reason.DRAINING
            message = "this gateway is stopping; use another connection"
        else:
            reason = outcomes.Reason.NO_ENDPOINT
            message = "no endpoint of the service can take the request now"
        retry_after = progress.last.retry_after if progress.last else None
        return outcomes.Refusal(
            progress.outcome,
            reason,
            message,
            retry_after or self.default_retry_after(),
        )

    def default_retry_after(self) -> datetime.timedelta:
        """Return a randomized delay for refusals that lack one."""
        return outcomes.jitter_retry_after(DEFAULT_RETRY_AFTER, self.generator)


def create_request_flow(
    view: endpoint_view.EndpointView,
    claims: claims_model.Claims,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    data_centre: str,
    generator: random.Random | None = None,
) -> RequestFlow:
    """Create a service without open requests."""
    return RequestFlow(
        view,
        claims,
        clock,
        metrics,
        data_centre,
        generator or random.Random(),
    )
