"""Measures how a switch of the expert map delays open streams.

A rank group of sidecars and stand-in engines serves the same load twice: once
without a switch as the baseline, and once while a new bundle removes the map
in use. Prints one JSON line per figure.
"""

import functools
import threading
import time
from typing import Any
from typing import Final
from typing import NamedTuple

import bench_fleet
import json_lines
import stream_load
from verbenafall_standins.demo import fleet as fleet_lib

SEED: Final = 20260303
ENGINES: Final = 4
RANKS_PER_ENGINE: Final = 4
SLOTS: Final = 16
STEP_MS: Final = 44.0
STREAMS: Final = 48
TOKENS: Final = 220
SPREAD_SECONDS: Final = 1.0
# By then all streams are open; they stay open until the switch has ended.
SWITCH_DELAY_SECONDS: Final = 2.0
POLL_SECONDS: Final = 0.02
TIMEOUT_SECONDS: Final = 30.0
# A stream that missed at least one step counts as delayed.
DELAYED_GAP_MS: Final = 2 * STEP_MS
OPTIONS: Final = bench_fleet.FleetOptions(
    engines=ENGINES,
    slots=SLOTS,
    step_ms=STEP_MS,
    steady_steps=False,
    ranks_per_engine=RANKS_PER_ENGINE,
)


class LoadResult(NamedTuple):
    """Results of a load.

    Attributes:
        largest: Longest time between two tokens of each stream, in ms.
        failed: Streams without a complete answer.
    """

    longest_gaps: list[float]
    failed: int


def create_bundle() -> dict[str, Any]:
    """Return bundle 2, whose only map has two experts swapped."""
    bundle = bench_fleet.create_bundle(2, SLOTS)
    group = bench_fleet.create_group(OPTIONS)
    placement = list(group["maps"][0]["placement"])
    placement[0], placement[-1] = placement[-1], placement[0]
    group["maps"] = [{"version": 2, "placement": placement}]
    bundle["groups"] = [group]
    return bundle


def run_load(fleet: bench_fleet.Fleet, seed: int) -> LoadResult:
    """Run the streams through the gateway."""
    timings = stream_load.run_load(
        [fleet.gateway().client],
        stream_load.Load(STREAMS, TOKENS, SPREAD_SECONDS, seed),
    )
    return LoadResult(timings.longest_gaps, timings.failed)


def count_delayed_streams(result: LoadResult) -> int:
    """Return the number of streams that missed at least one step."""
    return sum(gap >= DELAYED_GAP_MS for gap in result.longest_gaps)


def is_switch_complete(fleet: bench_fleet.Fleet) -> bool:
    """Return whether the group's record shows map 2 as stable."""
    record = fleet_lib.read_json(
        fleet.base.plan.object_store, f"/objects/groups/{bench_fleet.GROUP}"
    )
    return bool(record["phase"] == "stable" and record["map_version"] == 2)


def trigger_switch(fleet: bench_fleet.Fleet, times: list[float]) -> None:
    """Roll out bundle 2; append its start and the switch's end to times."""
    time.sleep(SWITCH_DELAY_SECONDS)
    started = time.monotonic()
    bench_fleet.roll_out(fleet, create_bundle())
    while time.monotonic() - started < TIMEOUT_SECONDS:
        if is_switch_complete(fleet):
            times += [started, time.monotonic()]
            return
        time.sleep(POLL_SECONDS)


def report(
    name: str,
    value: float,
    unit: str,
    baseline: str = "",
    baseline_value: float = 0.0,
) -> None:
    """Print one figure."""
    json_lines.print_figure(
        json_lines.create_figure(
            f"map_switch.{name}", value, unit, baseline, baseline_value, SEED
        )
    )


def main() -> None:
    """Run the benchmark."""
    times: list[float] = []
    with bench_fleet.running_fleet(OPTIONS) as fleet:
        undisturbed = run_load(fleet, SEED)
        switch_thread = threading.Thread(
            target=trigger_switch, args=(fleet, times)
        )
        switch_thread.start()
        switched = run_load(fleet, SEED + 1)
        load_ended = time.monotonic()
        switch_thread.join()
        steps = fleet_lib.read_json(
            fleet.base.plan.sidecars[0].endpoint, "/-/steps"
        )
    compare = functools.partial(report, baseline="no_switch")
    compare(
        "delayed_streams",
        count_delayed_streams(switched),
        "streams",
        baseline_value=count_delayed_streams(undisturbed),
    )
    compare(
        "failed_streams",
        switched.failed,
        "streams",
        baseline_value=undisturbed.failed,
    )
    for label, share in (("p50", 0.5), ("p95", 0.95), ("max", 1.0)):
        compare(
            f"longest_gap.{label}",
            stream_load.percentile(switched.longest_gaps, share),
            "ms",
            baseline_value=stream_load.percentile(
                undisturbed.longest_gaps, share
            ),
        )
    report("ended", len(times) // 2, "switches", "expected", 1.0)
    if times:
        report("from_sign_to_stable", times[1] - times[0], "s")
        # If positive, the load lasted until after the switch.
        report("load_after_switch", load_ended - times[1], "s")
    report("mixed_steps", steps["mixed"], "steps")


if __name__ == "__main__":
    main()
