"""Measures placing on a rank group against usual choices.

Prints one JSON line per figure. All ranks begin each pass together and wait
for the one with the most running requests. Requests come to several gateways;
a gateway knows its own open requests at once, those of the others after the
links' delay, and the engines' reports after theirs. The figure is the time of
a pass, and how much longer than an even spread would take.
"""

from collections.abc import Callable
import heapq
import random
import statistics
from typing import Final
from typing import NamedTuple

import json_lines
from verbenafall_gateway.forwarding import placement

SEED: Final = 11
RANKS: Final = 16
SLOTS: Final = 6
GATEWAYS: Final = 4
# Seconds: what a pass takes without requests, with the experts' part, and for
# each one that runs.
PASS_BASE: Final = 0.045
PASS_PER_REQUEST: Final = 0.0036
PASSES_PER_REQUEST: Final = 8
USUAL_RATE: Final = 75.0
RATES: Final = (USUAL_RATE, 2 * USUAL_RATE)
DURATION: Final = 120.0
# Changes are told within 30 ms, half of that in the mean.
LINK_DELAY: Final = 0.016
REPORT_DELAY: Final = 0.2


class Views(NamedTuple):
    """Open requests by rank, as a gateway may know them.

    Attributes:
        own: Sent by this gateway.
        told: Sent by the others, as they have told.
        reported: Of all, as the engines have reported.
    """

    own: list[int]
    told: list[int]
    reported: list[int]


Policy = Callable[[Views, random.Random], int | None]


def place_by_all_counts(views: Views, generator: random.Random) -> int | None:
    """Choose as the product does, by what all gateways have told."""
    candidates = [
        placement.Candidate(
            str(rank), own + told, SLOTS, True, False, False, own
        )
        for rank, (own, told) in enumerate(
            zip(views.own, views.told, strict=True)
        )
    ]
    choice = placement.choose(candidates, 1.0, generator.random())
    return None if choice is None else int(choice.candidate.endpoint_id)


def place_by_own_counts(views: Views, generator: random.Random) -> int | None:
    """Choose the least in flight of this gateway alone."""
    share = max(1, SLOTS // GATEWAYS + 1)
    least = min(views.own)
    if least >= share:
        return None
    equals = [rank for rank, load in enumerate(views.own) if load == least]
    return generator.choice(equals)


def place_by_two_reports(views: Views, generator: random.Random) -> int | None:
    """Choose the better of two by the engines' reports."""
    first, second = generator.sample(range(RANKS), 2)
    best = min(first, second, key=views.reported.__getitem__)
    return best if views.reported[best] < SLOTS else None


POLICIES: Final[dict[str, Policy]] = {
    "counts_of_all_gateways": place_by_all_counts,
    "least_in_flight": place_by_own_counts,
    "power_of_two_reports": place_by_two_reports,
}


class Figures(NamedTuple):
    """What requests met.

    Attributes:
        pass_p95: Time of a pass, in seconds.
        uneven: Mean of the most loaded rank's requests against the mean.
        refused: Share of requests without a place.
    """

    pass_p95: float
    uneven: float
    refused: float


def simulate(policy: Policy, rate: float, seed: int) -> Figures:
    """Play one policy at a number of requests a second."""
    generator = random.Random(seed)
    running = [[0] * RANKS for _ in range(GATEWAYS)]
    history: list[tuple[float, list[list[int]]]] = [(0.0, snapshot(running))]
    left: list[tuple[int, int, int]] = []
    now, passes, asked, refused = 0.0, 0, 0, 0
    times, uneven = [], []
    while now < DURATION:
        loads = [sum(column) for column in zip(*running, strict=True)]
        took = PASS_BASE + PASS_PER_REQUEST * max(loads)
        times.append(took)
        if sum(loads):
            uneven.append(max(loads) * RANKS / sum(loads))
        for at in draw_arrivals(now, now + took, rate, generator):
            gateway = generator.randrange(GATEWAYS)
            asked += 1
            rank = policy(view_of(running, history, gateway, at), generator)
            if rank is None:
                refused += 1
                continue
            running[gateway][rank] += 1
            history.append((at, snapshot(running)))
            heapq.heappush(left, (passes + PASSES_PER_REQUEST, gateway, rank))
        now += took
        passes += 1
        while left and left[0][0] <= passes:
            _, gateway, rank = heapq.heappop(left)
            running[gateway][rank] -= 1
        history.append((now, snapshot(running)))
        history = [item for item in history if item[0] > now - 1.0]
    return Figures(
        statistics.quantiles(times, n=20)[-1],
        statistics.fmean(uneven),
        refused / max(asked, 1),
    )


def snapshot(running: list[list[int]]) -> list[list[int]]:
    """Return a copy of the open requests."""
    return [list(row) for row in running]


def draw_arrivals(
    start: float, end: float, rate: float, generator: random.Random
) -> list[float]:
    """Return when requests come between two times, in order."""
    arrivals = []
    at = start + generator.expovariate(rate)
    while at < end:
        arrivals.append(at)
        at += generator.expovariate(rate)
    return arrivals


def view_of(
    running: list[list[int]],
    history: list[tuple[float, list[list[int]]]],
    gateway: int,
    now: float,
) -> Views:
    """Return what a gateway knows at a time."""
    told = find_state(history, now - LINK_DELAY)
    reported = find_state(history, now - REPORT_DELAY)
    others = [row for number, row in enumerate(told) if number != gateway]
    return Views(
        running[gateway],
        [sum(column) for column in zip(*others, strict=True)],
        [sum(column) for column in zip(*reported, strict=True)],
    )


def find_state(
    history: list[tuple[float, list[list[int]]]], at: float
) -> list[list[int]]:
    """Return the newest state that is not later than a time."""
    for moment, state in reversed(history):
        if moment <= at:
            return state
    return history[0][1]


def measure(rate: float) -> None:
    """Print the product's choice against the others at a rate."""
    found = {
        name: simulate(policy, rate, SEED) for name, policy in POLICIES.items()
    }
    own = found.pop("counts_of_all_gateways")
    for name, figures in found.items():
        for field, unit in (
            ("pass_p95", "s"),
            ("uneven", "ratio"),
            ("refused", "ratio"),
        ):
            json_lines.print_figure(
                json_lines.create_figure(
                    f"rank_placement.{rate:g}_requests.{field}",
                    getattr(own, field),
                    unit,
                    name,
                    getattr(figures, field),
                    SEED,
                )
            )


def main() -> None:
    """Measure all rates."""
    for rate in RATES:
        measure(rate)


if __name__ == "__main__":
    main()
