"""Measures map selection over a simulated day of drifting expert load.

Each policy sees the same lagging load reports and is charged for the true
load. Prints one JSON line per figure.
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
PLANNED_MINUTES: Final = range(0, DAY_MINUTES, 180)
MINUTE: Final = datetime.timedelta(minutes=1)


class Scale(NamedTuple):
    """Size of a group; one rank holds at least one expert a layer group."""

    ranks: int
    layers: int


class Weights(NamedTuple):
    """Weights of a deployment: skew a minute, and one moved expert."""

    name: str
    skew: float
    move: float


class Faults(NamedTuple):
    """Faults of load reports and ranks."""

    name: str
    lag_minutes: int
    missing: float
    slow_rank: int | None


class Day(NamedTuple):
    """True load of each minute and what is derived from it."""

    loads: list[list[float]]
    maps: tuple[model.MapSpec, ...]
    skews: list[dict[int, float]]
    moved: dict[tuple[int, int], int]


class Outcome(NamedTuple):
    """What a policy did over a day."""

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

Policy = Callable[[selection.SelectionInput], int]


def expert_loads(
    scale: Scale, seed: int, generator_name: str
) -> list[list[float]]:
    """Return tokens per expert and minute, drifting through the day."""
    generator = random.Random(f"{seed}-{scale}")
    noise = random.Random(f"{seed}-{scale}-{generator_name}")
    experts = scale.layers * EXPERTS_PER_LAYER
    base = [generator.lognormvariate(0, 0.4) for _ in range(experts)]
    phase = [generator.uniform(0, 2 * math.pi) for _ in range(experts)]
    swing = [generator.uniform(0.2, 0.9) for _ in range(experts)]
    return [
        [
            1000
            * base[e]
            * math.exp(
                swing[e] * math.sin(2 * math.pi * t / DAY_MINUTES + phase[e])
            )
            * noise.lognormvariate(0, 0.1)
            for e in range(experts)
        ]
        for t in range(DAY_MINUTES)
    ]


@functools.cache
def create_day(scale: Scale, seed: int) -> Day:
    """Return a day whose maps were proposed from the day before."""
    before = expert_loads(scale, seed, "before")
    loads = expert_loads(scale, seed, "today")
    maps = [
        proposal.propose_map(number, hour_mean(before, minute), scale.ranks)
        for number, minute in enumerate(PLANNED_MINUTES, 1)
    ]
    base = maps[0]
    for minute in PLANNED_MINUTES:
        version = len(maps) + 1
        load = hour_mean(before, minute)
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


def hour_mean(loads: Sequence[Sequence[float]], minute: int) -> list[float]:
    """Return the mean load of the hour around a minute of a cyclic day."""
    rows = [
        loads[(minute + offset) % DAY_MINUTES] for offset in range(-30, 30, 5)
    ]
    return [sum(column) / len(rows) for column in zip(*rows, strict=True)]


def group_spec(scale: Scale, weights: Weights, day: Day) -> model.GroupSpec:
    """Return the group as a bundle would state it."""
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
) -> Outcome:
    """Run one policy over a day."""
    generator = random.Random(SEED)
    history = load_history.empty_history(spec.experts)
    current = day.maps[0].version
    switched_at = datetime.timedelta()
    moved, switches, skew_sum = 0, 0, 0.0
    stragglers: set[int] = set()
    for t in range(DAY_MINUTES):
        now = t * MINUTE
        seen = t - faults.lag_minutes
        if seen >= 0 and generator.random() >= faults.missing:
            report = load_history.LoadReport(
                seen * MINUTE, tuple(day.loads[seen])
            )
            history = load_history.add_report(history, report)
        wanted = policy(
            selection.SelectionInput(current, history, now, switched_at)
        )
        if wanted != current:
            moved += day.moved[current, wanted]
            switches += 1
            current, switched_at = wanted, now
        skew_sum += day.skews[t][current]
        if faults.slow_rank is not None and t % 60 == 0:
            shares = load_history.load_shares(history.load)
            times = rank_times(spec, day, t, current, faults.slow_rank)
            stragglers.update(
                selection.find_stragglers(
                    spec, current, shares, dict(enumerate(times))
                )
            )
    return Outcome(
        skew_sum / DAY_MINUTES, moved, switches, frozenset(stragglers)
    )


def rank_times(
    spec: model.GroupSpec, day: Day, t: int, current: int, slow_rank: int
) -> list[float]:
    """Return measured step times with one rank at half speed."""
    used = next(m for m in day.maps if m.version == current)
    total = sum(day.loads[t])
    times = [10.0] * spec.ranks
    for expert, rank in enumerate(used.placement):
        times[rank] += 20.0 * spec.ranks * day.loads[t][expert] / total
    times[slow_rank] *= 2
    return times


@functools.cache
def find_best_cost(scale: Scale, weights: Weights) -> float:
    """Return the cost of the best schedule in hindsight."""
    day = create_day(scale, SEED)
    return best_cost(group_spec(scale, weights, day), day)


def best_cost(spec: model.GroupSpec, day: Day) -> float:
    """Return the least cost of any schedule, known in hindsight.

    Ignores dwell and move rate, so it is a lower bound.
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
def run_always_best(scale: Scale, faults: Faults) -> Outcome:
    """Run the baseline that takes the best map now; weights play no part."""
    day = create_day(scale, SEED)
    spec = group_spec(scale, WEIGHTS[0], day)
    return run_day(spec, day, faults, functools.partial(always_best, spec))


def weighted(spec: model.GroupSpec, outcome: Outcome) -> float:
    """Return the cost of a run under the weights of a group."""
    skew_sum = outcome.mean_skew * DAY_MINUTES
    return spec.skew_weight * skew_sum + spec.move_weight * outcome.moved


def always_best(spec: model.GroupSpec, facts: selection.SelectionInput) -> int:
    """Choose the map of least skew now, whatever it moves."""
    shares = load_history.load_shares(facts.history.load)
    return min(
        spec.maps,
        key=lambda m: selection.expected_skew(m, shares, spec.ranks),
    ).version


def measure(
    scale: Scale, weights: Weights, faults: Faults
) -> list[json_lines.Figure]:
    """Return the figures of one combination."""
    day = create_day(scale, SEED)
    spec = group_spec(scale, weights, day)
    selected = run_day(
        spec, day, faults, lambda facts: selection.select(spec, facts).version
    )
    never_skew = sum(skews[day.maps[0].version] for skews in day.skews)
    never = Outcome(never_skew / DAY_MINUTES, 0, 0, frozenset())
    always = run_always_best(scale, faults)
    prefix = f"{weights.name}.{scale.ranks}_ranks.{faults.name}"
    figures: list[json_lines.Figure] = []
    report = functools.partial(add_pair, figures, prefix)
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
        weighted(spec, selected),
        weighted(spec, never),
    )
    report(
        "weighted_cost",
        "cost",
        "always_best",
        weighted(spec, selected),
        weighted(spec, always),
    )
    report(
        "weighted_cost",
        "cost",
        "hindsight",
        weighted(spec, selected),
        find_best_cost(scale, weights),
    )
    if faults.slow_rank is not None:
        found = selected.stragglers == {faults.slow_rank}
        report("straggler_only_found", "bool", "expected", float(found), 1.0)
        plain = run_day(
            spec,
            day,
            faults._replace(slow_rank=None),
            lambda facts: selection.select(spec, facts).version,
        )
        report(
            "moved_experts",
            "count",
            "without_straggler",
            selected.moved,
            plain.moved,
        )
    return figures


def add_pair(
    figures: list[json_lines.Figure],
    prefix: str,
    name: str,
    unit: str,
    baseline: str,
    value: float,
    baseline_value: float,
) -> None:
    """Add one figure against one baseline."""
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
    """Print all figures."""
    cases = list(itertools.product(SCALES, WEIGHTS, FAULTS))
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for figures in pool.map(measure, *zip(*cases, strict=True)):
            for figure in figures:
                json_lines.print_figure(figure)


if __name__ == "__main__":
    main()
