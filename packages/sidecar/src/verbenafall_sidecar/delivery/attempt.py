"""One admitted attempt and the messages about it to its gateway."""

import datetime
import enum
from typing import Final

from verbenafall_core import link as link_lib
from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_core.claims import model
from verbenafall_sidecar.endpoint import endpoint_port

# Well below the maximum message size, so that large responses do not delay
# the heartbeats on the same link.
MAX_CHUNK_BYTES: Final = 256 * 1024


class Phase(enum.StrEnum):
    """Progress of an attempt.

    QUEUED: Waits for a slot.
    STARTING: Has a slot; the endpoint has not been called.
    RUNNING: The endpoint may have been called.
    RECORDING: The endpoint has responded; the claim is being updated.
    ENDED: The outcome is final and the slot is free.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    RECORDING = "recording"
    ENDED = "ended"


class Attempt:
    """An admitted attempt.

    Attributes:
        deadline: Monotonic time after which the endpoint is not called.
        cancelled: The endpoint must not be called any more.
        suppress_messages: The gateway expects no more messages about the
            attempt.
        claim: The claim of the idempotency key, once it has been started.
        call: The call to the endpoint, once it has been made.
        started_at: Monotonic time at which the attempt got its slot.
    """

    def __init__(
        self,
        dispatch: messages.Dispatch,
        link: link_lib.Link,
        deadline: datetime.timedelta,
    ) -> None:
        """Create a queued attempt."""
        self.dispatch = dispatch
        self.link = link
        self.deadline = deadline
        self.phase = Phase.QUEUED
        self.cancelled = False
        self.suppress_messages = False
        self.claim: model.StartedClaim | None = None
        self.call: endpoint_port.Call | None = None
        self.started_at: datetime.timedelta | None = None
        self.chunk_count = 0
        self.byte_count = 0

    def send(self, message: messages.Message) -> None:
        """Send a message to the gateway unless messages are suppressed."""
        if not self.suppress_messages:
            self.link.send(message)

    def send_chunk(self, data: bytes) -> None:
        """Send a part of the response with the next sequence number."""
        dispatch = self.dispatch
        sequence = dispatch.resume_index + self.chunk_count
        self.chunk_count += 1
        self.byte_count += len(data)
        self.send(
            messages.Chunk(
                dispatch.request_id, dispatch.attempt_id, sequence, data
            )
        )

    def send_response(self, response: endpoint_port.CallResponse) -> None:
        """Send the body that was not streamed, then the End message."""
        for start in range(0, len(response.body), MAX_CHUNK_BYTES):
            self.send_chunk(response.body[start : start + MAX_CHUNK_BYTES])
        self.send(
            messages.End(
                self.dispatch.request_id,
                self.dispatch.attempt_id,
                self.chunk_count,
                self.byte_count,
                response.status,
                response.headers,
                response.finish_reason,
                response.prompt_tokens,
            )
        )

    def send_refused(
        self,
        reason: outcomes.Reason,
        outcome: outcomes.Outcome,
        retry_after: datetime.timedelta,
        detail: str = "",
    ) -> None:
        """Report that the endpoint did not process the attempt."""
        message = build_refusal(self.dispatch, reason, outcome, retry_after)
        self.send(message._replace(detail=detail))

    def send_failed(
        self, reason: outcomes.Reason, retry_after: datetime.timedelta
    ) -> None:
        """Report that the attempt was interrupted and may have run."""
        self.send(
            messages.Failed(
                self.dispatch.request_id,
                self.dispatch.attempt_id,
                outcomes.Outcome.UNKNOWN,
                reason,
                self.chunk_count,
                to_ms(retry_after),
            )
        )


def build_refusal(
    dispatch: messages.Dispatch,
    reason: outcomes.Reason,
    outcome: outcomes.Outcome,
    retry_after: datetime.timedelta,
) -> messages.Refused:
    """Build the message that refuses a dispatch."""
    return messages.Refused(
        dispatch.request_id,
        dispatch.attempt_id,
        reason,
        outcome,
        to_ms(retry_after),
    )


def to_ms(duration: datetime.timedelta) -> int:
    """Convert to milliseconds, rounding down."""
    return duration // datetime.timedelta(milliseconds=1)
