"""Decides whether a broken attempt is retried (no I/O)."""

import datetime
import enum
from typing import Final
from typing import NamedTuple

from verbenafall_core import outcomes
from verbenafall_gateway.delivery import attempt_events

MAX_RETRIES: Final = 2

# A retry on another endpoint would not change the answer.
FINAL_REASONS: Final = frozenset(
    {
        outcomes.Reason.BAD_REQUEST,
        outcomes.Reason.CANCELLED,
        outcomes.Reason.CLAIM_HELD,
        outcomes.Reason.CLAIM_MISMATCH,
        outcomes.Reason.CLAIM_UNCONFIRMED,
        outcomes.Reason.DEADLINE,
        outcomes.Reason.KEY_SEALED,
        outcomes.Reason.STORE_UNAVAILABLE,
    }
)

_SEVERITY: Final = {
    outcomes.Outcome.NOT_RUN: 0,
    outcomes.Outcome.UNKNOWN: 1,
    outcomes.Outcome.RAN: 2,
}


class Action(enum.StrEnum):
    """What to do after a broken attempt.

    RETRY: Resume the stream on another endpoint, regardless of the retry
        budget, as the client already has a part of the answer.
    RETRY_WITH_BUDGET: Try another endpoint if the retry budget allows it.
    GIVE_UP: Send the client the final answer.
    """

    RETRY = "retry"
    RETRY_WITH_BUDGET = "retry_with_budget"
    GIVE_UP = "give_up"


class RetryContext(NamedTuple):
    """State of the request that the decision depends on.

    Attributes:
        delivered: Whether the attempt delivered tokens from which another
            endpoint can continue.
        retries: Number of retries so far.
        remaining: Time left for a retry.
    """

    idempotent: bool
    delivered: bool
    retries: int
    remaining: datetime.timedelta


def decide(broken: attempt_events.Broken, context: RetryContext) -> Action:
    """Return what to do after a broken attempt."""
    may_run_again = (
        context.idempotent or broken.outcome is outcomes.Outcome.NOT_RUN
    )
    if not may_run_again or broken.reason in FINAL_REASONS:
        return Action.GIVE_UP
    if context.retries >= MAX_RETRIES:
        return Action.GIVE_UP
    if context.remaining <= datetime.timedelta():
        return Action.GIVE_UP
    if context.delivered:
        return Action.RETRY
    return Action.RETRY_WITH_BUDGET


def more_severe(
    first: outcomes.Outcome, second: outcomes.Outcome
) -> outcomes.Outcome:
    """Return the more severe of two attempts' outcomes."""
    return max(first, second, key=lambda outcome: _SEVERITY[outcome])
