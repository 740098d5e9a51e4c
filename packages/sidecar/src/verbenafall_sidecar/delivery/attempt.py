"""One dispatched attempt and the messages about it."""

import datetime
import enum
from typing import Final

from verbenafall_core import link as link_lib
from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_core.claims import model
from verbenafall_sidecar.endpoint import endpoint_port

# Well below the limit of a message, so that heartbeats are not held up.
PART_BYTES: Final = 256 * 1024


class Phase(enum.StrEnum):
    """Progress of an attempt.

    QUEUED: Waits for a slot.
    STARTING: Has a slot; the endpoint has not been called.
    RUNNING: The endpoint may have been called.
    RECORDING: The endpoint has answered; the claim is being updated.
    ENDED: Nothing more happens.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    RECORDING = "recording"
    ENDED = "ended"


class Attempt:
    """An attempt that was admitted.

    Attributes:
        deadline: Reading of the monotonic clock.
        cancelled: The attempt must not be started.
        muted: The gateway expects no more messages about the attempt.
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
        self.muted = False
        self.claim: model.StartedClaim | None = None
        self.call: endpoint_port.Call | None = None
        self.started_at: datetime.timedelta | None = None
        self.chunk_count = 0
        self.byte_count = 0

    def send(self, message: messages.Message) -> None:
        """Send a message unless the gateway expects no more."""
        if not self.muted:
            self.link.send(message)

    def send_chunk(self, data: bytes) -> None:
        """Send the next part of the answer."""
        dispatch = self.dispatch
        sequence = dispatch.resume_index + self.chunk_count
        self.chunk_count += 1
        self.byte_count += len(data)
        self.send(
            messages.Chunk(
                dispatch.request_id, dispatch.attempt_id, sequence, data
            )
        )

    def send_answer(self, end: endpoint_port.CallResponse) -> None:
        """Send the rest of the answer and its end."""
        for start in range(0, len(end.body), PART_BYTES):
            self.send_chunk(end.body[start : start + PART_BYTES])
        self.send(
            messages.End(
                self.dispatch.request_id,
                self.dispatch.attempt_id,
                self.chunk_count,
                self.byte_count,
                end.status,
                end.headers,
                end.finish_reason,
                end.prompt_tokens,
            )
        )

    def send_refused(
        self,
        reason: outcomes.Reason,
        outcome: outcomes.Outcome,
        retry_after: datetime.timedelta,
        detail: str = "",
    ) -> None:
        """Report that the attempt was not started."""
        message = refused(self.dispatch, reason, outcome, retry_after)
        self.send(message._replace(detail=detail))

    def send_failed(
        self, reason: outcomes.Reason, retry_after: datetime.timedelta
    ) -> None:
        """Report that the attempt broke off and may have run."""
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


def refused(
    dispatch: messages.Dispatch,
    reason: outcomes.Reason,
    outcome: outcomes.Outcome,
    retry_after: datetime.timedelta,
) -> messages.Refused:
    """Return the refusal of a dispatch."""
    return messages.Refused(
        dispatch.request_id,
        dispatch.attempt_id,
        reason,
        outcome,
        to_ms(retry_after),
    )


def to_ms(duration: datetime.timedelta) -> int:
    """Return whole milliseconds."""
    return duration // datetime.timedelta(milliseconds=1)
