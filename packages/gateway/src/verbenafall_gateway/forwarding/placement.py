"""Choice of the endpoint for a request; pure functions."""

from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

# Weight of this gateway's own requests in an endpoint's load. The counts of
# the other gateways are some tens of milliseconds old, so gateways that all
# choose the least loaded endpoint by these counts would overload it.
# bench/rank_placement.py compares weights.
OWN_WEIGHT: Final = 3


class Candidate(NamedTuple):
    """An endpoint that may receive a request.

    Attributes:
        load: Known open requests of all gateways at the endpoint.
        slots: Requests that the endpoint runs concurrently, at least 1.
        nearby: Whether the endpoint is in the gateway's data centre.
        suspect: Whether the endpoint has failed recently.
        slow: Whether the endpoint's rank slows down its rank group.
        own: Open requests of this gateway, included in `load`.
    """

    endpoint_id: str
    load: int
    slots: int
    nearby: bool
    suspect: bool
    slow: bool = False
    own: int = 0


class Choice(NamedTuple):
    """The chosen candidate, with figures for the log.

    Attributes:
        considered: Number of all candidates, including slow and full ones.
        least_load: Lowest load of the candidates with capacity.
    """

    candidate: Candidate
    considered: int
    least_load: int


def choose(
    candidates: Sequence[Candidate], max_load_per_slot: float, draw: float
) -> Choice | None:
    """Return the candidate with the lowest load per slot.

    All ranks of a group wait for the one with the most requests, so requests
    are spread evenly over the endpoints. This gateway's own requests weigh
    more, as only their count is current. Suspect endpoints come last; among
    equally loaded endpoints, nearby ones come first.

    Args:
        candidates: Endpoints that may receive the request.
        max_load_per_slot: Load per slot at which an endpoint is full.
        draw: Random number from 0 to 1 that breaks ties.

    Returns:
        The choice, or None if no candidate has capacity.
    """
    available = [
        candidate
        for candidate in exclude_slow(candidates)
        if candidate.load < max_load_per_slot * candidate.slots
    ]
    if not available:
        return None

    def sort_key(candidate: Candidate) -> tuple[bool, float, bool]:
        weighted = candidate.load + (OWN_WEIGHT - 1) * candidate.own
        share = weighted / candidate.slots
        return candidate.suspect, share, not candidate.nearby

    best = min(sort_key(candidate) for candidate in available)
    equals = [item for item in available if sort_key(item) == best]
    chosen = equals[min(int(draw * len(equals)), len(equals) - 1)]
    return Choice(chosen, len(candidates), min(item.load for item in available))


def exclude_slow(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the candidates that are not slow, if at least half are not.

    A request at a slow rank lengthens every pass of the whole group, whereas
    waiting for another rank delays only the request itself. If most
    candidates are slow, all of them are returned.
    """
    fast = [candidate for candidate in candidates if not candidate.slow]
    return fast if 2 * len(fast) >= len(candidates) else candidates
