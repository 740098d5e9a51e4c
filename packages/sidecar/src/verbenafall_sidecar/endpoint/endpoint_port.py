"""Interface between the sidecar and its endpoint, of any kind."""

import datetime
from typing import NamedTuple
from typing import Protocol

from verbenafall_core import messages


class CallResponse(NamedTuple):
    """A complete response.

    Attributes:
        body: The bytes that were not delivered as chunks.
        finish_reason: Why the model stopped; empty for plain services.
        prompt_tokens: Tokens of the prompt; 0 if not reported.
    """

    status: int
    headers: messages.Headers
    body: bytes
    finish_reason: str
    prompt_tokens: int = 0


class CallFailure(NamedTuple):
    """A call without a complete response.

    Attributes:
        sent: Whether the endpoint may have received the request.
    """

    sent: bool
    message: str


class CallSink(Protocol):
    """Receives the response to a call, on the transfer thread.

    Must not block. The last call is exactly one of on_response and
    on_failure.
    """

    def on_chunk(self, data: bytes) -> None:
        """Receive the text of the next token."""

    def on_response(self, response: CallResponse) -> None:
        """Receive the complete response, without the chunks."""

    def on_failure(self, failure: CallFailure) -> None:
        """Receive the failure of the call."""


class Call(Protocol):
    """A call that has been started."""

    def cancel(self) -> None:
        """Abort the call; the sink receives a failure unless it has ended."""


class Endpoint(Protocol):
    """Processes dispatched requests."""

    def start_call(
        self,
        dispatch: messages.Dispatch,
        limit: datetime.timedelta,
        sink: CallSink,
    ) -> Call:
        """Start a call that fails if it takes longer than the time limit.

        A call that is not idempotent reaches the endpoint at most once.
        """

    def probe(self) -> CallFailure | None:
        """Check that the endpoint can be reached; blocks for up to 1 s."""
