"""Events of an attempt and how the gateway reacts to them (no I/O)."""

import datetime
import functools
from typing import Any
from typing import NamedTuple

from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_gateway.delivery import stream_assembly


class LinkClosed(NamedTuple):
    """The link that carries the attempt was closed."""

    reason: str


class PartialWrite(NamedTuple):
    """A token was written in part; the rest must be flushed."""


class Continue(NamedTuple):
    """Nothing to deliver.

    Attributes:
        dropped: Whether the event was a chunk that must be discarded.
    """

    dropped: bool


class Deliver(NamedTuple):
    """The next part of the answer."""

    assembly: stream_assembly.Assembly
    data: bytes


class Usage(NamedTuple):
    """Token counts of a chat answer, over all attempts of its request."""

    prompt_tokens: int
    completion_tokens: int


class Complete(NamedTuple):
    """The answer is complete.

    Attributes:
        usage: None if the endpoint did not report prompt tokens.
    """

    status: int
    headers: messages.Headers
    finish_reason: str
    usage: Usage | None = None


class Broken(NamedTuple):
    """The attempt ended without a complete answer.

    Attributes:
        open_at_sidecar: The sidecar may still work on the attempt.
    """

    outcome: outcomes.Outcome
    reason: outcomes.Reason
    message: str
    retry_after: datetime.timedelta | None
    open_at_sidecar: bool


Reaction = Continue | Deliver | Complete | Broken
AttemptEvent = (
    messages.Accepted
    | messages.Refused
    | messages.Chunk
    | messages.End
    | messages.Failed
    | messages.CancelConfirmed
    | LinkClosed
    | PartialWrite
)


@functools.singledispatch
def react(event: Any, assembly: stream_assembly.Assembly) -> Reaction:
    """Return what the gateway does in response to an event.

    Args:
        event: An AttemptEvent.
        assembly: The attempt's chunks so far.
    """
    raise TypeError(f"not an attempt event: {type(event).__name__} {assembly}")


@react.register
def _(_event: messages.Accepted, _: stream_assembly.Assembly) -> Reaction:
    return Continue(dropped=False)


@react.register
def _(event: messages.Refused, assembly: stream_assembly.Assembly) -> Reaction:
    return Broken(
        effective_outcome(event.outcome, assembly),
        event.reason,
        describe_refusal(event),
        to_delay(event.retry_after_ms),
        open_at_sidecar=False,
    )


@react.register
def _(event: messages.Chunk, assembly: stream_assembly.Assembly) -> Reaction:
    step = stream_assembly.check_chunk(assembly, event)
    if step.verdict is stream_assembly.Verdict.DELIVER:
        return Deliver(step.assembly, event.data)
    if step.verdict is stream_assembly.Verdict.DROP:
        return Continue(dropped=True)
    return Broken(
        outcomes.Outcome.RAN,
        outcomes.Reason.ENDPOINT_FAILED,
        f"chunk {event.sequence} came in place of {assembly.next_sequence}",
        None,
        open_at_sidecar=True,
    )


@react.register
def _(event: messages.End, assembly: stream_assembly.Assembly) -> Reaction:
    if stream_assembly.is_complete(assembly, event):
        return Complete(
            event.status,
            event.headers,
            event.finish_reason,
            read_usage(event, assembly),
        )
    return Broken(
        outcomes.Outcome.RAN,
        outcomes.Reason.ENDPOINT_FAILED,
        "the answer's totals do not match its chunks",
        None,
        open_at_sidecar=False,
    )


@react.register
def _(event: messages.Failed, assembly: stream_assembly.Assembly) -> Reaction:
    return Broken(
        effective_outcome(event.outcome, assembly),
        event.reason,
        f"the attempt failed on its endpoint: {event.reason}",
        to_delay(event.retry_after_ms),
        open_at_sidecar=False,
    )


@react.register
def _(
    event: messages.CancelConfirmed, assembly: stream_assembly.Assembly
) -> Reaction:
    return Broken(
        effective_outcome(event.outcome, assembly),
        outcomes.Reason.CANCELLED,
        "the attempt was cancelled",
        None,
        open_at_sidecar=False,
    )


@react.register
def _(event: LinkClosed, assembly: stream_assembly.Assembly) -> Reaction:
    return Broken(
        effective_outcome(outcomes.Outcome.UNKNOWN, assembly),
        outcomes.Reason.LINK_LOST,
        f"the link to the endpoint was lost: {event.reason}",
        None,
        open_at_sidecar=False,
    )


@react.register
def _(_event: PartialWrite, _: stream_assembly.Assembly) -> Reaction:
    return Continue(dropped=False)


def read_usage(
    end: messages.End, assembly: stream_assembly.Assembly
) -> Usage | None:
    """Return the token counts of an answer, if prompt tokens are known."""
    if not end.prompt_tokens:
        return None
    # Sequence numbers continue after the tokens of earlier attempts.
    return Usage(end.prompt_tokens, assembly.next_sequence)


def describe_refusal(event: messages.Refused) -> str:
    """Return the message to the client for a refused attempt."""
    if event.reason is outcomes.Reason.CLAIM_UNCONFIRMED:
        return event.detail
    if event.detail:
        return f"the endpoint refused the request: {event.detail}"
    if event.reason is outcomes.Reason.KEY_SEALED:
        return (
            "an outcome query has answered not_run for this idempotency key,"
            " so it cannot run any more; use a new key"
        )
    return f"the endpoint's sidecar refused the request: {event.reason}"


def effective_outcome(
    reported: outcomes.Outcome, assembly: stream_assembly.Assembly
) -> outcomes.Outcome:
    """Return the reported outcome, or RAN if chunks have arrived."""
    if assembly.next_sequence > assembly.resume_index:
        return outcomes.Outcome.RAN
    return reported


def to_delay(milliseconds: int) -> datetime.timedelta | None:
    """Return a retry delay; None if the peer did not give one (0)."""
    if milliseconds <= 0:
        return None
    return datetime.timedelta(milliseconds=milliseconds)
