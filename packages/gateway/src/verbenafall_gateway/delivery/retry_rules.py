"""Pure rules on what follows when an attempt has broken off."""

import datetime
import enum
from typing import Final
from typing import NamedTuple

from verbenafall_core import outcomes
from verbenafall_gateway.delivery import attempt_events

MAX_RETRIES: Final = 2

# Another endpoint would give the same answer to these.
FINAL_REASONS: Final = frozenset(
    {
        outcomes.Reason.BAD_REQUEST,
        outcomes.Reason.CANCELLED,
        outcomes.Reason.CLAIM_HELD,
        outcomes.Reason.CLAIM_MISMATCH,
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
    """What follows.

    RETRY: Resume a stream on another endpoint; this needs no budget, as the
        client already has a part of the answer.
    RETRY_WITH_BUDGET: Try another endpoint if the retry budget allows it.
    GIVE_UP: Give the client its final answer.
    """

    RETRY = "retry"
    RETRY_WITH_BUDGET = "retry_with_budget"
    GIVE_UP = "give_up"


class RetryContext(NamedTuple):
    """What the rules look at besides the broken attempt.

    Attributes:
        delivered: The attempt delivered a part from which another endpoint
            can go on.
        retries: Retries so far.
        remaining: Time in which a retry is still of use.
    """

    idempotent: bool
    delivered: bool
    retries: int
    remaining: datetime.timedelta


def decide(broken: attempt_events.Broken, situation: RetryContext) -> Action:
    """Return what follows a broken attempt."""
    repeatable = (
        situation.idempotent or broken.outcome is outcomes.Outcome.NOT_RUN
    )
    if not repeatable or broken.reason in FINAL_REASONS:
        return Action.GIVE_UP
    if situation.retries >= MAX_RETRIES:
        return Action.GIVE_UP
    if situation.remaining <= datetime.timedelta():
        return Action.GIVE_UP
    if situation.delivered:
        return Action.RETRY
    return Action.RETRY_WITH_BUDGET


def worse(
    first: outcomes.Outcome, second: outcomes.Outcome
) -> outcomes.Outcome:
    """Return the outcome of two attempts together."""
    return max(first, second, key=lambda outcome: _SEVERITY[outcome])
