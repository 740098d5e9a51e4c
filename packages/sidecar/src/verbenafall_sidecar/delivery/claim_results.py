"""What follows for an attempt from the claim of its key."""

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


Call = Callable[[attempt_lib.Attempt], None]


class ClaimEnds(Protocol):
    """Ends attempts whose claim shows that they are not called."""

    def end_answered(
        self, attempt: attempt_lib.Attempt, end: endpoint_port.CallResponse
    ) -> None:
        """End an attempt with a complete answer."""

    def end_refused(
        self,
        attempt: attempt_lib.Attempt,
        reason: outcomes.Reason,
        outcome: outcomes.Outcome,
        detail: str = "",
    ) -> None:
        """End an attempt that was not started."""


@functools.singledispatch
def apply(
    result: model.StartResult,
    _call: Call,
    _ends: ClaimEnds,
    _attempt: attempt_lib.Attempt,
) -> None:
    """Go on with an attempt after the claim of its key."""
    raise TypeError(f"no rule for {type(result).__name__}")


@apply.register
def _(
    result: model.StartedClaim,
    call: Call,
    _ends: ClaimEnds,
    attempt: attempt_lib.Attempt,
) -> None:
    attempt.claim = result
    call(attempt)


@apply.register
def _(
    result: model.Replay,
    _call: Call,
    ends: ClaimEnds,
    attempt: attempt_lib.Attempt,
) -> None:
    answer = result.answer
    if answer.body is None:
        ends.end_refused(attempt, Reason.CLAIM_HELD, RAN)
        return
    ends.end_answered(
        attempt,
        endpoint_port.CallResponse(
            answer.status, answer.headers, answer.body, ""
        ),
    )


@apply.register
def _(
    _result: model.Held,
    _call: Call,
    ends: ClaimEnds,
    attempt: attempt_lib.Attempt,
) -> None:
    ends.end_refused(attempt, Reason.CLAIM_HELD, UNKNOWN)


@apply.register
def _(
    _result: model.Mismatch,
    _call: Call,
    ends: ClaimEnds,
    attempt: attempt_lib.Attempt,
) -> None:
    ends.end_refused(attempt, Reason.CLAIM_MISMATCH, NOT_RUN)


@apply.register
def _(
    _result: model.Sealed,
    _call: Call,
    ends: ClaimEnds,
    attempt: attempt_lib.Attempt,
) -> None:
    ends.end_refused(attempt, Reason.KEY_SEALED, NOT_RUN)


@apply.register
def _(
    _result: model.Unavailable,
    _call: Call,
    ends: ClaimEnds,
    attempt: attempt_lib.Attempt,
) -> None:
    ends.end_refused(attempt, Reason.STORE_UNAVAILABLE, NOT_RUN)
