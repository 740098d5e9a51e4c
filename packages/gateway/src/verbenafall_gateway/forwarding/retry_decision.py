"""Decides what follows when an attempt ended; pure."""

import enum
from typing import Final
from typing import NamedTuple

from verbenafall_gateway.forwarding import http_messages

# Sends of one request that endpoints may reject without running it.
MAX_REJECTIONS: Final = 3


class Delivered(NamedTuple):
    """The client has the whole answer."""

    status: int


class Unsent(NamedTuple):
    """No byte of the request has left."""

    reason: str


class NotRun(NamedTuple):
    """The endpoint stated that it did not run the request."""

    status: int


class Failed(NamedTuple):
    """The endpoint answered with a failure after it ran the request."""

    answer: http_messages.Answer


class Broken(NamedTuple):
    """The answer is not complete; the request may have run."""

    reason: str


Outcome = Delivered | Unsent | NotRun | Failed | Broken


class Action(enum.StrEnum):
    """What follows.

    DONE: Nothing; the client has its answer.
    RETRY: The request is sent once more.
    RELAY: The client gets the endpoint's failure.
    REFUSE: The client is told that the request has not run.
    GIVE_UP: The client is told that the outcome is not known.
    CUT: The client's connection is closed in the middle of the answer.
    """

    DONE = "done"
    RETRY = "retry"
    RELAY = "relay"
    REFUSE = "refuse"
    GIVE_UP = "give_up"
    CUT = "cut"


class Progress(NamedTuple):
    """What has happened to a request so far.

    Attributes:
        repeatable: It may run more than once.
        max_runs: Endpoints that may run it.
        runs: Sends after which it may have run, with the last one.
        rejections: Sends that did not run it, with the last one.
        answer_begun: The client has a part of the answer.
        alternatives: Another endpoint could take it.
    """

    repeatable: bool
    max_runs: int
    runs: int
    rejections: int
    answer_started: bool
    alternatives: bool


def may_move(progress: Progress, resumable: bool) -> bool:
    """Return whether an open stream may go on at another endpoint."""
    return (
        resumable
        and progress.repeatable
        and progress.runs < progress.max_runs
        and progress.alternatives
    )


def should_retry(progress: Progress, outcome: Outcome) -> bool:
    """Return whether one more send could help and is allowed by the route."""
    if isinstance(outcome, Delivered):
        return False
    if isinstance(outcome, Unsent | NotRun):
        return (
            progress.rejections <= MAX_REJECTIONS
            and progress.alternatives
            and (progress.repeatable or progress.runs == 0)
        )
    return progress.repeatable and progress.runs < progress.max_runs


def final_action(progress: Progress, outcome: Outcome) -> Action:
    """Return what the client gets when there is no further send."""
    if isinstance(outcome, Delivered):
        return Action.DONE
    if progress.answer_started:
        return Action.CUT
    if isinstance(outcome, Failed):
        return Action.RELAY
    if isinstance(outcome, Unsent | NotRun) and progress.runs == 0:
        return Action.REFUSE
    return Action.GIVE_UP
