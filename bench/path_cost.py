"""Measures the latency, CPU and memory cost of gateway and sidecar.

The baseline is the same load sent directly to the engine stand-ins. Prints one
JSON line per figure.
"""

import argparse
from collections.abc import Sequence
import os
import pathlib
import threading
from typing import Final
from typing import NamedTuple

import bench_fleet
import json_lines
import stream_load

SEED: Final = 20260301
STREAMS: Final = (25, 75, 150)
ENGINES: Final = 3
STEP_MS: Final = 44.0
# Up to 30 requests per second, to keep the run short; at the design scale a
# node receives 12 per second.
SPREAD_SECONDS: Final = 5.0
TOKENS: Final = 200
DESIGN_TOKENS_PER_SECOND: Final = 3000.0
MEMORY_POLL_SECONDS: Final = 0.25
FIRST_TOKEN_LIMIT_MS: Final = 380.0
TOKEN_GAP_LIMIT_MS: Final = 48.0
PROFILED_LAUNCHER: Final = (
    str(pathlib.Path(__file__).with_name("launch_profiled.py")),
)
UNCOALESCED_LAUNCHER: Final = (
    str(pathlib.Path(__file__).with_name("launch_without_coalescing.py")),
)


class Usage(NamedTuple):
    """CPU seconds and peak resident bytes, both summed over processes."""

    cpu: float
    memory: int


class PathResult(NamedTuple):
    """Results of a load that was sent through the gateway."""

    timings: stream_load.Timings
    gateway: Usage
    sidecars: Usage


class PeakMemorySampler:
    """Samples the total resident memory of processes in a thread."""

    def __init__(self, pids: Sequence[int]) -> None:
        """Create a sampler whose thread is not started."""
        self.pids = pids
        self.peak = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Sample at a fixed interval until stopped."""
        while not self.stopped.wait(MEMORY_POLL_SECONDS):
            now = sum(bench_fleet.resident_bytes(pid) for pid in self.pids)
            self.peak = max(self.peak, now)

    def stop(self) -> int:
        """Stop and return the peak in bytes."""
        self.stopped.set()
        self.thread.join()
        return self.peak


def create_options(
    streams: int,
    launcher: Sequence[str] | None = None,
    in_phase: bool = False,
) -> bench_fleet.FleetOptions:
    """Return options for engines that can each run all streams."""
    return bench_fleet.FleetOptions(
        engines=ENGINES,
        slots=streams,
        step_ms=STEP_MS,
        steady_steps=True,
        in_phase=in_phase,
        launcher=launcher,
    )


def create_load(streams: int) -> stream_load.Load:
    """Return a load with a number of streams."""
    return stream_load.Load(streams, TOKENS, SPREAD_SECONDS, SEED)


def sum_cpu_seconds(pids: Sequence[int]) -> float:
    """Return the CPU time that processes have used in total."""
    return sum(bench_fleet.cpu_seconds(pid) for pid in pids)


def measure_path(fleet: bench_fleet.Fleet, streams: int) -> PathResult:
    """Send a load through the gateway and measure it."""
    gateway, sidecars = [fleet.gateway_pid()], fleet.sidecar_pids()
    before = sum_cpu_seconds(gateway), sum_cpu_seconds(sidecars)
    peaks = PeakMemorySampler(gateway), PeakMemorySampler(sidecars)
    for peak in peaks:
        peak.thread.start()
    timings = stream_load.run_load(
        [fleet.gateway().client], create_load(streams)
    )
    memory = [peak.stop() for peak in peaks]
    return PathResult(
        timings,
        Usage(sum_cpu_seconds(gateway) - before[0], memory[0]),
        Usage(sum_cpu_seconds(sidecars) - before[1], memory[1]),
    )


def measure_direct(
    fleet: bench_fleet.Fleet, streams: int
) -> stream_load.Timings:
    """Send a load directly to the engines and measure it."""
    engines = [sidecar.endpoint for sidecar in fleet.base.plan.sidecars]
    return stream_load.run_load(engines, create_load(streams))


def emit(
    name: str,
    value: float,
    unit: str,
    baseline: str = "",
    baseline_value: float = 0.0,
) -> None:
    """Print one figure."""
    json_lines.print_figure(
        json_lines.create_figure(
            name, value, unit, baseline, baseline_value, SEED
        )
    )


def report_latency(
    label: str, path: stream_load.Timings, direct: stream_load.Timings
) -> None:
    """Print latency percentiles with those of the direct load."""
    for kind in ("first", "between"):
        for share in (0.5, 0.95):
            emit(
                f"{label}.{kind}.p{share * 100:.0f}",
                stream_load.percentile(getattr(path, kind), share),
                "ms",
                "direct to the engine",
                stream_load.percentile(getattr(direct, kind), share),
            )
    emit(f"{label}.failed", path.failed, "streams")
    emit(f"{label}.direct_failed", direct.failed, "streams")


def cores_at_design_rate(result: PathResult, role: str) -> float:
    """Return the cores that a role needs for the tokens of a full node."""
    usage: Usage = getattr(result, role)
    return DESIGN_TOKENS_PER_SECOND * usage.cpu / result.timings.tokens


def report_cost(label: str, result: PathResult) -> None:
    """Print the token rate and the CPU cost of a load."""
    timings = result.timings
    emit(f"{label}.rate", timings.tokens / timings.seconds, "tokens/s")
    emit(f"{label}.reads_per_token", timings.reads / timings.tokens, "reads")
    for role, usage in (
        ("gateway", result.gateway),
        ("sidecars", result.sidecars),
    ):
        emit(
            f"{label}.{role}.tokens_per_cpu_second",
            timings.tokens / usage.cpu,
            "tokens/s",
        )
        emit(
            f"{label}.{role}.core_at_design_rate",
            cores_at_design_rate(result, role),
            "cores",
        )


def report_targets(label: str, timings: stream_load.Timings) -> None:
    """Print the latencies that have a target with their limits."""
    for kind, limit in (
        ("first", FIRST_TOKEN_LIMIT_MS),
        ("between", TOKEN_GAP_LIMIT_MS),
    ):
        emit(
            f"{label}.target.{kind}.p95",
            stream_load.percentile(getattr(timings, kind), 0.95),
            "ms",
            "limit",
            limit,
        )


def measure_levels(
    levels: Sequence[int], launcher: Sequence[str] | None
) -> dict[int, PathResult]:
    """Measure one fleet with each of the given numbers of streams."""
    results = {}
    options = create_options(max(levels), launcher)
    with bench_fleet.running_fleet(options) as fleet:
        idle = {
            "gateway": bench_fleet.resident_bytes(fleet.gateway_pid()),
            "sidecars": sum(
                bench_fleet.resident_bytes(pid) for pid in fleet.sidecar_pids()
            ),
        }
        for streams in levels:
            direct = measure_direct(fleet, streams)
            result = measure_path(fleet, streams)
            results[streams] = result
            label = f"streams_{streams}"
            report_latency(label, result.timings, direct)
            report_cost(label, result)
    last = results[max(levels)]
    report_targets(f"streams_{max(levels)}", last.timings)
    for name, usage in (("gateway", last.gateway), ("sidecars", last.sidecars)):
        emit(f"memory.{name}.idle", idle[name] / 1024, "KiB")
        emit(
            f"memory.{name}.per_stream",
            (usage.memory - idle[name]) / max(levels) / 1024,
            "KiB",
        )
    return results


def measure_without_coalescing(streams: int, coalesced: PathResult) -> None:
    """Measure the path if each message is written separately."""
    options = create_options(streams, UNCOALESCED_LAUNCHER)
    with bench_fleet.running_fleet(options) as fleet:
        uncoalesced = measure_path(fleet, streams)
    for role in ("gateway", "sidecars"):
        emit(
            f"coalescing_off.{role}.core_at_design_rate",
            cores_at_design_rate(uncoalesced, role),
            "cores",
            "coalescing on",
            cores_at_design_rate(coalesced, role),
        )
    for kind in ("first", "between"):
        emit(
            f"coalescing_off.{kind}.p95",
            stream_load.percentile(getattr(uncoalesced.timings, kind), 0.95),
            "ms",
            "coalescing on",
            stream_load.percentile(getattr(coalesced.timings, kind), 0.95),
        )


def measure_in_phase(streams: int) -> None:
    """Measure the worst case, in which all engines send tokens together."""
    with bench_fleet.running_fleet(
        create_options(streams, in_phase=True)
    ) as fleet:
        result = measure_path(fleet, streams)
    report_targets("in_phase", result.timings)


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=STREAMS)
    parser.add_argument(
        "--profile",
        metavar="PATH",
        default="",
        help="write CPU profiles to files whose names start with PATH",
    )
    parser.add_argument(
        "--only-levels",
        action="store_true",
        help="skip the runs without coalescing and with engines in phase",
    )
    return parser.parse_args()


def main() -> None:
    """Run the benchmark."""
    arguments = parse_arguments()
    launcher = None
    if arguments.profile:
        os.environ["VERBENAFALL_PROFILE"] = arguments.profile
        launcher = PROFILED_LAUNCHER
    results = measure_levels(arguments.streams, launcher)
    if not arguments.only_levels:
        streams = max(results)
        measure_without_coalescing(streams, results[streams])
        measure_in_phase(streams)


if __name__ == "__main__":
    main()
