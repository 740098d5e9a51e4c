"""What follows for an attempt from the claim of its key."""

import functools
from typing import Final
from typing import Protocol

from verbenafall_core import outcomes
from verbenafall_core.claims import model
from verbenafall_sidecar import attempt as attempt_lib
from verbenafall_sidecar import endpoint_port

NOT_RUN: Final = outcomes.Outcome.NOT_RUN
UNKNOWN: Final = outcomes.Outcome.UNKNOWN
RAN: Final = outcomes.Outcome.RAN
Reason = outcomes.Reason


class AttemptSteps(Protocol):
    """The steps of an attempt that can follow its claim."""

    def call(self, attempt: attempt_lib.Attempt) -> None:
        """Call the endpoint unless it is too late."""

    def end_answered(
        self, attempt: attempt_lib.Attempt, end: endpoint_port.CallEnd
    ) -> None:
        """End an attempt with a complete answer."""

    def end_refused(
        self,
        attempt: attempt_lib.Attempt,
        reason: outcomes.Reason,
        outcome: outcomes.Outcome,
    ) -> None:
        """End an attempt that was not started."""


@functools.singledispatch
def apply(
    result: model.StartResult,
    _steps: AttemptSteps,
    _attempt: attempt_lib.Attempt,
) -> None:
    """Go on with an attempt after the claim of its key."""
    raise TypeError(f"no rule for {type(result).__name__}")


@apply.register
def _(
    result: model.StartedClaim,
    steps: AttemptSteps,
    attempt: attempt_lib.Attempt,
) -> None:
    attempt.claim = result
    steps.call(attempt)


@apply.register
def _(
    result: model.Replay,
    steps: AttemptSteps,
    attempt: attempt_lib.Attempt,
) -> None:
    answer = result.answer
    if answer.body is None:
        steps.end_refused(attempt, Reason.CLAIM_HELD, RAN)
        return
    steps.end_answered(
        attempt,
        endpoint_port.CallEnd(answer.status, answer.headers, answer.body, ""),
    )


@apply.register
def _(
    _result: model.Held,
    steps: AttemptSteps,
    attempt: attempt_lib.Attempt,
) -> None:
    steps.end_refused(attempt, Reason.CLAIM_HELD, UNKNOWN)


@apply.register
def _(
    _result: model.Mismatch,
    steps: AttemptSteps,
    attempt: attempt_lib.Attempt,
) -> None:
    steps.end_refused(attempt, Reason.CLAIM_MISMATCH, NOT_RUN)


@apply.register
def _(
    _result: model.Sealed,
    steps: AttemptSteps,
    attempt: attempt_lib.Attempt,
) -> None:
    steps.end_refused(attempt, Reason.KEY_SEALED, NOT_RUN)


@apply.register
def _(
    _result: model.Unavailable,
    steps: AttemptSteps,
    attempt: attempt_lib.Attempt,
) -> None:
    steps.end_refused(attempt, Reason.STORE_UNAVAILABLE, NOT_RUN)
