"""Compares the placement of requests on a rank group with common policies.

In the simulation, all ranks start each pass together and wait for the rank
with the most running requests. Requests arrive at several gateways. A gateway
knows its own open requests immediately, those of the other gateways after the
links' delay, and the engines' reports after the reports' delay. Prints one
JSON line per figure.
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
# Duration of a pass without requests, including the experts' part, and the
# additional time for each request on the most loaded rank.
PASS_BASE_SECONDS: Final = 0.045
PASS_SECONDS_PER_REQUEST: Final = 0.0036
PASSES_PER_REQUEST: Final = 8
TYPICAL_RATE_PER_SECOND: Final = 75.0
RATES_PER_SECOND: Final = (TYPICAL_RATE_PER_SECOND, 2 * TYPICAL_RATE_PER_SECOND)
DURATION_SECONDS: Final = 120.0
# Gateways announce changes within 30 ms, so after half of that on average.
LINK_DELAY_SECONDS: Final = 0.016
REPORT_DELAY_SECONDS: Final = 0.2


class Views(NamedTuple):
    """A gateway's information about the open requests on each rank.

    Attributes:
        own: Requests of this gateway.
        from_others: Requests of the other gateways, as they announced.
        reported: Requests of all gateways, as the engines reported.
    """

    own: list[int]
    from_others: list[int]
    reported: list[int]


Policy = Callable[[Views, random.Random], int | None]


def place_by_all_counts(views: Views, generator: random.Random) -> int | None:
    """Choose as the gateway does, by the counts of all gateways."""
    candidates = [
        placement.Candidate(
            str(rank), own + from_others, SLOTS, True, False, False, own
        )
        for rank, (own, from_others) in enumerate(
            zip(views.own, views.from_others, strict=True)
        )
    ]
    choice = placement.choose(candidates, 1.0, generator.random())
    return None if choice is None else int(choice.candidate.endpoint_id)


def place_by_own_counts(views: Views, generator: random.Random) -> int | None:
    """Choose the rank with the fewest requests of this gateway."""
    limit = max(1, SLOTS // GATEWAYS + 1)
    fewest = min(views.own)
    if fewest >= limit:
        return None
    tied = [rank for rank, load in enumerate(views.own) if load == fewest]
    return generator.choice(tied)


def place_by_two_reports(views: Views, generator: random.Random) -> int | None:
    """Choose the less loaded of two random ranks, by reported load."""
    first, second = generator.sample(range(RANKS), 2)
    best = min(first, second, key=views.reported.__getitem__)
    return best if views.reported[best] < SLOTS else None


POLICIES: Final[dict[str, Policy]] = {
    "counts_of_all_gateways": place_by_all_counts,
    "least_in_flight": place_by_own_counts,
    "power_of_two_reports": place_by_two_reports,
}


class Figures(NamedTuple):
    """Results of a simulation.

    Attributes:
        pass_p95: 95th percentile of the duration of a pass, in seconds.
        uneven: Requests on the most loaded rank divided by the mean over all
            ranks, averaged over the passes.
        refused: Fraction of the requests for which no rank had capacity.
    """

    pass_p95: float
    uneven: float
    refused: float


def simulate(policy: Policy, rate: float, seed: int) -> Figures:
    """Simulate one policy at a rate in requests per second."""
    generator = random.Random(seed)
    running = [[0] * RANKS for _ in range(GATEWAYS)]
    history: list[tuple[float, list[list[int]]]] = [(0.0, snapshot(running))]
    completions: list[tuple[int, int, int]] = []
    now, passes, requests, refused = 0.0, 0, 0, 0
    times, uneven = [], []
    while now < DURATION_SECONDS:
        loads = [sum(column) for column in zip(*running, strict=True)]
        pass_seconds = PASS_BASE_SECONDS + PASS_SECONDS_PER_REQUEST * max(loads)
        times.append(pass_seconds)
        if sum(loads):
            uneven.append(max(loads) * RANKS / sum(loads))
        for arrived in draw_arrivals(now, now + pass_seconds, rate, generator):
            gateway = generator.randrange(GATEWAYS)
            requests += 1
            rank = policy(
                create_views(running, history, gateway, arrived), generator
            )
            if rank is None:
                refused += 1
                continue
            running[gateway][rank] += 1
            history.append((arrived, snapshot(running)))
            heapq.heappush(
                completions, (passes + PASSES_PER_REQUEST, gateway, rank)
            )
        now += pass_seconds
        passes += 1
        while completions and completions[0][0] <= passes:
            _, gateway, rank = heapq.heappop(completions)
            running[gateway][rank] -= 1
        history.append((now, snapshot(running)))
        history = [item for item in history if item[0] > now - 1.0]
    return Figures(
        statistics.quantiles(times, n=20)[-1],
        statistics.fmean(uneven),
        refused / max(requests, 1),
    )


def snapshot(running: list[list[int]]) -> list[list[int]]:
    """Return a copy of the numbers of open requests."""
    return [list(row) for row in running]


def draw_arrivals(
    start: float, end: float, rate: float, generator: random.Random
) -> list[float]:
    """Return random arrival times between two times, in order."""
    arrivals = []
    arrived = start + generator.expovariate(rate)
    while arrived < end:
        arrivals.append(arrived)
        arrived += generator.expovariate(rate)
    return arrivals


def create_views(
    running: list[list[int]],
    history: list[tuple[float, list[list[int]]]],
    gateway: int,
    now: float,
) -> Views:
    """Return the information that a gateway has at a time."""
    announced = find_state(history, now - LINK_DELAY_SECONDS)
    reported = find_state(history, now - REPORT_DELAY_SECONDS)
    others = [row for number, row in enumerate(announced) if number != gateway]
    return Views(
        running[gateway],
        [sum(column) for column in zip(*others, strict=True)],
        [sum(column) for column in zip(*reported, strict=True)],
    )


def find_state(
    history: list[tuple[float, list[list[int]]]], latest: float
) -> list[list[int]]:
    """Return the last state at or before a time, else the oldest state."""
    for moment, state in reversed(history):
        if moment <= latest:
            return state
    return history[0][1]


def measure(rate: float) -> None:
    """Print the figures of the gateway's policy with each baseline."""
    results = {
        name: simulate(policy, rate, SEED) for name, policy in POLICIES.items()
    }
    actual = results.pop("counts_of_all_gateways")
    for name, figures in results.items():
        for field, unit in (
            ("pass_p95", "s"),
            ("uneven", "ratio"),
            ("refused", "ratio"),
        ):
            json_lines.print_figure(
                json_lines.create_figure(
                    f"rank_placement.{rate:g}_requests.{field}",
                    getattr(actual, field),
                    unit,
                    name,
                    getattr(figures, field),
                    SEED,
                )
            )


def main() -> None:
    """Run the benchmark."""
    for rate in RATES_PER_SECOND:
        measure(rate)


if __name__ == "__main__":
    main()
