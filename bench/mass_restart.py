"""Measures a simultaneous restart of all processes under store rate limits.

The object store's read and write rates are scaled down with the number of
processes, so that each process has the same share as among the 980 processes
of the design, or a quarter of it. Prints one JSON line per figure.
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import os
import pathlib
import tempfile
import time
from typing import Final
from typing import NamedTuple

import bench_fleet
import json_lines
from verbenafall_core import addresses
from verbenafall_core.object_store import budget
from verbenafall_standins.demo import files
from verbenafall_standins.demo import fleet as fleet_lib
from verbenafall_standins.demo import plan as plan_lib
from verbenafall_standins.demo import processes

SEED: Final = 20260302
DESIGN_PROCESSES: Final = 980
DESIGN_RATES: Final = bench_fleet.StoreRates(2000.0, 300.0)
# Number of gateways, number of groups of 16 sidecars (50 and 100 processes in
# total), and the fractions of the store rates that they have by design.
CASES: Final = ((18, 2, (0.25,)), (36, 4, (1.0, 0.25)))
GROUP_SIZE: Final = 16
RANKS_PER_ENGINE: Final = 8
SLOTS: Final = 16
# 6 links to each of the 4 services of 100 processes.
LINKS: Final = "24"
STEP_MS: Final = 1000.0
SAMPLE_SECONDS: Final = 0.25
PEAK_WINDOW_SAMPLES: Final = 4
# Limit for a restart in which some process never becomes ready.
TIMEOUT_SECONDS: Final = 60.0
SAMPLES_AFTER_RESTART: Final = 4
LAUNCHER: Final = (str(pathlib.Path(__file__).with_name("launch_together.py")),)
IN_FORCE_EVENT: Final = " bundle_in_force "
LEASE_TAKEN_EVENT: Final = " lease_taken "
LEASE_LOST_EVENT: Final = " lease_lost "
BUDGET_EXHAUSTED_EVENT: Final = " store_budget_exhausted "
READY_LIMIT_SECONDS: Final = 7.0

Calls = dict[str, int]


class Sample(NamedTuple):
    """The store's counts of calls, and the time since the restart."""

    seconds: float
    calls: Calls


class RestartResult(NamedTuple):
    """Observations of one restart.

    Attributes:
        ready_seconds: Time until all processes were ready, the timeout if
            some did not become ready.
        lease_seconds: Time until all leases were held again, likewise.
    """

    ready_seconds: float
    lease_seconds: float
    samples: list[Sample]


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


def create_plan(gateways: int, groups: int) -> plan_lib.Plan:
    """Plan gateways and rank groups, each group with its own service."""
    ports = plan_lib.Ports()
    next_address = ports.next_address
    return plan_lib.Plan(
        ports,
        next_address(),
        next_address(),
        next_address(),
        tuple(
            plan_lib.GatewayPlan(
                f"gateway-{number}",
                bench_fleet.DATA_CENTRE,
                next_address(),
                next_address(),
            )
            for number in range(gateways)
        ),
        tuple(
            create_sidecar(group, number, next_address(), next_address())
            for group in range(groups)
            for number in range(GROUP_SIZE)
        ),
    )


def create_sidecar(
    group: int,
    number: int,
    links: addresses.Address,
    endpoint: addresses.Address,
) -> plan_lib.SidecarPlan:
    """Plan the sidecar of one engine of a rank group."""
    first = number * RANKS_PER_ENGINE
    return plan_lib.SidecarPlan(
        f"sidecar-{group}-{number}",
        bench_fleet.DATA_CENTRE,
        f"model-{group}",
        "engine",
        links,
        endpoint,
        f"group-{group}",
        tuple(range(first, first + RANKS_PER_ENGINE)),
    )


def create_options() -> bench_fleet.FleetOptions:
    """Return the options of the engines, sidecars and gateways."""
    return bench_fleet.FleetOptions(
        engines=GROUP_SIZE,
        slots=SLOTS,
        step_ms=STEP_MS,
        steady_steps=False,
        launcher=LAUNCHER,
        gateway_options=(("limits", "links_per_gateway", LINKS),),
        ranks_per_engine=RANKS_PER_ENGINE,
    )


def start_standins(base: fleet_lib.Fleet) -> None:
    """Start the platform, and one process per group with its engines."""
    plan = base.plan
    threads = 2 * len(plan.sidecars) + 2 * len(plan.gateways)
    commands = {
        "platform": fleet_lib.standin_command(
            "platform",
            f"--object-store={plan.object_store}",
            f"--instance-list={plan.instance_list}",
            f"--threads={threads}",
        )
    }
    for group in plan.groups():
        commands[f"engines-{group}"] = fleet_lib.standin_command(
            "engines",
            *(str(sidecar.endpoint) for sidecar in plan.engines_of(group)),
            f"--ranks-per-engine={RANKS_PER_ENGINE}",
            f"--experts={GROUP_SIZE * RANKS_PER_ENGINE}",
            f"--group={group}",
            "--token-us=0",
            f"--slots={SLOTS}",
            f"--step-ms={STEP_MS}",
        )
    for name, command in commands.items():
        base.standins.append(
            processes.start_process(name, command, base.directory)
        )
    bench_fleet.wait_listening(base, [plan.object_store, plan.instance_list])
    bench_fleet.wait_listening(
        base, [sidecar.endpoint for sidecar in plan.sidecars]
    )
    fleet_lib.send_json(
        plan.instance_list,
        "PUT",
        "/-/instances",
        files.create_instance_list(plan),
    )


def create_bundle(plan: plan_lib.Plan) -> dict[str, object]:
    """Return a bundle with one rank group for each service."""
    groups = plan.groups()
    bundle = bench_fleet.create_bundle(1, SLOTS, models=len(groups))
    options = create_options()
    bundle["groups"] = [
        bench_fleet.create_group(options)
        | {"name": name, "service": plan.engines_of(name)[0].service}
        for name in groups
    ]
    return bundle


class StartBarrier:
    """Holds launched processes until all of them can start together.

    The processes are run by launch_together.py.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        """Create a barrier that keeps its start files in a directory."""
        self.directory = directory
        self.round = 0
        self.start_file = directory

    def prepare(self) -> None:
        """Choose the start file of the processes that are launched next."""
        self.round += 1
        self.start_file = self.directory / f"begin-{self.round}"
        os.environ["VERBENAFALL_BEGIN"] = str(self.start_file)

    def open(
        self,
        fleet: fleet_lib.Fleet,
        before: Callable[[], None] = lambda: None,
    ) -> None:
        """Wait until all processes have loaded, and start them.

        Args:
            fleet: The launched processes.
            before: Called immediately before they start.
        """
        running = [*fleet.sidecars, *fleet.gateways]
        loaded_files = [
            self.start_file.with_name(
                f"{self.start_file.name}-{process.popen.pid}"
            )
            for process in running
        ]
        processes.wait_until(
            "all processes loaded",
            TIMEOUT_SECONDS,
            lambda: all(path.exists() for path in loaded_files),
            fleet.all(),
        )
        before()
        self.start_file.touch()


class LogTails:
    """Log lines that processes have written since a point in time."""

    def __init__(self, running: list[processes.RunningProcess]) -> None:
        """Start at the current ends of the log files."""
        self.offsets = {
            process.log: process.log.stat().st_size
            if process.log.exists()
            else 0
            for process in running
        }

    def count(self, event: str) -> int:
        """Return the number of processes that have logged an event."""
        return sum(event in self.read(path) for path in self.offsets)

    def read(self, path: pathlib.Path) -> str:
        """Return the new text of one log file."""
        with path.open("rb") as file:
            file.seek(self.offsets[path])
            return file.read().decode(errors="replace")


def all_ready(fleet: bench_fleet.Fleet, logs: LogTails) -> bool:
    """Return whether all have a bundle in force and gateways are ready."""
    base = fleet.base
    expected = len(base.sidecars) + len(base.gateways)
    return logs.count(IN_FORCE_EVENT) >= expected and all(
        fleet_lib.is_ready(gateway.client) for gateway in base.plan.gateways
    )


def read_sample(fleet: bench_fleet.Fleet, started: float) -> Sample:
    """Read the store's counts of calls."""
    calls = bench_fleet.read_store_calls(fleet)
    return Sample(time.monotonic() - started, calls)


def observe_restart(fleet: bench_fleet.Fleet, logs: LogTails) -> RestartResult:
    """Sample the store's counts until processes are ready and hold leases.

    Read a few more samples after that, but none after the timeout.
    """
    started = time.monotonic()
    samples = [read_sample(fleet, started)]
    ready = leases = TIMEOUT_SECONDS
    groups = len(fleet.base.plan.groups())
    samples_left = SAMPLES_AFTER_RESTART
    while samples_left and samples[-1].seconds < TIMEOUT_SECONDS:
        time.sleep(SAMPLE_SECONDS)
        samples.append(read_sample(fleet, started))
        if ready == TIMEOUT_SECONDS and all_ready(fleet, logs):
            ready = time.monotonic() - started
        if (
            leases == TIMEOUT_SECONDS
            and logs.count(LEASE_TAKEN_EVENT) >= groups
        ):
            leases = time.monotonic() - started
        if max(ready, leases) < TIMEOUT_SECONDS:
            samples_left -= 1
    return RestartResult(ready, leases, samples)


def find_peak_rate(
    samples: list[Sample], count: Callable[[Calls], int]
) -> float:
    """Return the highest rate of calls per second over about one second."""
    pairs = zip(samples, samples[PEAK_WINDOW_SAMPLES:], strict=False)
    return max(
        (count(new.calls) - count(old.calls)) / (new.seconds - old.seconds)
        for old, new in pairs
    )


def count_reads(calls: Calls) -> int:
    """Return the calls that count towards the read rate."""
    return calls["reads"] + calls["watches"]


def count_all_calls(calls: Calls) -> int:
    """Return the number of calls of all kinds."""
    return count_reads(calls) + calls["writes"]


def report(
    label: str,
    result: RestartResult,
    logs: LogTails,
    size: int,
    rates: bench_fleet.StoreRates,
) -> None:
    """Print the figures of one restart."""
    samples = result.samples
    first, last = samples[0].calls, samples[-1].calls
    budget_rate = budget.DEFAULT_RATE
    emit(
        f"{label}.ready",
        result.ready_seconds,
        "s",
        "limit",
        READY_LIMIT_SECONDS,
    )
    emit(f"{label}.leases_held", result.lease_seconds, "s")
    emit(f"{label}.leases_lost", logs.count(LEASE_LOST_EVENT), "leases")
    emit(
        f"{label}.budget_used_up",
        logs.count(BUDGET_EXHAUSTED_EVENT),
        "processes",
    )
    for kind in ("reads", "writes", "watches", "throttled"):
        calls = last[kind] - first[kind]
        emit(f"{label}.store.{kind}", calls, "calls")
    read_peak = find_peak_rate(samples, count_reads)
    emit(
        f"{label}.store.reads.most", read_peak, "calls/s", "limit", rates.reads
    )
    write_peak = find_peak_rate(samples, lambda calls: calls["writes"])
    emit(
        f"{label}.store.writes.most",
        write_peak,
        "calls/s",
        "limit",
        rates.writes,
    )
    seconds = samples[-1].seconds - samples[0].seconds
    mean = (count_all_calls(last) - count_all_calls(first)) / size / seconds
    emit(f"{label}.process.calls", mean, "calls/s", "budget", budget_rate)
    emit(
        f"{label}.process.calls.most",
        find_peak_rate(samples, count_all_calls) / size,
        "calls/s",
        "budget",
        budget_rate,
    )


def scale_rates(size: int, share: float) -> bench_fleet.StoreRates:
    """Return a fraction of the design rates for a number of processes."""
    scale = share * size / DESIGN_PROCESSES
    return bench_fleet.StoreRates(
        scale * DESIGN_RATES.reads, scale * DESIGN_RATES.writes
    )


def measure(gateways: int, groups: int, shares: Sequence[float]) -> None:
    """Restart a fleet at each of the given fractions of the store rates."""
    size = gateways + groups * GROUP_SIZE
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        plan = create_plan(gateways, groups)
        base = fleet_lib.Fleet(plan, directory, [], [], [])
        barrier = StartBarrier(directory)
        try:
            start_standins(base)
            fleet = bench_fleet.Fleet(base, bench_fleet.create_keys(base))
            start_fleet(fleet, barrier)
            bench_fleet.wait_for_servers(base)
            bench_fleet.roll_out(fleet, create_bundle(plan))
            for share in shares:
                rates = scale_rates(size, share)
                label = f"processes_{size}.reads_{rates.reads:.0f}"
                logs, result = restart(fleet, barrier, rates)
                report(label, result, logs, size, rates)
                bench_fleet.set_store_rates(fleet, DESIGN_RATES)
        finally:
            for running in (base.gateways, base.sidecars, base.standins):
                processes.stop_processes(
                    running, bench_fleet.STOP_TIMEOUT_SECONDS
                )
            plan.ports.release()


def start_fleet(fleet: bench_fleet.Fleet, barrier: StartBarrier) -> None:
    """Start all sidecars and gateways for the first time."""
    barrier.prepare()
    bench_fleet.launch_servers(fleet.base, create_options(), fleet.keys)
    barrier.open(fleet.base)


def restart(
    fleet: bench_fleet.Fleet,
    barrier: StartBarrier,
    rates: bench_fleet.StoreRates,
) -> tuple[LogTails, RestartResult]:
    """Restart all sidecars and gateways together with reduced rates."""
    base = fleet.base
    running = [*base.gateways, *base.sidecars]
    base.gateways.clear()
    base.sidecars.clear()
    barrier.prepare()
    # The new processes load, which takes longest, while the old ones stop.
    bench_fleet.launch_servers(base, create_options(), fleet.keys)
    processes.stop_processes(running, bench_fleet.STOP_TIMEOUT_SECONDS)
    logs = LogTails([*base.sidecars, *base.gateways])
    barrier.open(base, lambda: bench_fleet.set_store_rates(fleet, rates))
    return logs, observe_restart(fleet, logs)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    for gateways, groups, shares in CASES:
        measure(gateways, groups, shares)


if __name__ == "__main__":
    main()
