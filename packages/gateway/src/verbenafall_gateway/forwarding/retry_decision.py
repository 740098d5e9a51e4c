"""Decides whether to retry after an attempt ends; pure functions."""

import enum
from typing import Final
from typing import NamedTuple

from verbenafall_gateway.forwarding import http_messages

# A request is sent again after at most this many attempts that did not run.
MAX_REJECTIONS: Final = 3
# A request is not sent again after this many attempts whose endpoints then
# wanted no requests: the others are likely to be as busy.
MAX_PAUSES: Final = 2


class Delivered(NamedTuple):
    """The client has received the complete answer."""

    status: int


class Unsent(NamedTuple):
    """No byte of the request was sent to the endpoint."""

    reason: str


class Withheld(NamedTuple):
    """Nothing was sent: the endpoint left or paused after it was chosen."""


class NotRun(NamedTuple):
    """The endpoint reported that it did not run the request."""

    status: int


class Failed(NamedTuple):
    """The endpoint ran the request and answered with an error."""

    answer: http_messages.Answer


class Broken(NamedTuple):
    """The answer is missing or incomplete; the request may have run."""

    reason: str


Outcome = Delivered | Unsent | Withheld | NotRun | Failed | Broken


class Action(enum.StrEnum):
    """The gateway's next action after an attempt.

    DONE: None; the client has the complete answer.
    RETRY: Send the request again.
    RELAY: Send the endpoint's error to the client.
    REFUSE: Report to the client that the request has not run.
    GIVE_UP: Report to the client that the outcome is unknown.
    CUT: Close the client's connection in the middle of the answer.
    """

    DONE = "done"
    RETRY = "retry"
    RELAY = "relay"
    REFUSE = "refuse"
    GIVE_UP = "give_up"
    CUT = "cut"


class Progress(NamedTuple):
    """The attempts of a request so far, including the last one.

    Attributes:
        repeatable: Whether the request may run more than once.
        max_runs: Maximum number of attempts that may run the request.
        runs: Attempts that may have run the request.
        rejections: Attempts that did not run the request.
        answer_started: Whether the client has a part of the answer.
        alternatives: Whether there is another endpoint to send it to now.
        others: Whether there is one now or in time.
        pauses: Attempts whose endpoint then wanted no requests for a time.
    """

    repeatable: bool
    max_runs: int
    runs: int
    rejections: int
    answer_started: bool
    alternatives: bool
    others: bool = True
    pauses: int = 0


def may_move(progress: Progress, resumable: bool) -> bool:
    """Return whether an open stream may be resumed at another endpoint."""
    return (
        resumable
        and progress.repeatable
        and progress.runs < progress.max_runs
        and progress.alternatives
    )


def should_retry(progress: Progress, outcome: Outcome) -> bool:
    """Return whether the route allows another attempt that could succeed."""
    if isinstance(outcome, Delivered):
        return False
    if progress.pauses >= MAX_PAUSES:
        return False
    if isinstance(outcome, Unsent | Withheld | NotRun):
        return (
            progress.rejections <= MAX_REJECTIONS
            and progress.alternatives
            and (progress.repeatable or progress.runs == 0)
        )
    if isinstance(outcome, Failed) and not progress.others:
        return False
    return progress.repeatable and progress.runs < progress.max_runs


def abandoned_action(progress: Progress) -> Action:
    """Return how to end a request whose attempt or wait is abandoned."""
    if progress.answer_started:
        return Action.CUT
    return Action.REFUSE if progress.runs == 0 else Action.GIVE_UP


def final_action(progress: Progress, outcome: Outcome) -> Action:
    """Return how to end a request that is not sent again."""
    if isinstance(outcome, Delivered):
        return Action.DONE
    if progress.answer_started:
        return Action.CUT
    if isinstance(outcome, Failed):
        return Action.RELAY
    if isinstance(outcome, Unsent | Withheld | NotRun) and progress.runs == 0:
        return Action.REFUSE
    return Action.GIVE_UP
