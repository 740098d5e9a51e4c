"""Continues or ends an attempt according to the claim of its key."""

from collections.abc import Callable
import functools
from typing import Final
from typing import Protocol

from verbenafall_core import outcomes
from verbenafall_core.claims import model
from verbenafall_sidecar.delivery import attempt as attempt_lib
from verbenafall_sidecar.endpoint import endpoint_port

NOT_RUN: Final = outcomes.Outcome.NOT_RUN
UNKNOWN: Final = outcomes.Outcome.UNKNOWN
RAN: Final = outcomes.Outcome.RAN
Reason = outcomes.Reason

CallEndpoint = Callable[[attempt_lib.Attempt], None]


class ClaimCallbacks(Protocol):
    """Ends attempts whose claim rules out a call to the endpoint."""

    def end_completed(
        self, attempt: attempt_lib.Attempt, response: endpoint_port.CallResponse
    ) -> None:
        """End an attempt with a complete response."""

    def end_refused(
        self,
        attempt: attempt_lib.Attempt,
        reason: outcomes.Reason,
        outcome: outcomes.Outcome,
        detail: str = "",
    ) -> None:
        """End an attempt that the endpoint did not process."""


@functools.singledispatch
def continue_attempt(
    result: model.StartResult,
    _call: CallEndpoint,
    _callbacks: ClaimCallbacks,
    _attempt: attempt_lib.Attempt,
) -> None:
    """Call the endpoint or end the attempt, depending on the claim."""
    raise TypeError(f"unsupported claim result: {type(result).__name__}")


@continue_attempt.register
def _(
    result: model.StartedClaim,
    call: CallEndpoint,
    _callbacks: ClaimCallbacks,
    attempt: attempt_lib.Attempt,
) -> None:
    attempt.claim = result
    call(attempt)


@continue_attempt.register
def _(
    result: model.Replay,
    _call: CallEndpoint,
    callbacks: ClaimCallbacks,
    attempt: attempt_lib.Attempt,
) -> None:
    answer = result.answer
    if answer.body is None:
        callbacks.end_refused(attempt, Reason.CLAIM_HELD, RAN)
        return
    callbacks.end_completed(
        attempt,
        endpoint_port.CallResponse(
            answer.status, answer.headers, answer.body, ""
        ),
    )


@continue_attempt.register
def _(
    _result: model.Held,
    _call: CallEndpoint,
    callbacks: ClaimCallbacks,
    attempt: attempt_lib.Attempt,
) -> None:
    callbacks.end_refused(attempt, Reason.CLAIM_HELD, UNKNOWN)


@continue_attempt.register
def _(
    _result: model.Mismatch,
    _call: CallEndpoint,
    callbacks: ClaimCallbacks,
    attempt: attempt_lib.Attempt,
) -> None:
    callbacks.end_refused(attempt, Reason.CLAIM_MISMATCH, NOT_RUN)


@continue_attempt.register
def _(
    _result: model.Sealed,
    _call: CallEndpoint,
    callbacks: ClaimCallbacks,
    attempt: attempt_lib.Attempt,
) -> None:
    callbacks.end_refused(attempt, Reason.KEY_SEALED, NOT_RUN)


@continue_attempt.register
def _(
    result: model.Unconfirmed,
    _call: CallEndpoint,
    callbacks: ClaimCallbacks,
    attempt: attempt_lib.Attempt,
) -> None:
    callbacks.end_refused(
        attempt,
        Reason.CLAIM_UNCONFIRMED,
        UNKNOWN,
        "the object store was restored, and it cannot be told whether this"
        " request has run; a new request runs under a key that begins with"
        f" {result.key_prefix!r}",
    )


@continue_attempt.register
def _(
    _result: model.Unavailable,
    _call: CallEndpoint,
    callbacks: ClaimCallbacks,
    attempt: attempt_lib.Attempt,
) -> None:
    callbacks.end_refused(attempt, Reason.STORE_UNAVAILABLE, NOT_RUN)
