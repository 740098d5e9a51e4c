"""Decision whether a dispatch is queued or refused."""

import datetime
from typing import NamedTuple

from verbenafall_core import messages
from verbenafall_core import outcomes


class Load(NamedTuple):
    """State of the queue and the endpoint.

    Attributes:
        active_shares: Shares of all teams with queued items together.
        team_queued: Queued items of the dispatch's team.
        team_shares: Shares of the dispatch's team.
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
    """What keeps this sidecar from taking any new work."""

    draining: bool
    bundle_confirmed: bool
    endpoint_up: bool
    service_known: bool


class Refuse(NamedTuple):
    """The dispatch is refused.

    Attributes:
        retry_after: Time until the queue is expected to be empty.
    """

    reason: outcomes.Reason
    retry_after: datetime.timedelta


class Admit(NamedTuple):
    """The dispatch is queued."""

    expected_wait: datetime.timedelta


Decision = Admit | Refuse


def find_closed_reason(conditions: Conditions) -> outcomes.Reason | None:
    """Return why this sidecar takes no new work."""
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

    A dispatch that has to wait is refused when the wait and the mean service
    time do not fit: its slot would go to an answer that comes too late. With
    a free slot the mean decides nothing, as a short request may still fit.
    """
    drain_time = estimate_drain_time(load)
    wait = estimate_wait(load)
    needed = wait + load.service_time if wait else wait
    if needed >= remaining:
        reason = (
            outcomes.Reason.OVERLOADED if wait else outcomes.Reason.DEADLINE
        )
        return Refuse(reason, drain_time)
    if load.queued >= load.max_queue:
        return Refuse(outcomes.Reason.OVERLOADED, drain_time)
    if exceeds_team_part(load):
        return Refuse(outcomes.Reason.TEAM_LIMIT, drain_time)
    return Admit(wait)


def estimate_drain_time(load: Load) -> datetime.timedelta:
    """Return the time in which the queue would be served."""
    return load.service_time * (load.queued + 1) / load.slots


def estimate_wait(load: Load) -> datetime.timedelta:
    """Return the expected wait of the team's next item.

    Teams are served by their shares, so the items ahead are those of the
    team, with the other teams' part for each, and never the whole queue and
    more.
    """
    if load.in_flight + load.queued < load.slots:
        return datetime.timedelta()
    ahead = min(load.queued, load.team_queued / team_part(load))
    return load.service_time * (ahead + 1) / load.slots


def exceeds_team_part(load: Load) -> bool:
    """Return whether the team fills its part of a queue that gets full."""
    if load.queued * 2 < load.max_queue:
        return False
    return load.team_queued >= load.max_queue * team_part(load)


def team_part(load: Load) -> float:
    """Return the team's part of the capacity among the queued teams."""
    others = load.active_shares - (load.team_shares if load.team_queued else 0)
    return load.team_shares / (load.team_shares + max(others, 0))


def find_malformed(dispatch: messages.Dispatch) -> str:
    """Return what makes a dispatch unfit to be sent on, or an empty text."""
    if not dispatch.path.startswith("/") or not is_printable(dispatch.path):
        return "the path is no path"
    if not dispatch.method.isascii() or not dispatch.method.isalpha():
        return "the method is no word"
    if not dispatch.idempotent and not dispatch.idempotency_key:
        return "the idempotency key is missing"
    # A line break in a header would let a client add headers of its own.
    texts = [text for header in dispatch.headers for text in header]
    if not all(is_header_text(text) for text in texts):
        return "a header contains control characters"
    if not is_header_text(dispatch.idempotency_key):
        return "the idempotency key contains control characters"
    return ""


def is_printable(text: str) -> bool:
    """Return whether a text has visible ASCII characters only."""
    return all("!" <= char <= "~" for char in text)


def is_header_text(text: str) -> bool:
    """Return whether a text has no control characters but tabs."""
    return all(char >= " " or char == "\t" for char in text)
