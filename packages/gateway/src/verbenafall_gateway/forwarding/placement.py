"""Chooses an endpoint for a request; pure."""

from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

# Own requests count this often. The counts of other gateways are some tens of
# milliseconds old; gateways that all take the least loaded endpoint by the
# same counts send too much there. bench/rank_placement.py compares values.
OWN_WEIGHT: Final = 3


class Candidate(NamedTuple):
    """An endpoint that could take a request.

    Attributes:
        load: Requests that all gateways have open there, as far as known.
        slots: Requests that it runs at once, at least 1.
        nearby: Whether it is in the gateway's data centre.
        suspect: Whether it failed recently.
        slow: Whether it holds back the other ranks of its group.
        own: How many of the open requests are this gateway's.
    """

    endpoint_id: str
    load: int
    slots: int
    nearby: bool
    suspect: bool
    slow: bool = False
    own: int = 0


class Choice(NamedTuple):
    """The chosen candidate and why no better one was there."""

    candidate: Candidate
    considered: int
    least_load: int


def choose(
    candidates: Sequence[Candidate], max_load_per_slot: float, draw: float
) -> Choice | None:
    """Return the candidate with the least load for its slots.

    Answers the load of requests that are open at the endpoints: all ranks of
    a group wait for the one that runs most, so requests are spread evenly,
    first of all this gateway's own.

    Args:
        candidates: Endpoints that may take the request.
        max_load_per_slot: Endpoints at this load or above take none.
        draw: From 0 to 1; decides among equals.

    Returns:
        None when no candidate has room.
    """
    available = [
        candidate
        for candidate in exclude_slow(candidates)
        if candidate.load < max_load_per_slot * candidate.slots
    ]
    if not available:
        return None

    def rank(candidate: Candidate) -> tuple[bool, float, bool]:
        weighted = candidate.load + (OWN_WEIGHT - 1) * candidate.own
        share = weighted / candidate.slots
        return candidate.suspect, share, not candidate.nearby

    best = min(rank(candidate) for candidate in available)
    equals = [item for item in available if rank(item) == best]
    chosen = equals[min(int(draw * len(equals)), len(equals) - 1)]
    return Choice(chosen, len(candidates), min(item.load for item in available))


def exclude_slow(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the candidates without slow ones, if these are the fewer.

    A request at a slow rank lengthens every pass of the group; waiting for
    another rank costs only the request itself.
    """
    fast = [candidate for candidate in candidates if not candidate.slow]
    return fast if 2 * len(fast) >= len(candidates) else candidates
