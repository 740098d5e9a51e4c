"""Admission control: decides whether a dispatch is queued or refused."""

import datetime
from typing import NamedTuple

from verbenafall_core import messages
from verbenafall_core import outcomes


class Load(NamedTuple):
    """Load of the queue and the endpoint when a dispatch arrives.

    Attributes:
        in_flight: Attempts that occupy a slot of the endpoint.
        queued: Attempts in the queue, of all teams.
        service_time: Mean time that a completed attempt occupied a slot.
        active_shares: Sum of the shares of all teams with queued attempts.
        team_queued: Queued attempts of the dispatch's team.
        team_shares: Shares (fair-queueing weight) of the dispatch's team.
    """

    in_flight: int
    queued: int
    slots: int
    max_queue: int
    service_time: datetime.timedelta
    active_shares: int
    team_queued: int
    team_shares: int


class Conditions(NamedTuple):
    """State of the sidecar that can rule out all new work.

    Attributes:
        bundle_confirmed: A bundle is in force and confirmed.
        service_known: The dispatch names this sidecar's service, and the
            bundle in force lists it.
    """

    draining: bool
    bundle_confirmed: bool
    endpoint_up: bool
    service_known: bool


class Refuse(NamedTuple):
    """Refusal of a dispatch.

    Attributes:
        retry_after: Suggested delay before a retry. For an overload, the
            expected time to process the queue.
    """

    reason: outcomes.Reason
    retry_after: datetime.timedelta


class Admit(NamedTuple):
    """Admission of a dispatch to the queue."""

    expected_wait: datetime.timedelta


Decision = Admit | Refuse


def find_unavailable_reason(conditions: Conditions) -> outcomes.Reason | None:
    """Return why the sidecar refuses all new work, or None if it does not."""
    if conditions.draining:
        return outcomes.Reason.DRAINING
    if not conditions.bundle_confirmed:
        return outcomes.Reason.BUNDLE_UNCONFIRMED
    if not conditions.service_known:
        return outcomes.Reason.WRONG_SERVICE
    if not conditions.endpoint_up:
        return outcomes.Reason.ENDPOINT_REFUSED
    return None


def decide(load: Load, remaining: datetime.timedelta) -> Decision:
    """Decide on a dispatch from the load and the time to its deadline.

    A dispatch that would have to wait is refused when the expected wait plus
    the mean service time reaches the deadline, as its response would come too
    late. When a slot is free, the mean service time is not considered: the
    request may be shorter than the mean.
    """
    queue_time = estimate_queue_time(load)
    wait = estimate_wait(load)
    needed = wait + load.service_time if wait else wait
    if needed >= remaining:
        reason = (
            outcomes.Reason.OVERLOADED if wait else outcomes.Reason.DEADLINE
        )
        return Refuse(reason, queue_time)
    if load.queued >= load.max_queue:
        return Refuse(outcomes.Reason.OVERLOADED, queue_time)
    if exceeds_team_fraction(load):
        return Refuse(outcomes.Reason.TEAM_LIMIT, queue_time)
    return Admit(wait)


def estimate_queue_time(load: Load) -> datetime.timedelta:
    """Estimate the time to process the queue and one more attempt."""
    return load.service_time * (load.queued + 1) / load.slots


def estimate_wait(load: Load) -> datetime.timedelta:
    """Estimate the wait of the team's next attempt.

    Teams are served in proportion to their shares. The attempts ahead are
    therefore the team's own queued attempts divided by the team's fraction
    of the capacity, and at most the entire queue.
    """
    if load.in_flight + load.queued < load.slots:
        return datetime.timedelta()
    ahead = min(load.queued, load.team_queued / team_fraction(load))
    return load.service_time * (ahead + 1) / load.slots


def exceeds_team_fraction(load: Load) -> bool:
    """Return whether the team already holds its fraction of the queue.

    The fraction is not enforced while the queue is less than half full.
    """
    if load.queued * 2 < load.max_queue:
        return False
    return load.team_queued >= load.max_queue * team_fraction(load)


def team_fraction(load: Load) -> float:
    """Return the team's share of the capacity among teams with queued work."""
    others = load.active_shares - (load.team_shares if load.team_queued else 0)
    return load.team_shares / (load.team_shares + max(others, 0))


def find_dispatch_problem(dispatch: messages.Dispatch) -> str:
    """Return why a dispatch cannot be forwarded, or an empty string."""
    if not dispatch.path.startswith("/") or not is_printable(dispatch.path):
        return "the path must start with / and be visible ASCII"
    if not dispatch.method.isascii() or not dispatch.method.isalpha():
        return "the method must consist of ASCII letters"
    if not dispatch.idempotent and not dispatch.idempotency_key:
        return "a non-idempotent dispatch needs an idempotency key"
    # A line break in a header value would allow header injection.
    texts = [text for header in dispatch.headers for text in header]
    if not all(is_header_text(text) for text in texts):
        return "a header contains control characters"
    if not is_header_text(dispatch.idempotency_key):
        return "the idempotency key contains control characters"
    return ""


def is_printable(text: str) -> bool:
    """Return whether a text consists of visible ASCII characters only."""
    return all("!" <= char <= "~" for char in text)


def is_header_text(text: str) -> bool:
    """Return whether a text has no ASCII control characters except tabs."""
    return all(char >= " " or char == "\t" for char in text)
