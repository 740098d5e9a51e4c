"""Port to the endpoint beside this sidecar, for any kind of endpoint."""

import datetime
from typing import NamedTuple
from typing import Protocol

from verbenafall_core import messages


class CallResponse(NamedTuple):
    """A complete answer.

    Attributes:
        body: Bytes that were not handed over as chunks before.
        finish_reason: Why a model stopped, empty for plain answers.
        prompt_tokens: Tokens of the prompt, 0 when the endpoint tells none.
    """

    status: int
    headers: messages.Headers
    body: bytes
    finish_reason: str
    prompt_tokens: int = 0


class CallFailure(NamedTuple):
    """A call without a complete answer.

    Attributes:
        sent: Whether the endpoint may have received the request.
    """

    sent: bool
    message: str


class CallSink(Protocol):
    """Receives the answer to a call, on the transfer thread.

    Must not block. Exactly one of on_end and on_failure is called, and it is
    the last call.
    """

    def on_chunk(self, data: bytes) -> None:
        """Take the text of the next token."""

    def on_response(self, end: CallResponse) -> None:
        """Take the end of a complete answer."""

    def on_failure(self, failure: CallFailure) -> None:
        """Take the failure of the call."""


class Call(Protocol):
    """A call that was begun."""

    def cancel(self) -> None:
        """End the call soon; the sink gets a failure unless it has ended."""


class Endpoint(Protocol):
    """Runs dispatched requests."""

    def start_call(
        self,
        dispatch: messages.Dispatch,
        limit: datetime.timedelta,
        sink: CallSink,
    ) -> Call:
        """Begin a call that fails when it takes longer than the limit.

        A call that is not idempotent reaches the endpoint at most once.
        """

    def probe(self) -> CallFailure | None:
        """Check that the endpoint can be reached; blocks for up to 1 s."""
