"""Measures what a switch of the expert map costs the open streams.

A rank group of real sidecars and stand-in engines serves a load twice: once
left alone, which is the baseline, and once while a bundle forbids the map in
use. Prints one JSON line per figure.
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
# All streams are open then, and stay so until the switch has ended.
SWITCH_AFTER_SECONDS: Final = 2.0
POLL_SECONDS: Final = 0.02
LIMIT_SECONDS: Final = 30.0
# A stream counts as delayed from one missed step on.
DELAYED_MS: Final = 2 * STEP_MS
SHAPE: Final = bench_fleet.Shape(
    engines=ENGINES,
    slots=SLOTS,
    step_ms=STEP_MS,
    steady=False,
    ranks_per_engine=RANKS_PER_ENGINE,
)


class Effect(NamedTuple):
    """What a load has shown.

    Attributes:
        largest: Longest time between two tokens of each stream, in ms.
        failed: Streams without a complete answer.
    """

    largest: list[float]
    failed: int


def create_bundle() -> dict[str, Any]:
    """Return bundle 2, which allows only a map with two experts swapped."""
    bundle = bench_fleet.create_bundle(2, SLOTS)
    group = bench_fleet.create_group(SHAPE)
    placement = list(group["maps"][0]["placement"])
    placement[0], placement[-1] = placement[-1], placement[0]
    group["maps"] = [{"version": 2, "placement": placement}]
    bundle["groups"] = [group]
    return bundle


def run_load(fleet: bench_fleet.Fleet, seed: int) -> Effect:
    """Run the load through the gateway."""
    timings = stream_load.run_load(
        [fleet.gateway().client],
        stream_load.Load(STREAMS, TOKENS, SPREAD_SECONDS, seed),
    )
    return Effect(timings.largest, timings.failed)


def count_delayed(effect: Effect) -> int:
    """Return the streams that missed at least one step."""
    return sum(gap >= DELAYED_MS for gap in effect.largest)


def is_switched(fleet: bench_fleet.Fleet) -> bool:
    """Return whether the group runs stably on map 2."""
    record = fleet_lib.read_json(
        fleet.base.plan.object_store, f"/objects/groups/{bench_fleet.GROUP}"
    )
    return bool(record["phase"] == "stable" and record["map_version"] == 2)


def switch(fleet: bench_fleet.Fleet, times: list[float]) -> None:
    """Roll bundle 2 out; note when that began and when the switch ended."""
    time.sleep(SWITCH_AFTER_SECONDS)
    began = time.monotonic()
    bench_fleet.roll(fleet, create_bundle())
    while time.monotonic() - began < LIMIT_SECONDS:
        if is_switched(fleet):
            times += [began, time.monotonic()]
            return
        time.sleep(POLL_SECONDS)


def report(
    name: str, value: float, unit: str, baseline: str = "", base: float = 0.0
) -> None:
    """Print one figure."""
    json_lines.print_figure(
        json_lines.create_figure(
            f"map_switch.{name}", value, unit, baseline, base, SEED
        )
    )


def main() -> None:
    """Run the benchmark."""
    times: list[float] = []
    with bench_fleet.running_fleet(SHAPE) as fleet:
        alone = run_load(fleet, SEED)
        switcher = threading.Thread(target=switch, args=(fleet, times))
        switcher.start()
        switched = run_load(fleet, SEED + 1)
        load_ended = time.monotonic()
        switcher.join()
        steps = fleet_lib.read_json(
            fleet.base.plan.sidecars[0].endpoint, "/-/steps"
        )
    compare = functools.partial(report, baseline="no_switch")
    compare(
        "delayed_streams",
        count_delayed(switched),
        "streams",
        base=count_delayed(alone),
    )
    compare("failed_streams", switched.failed, "streams", base=alone.failed)
    for label, share in (("p50", 0.5), ("p95", 0.95), ("max", 1.0)):
        compare(
            f"longest_gap.{label}",
            stream_load.percentile(switched.largest, share),
            "ms",
            base=stream_load.percentile(alone.largest, share),
        )
    report("ended", len(times) // 2, "switches", "expected", 1.0)
    if times:
        report("from_sign_to_stable", times[1] - times[0], "s")
        # Above 0 the whole switch fell into the load.
        report("load_after_switch", load_ended - times[1], "s")
    report("mixed_steps", steps["mixed"], "steps")


if __name__ == "__main__":
    main()
