"""Compares the sidecar's fair queue between teams with other queues.

One endpoint serves the queued requests of several teams, mostly under
overload. Prints one JSON line per figure.
"""

import collections
from collections.abc import Callable
import datetime
import heapq
import itertools
import random
import time
import tracemalloc
from typing import Final
from typing import NamedTuple
from typing import Protocol

import json_lines
from verbenafall_sidecar.delivery import fair_queue

SEED: Final = 20260104
SLOTS: Final = 8
MEAN_SERVICE_SECONDS: Final = 0.5
# In requests of cost 1 per second.
CAPACITY_PER_SECOND: Final = SLOTS / MEAN_SERVICE_SECONDS
SHARES: Final = {"large-a": 8, "large-b": 4, "large-c": 2, "large-d": 1}
MANY_TEAMS: Final = 16_000
# Few enough teams that each sends its next request before its usage decays.
FEW_TEAMS: Final = 200
QUIET_SECONDS: Final = 100
FLOOD_SECONDS: Final = 300
QUANTUM: Final = 1.0


class Item(NamedTuple):
    """A request; its service time is proportional to its cost."""

    team: str
    arrived: float
    cost: float


class Queue(Protocol):
    """Interface of all queues.

    The shares given with a push apply to the team from then on.
    """

    def push(self, item: Item, shares: int, now: float) -> None:
        """Add an item."""

    def pop(self, now: float) -> Item | None:
        """Remove and return the next item."""


class DecayedUsageQueue:
    """The sidecar's fair queue, by decayed usage."""

    def __init__(self, exponent: int) -> None:
        """Create an empty queue that charges cost / shares**exponent."""
        self.exponent = exponent
        self.sequence = itertools.count()
        self.queue: fair_queue.FairQueue[Item] = fair_queue.create_fair_queue(
            datetime.timedelta()
        )

    def push(self, item: Item, shares: int, now: float) -> None:
        """Add an item."""
        # The fair queue itself divides by the shares once.
        cost = item.cost / shares ** (self.exponent - 1)
        self.queue.push(
            str(next(self.sequence)),
            item.team,
            shares,
            cost,
            item,
            datetime.timedelta(seconds=now),
        )

    def pop(self, now: float) -> Item | None:
        """Remove and return the next item."""
        queued = self.queue.pop(datetime.timedelta(seconds=now))
        return queued.item if queued else None


class FifoQueue:
    """Serves items in the order of arrival."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.items: collections.deque[Item] = collections.deque()

    def push(self, item: Item, _shares: int, _now: float) -> None:
        """Add an item."""
        self.items.append(item)

    def pop(self, _now: float) -> Item | None:
        """Remove and return the next item."""
        return self.items.popleft() if self.items else None


class DeficitRoundRobinQueue:
    """Serves teams in turn, with a quantum in proportion to their shares."""

    def __init__(self, weighted: bool) -> None:
        """Create an empty queue; if not weighted, all teams are equal."""
        self.weighted = weighted
        self.items: dict[str, collections.deque[Item]] = {}
        self.quanta: dict[str, float] = {}
        self.deficit: dict[str, float] = {}
        self.rotation: collections.deque[str] = collections.deque()

    def push(self, item: Item, shares: int, _now: float) -> None:
        """Add an item."""
        self.quanta[item.team] = QUANTUM * (shares if self.weighted else 1)
        if item.team not in self.items:
            self.items[item.team] = collections.deque()
            self.deficit[item.team] = self.quanta[item.team]
            self.rotation.append(item.team)
        self.items[item.team].append(item)

    def pop(self, _now: float) -> Item | None:
        """Remove and return the next item."""
        while self.rotation:
            team = self.rotation[0]
            if self.deficit[team] < self.items[team][0].cost:
                self.rotation.rotate(-1)
                self.deficit[self.rotation[-1]] += self.quanta[team]
                continue
            item = self.items[team].popleft()
            self.deficit[team] -= item.cost
            if not self.items[team]:
                self.rotation.popleft()
                del self.items[team], self.deficit[team], self.quanta[team]
            return item
        return None


class StartTimeFairQueue:
    """Serves the item with the smallest virtual start time."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.virtual_time = 0.0
        self.finish_times: dict[str, float] = {}
        self.heap: list[tuple[float, int, Item]] = []
        self.sequence = itertools.count()

    def push(self, item: Item, shares: int, _now: float) -> None:
        """Add an item."""
        start = max(self.virtual_time, self.finish_times.get(item.team, 0.0))
        self.finish_times[item.team] = start + item.cost / shares
        heapq.heappush(self.heap, (start, next(self.sequence), item))

    def pop(self, _now: float) -> Item | None:
        """Remove and return the next item."""
        if not self.heap:
            # The busy period has ended, so its finish times no longer count.
            self.finish_times.clear()
            return None
        self.virtual_time, _, item = heapq.heappop(self.heap)
        return item


SIDECAR_QUEUE: Final = "decay_plain_shares"
QUEUES: Final[dict[str, Callable[[], Queue]]] = {
    "decay_squared_shares": lambda: DecayedUsageQueue(2),
    "decay_plain_shares": lambda: DecayedUsageQueue(1),
    "start_time_fair": StartTimeFairQueue,
    "deficit_round_robin": lambda: DeficitRoundRobinQueue(weighted=True),
    "equal_round_robin": lambda: DeficitRoundRobinQueue(weighted=False),
    "first_in_first_out": FifoQueue,
}


def measure_proportion(
    create_queue: Callable[[], Queue], seconds: int
) -> float:
    """Return the largest relative error of a team's usage.

    All teams always have queued items. The error is 0 if usage is in
    proportion to shares.
    """
    queue, generator = create_queue(), random.Random(SEED)
    usage = dict.fromkeys(SHARES, 0.0)

    def offer(team: str, now: float) -> None:
        item = Item(team, now, generator.uniform(0.5, 1.5))
        queue.push(item, SHARES[team], now)

    for _ in range(64):
        for team in SHARES:
            offer(team, 0.0)
    for number in range(int(seconds * CAPACITY_PER_SECOND)):
        now = number / CAPACITY_PER_SECOND
        item = queue.pop(now)
        if item is not None:
            usage[item.team] += item.cost
            offer(item.team, now)
    total, shares = sum(usage.values()), sum(SHARES.values())
    return max(
        abs(usage[team] / total * shares / share - 1)
        for team, share in SHARES.items()
    )


def measure_flood(create_queue: Callable[[], Queue], teams: int) -> float:
    """Return the 95th percentile of small teams' waiting time in a flood.

    Small teams with one share each offer half of the capacity together. After
    a quiet time, a large team with eight shares offers twice the capacity. The
    number of its queued items is limited, as admission control would do.
    """
    queue, generator = create_queue(), random.Random(SEED)
    waits: list[float] = []
    arrivals = [
        (now, f"small-{generator.randrange(teams)}")
        for now in poisson_times(
            generator, CAPACITY_PER_SECOND / 2, FLOOD_SECONDS
        )
    ] + [
        (now, "large")
        for now in poisson_times(
            generator, CAPACITY_PER_SECOND * 2, FLOOD_SECONDS
        )
        if now >= QUIET_SECONDS
    ]
    arrivals.sort()
    free = [0.0] * SLOTS
    queued: collections.Counter[str] = collections.Counter()

    def serve_until(limit: float) -> None:
        while queued.total() and free[0] < limit:
            now = free[0]
            item = queue.pop(now)
            if item is None:
                return
            queued[item.team] -= 1
            if item.team != "large" and now > QUIET_SECONDS:
                waits.append(now - item.arrived)
            heapq.heapreplace(free, now + MEAN_SERVICE_SECONDS * item.cost)

    for now, team in arrivals:
        serve_until(now)
        while free[0] < now:
            heapq.heapreplace(free, now)
        if team == "large" and queued[team] >= 128:
            continue
        cost = generator.uniform(0.5, 1.5)
        queue.push(Item(team, now, cost), 8 if team == "large" else 1, now)
        queued[team] += 1
    return sorted(waits)[int(0.95 * len(waits))]


def measure_bursts(create_queue: Callable[[], Queue]) -> float:
    """Return the 95th percentile of the waiting time of a bursty team.

    The team has half of the shares and offers 0.9 of the capacity for 5 s out
    of every 30 s. The other team always has queued items.
    """
    queue, generator = create_queue(), random.Random(SEED)
    waits: list[float] = []
    arrivals = collections.deque(
        now
        for now in poisson_times(
            generator, 0.9 * CAPACITY_PER_SECOND, FLOOD_SECONDS
        )
        if now % 30 < 5
    )
    for _ in range(64):
        queue.push(Item("steady", 0.0, 1.0), 1, 0.0)
    for number in range(int(FLOOD_SECONDS * CAPACITY_PER_SECOND)):
        now = number / CAPACITY_PER_SECOND
        while arrivals and arrivals[0] <= now:
            queue.push(Item("bursts", arrivals.popleft(), 1.0), 1, now)
        item = queue.pop(now)
        if item is not None and item.team == "steady":
            queue.push(Item("steady", now, 1.0), 1, now)
        elif item is not None:
            waits.append(now - item.arrived)
    return sorted(waits)[int(0.95 * len(waits))]


def poisson_times(
    generator: random.Random, rate: float, seconds: int
) -> list[float]:
    """Return the arrival times of a Poisson process."""
    times, now = [], 0.0
    while now < seconds:
        now += generator.expovariate(rate)
        times.append(now)
    return times


def measure_decisions(create_queue: Callable[[], Queue]) -> float:
    """Return the microseconds that a push and a pop take with many teams."""
    queue = create_queue()
    items = [Item(f"team-{n}", 0.0, 1.0) for n in range(MANY_TEAMS)]
    for item in items:
        queue.push(item, 1, 0.0)
    started = time.perf_counter()
    for number, item in enumerate(items):
        queue.push(item, 1, number / CAPACITY_PER_SECOND)
        queue.pop(number / CAPACITY_PER_SECOND)
    return (time.perf_counter() - started) / MANY_TEAMS * 1e6


def measure_state(create_queue: Callable[[], Queue]) -> float:
    """Return the bytes of state per team if many teams have one item."""
    items = [Item(f"team-{n}", 0.0, 1.0) for n in range(MANY_TEAMS)]
    tracemalloc.start()
    queue = create_queue()
    for item in items:
        queue.push(item, 1, 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / MANY_TEAMS


def main() -> None:
    """Run the benchmark."""
    figures: list[tuple[str, str, Callable[[Callable[[], Queue]], float]]] = [
        ("usage_error", "ratio", lambda q: measure_proportion(q, 300)),
        ("usage_error_10s", "ratio", lambda q: measure_proportion(q, 10)),
        (
            "p95_wait_of_200_small_teams",
            "s",
            lambda q: measure_flood(q, FEW_TEAMS),
        ),
        (
            "p95_wait_of_16000_small_teams",
            "s",
            lambda q: measure_flood(q, MANY_TEAMS),
        ),
        ("burst_p95_wait", "s", measure_bursts),
        ("push_and_pop", "us", measure_decisions),
        ("state", "bytes/team", measure_state),
    ]
    for name, unit, measure in figures:
        results = {queue: measure(QUEUES[queue]) for queue in QUEUES}
        for queue in QUEUES:
            if queue != SIDECAR_QUEUE:
                json_lines.print_figure(
                    json_lines.create_figure(
                        f"team_shares.{name}",
                        results[SIDECAR_QUEUE],
                        unit,
                        queue,
                        results[queue],
                        SEED,
                    )
                )


if __name__ == "__main__":
    main()
