"""Attempts, retries and resume of one request.

The flow of a request is a generator that runs on the client's thread.
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

# Part of the client's time kept for a cancel to be confirmed, so that the
# final answer still comes before the deadline.
CANCEL_SHARE: Final = 0.1
CANCEL_LIMIT: Final = datetime.timedelta(milliseconds=100)
DEFAULT_RETRY_AFTER: Final = datetime.timedelta(seconds=1)

_ZERO: Final = datetime.timedelta()


class RequestFlow:
    """Runs requests; safe to use from any thread."""

    def __init__(
        self,
        view: endpoint_view.EndpointView,
        claims: claims_model.Claims,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        data_centre: str,
        generator: random.Random,
    ) -> None:
        """Create a flow service without requests."""
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

    def attach(self, router: link_router.LinkRouter) -> None:
        """Receive the messages about attempts."""
        self.attempts.attach(router)

    def start(self) -> None:
        """Do nothing; requests bring their own threads."""

    def stop(self, limit: datetime.timedelta) -> None:
        """End the threads; the HTTP server has waited for open requests."""
        del limit  # A settle in progress is bounded by the store's adapter.
        self.settling.stop()

    def run(
        self,
        request: request_progress.FlowRequest,
        client: direct_delivery.Client | None = None,
    ) -> flow_events.Flow:
        """Run a request; the last event is Complete or a Refusal.

        Args:
            request: The request.
            client: Takes tokens of a resumable request directly, so that
                they do not appear as events. This begins when the event of
                the first token has been used, and then the next is asked for.
        """
        self.budget.record_request()
        remaining = request.deadline - self.clock.monotonic()
        reserve = min(max(remaining, _ZERO) * CANCEL_SHARE, CANCEL_LIMIT)
        started = self.clock.monotonic()
        progress = request_progress.Progress(
            request, request.deadline - reserve, started, client
        )
        key = (request.team, request.idempotency_key)
        self.hold_key(key)
        try:
            yield from self.run_attempts(progress)
        finally:
            self.release_key(key)
            duration = self.clock.monotonic() - started
            self.metrics.timing(f"request.{request.service}", duration)

    def run_attempts(
        self, progress: request_progress.Progress
    ) -> flow_events.Flow:
        """Run attempts until one is complete or none may follow."""
        while True:
            attempt = self.dispatch(progress)
            if attempt is None:
                yield self.refuse_without_endpoint(progress)
                return
            result = yield from self.follow(progress, attempt)
            if isinstance(result, attempt_events.Complete):
                yield result
                return
            if not self.may_retry(progress, result):
                yield self.refuse(progress, result)
                return
            progress.retries += 1
            if not progress.request.resumable:
                yield flow_events.Restarted()

    def hold_key(self, key: tuple[str, str]) -> None:
        """Note that a request with this key is open."""
        if key[1]:
            with self.lock:
                self.open_keys[key] = self.open_keys.get(key, 0) + 1

    def release_key(self, key: tuple[str, str]) -> None:
        """Take back a note of an open key."""
        if not key[1]:
            return
        with self.lock:
            self.open_keys[key] -= 1
            if not self.open_keys[key]:
                del self.open_keys[key]

    def holds_key(self, team: str, key: str) -> bool:
        """Return whether a request with this key is open here."""
        with self.lock:
            return (team, key) in self.open_keys

    def dispatch(
        self, progress: request_progress.Progress
    ) -> open_attempts.OpenAttempt | None:
        """Hand the request to an endpoint's link; None without endpoint."""
        while self.clock.monotonic() < progress.cancel_at:
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
            message = self.build_dispatch(progress, attempt.attempt_id)
            if link.send(message):
                return attempt
            # No byte was handed over, so another endpoint may take it.
            self.forget(attempt)
        return None

    def choose(
        self, progress: request_progress.Progress
    ) -> routing.Choice | None:
        """Choose an endpoint and write the choice to the log."""
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
        """Return the message of an attempt."""
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

    def follow(
        self,
        progress: request_progress.Progress,
        attempt: open_attempts.OpenAttempt,
    ) -> Generator[
        flow_events.Delta | flow_events.ClientGone,
        None,
        attempt_events.Complete | attempt_events.Broken,
    ]:
        """Deliver an attempt's chunks until it ends."""
        progress.resume_index = len(progress.delivered)
        receiver = direct_delivery.Receiver(
            stream_assembly.begin(attempt.attempt_id, progress.resume_index),
            progress.client,
            progress.delivered,
        )
        open_at_sidecar = True
        try:
            while True:
                event = self.next_event(progress, attempt, receiver)
                if event is None:
                    open_at_sidecar = False
                    return self.cancel_late(
                        progress, attempt, receiver.assembly
                    )
                if isinstance(event, flow_events.ClientGone):
                    yield event
                    continue
                if isinstance(event, attempt_events.Unsent):
                    receiver.flush()
                reaction = attempt_events.react(event, receiver.assembly)
                if isinstance(reaction, attempt_events.Deliver):
                    receiver.assembly = reaction.assembly
                    self.note_delivered(progress, reaction.data)
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
            self.forget(attempt)
            if open_at_sidecar:
                self.send_cancel(progress, attempt)

    def next_event(
        self,
        progress: request_progress.Progress,
        attempt: open_attempts.OpenAttempt,
        receiver: direct_delivery.Receiver,
    ) -> attempt_events.AttemptEvent | flow_events.ClientGone | None:
        """Wait for an event; None at the deadline.

        The first token of a request begins its answer, so only later ones
        may go past the request thread.
        """
        client = progress.client
        direct = client is not None and progress.answered
        checked = direct_delivery.needs_check(client, progress.answered)
        while True:
            left = progress.cancel_at - self.clock.monotonic()
            limit = direct_delivery.wait_limit(left, checked)
            event = attempt.next_event(limit, receiver if direct else None)
            if event is not None or limit == left:
                return event
            if client is not None and client.is_gone():
                return flow_events.ClientGone()

    def note_delivered(
        self, progress: request_progress.Progress, data: bytes
    ) -> None:
        """Keep a token as the start of a resume, and time the first one."""
        if not progress.answered:
            progress.answered = True
            waited = self.clock.monotonic() - progress.started
            service = progress.request.service
            self.metrics.timing(f"first_chunk.{service}", waited)
        if progress.request.resumable:
            progress.delivered.append(data.decode("utf-8", "replace"))

    def count_dropped(self, reaction: attempt_events.Continue) -> None:
        """Count a chunk that was not used."""
        if reaction.dropped:
            self.metrics.count("attempt.dropped_chunks")

    def forget(self, attempt: open_attempts.OpenAttempt) -> None:
        """End the bookkeeping of an attempt."""
        self.attempts.remove(attempt)
        self.view.close_attempt(attempt.link)

    def send_cancel(
        self,
        progress: request_progress.Progress,
        attempt: open_attempts.OpenAttempt,
    ) -> None:
        """Ask the sidecar to give up an attempt."""
        attempt.link.send(
            messages.Cancel(progress.request.request_id, attempt.attempt_id)
        )

    def cancel_late(
        self,
        progress: request_progress.Progress,
        attempt: open_attempts.OpenAttempt,
        assembly: stream_assembly.Assembly,
    ) -> attempt_events.Complete | attempt_events.Broken:
        """Cancel an attempt at its deadline and learn whether it ran.

        An answer that became complete in the meantime is not used: its
        chunks would come after the time that the client allowed.
        """
        self.send_cancel(progress, attempt)
        outcome = attempt_events.known_outcome(
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
        """Settle a broken attempt; return whether another may follow."""
        broken = self.settling.settle(progress, broken)
        progress.last = broken
        progress.outcome = retry_rules.worse(progress.outcome, broken.outcome)
        situation = retry_rules.Situation(
            progress.request.idempotent,
            len(progress.delivered) > progress.resume_index,
            progress.retries,
            progress.cancel_at - self.clock.monotonic(),
        )
        action = retry_rules.decide(broken, situation)
        if (
            action is retry_rules.Action.RETRY_WITH_BUDGET
            and not self.budget.try_take()
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
        """Return the final answer after a broken attempt."""
        return outcomes.Refusal(
            progress.outcome,
            broken.reason,
            broken.message,
            broken.retry_after or self.default_retry_after(),
        )

    def refuse_without_endpoint(
        self, progress: request_progress.Progress
    ) -> outcomes.Refusal:
        """Return the final answer when no endpoint could take the request."""
        if self.clock.monotonic() >= progress.cancel_at:
            reason = outcomes.Reason.DEADLINE
            message = "the request's deadline has passed"
        elif progress.last is not None:
            reason = progress.last.reason
            message = f"{progress.last.message}; no other endpoint is left"
        else:
            reason = outcomes.Reason.NO_ENDPOINT
            message = "no endpoint of the service can take the request now"
        advised = progress.last.retry_after if progress.last else None
        return outcomes.Refusal(
            progress.outcome,
            reason,
            message,
            advised or self.default_retry_after(),
        )

    def default_retry_after(self) -> datetime.timedelta:
        """Return a spread delay for refusals without one of their own."""
        return outcomes.jitter_retry_after(DEFAULT_RETRY_AFTER, self.generator)


def create_request_flow(
    view: endpoint_view.EndpointView,
    claims: claims_model.Claims,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    data_centre: str,
    generator: random.Random | None = None,
) -> RequestFlow:
    """Create a flow service without requests."""
    return RequestFlow(
        view,
        claims,
        clock,
        metrics,
        data_centre,
        generator or random.Random(),
    )
