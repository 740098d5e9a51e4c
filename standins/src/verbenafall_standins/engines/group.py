"""A rank group: engines whose ranks run each step together."""

import collections
from collections.abc import Iterator
import datetime
import itertools
import threading
from typing import Final
from typing import NamedTuple

from verbenafall_core import clock as clock_lib
from verbenafall_standins.engines import ranks as ranks_lib
from verbenafall_standins.engines import runs as runs_lib
from verbenafall_standins.engines import tokens
from verbenafall_standins.engines import weights as weights_lib

MS: Final = datetime.timedelta(milliseconds=1)
# Loads are kept at this interval, which bounds their memory.
LOAD_INTERVAL: Final = datetime.timedelta(milliseconds=20)
LOAD_WINDOW_STEPS: Final = 256
HOLD_WAIT_SECONDS: Final = 1.0


class GroupOptions(NamedTuple):
    """Options of a rank group.

    Attributes:
        slots: Batch size of each engine.
        step_ms: Time of a step without tokens.
        token_us: Time of one token on the rank of its expert.
        event_gap: Every how many cache events one is lost, 0 for none.
        cache_blocks: Prompt blocks that an engine's memory holds.
        fences: Whether orders of an old epoch are refused.
        weight_store: URL, or empty to load weights at once.
    """

    group: str = "group"
    engines: int = 1
    ranks_per_engine: int = 8
    experts: int = 64
    slots: int = 16
    step_ms: float = 20.0
    token_us: float = 200.0
    load_lag_ms: float = 500.0
    event_lag_ms: float = 500.0
    event_gap: int = 10
    cache_blocks: int = 4096
    fences: bool = False
    weight_store: str = ""


class Load(NamedTuple):
    """Load of an engine at a time."""

    at: datetime.timedelta
    in_flight: int
    queued: int
    kv_used: int
    expert_load: tuple[int, ...]


class Engine:
    """One engine of the group.

    Attributes:
        stalled: Ranks that do not finish another step.
        delays_ms: Additional step time of each rank.
        expert_window: Tokens per expert of each recent step.
    """

    def __init__(
        self, options: GroupOptions, number: int, joins: bool = False
    ) -> None:
        """Create an idle engine on map version 1, or 0 if it joins."""
        first = number * options.ranks_per_engine
        ranks = range(first, first + options.ranks_per_engine)
        all_ranks = options.engines * options.ranks_per_engine
        self.ranks = ranks_lib.EngineRanks(
            ranks,
            options.fences,
            None if joins else default_placement(options.experts, all_ranks),
        )
        self.times = ranks_lib.RankTimes(len(ranks))
        self.runs = runs_lib.RunQueue(options.slots, options.cache_blocks)
        self.stalled: set[int] = set()
        self.delays_ms = dict.fromkeys(ranks, 0.0)
        self.expert_load = [0] * options.experts
        self.expert_window: collections.deque[list[int]] = collections.deque()
        self.loads: collections.deque[Load] = collections.deque()
        self.prepare_lock = threading.Lock()

    def count_experts(self, experts: int) -> list[int]:
        """Return the tokens per expert of the step that begins."""
        counts = [0] * experts
        for run in self.runs.active:
            if run.prefill_steps == 0:
                for expert in tokens.token_experts(
                    run.digest, run.index, experts
                ):
                    counts[expert] += 1
        self.expert_window.append(counts)
        self.expert_load = [
            total + count
            for total, count in zip(self.expert_load, counts, strict=True)
        ]
        if len(self.expert_window) > LOAD_WINDOW_STEPS:
            oldest = self.expert_window.popleft()
            self.expert_load = [
                total - count
                for total, count in zip(self.expert_load, oldest, strict=True)
            ]
        return counts

    def note_load(self, now: datetime.timedelta, kept: int) -> None:
        """Keep the load for the lagging report."""
        if self.loads and now - self.loads[-1].at < LOAD_INTERVAL:
            return
        open_runs = len(self.runs.open_runs())
        active = sum(not run.ended for run in self.runs.active)
        self.loads.append(
            Load(
                now,
                active,
                open_runs - active,
                len(self.runs.cache.blocks),
                tuple(self.expert_load),
            )
        )
        while len(self.loads) > kept:
            self.loads.popleft()


class Group:
    """The step loop and the state of all engines.

    Attributes:
        step: The last step that has begun.
        mixed: Steps that ran on more than one map.
        changed: Guards all state; notified when a hold may have ended.
    """

    def __init__(self, options: GroupOptions) -> None:
        """Create a group whose loop does not run yet."""
        self.options = options
        self.clock = clock_lib.system_clock()
        self.engines = [
            Engine(options, number) for number in range(options.engines)
        ]
        self.weights = weights_lib.create_weights(options.weight_store)
        self.step = 0
        self.mixed = 0
        self.changed = threading.Condition()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Start the step loop."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the current step."""
        self.stopping.set()
        with self.changed:
            self.changed.notify_all()
        self.thread.join()

    def run(self) -> None:
        """Run steps until stopped."""
        while not self.stopping.is_set():
            with self.changed:
                if self.is_held():
                    self.changed.wait(HOLD_WAIT_SECONDS)
                    continue
                duration = self.begin_step()
            self.stopping.wait(duration.total_seconds())
            with self.changed:
                self.end_step()

    def is_held(self) -> bool:
        """Return whether a rank keeps the next step from beginning."""
        return any(
            engine.stalled or engine.ranks.holds(self.step + 1)
            for engine in self.engines
        )

    def begin_step(self) -> datetime.timedelta:
        """Begin a step on all ranks; return how long it takes."""
        self.step += 1
        now = self.clock.monotonic()
        counts = [0] * self.options.experts
        for engine in self.engines:
            engine.ranks.enter(self.step)
            engine.runs.fill_batch(now)
            own = engine.count_experts(self.options.experts)
            counts = [a + b for a, b in zip(counts, own, strict=True)]
        maps = {engine.ranks.map_version for engine in self.engines}
        self.mixed += len(maps) > 1
        slowest = max(
            max(self.time_engine(engine, counts)) for engine in self.engines
        )
        return slowest * MS

    def time_engine(self, engine: Engine, counts: list[int]) -> list[float]:
        """Return the step time in ms of each rank of an engine."""
        own = engine.ranks
        times = ranks_lib.rank_times(
            counts,
            own.placements[own.map_version],
            own.ranks,
            self.options.token_us / 1000,
        )
        for position, rank in enumerate(own.ranks):
            times[position] += self.options.step_ms + engine.delays_ms[rank]
        engine.times.add(times)
        return times

    def end_step(self) -> None:
        """Produce the tokens of the step."""
        now = self.clock.monotonic()
        kept = int(self.options.load_lag_ms * MS / LOAD_INTERVAL) + 2
        for engine in self.engines:
            for run in engine.runs.active:
                if not run.ended:
                    run.advance()
            engine.note_load(now, kept)

    def order(
        self, engine: Engine, order: ranks_lib.Order
    ) -> ranks_lib.OrderRefusal | weights_lib.WeightsBusy | None:
        """Check an order, load weights if needed, and take it."""
        if order.kind is not ranks_lib.OrderKind.PREPARE:
            return self.take_order(engine, order)
        with engine.prepare_lock:
            with self.changed:
                refusal = engine.ranks.check(order)
                moved = engine.ranks.moved_experts(order)
            if refusal is not None:
                return refusal
            busy = self.weights.load(order.map_version, moved)
            return busy or self.take_order(engine, order)

    def take_order(
        self, engine: Engine, order: ranks_lib.Order
    ) -> ranks_lib.OrderRefusal | None:
        """Check and take an order whose weights are loaded."""
        with self.changed:
            refusal = engine.ranks.check(order)
            if refusal is None:
                engine.ranks.apply(order, self.step)
                self.changed.notify_all()
            return refusal

    def restart(self, number: int) -> None:
        """Replace an engine by one that joins; its streams break."""
        with self.changed:
            for run in self.engines[number].runs.open_runs():
                run.end("", broken=True)
            self.engines[number] = Engine(self.options, number, joins=True)
            self.changed.notify_all()

    def reported_load(self, engine: Engine) -> Load | None:
        """Return the newest load that is older than the lag."""
        limit = self.clock.monotonic() - self.options.load_lag_ms * MS
        with self.changed:
            old = [load for load in engine.loads if load.at <= limit]
            return old[-1] if old else None

    def reported_events(
        self, engine: Engine, after: int
    ) -> Iterator[runs_lib.CacheEvent]:
        """Return the late cache events, without those that are lost."""
        limit = self.clock.monotonic() - self.options.event_lag_ms * MS
        gap = self.options.event_gap
        with self.changed:
            events = list(engine.runs.cache.events)
        late = itertools.takewhile(lambda event: event.at <= limit, events)
        return (
            event
            for event in late
            if event.sequence > after
            and not (gap and event.sequence % gap == 0)
        )


def default_placement(experts: int, ranks: int) -> tuple[int, ...]:
    """Return map version 1: experts spread over the ranks in order."""
    return tuple(expert * ranks // experts for expert in range(experts))


def create_group(options: GroupOptions) -> Group:
    """Create a group whose loop does not run yet."""
    return Group(options)
