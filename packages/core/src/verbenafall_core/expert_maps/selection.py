"""Selects the expert map of a group from observed load; pure.

The cost of a map is its expected skew times the skew weight times the minutes
of the horizon, plus the number of experts that a switch to it moves times the
move weight. The skew weight is thus a cost per minute.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import enum
import itertools
import statistics
from typing import Final
from typing import NamedTuple

from verbenafall_core.bundles import model
from verbenafall_core.expert_maps import load_history

# Time for which the current skew of a map is assumed to last.
HORIZON: Final = datetime.timedelta(minutes=120)
# A switch must save at least this multiple of its cost.
HYSTERESIS: Final = 1.2
# Older load does not predict the future load well enough.
MAX_LOAD_AGE: Final = datetime.timedelta(minutes=30)
# A rank is slow above this multiple of the time expected for its load.
STRAGGLER_FACTOR: Final = 1.5


class Reason(enum.StrEnum):
    """Why a map was chosen or kept.

    BEST: The candidate has the lowest cost and passes all checks.
    CURRENT_IS_BEST: The current map has the lowest cost.
    DWELL: The current map has been in use for less than the minimum dwell time.
    HYSTERESIS: The candidate saves too little for the experts it moves.
    MOVE_RATE: The switch would exceed the allowed rate of moved experts.
    NO_LOAD: No load has been reported yet.
    NOT_ALLOWED: The bundle does not allow the current map.
    STALE_LOAD: The newest load report is too old.
    """

    BEST = "best"
    CURRENT_IS_BEST = "current_is_best"
    DWELL = "dwell"
    HYSTERESIS = "hysteresis"
    MOVE_RATE = "move_rate"
    NO_LOAD = "no_load"
    NOT_ALLOWED = "current_not_allowed"
    STALE_LOAD = "stale_load"


class SelectionInput(NamedTuple):
    """State of a group on which the selection of its map is based.

    Attributes:
        current: Map version in use.
        history: Load per expert.
        now: Current monotonic time.
        switched_at: Monotonic time since which the current map is in use.
    """

    current: int
    history: load_history.LoadHistory
    now: datetime.timedelta
    switched_at: datetime.timedelta


class Choice(NamedTuple):
    """The selected map.

    Attributes:
        version: Map to use; differs from the current one only for reasons
            BEST and NOT_ALLOWED.
        candidate: Map with the lowest cost, selected or not.
        current_skew: Expected skew of the current map, 0 if not known.
        candidate_skew: Expected skew of the candidate.
        moved: Experts that a switch to the candidate moves.
    """

    version: int
    candidate: int
    reason: Reason
    current_skew: float
    candidate_skew: float
    moved: int


def select(spec: model.GroupSpec, inputs: SelectionInput) -> Choice:
    """Return the map that the group should use, and why."""
    current = find_map(spec, inputs.current)
    if current is None:
        return _replace_forbidden(spec, inputs)
    if inputs.history.as_of is None:
        return _keep_current(inputs.current, Reason.NO_LOAD)
    if inputs.now - inputs.history.as_of > MAX_LOAD_AGE:
        return _keep_current(inputs.current, Reason.STALE_LOAD)
    shares = load_history.load_shares(inputs.history.load)
    skew = expected_skew(current, shares, spec.ranks)
    best = min(
        (rate(spec, current, candidate, shares) for candidate in spec.maps),
        key=lambda rating: (rating.cost, rating.version != inputs.current),
    )
    reason = _decide_reason(spec, inputs, skew, best)
    version = best.version if reason is Reason.BEST else inputs.current
    return Choice(version, best.version, reason, skew, best.skew, best.moved)


class Rating(NamedTuple):
    """Expected skew of a map, and cost of a switch to it.

    Attributes:
        moved: Number of experts that the switch moves.
    """

    version: int
    skew: float
    moved: int
    cost: float


def rate(
    spec: model.GroupSpec,
    current: model.MapSpec,
    candidate: model.MapSpec,
    shares: Sequence[float],
) -> Rating:
    """Rate a switch from the current map to a candidate."""
    skew = expected_skew(candidate, shares, spec.ranks)
    moved = count_moved(current, candidate)
    return Rating(
        candidate.version,
        skew,
        moved,
        _skew_cost(spec, skew) + moved * spec.move_weight,
    )


def expected_skew(
    candidate: model.MapSpec, shares: Sequence[float], ranks: int
) -> float:
    """Return the ratio of the greatest rank load to the mean rank load."""
    totals = [0.0] * ranks
    for expert, rank in enumerate(candidate.placement):
        totals[rank] += shares[expert]
    return max(totals) * ranks / sum(totals)


def count_moved(first: model.MapSpec, second: model.MapSpec) -> int:
    """Return how many experts are on different ranks in two maps."""
    pairs = zip(first.placement, second.placement, strict=True)
    return sum(one != other for one, other in pairs)


def find_map(spec: model.GroupSpec, version: int) -> model.MapSpec | None:
    """Return the allowed map with a version, None if there is none."""
    return next((m for m in spec.maps if m.version == version), None)


def find_stragglers(
    spec: model.GroupSpec,
    current: int,
    shares: Sequence[float],
    rank_step_ms: Mapping[int, float],
) -> tuple[int, ...]:
    """Return the ranks that are slower than their load explains.

    The expected time is a line fitted to the load and step time of the
    ranks. Slope and offset are medians (Theil-Sen), so that a single slow rank
    does not affect the expectation.

    Args:
        spec: The group.
        current: Map version in use.
        shares: Share of the load per expert.
        rank_step_ms: Mean step time per rank, for some or all ranks.
    """
    used = find_map(spec, current)
    if used is None:
        return ()
    loads = [0.0] * spec.ranks
    for expert, rank in enumerate(used.placement):
        loads[rank] += shares[expert]
    points = [
        (rank, loads[rank], ms)
        for rank, ms in sorted(rank_step_ms.items())
        if 0 <= rank < spec.ranks
    ]
    if not points:
        return ()
    slopes = [
        (second[2] - first[2]) / (second[1] - first[1])
        for first, second in itertools.combinations(points, 2)
        if abs(second[1] - first[1]) > 1e-9
    ]
    slope = max(0.0, statistics.median(slopes)) if slopes else 0.0
    base = statistics.median(ms - slope * load for _, load, ms in points)
    return tuple(
        rank
        for rank, load, ms in points
        if ms > STRAGGLER_FACTOR * (base + slope * load) > 0
    )


def _decide_reason(
    spec: model.GroupSpec, inputs: SelectionInput, skew: float, best: Rating
) -> Reason:
    if best.version == inputs.current:
        return Reason.CURRENT_IS_BEST
    in_use = inputs.now - inputs.switched_at
    if in_use < spec.minimum_dwell:
        return Reason.DWELL
    saved = _skew_cost(spec, skew - best.skew)
    if saved < HYSTERESIS * best.moved * spec.move_weight:
        return Reason.HYSTERESIS
    minutes = in_use / datetime.timedelta(minutes=1)
    if best.moved > spec.moves_per_minute * minutes:
        return Reason.MOVE_RATE
    return Reason.BEST


def _skew_cost(spec: model.GroupSpec, skew: float) -> float:
    minutes = HORIZON / datetime.timedelta(minutes=1)
    return skew * spec.skew_weight * minutes


def _replace_forbidden(spec: model.GroupSpec, inputs: SelectionInput) -> Choice:
    # A map that the bundle no longer allows is replaced at once, by the allowed
    # map with the lowest skew under the last known load.
    shares = load_history.load_shares(inputs.history.load)
    skews = [
        (expected_skew(m, shares, spec.ranks), m.version) for m in spec.maps
    ]
    if not skews:
        return _keep_current(inputs.current, Reason.NOT_ALLOWED)
    skew, version = min(skews)
    return Choice(version, version, Reason.NOT_ALLOWED, 0.0, skew, spec.experts)


def _keep_current(version: int, reason: Reason) -> Choice:
    return Choice(version, version, reason, 0.0, 0.0, 0)
