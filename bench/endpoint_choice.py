"""Compares the gateway's endpoint choice with baseline policies.

Simulates fleets with delayed load reports and faults. Prints one JSON line per
figure.
"""

from collections.abc import Callable
import concurrent.futures
import statistics
from typing import Final
from typing import TypeVar

import choice_admission
import choice_model
import json_lines

FiguresT = TypeVar("FiguresT")

WORKERS: Final = 6
# The 95th percentiles of single runs of 60 s differ by up to a fifth, so some
# cases are averaged over several seeds.
SEEDS: Final = range(choice_model.SEED, choice_model.SEED + 4)
SEEDED_POLICIES: Final = ("chosen", "whole_report", "round_robin")


def list_cases() -> list[choice_model.Case]:
    """Return the cases without admission control."""
    small = choice_model.Case(16, 3, 3, 0.0, "none", 0.8, 60.0)
    large = choice_model.Case(610, 3, 6, 0.0, "none", 0.8, 9.0)
    cases = [
        fleet._replace(lag=lag, gateways=gateways)
        for fleet in (small, large)
        for gateways in (3, 20)
        for lag in (0.0, 0.5, 2.0, 5.0)
    ]
    for fault in ("slow_engine", "stalled_rank", "leaving_engine"):
        cases.append(small._replace(lag=0.5, fault=fault))
        cases.append(large._replace(lag=0.5, fault=fault, gateways=20))
    lost = "lost_data_centre"
    cases.append(small._replace(lag=0.5, fault=lost, load=0.55))
    cases.append(large._replace(lag=0.5, fault=lost, load=0.6, gateways=20))
    return cases


def list_admission_cases() -> list[choice_model.Case]:
    """Return the cases with admission control and deadlines."""
    return [
        choice_model.Case(16, 20, 3, lag, "none", load, 60.0)
        for lag in (0.5, 2.0)
        for load in (0.8, 1.0, 1.5)
    ]


def list_seeded_cases() -> list[choice_model.Case]:
    """Return the cases that are averaged over several seeds."""
    return [
        choice_model.Case(16, 20, 3, lag, "none", 0.8, 120.0)
        for lag in (0.0, 0.5, 2.0, 5.0)
    ]


def name_case(case: choice_model.Case) -> str:
    """Return the prefix of the figure names of a case."""
    return (
        f"endpoint_choice.{case.engines}_engines.{case.gateways}_gateways."
        f"lag_{case.lag:g}s.{case.fault}"
    )


def print_case(
    case: choice_model.Case, results: dict[str, choice_model.Figures]
) -> None:
    """Print the figures of the policy "chosen" with each baseline."""
    selected = [
        ("p95_queueing", "s"),
        ("worst_over_mean_load", "ratio"),
        ("cached_share", "ratio"),
    ]
    if case.engines == 16 and case.fault == "none":
        selected.append(("same_engine_share", "ratio"))
    if case.fault == "leaving_engine":
        selected.append(("refused", "count"))
    for name, unit in selected:
        print_figures(
            f"{name_case(case)}.{name}",
            unit,
            {
                policy: getattr(figures, name)
                for policy, figures in results.items()
            },
        )


def print_seeded_case(
    case: choice_model.Case, results: dict[str, list[choice_model.Figures]]
) -> None:
    """Print mean figures over all seeds."""
    prefix = f"{name_case(case)}.mean_of_{len(SEEDS)}_seeds"
    for name, unit in (("p95_queueing", "s"), ("cached_share", "ratio")):
        means = {
            policy: statistics.mean(getattr(f, name) for f in figures)
            for policy, figures in results.items()
        }
        print_figures(f"{prefix}.{name}", unit, means)


def print_admission_case(
    case: choice_model.Case,
    results: dict[str, choice_admission.AdmissionFigures],
) -> None:
    """Print the figures of a case with admission control and deadlines."""
    prefix = f"{name_case(case)}.admission.load_{case.load:g}"
    units = ("requests/s", "ratio", "retries/request", "ratio")
    for name, unit in zip(
        choice_admission.AdmissionFigures._fields, units, strict=True
    ):
        print_figures(
            f"{prefix}.{name}",
            unit,
            {
                policy: getattr(figures, name)
                for policy, figures in results.items()
            },
        )


def print_figures(name: str, unit: str, values: dict[str, float]) -> None:
    """Print one figure of the policy "chosen" with each baseline."""
    for policy in values:
        if policy == "chosen":
            continue
        json_lines.print_figure(
            json_lines.create_figure(
                name,
                values["chosen"],
                unit,
                policy,
                values[policy],
                choice_model.SEED,
            )
        )


def submit(
    pool: concurrent.futures.Executor,
    run: Callable[[choice_model.Case, str], FiguresT],
    case: choice_model.Case,
) -> dict[str, concurrent.futures.Future[FiguresT]]:
    """Submit one run of a case for each policy."""
    return {
        policy: pool.submit(run, case, policy)
        for policy in choice_model.POLICIES
    }


def submit_seeds(
    pool: concurrent.futures.Executor, case: choice_model.Case
) -> dict[str, list[concurrent.futures.Future[choice_model.Figures]]]:
    """Submit a run of a case for each policy and seed."""
    return {
        policy: [
            pool.submit(choice_model.run_case, case, policy, seed)
            for seed in SEEDS
        ]
        for policy in SEEDED_POLICIES
    }


def main() -> None:
    """Run the benchmark."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        basic = [
            (case, submit(pool, choice_model.run_case, case))
            for case in list_cases()
        ]
        with_admission = [
            (case, submit(pool, choice_admission.run_case, case))
            for case in list_admission_cases()
        ]
        with_seeds = [
            (case, submit_seeds(pool, case)) for case in list_seeded_cases()
        ]
        for case, runs in basic:
            print_case(case, {p: run.result() for p, run in runs.items()})
        for case, admission_runs in with_admission:
            print_admission_case(
                case, {p: run.result() for p, run in admission_runs.items()}
            )
        for case, by_seed in with_seeds:
            print_seeded_case(
                case,
                {p: [r.result() for r in runs] for p, runs in by_seed.items()},
            )


if __name__ == "__main__":
    main()
