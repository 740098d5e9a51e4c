"""A validated request and its state across attempts."""

import datetime
from typing import NamedTuple

from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import direct_delivery


class FlowRequest(NamedTuple):
    """A validated request.

    Attributes:
        deadline: Deadline as a reading of the monotonic clock.
        affinity: Start of the prompt; empty for no affinity.
        resumable: Whether chunks are tokens from which another endpoint can
            continue. Otherwise, a retry starts over.
    """

    request_id: str
    service: str
    team: str
    priority: int
    deadline: datetime.timedelta
    idempotent: bool
    idempotency_key: str
    method: str
    path: str
    headers: messages.Headers
    body: bytes
    affinity: str
    resumable: bool


class Progress:
    """Mutable state of a request across its attempts.

    Attributes:
        cancel_at: When to cancel the attempt in progress, shortly before the
            deadline.
        delivered: Tokens delivered so far; kept only if resumable.
        resume_index: Number of tokens delivered before the last attempt.
        tried: Names of the instances chosen so far.
        outcome: Most severe outcome of the attempts so far.
        last: Most recent broken attempt.
    """

    def __init__(
        self,
        request: FlowRequest,
        cancel_at: datetime.timedelta,
        started: datetime.timedelta,
        client: direct_delivery.Client | None = None,
    ) -> None:
        """Create the state before the first attempt."""
        self.request = request
        self.client = client
        self.cancel_at = cancel_at
        self.started = started
        self.answered = False
        self.delivered: list[str] = []
        self.resume_index = 0
        self.tried: frozenset[str] = frozenset()
        self.attempts = 0
        self.retries = 0
        self.outcome = outcomes.Outcome.NOT_RUN
        self.last: attempt_events.Broken | None = None
