"""A rank group: engines whose ranks run steps in lockstep."""

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
# Minimum time between recorded loads, which bounds their number.
LOAD_INTERVAL: Final = datetime.timedelta(milliseconds=20)
LOAD_WINDOW_STEPS: Final = 256
HOLD_WAIT_SECONDS: Final = 1.0


class GroupOptions(NamedTuple):
    """Options of a rank group.

    Attributes:
        slots: Batch size of each engine.
        step_ms: Duration of a step without tokens.
        token_us: Time that one token takes on the rank of its expert.
        load_lag_ms: Minimum age of a reported load.
        event_lag_ms: Minimum age of a reported cache event.
        event_gap: Every n-th cache event is lost, 0 for none.
        cache_blocks: Capacity of an engine's prefix cache in blocks.
        fences: Whether orders of an old epoch are refused.
        weight_store: URL of the weight store; if empty, weights are loaded
            immediately.
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
    """Load of an engine; the fields are reported by name.

    Attributes:
        at: Time on the monotonic clock.
        in_flight: Runs in the batch that have not ended.
        queued: Runs that wait for a slot.
        kv_used: Blocks in the prefix cache.
        expert_load: Tokens per expert over the recent steps.
    """

    at: datetime.timedelta
    in_flight: int
    queued: int
    kv_used: int
    expert_load: tuple[int, ...]


class Engine:
    """One engine of the group.

    Attributes:
        stalled: Ranks that stop the group before its next step.
        delays_ms: Additional step time of each rank.
        expert_load: Sum of expert_window.
        expert_window: Tokens per expert of each recent step.
        loads: Recorded loads, oldest first.
        prepare_lock: Held while the engine loads weights.
    """

    def __init__(
        self, options: GroupOptions, number: int, joining: bool = False
    ) -> None:
        """Create an idle engine on map version 1.

        An engine that joins a running group has no weights and no map. It
        holds all steps until it is ordered to start.
        """
        first_rank = number * options.ranks_per_engine
        ranks = range(first_rank, first_rank + options.ranks_per_engine)
        all_ranks = options.engines * options.ranks_per_engine
        self.ranks = ranks_lib.EngineRanks(
            ranks,
            options.fences,
            None if joining else default_placement(options.experts, all_ranks),
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
        """Count and record the tokens per expert of the step that starts."""
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

    def record_load(self, now: datetime.timedelta, max_loads: int) -> None:
        """Record the load for the delayed report."""
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
        while len(self.loads) > max_loads:
            self.loads.popleft()


class Group:
    """The step loop and the state of all engines.

    Attributes:
        step: The last step that was started.
        mixed: Number of steps in which engines used different maps.
        changed: Guards all state; notified when a hold may have ended.
    """

    def __init__(self, options: GroupOptions) -> None:
        """Create a group; its step loop is not started."""
        self.options = options
        self.clock = clock_lib.system_clock()
        self.engines = [
            Engine(options, number) for number in range(options.engines)
        ]
        self.weights = weights_lib.create_weight_loader(options.weight_store)
        self.step = 0
        self.mixed = 0
        self.changed = threading.Condition()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Start the step loop."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the step loop, and wait until it has ended."""
        self.stopping.set()
        with self.changed:
            self.changed.notify_all()
        self.thread.join()

    def run(self) -> None:
        """Run steps, and wait while the group is held, until stopped."""
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
        """Return whether any rank prevents the next step."""
        return any(
            engine.stalled or engine.ranks.holds_before(self.step + 1)
            for engine in self.engines
        )

    def begin_step(self) -> datetime.timedelta:
        """Start a step on all ranks; return the time of the slowest one."""
        self.step += 1
        now = self.clock.monotonic()
        counts = [0] * self.options.experts
        for engine in self.engines:
            engine.ranks.start_step(self.step)
            engine.runs.fill_batch(now)
            engine_counts = engine.count_experts(self.options.experts)
            counts = [a + b for a, b in zip(counts, engine_counts, strict=True)]
        maps = {engine.ranks.map_version for engine in self.engines}
        self.mixed += len(maps) > 1
        slowest = max(
            max(self.engine_step_times(engine, counts))
            for engine in self.engines
        )
        return slowest * MS

    def engine_step_times(
        self, engine: Engine, counts: list[int]
    ) -> list[float]:
        """Return and record the step time in ms of each rank of an engine."""
        engine_ranks = engine.ranks
        times = ranks_lib.rank_token_times(
            counts,
            engine_ranks.placements[engine_ranks.map_version],
            engine_ranks.ranks,
            self.options.token_us / 1000,
        )
        for position, rank in enumerate(engine_ranks.ranks):
            times[position] += self.options.step_ms + engine.delays_ms[rank]
        engine.times.add(times)
        return times

    def end_step(self) -> None:
        """Produce the tokens of the step and record the loads."""
        now = self.clock.monotonic()
        max_loads = int(self.options.load_lag_ms * MS / LOAD_INTERVAL) + 2
        for engine in self.engines:
            for run in engine.runs.active:
                if not run.ended:
                    run.advance()
            engine.record_load(now, max_loads)

    def handle_order(
        self, engine: Engine, order: ranks_lib.Order
    ) -> ranks_lib.OrderRefusal | weights_lib.WeightsBusy | None:
        """Check and apply an order; PREPARE first loads missing weights.

        Returns:
            Why the order was refused, None if it was applied.
        """
        if order.kind is not ranks_lib.OrderKind.PREPARE:
            return self.apply_order(engine, order)
        with engine.prepare_lock:
            with self.changed:
                refusal = engine.ranks.check(order)
                moved = engine.ranks.moved_experts(order)
            if refusal is not None:
                return refusal
            busy = self.weights.load(order.map_version, moved)
            return busy or self.apply_order(engine, order)

    def apply_order(
        self, engine: Engine, order: ranks_lib.Order
    ) -> ranks_lib.OrderRefusal | None:
        """Check and apply an order that needs no more weights."""
        with self.changed:
            refusal = engine.ranks.check(order)
            if refusal is None:
                engine.ranks.apply(order, self.step)
                self.changed.notify_all()
            return refusal

    def restart(self, number: int) -> None:
        """Replace an engine by one that joins the group; break its runs."""
        with self.changed:
            for run in self.engines[number].runs.open_runs():
                run.end("", broken=True)
            self.engines[number] = Engine(self.options, number, joining=True)
            self.changed.notify_all()

    def reported_load(self, engine: Engine) -> Load | None:
        """Return the newest load that is at least as old as the lag."""
        limit = self.clock.monotonic() - self.options.load_lag_ms * MS
        with self.changed:
            due = [load for load in engine.loads if load.at <= limit]
            return due[-1] if due else None

    def reported_events(
        self, engine: Engine, after: int
    ) -> Iterator[runs_lib.CacheEvent]:
        """Return cache events after a number that are as old as the lag.

        Lost events are left out.
        """
        limit = self.clock.monotonic() - self.options.event_lag_ms * MS
        gap = self.options.event_gap
        with self.changed:
            events = list(engine.runs.cache.events)
        due = itertools.takewhile(lambda event: event.at <= limit, events)
        return (
            event
            for event in due
            if event.sequence > after
            and not (gap and event.sequence % gap == 0)
        )


def default_placement(experts: int, ranks: int) -> tuple[int, ...]:
    """Return map version 1: consecutive experts on each rank."""
    return tuple(expert * ranks // experts for expert in range(experts))


def create_group(options: GroupOptions) -> Group:
    """Create a group; its step loop is not started."""
    return Group(options)
