"""Decides whether an endpoint may get a request now; pure functions."""

import enum
from typing import Final
from typing import NamedTuple

NEVER: Final = float("inf")


class Reason(enum.StrEnum):
    """What decides when an endpoint may get a request."""

    OPEN = "open"
    LEAVING = "leaving"
    PAUSED = "paused"
    LIMITED = "limited"


class Standing(NamedTuple):
    """What is known of an endpoint; times are in seconds of one clock.

    Attributes:
        leaving: Whether it leaves or has left.
        paused_until: When its stated pause ends.
        limited_until: When this gateway's share of its stated rate allows the
            next request; NEVER if the gateway has no share.
        suspect_until: Until when it is avoided after a failure.
    """

    leaving: bool
    paused_until: float
    limited_until: float
    suspect_until: float


class Permission(NamedTuple):
    """When an endpoint may get a request.

    Attributes:
        at: From when; not after the current time if it may now, NEVER if it
            may not at all.
        reason: What decides that.
        avoid: Whether other endpoints come first.
    """

    at: float
    reason: Reason
    avoid: bool


def permit(standing: Standing, now: float) -> Permission:
    """Return when an endpoint may get a request."""
    if standing.leaving:
        return Permission(NEVER, Reason.LEAVING, False)
    at, reason = now, Reason.OPEN
    if standing.paused_until > at:
        at, reason = standing.paused_until, Reason.PAUSED
    if standing.limited_until > at:
        at, reason = standing.limited_until, Reason.LIMITED
    return Permission(at, reason, standing.suspect_until > now)
