"""Measures the cost of the path through gateway and sidecar.

The same load goes straight to the engine stand-ins as the baseline. Prints
one JSON line per figure.
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
# 12 requests a second and node at the design scale; 30 bound the run's time.
SPREAD_SECONDS: Final = 5.0
TOKENS: Final = 200
DESIGN_TOKENS_PER_SECOND: Final = 3000.0
MEMORY_POLL_SECONDS: Final = 0.25
LIMIT_FIRST_MS: Final = 380.0
LIMIT_BETWEEN_MS: Final = 48.0
PROFILED: Final = (str(pathlib.Path(__file__).with_name("launch_profiled.py")),)
WITHOUT_COALESCING: Final = (
    str(pathlib.Path(__file__).with_name("launch_without_coalescing.py")),
)


class Usage(NamedTuple):
    """CPU seconds and peak resident bytes, summed over processes."""

    cpu: float
    memory: int


class Measured(NamedTuple):
    """A load through the path; the sidecars' usage is summed."""

    timings: stream_load.Timings
    gateway: Usage
    sidecars: Usage


class MemoryPeak:
    """Samples the resident memory of processes while a load runs."""

    def __init__(self, pids: Sequence[int]) -> None:
        """Create a sampler that is not yet running."""
        self.pids = pids
        self.peak = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Sample until stopped."""
        while not self.stopped.wait(MEMORY_POLL_SECONDS):
            now = sum(bench_fleet.resident_bytes(pid) for pid in self.pids)
            self.peak = max(self.peak, now)

    def stop(self) -> int:
        """Stop and return the peak in bytes."""
        self.stopped.set()
        self.thread.join()
        return self.peak


def create_shape(
    streams: int,
    launcher: Sequence[str] | None = None,
    in_phase: bool = False,
) -> bench_fleet.Shape:
    """Return a fleet whose engines can run all streams at once."""
    return bench_fleet.Shape(
        engines=ENGINES,
        slots=streams,
        step_ms=STEP_MS,
        steady=True,
        in_phase=in_phase,
        launcher=launcher,
    )


def create_load(streams: int) -> stream_load.Load:
    """Return a load of some streams."""
    return stream_load.Load(streams, TOKENS, SPREAD_SECONDS, SEED)


def total_cpu(pids: Sequence[int]) -> float:
    """Return the CPU seconds of processes."""
    return sum(bench_fleet.cpu_seconds(pid) for pid in pids)


def measure_path(fleet: bench_fleet.Fleet, streams: int) -> Measured:
    """Run a load through the gateway."""
    gateway, sidecars = [fleet.gateway_pid()], fleet.sidecar_pids()
    before = total_cpu(gateway), total_cpu(sidecars)
    peaks = MemoryPeak(gateway), MemoryPeak(sidecars)
    for peak in peaks:
        peak.thread.start()
    timings = stream_load.run_load(
        [fleet.gateway().client], create_load(streams)
    )
    memory = [peak.stop() for peak in peaks]
    return Measured(
        timings,
        Usage(total_cpu(gateway) - before[0], memory[0]),
        Usage(total_cpu(sidecars) - before[1], memory[1]),
    )


def measure_direct(
    fleet: bench_fleet.Fleet, streams: int
) -> stream_load.Timings:
    """Run a load straight to the engines."""
    engines = [one.endpoint for one in fleet.base.plan.sidecars]
    return stream_load.run_load(engines, create_load(streams))


def emit(
    name: str, value: float, unit: str, baseline: str = "", base: float = 0.0
) -> None:
    """Print one figure."""
    json_lines.print_figure(
        json_lines.create_figure(name, value, unit, baseline, base, SEED)
    )


def report_latency(
    label: str, path: stream_load.Timings, direct: stream_load.Timings
) -> None:
    """Print percentiles beside those of the direct load."""
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


def cores_at_design_rate(measured: Measured, role: str) -> float:
    """Return the CPU time of a second with the tokens of a full node."""
    usage: Usage = getattr(measured, role)
    return DESIGN_TOKENS_PER_SECOND * usage.cpu / measured.timings.tokens


def report_cost(label: str, measured: Measured) -> None:
    """Print the rates and the CPU time of a load."""
    timings = measured.timings
    emit(f"{label}.rate", timings.tokens / timings.seconds, "tokens/s")
    emit(f"{label}.reads_per_token", timings.reads / timings.tokens, "reads")
    for role, usage in (
        ("gateway", measured.gateway),
        ("sidecars", measured.sidecars),
    ):
        emit(
            f"{label}.{role}.tokens_per_cpu_second",
            timings.tokens / usage.cpu,
            "tokens/s",
        )
        emit(
            f"{label}.{role}.core_at_design_rate",
            cores_at_design_rate(measured, role),
            "cores",
        )


def report_targets(label: str, timings: stream_load.Timings) -> None:
    """Print the figures that have targets beside their limits."""
    for kind, limit in (
        ("first", LIMIT_FIRST_MS),
        ("between", LIMIT_BETWEEN_MS),
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
) -> dict[int, Measured]:
    """Measure the path at each number of streams on one fleet."""
    results = {}
    shape = create_shape(max(levels), launcher)
    with bench_fleet.running_fleet(shape) as fleet:
        idle = {
            "gateway": bench_fleet.resident_bytes(fleet.gateway_pid()),
            "sidecars": sum(
                bench_fleet.resident_bytes(pid) for pid in fleet.sidecar_pids()
            ),
        }
        for streams in levels:
            direct = measure_direct(fleet, streams)
            measured = measure_path(fleet, streams)
            results[streams] = measured
            label = f"streams_{streams}"
            report_latency(label, measured.timings, direct)
            report_cost(label, measured)
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


def measure_without_coalescing(streams: int, joined: Measured) -> None:
    """Measure the path when each message is a write of its own."""
    shape = create_shape(streams, WITHOUT_COALESCING)
    with bench_fleet.running_fleet(shape) as fleet:
        single = measure_path(fleet, streams)
    for role in ("gateway", "sidecars"):
        emit(
            f"coalescing_off.{role}.core_at_design_rate",
            cores_at_design_rate(single, role),
            "cores",
            "coalescing on",
            cores_at_design_rate(joined, role),
        )
    for kind in ("first", "between"):
        emit(
            f"coalescing_off.{kind}.p95",
            stream_load.percentile(getattr(single.timings, kind), 0.95),
            "ms",
            "coalescing on",
            stream_load.percentile(getattr(joined.timings, kind), 0.95),
        )


def measure_in_phase(streams: int) -> None:
    """Measure the worst case: all engines send their tokens together."""
    with bench_fleet.running_fleet(
        create_shape(streams, in_phase=True)
    ) as fleet:
        measured = measure_path(fleet, streams)
    report_targets("in_phase", measured.timings)


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=STREAMS)
    parser.add_argument(
        "--profile",
        metavar="PATH",
        default="",
        help="write CPU profiles to files whose names begin with this",
    )
    parser.add_argument(
        "--only-levels",
        action="store_true",
        help="leave out the comparisons of coalescing and phases",
    )
    return parser.parse_args()


def main() -> None:
    """Run the benchmark."""
    arguments = parse_arguments()
    launcher = None
    if arguments.profile:
        os.environ["VERBENAFALL_PROFILE"] = arguments.profile
        launcher = PROFILED
    results = measure_levels(arguments.streams, launcher)
    if not arguments.only_levels:
        streams = max(results)
        measure_without_coalescing(streams, results[streams])
        measure_in_phase(streams)


if __name__ == "__main__":
    main()
