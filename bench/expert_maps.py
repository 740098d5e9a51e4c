"""Compares expert map selection with baselines over a simulated day.

The load of the experts drifts over the day. All policies see the same delayed
load reports; their cost is computed from the true load. Prints one JSON line
per figure.
"""

from collections.abc import Callable
from collections.abc import Sequence
import concurrent.futures
import datetime
import functools
import itertools
import math
import random
from typing import Final
from typing import NamedTuple

import json_lines
from verbenafall_core.bundles import model
from verbenafall_core.expert_maps import load_history
from verbenafall_core.expert_maps import proposal
from verbenafall_core.expert_maps import selection

SEED: Final = 20260101
WORKERS: Final = 6
DAY_MINUTES: Final = 24 * 60
EXPERTS_PER_LAYER: Final = 64
# Minutes for whose load maps are proposed.
PLANNED_MINUTES: Final = range(0, DAY_MINUTES, 180)
MINUTE: Final = datetime.timedelta(minutes=1)


class Scale(NamedTuple):
    """Size of a rank group; each rank holds at least one expert.

    The string representation of a scale is part of the random seeds, so
    renaming the class or a field changes the figures.
    """

    ranks: int
    layers: int


class Weights(NamedTuple):
    """Cost weights of a deployment.

    Attributes:
        skew: Cost of a skew of 1 for one minute.
        move: Cost of moving one expert.
    """

    name: str
    skew: float
    move: float


class Faults(NamedTuple):
    """Faults of load reports and ranks.

    Attributes:
        lag_minutes: Age of a load report when it arrives.
        missing: Fraction of the load reports that are lost.
        slow_rank: Rank that runs at half speed, None for no such rank.
    """

    name: str
    lag_minutes: int
    missing: float
    slow_rank: int | None


class Day(NamedTuple):
    """True load of each minute, and the maps to choose from.

    Attributes:
        loads: Load of each expert for each minute.
        skews: Expected skew by map version for each minute.
        moved: Number of moved experts for each pair of old and new version.
    """

    loads: list[list[float]]
    maps: tuple[model.MapSpec, ...]
    skews: list[dict[int, float]]
    moved: dict[tuple[int, int], int]


class DayResult(NamedTuple):
    """Result of a policy over a day.

    Attributes:
        moved: Number of moved experts.
        switches: Number of map switches.
        stragglers: Ranks that were reported as stragglers.
    """

    mean_skew: float
    moved: int
    switches: int
    stragglers: frozenset[int]


SCALES: Final = (Scale(16, 1), Scale(128, 8))
WEIGHTS: Final = (
    Weights("rental-desk", skew=1.0, move=0.25),
    Weights("trip-permissions", skew=0.25, move=1.0),
)
FAULTS: Final = (
    Faults("none", 1, 0.0, None),
    Faults("straggler", 1, 0.0, 3),
    Faults("late", 15, 0.0, None),
    Faults("missing", 1, 0.7, None),
)

# Returns the version of the map to use.
Policy = Callable[[selection.SelectionInput], int]


def generate_loads(scale: Scale, seed: int, day_name: str) -> list[list[float]]:
    """Return tokens per expert for each minute, drifting over the day."""
    generator = random.Random(f"{seed}-{scale}")
    noise = random.Random(f"{seed}-{scale}-{day_name}")
    experts = scale.layers * EXPERTS_PER_LAYER
    base = [generator.lognormvariate(0, 0.4) for _ in range(experts)]
    phase = [generator.uniform(0, 2 * math.pi) for _ in range(experts)]
    amplitude = [generator.uniform(0.2, 0.9) for _ in range(experts)]
    return [
        [
            1000
            * base[expert]
            * math.exp(
                amplitude[expert]
                * math.sin(2 * math.pi * minute / DAY_MINUTES + phase[expert])
            )
            * noise.lognormvariate(0, 0.1)
            for expert in range(experts)
        ]
        for minute in range(DAY_MINUTES)
    ]


@functools.cache
def create_day(scale: Scale, seed: int) -> Day:
    """Return a day with the maps proposed from the load of the day before."""
    before = generate_loads(scale, seed, "before")
    loads = generate_loads(scale, seed, "today")
    maps = [
        proposal.propose_map(number, average_hour(before, minute), scale.ranks)
        for number, minute in enumerate(PLANNED_MINUTES, 1)
    ]
    base = maps[0]
    for minute in PLANNED_MINUTES:
        version = len(maps) + 1
        load = average_hour(before, minute)
        maps.append(
            proposal.adapt_map(version, base, load, scale.ranks, scale.ranks)
        )
    skews = [
        {m.version: selection.expected_skew(m, load, scale.ranks) for m in maps}
        for load in loads
    ]
    moved = {
        (a.version, b.version): selection.count_moved(a, b)
        for a in maps
        for b in maps
    }
    return Day(loads, tuple(maps), skews, moved)


def average_hour(loads: Sequence[Sequence[float]], minute: int) -> list[float]:
    """Return the mean load in the hour around a minute of a cyclic day."""
    rows = [
        loads[(minute + offset) % DAY_MINUTES] for offset in range(-30, 30, 5)
    ]
    return [sum(column) / len(rows) for column in zip(*rows, strict=True)]


def create_group_spec(
    scale: Scale, weights: Weights, day: Day
) -> model.GroupSpec:
    """Return the rank group as it would be in a bundle."""
    return model.GroupSpec(
        name="bench",
        service="bench",
        ranks=scale.ranks,
        experts=scale.layers * EXPERTS_PER_LAYER,
        maps=day.maps,
        skew_weight=weights.skew,
        move_weight=weights.move,
        minimum_dwell=datetime.timedelta(minutes=10),
        moves_per_minute=60,
    )


def run_day(
    spec: model.GroupSpec, day: Day, faults: Faults, policy: Policy
) -> DayResult:
    """Simulate one policy over a day."""
    generator = random.Random(SEED)
    history = load_history.empty_history(spec.experts)
    current = day.maps[0].version
    switched_at = datetime.timedelta()
    moved, switches, skew_sum = 0, 0, 0.0
    stragglers: set[int] = set()
    for minute in range(DAY_MINUTES):
        now = minute * MINUTE
        reported_minute = minute - faults.lag_minutes
        if reported_minute >= 0 and generator.random() >= faults.missing:
            report = load_history.LoadReport(
                reported_minute * MINUTE, tuple(day.loads[reported_minute])
            )
            history = load_history.add_report(history, report)
        selected_version = policy(
            selection.SelectionInput(current, history, now, switched_at)
        )
        if selected_version != current:
            moved += day.moved[current, selected_version]
            switches += 1
            current, switched_at = selected_version, now
        skew_sum += day.skews[minute][current]
        if faults.slow_rank is not None and minute % 60 == 0:
            shares = load_history.load_shares(history.load)
            times = compute_rank_times(
                spec, day, minute, current, faults.slow_rank
            )
            stragglers.update(
                selection.find_stragglers(
                    spec, current, shares, dict(enumerate(times))
                )
            )
    return DayResult(
        skew_sum / DAY_MINUTES, moved, switches, frozenset(stragglers)
    )


def compute_rank_times(
    spec: model.GroupSpec, day: Day, minute: int, current: int, slow_rank: int
) -> list[float]:
    """Return simulated step times of all ranks, with one at half speed."""
    current_map = next(m for m in day.maps if m.version == current)
    total = sum(day.loads[minute])
    times = [10.0] * spec.ranks
    for expert, rank in enumerate(current_map.placement):
        times[rank] += 20.0 * spec.ranks * day.loads[minute][expert] / total
    times[slow_rank] *= 2
    return times


@functools.cache
def compute_lower_bound(scale: Scale, weights: Weights) -> float:
    """Return the lower bound of the cost for a scale and weights, cached."""
    day = create_day(scale, SEED)
    return find_lowest_cost(create_group_spec(scale, weights, day), day)


def find_lowest_cost(spec: model.GroupSpec, day: Day) -> float:
    """Return the lowest cost of any schedule, with all loads known.

    Ignores the minimum dwell and the move rate, so it is a lower bound.
    """
    versions = [m.version for m in day.maps]
    start = versions[0]
    costs = {v: 0.0 if v == start else math.inf for v in versions}
    for skews in day.skews:
        costs = {
            v: spec.skew_weight * skews[v]
            + min(
                costs[u] + spec.move_weight * day.moved[u, v] for u in versions
            )
            for v in versions
        }
    return min(costs.values())


@functools.cache
def run_least_skewed(scale: Scale, faults: Faults) -> DayResult:
    """Simulate choose_least_skewed, which does not depend on the weights."""
    day = create_day(scale, SEED)
    spec = create_group_spec(scale, WEIGHTS[0], day)
    return run_day(
        spec, day, faults, functools.partial(choose_least_skewed, spec)
    )


def weighted_cost(spec: model.GroupSpec, result: DayResult) -> float:
    """Return the cost of a result under the weights of a rank group."""
    skew_sum = result.mean_skew * DAY_MINUTES
    return spec.skew_weight * skew_sum + spec.move_weight * result.moved


def choose_least_skewed(
    spec: model.GroupSpec, state: selection.SelectionInput
) -> int:
    """Choose the map with the least skew now, at any number of moves."""
    shares = load_history.load_shares(state.history.load)
    return min(
        spec.maps,
        key=lambda m: selection.expected_skew(m, shares, spec.ranks),
    ).version


def measure(
    scale: Scale, weights: Weights, faults: Faults
) -> list[json_lines.Figure]:
    """Return the figures for one scale, weights and fault."""
    day = create_day(scale, SEED)
    spec = create_group_spec(scale, weights, day)
    selected = run_day(
        spec, day, faults, lambda state: selection.select(spec, state).version
    )
    never_skew = sum(skews[day.maps[0].version] for skews in day.skews)
    never = DayResult(never_skew / DAY_MINUTES, 0, 0, frozenset())
    always = run_least_skewed(scale, faults)
    prefix = f"{weights.name}.{scale.ranks}_ranks.{faults.name}"
    figures: list[json_lines.Figure] = []
    report = functools.partial(add_figure, figures, prefix)
    report(
        "mean_skew", "ratio", "never_move", selected.mean_skew, never.mean_skew
    )
    report(
        "mean_skew",
        "ratio",
        "always_best",
        selected.mean_skew,
        always.mean_skew,
    )
    report(
        "moved_experts", "count", "always_best", selected.moved, always.moved
    )
    report(
        "weighted_cost",
        "cost",
        "never_move",
        weighted_cost(spec, selected),
        weighted_cost(spec, never),
    )
    report(
        "weighted_cost",
        "cost",
        "always_best",
        weighted_cost(spec, selected),
        weighted_cost(spec, always),
    )
    report(
        "weighted_cost",
        "cost",
        "hindsight",
        weighted_cost(spec, selected),
        compute_lower_bound(scale, weights),
    )
    if faults.slow_rank is not None:
        found = selected.stragglers == {faults.slow_rank}
        report("straggler_only_found", "bool", "expected", float(found), 1.0)
        plain = run_day(
            spec,
            day,
            faults._replace(slow_rank=None),
            lambda state: selection.select(spec, state).version,
        )
        report(
            "moved_experts",
            "count",
            "without_straggler",
            selected.moved,
            plain.moved,
        )
    return figures


def add_figure(
    figures: list[json_lines.Figure],
    prefix: str,
    name: str,
    unit: str,
    baseline: str,
    value: float,
    baseline_value: float,
) -> None:
    """Append a figure that is compared with a baseline."""
    figures.append(
        json_lines.create_figure(
            f"expert_maps.{prefix}.{name}",
            value,
            unit,
            baseline,
            baseline_value,
            SEED,
        )
    )


def main() -> None:
    """Run the benchmark."""
    cases = list(itertools.product(SCALES, WEIGHTS, FAULTS))
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for figures in pool.map(measure, *zip(*cases, strict=True)):
            for figure in figures:
                json_lines.print_figure(figure)


if __name__ == "__main__":
    main()
