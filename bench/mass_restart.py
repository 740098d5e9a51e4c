"""Measures a restart of all processes at once at the store's rate limit.

The read and write rates of the object store are scaled down with the number
of processes, so that each process has the share that it has among the 980
processes of the design, and to a quarter of that. Prints one JSON line per
figure.
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
DESIGN_RATES: Final = bench_fleet.Rates(2000.0, 300.0)
# Gateways, groups of 16 sidecars (50 and 100 processes), and the parts of
# the processes' share of the store's rates.
CASES: Final = ((18, 2, (0.25,)), (36, 4, (1.0, 0.25)))
GROUP_SIZE: Final = 16
RANKS_PER_ENGINE: Final = 8
SLOTS: Final = 16
# About 4 links for each of the services of 100 processes.
LINKS: Final = "24"
STEP_MS: Final = 1000.0
SAMPLE_SECONDS: Final = 0.25
WINDOW_SAMPLES: Final = 4
# Restarts of processes that could not come back end here.
LIMIT_SECONDS: Final = 60.0
AFTER_SAMPLES: Final = 4
LAUNCHER: Final = (str(pathlib.Path(__file__).with_name("launch_together.py")),)
IN_FORCE: Final = " bundle_in_force "
LEASE_TAKEN: Final = " lease_taken "
LEASE_LOST: Final = " lease_lost "
BUDGET_USED_UP: Final = " store_budget_exhausted "
READY_LIMIT: Final = 7.0

Calls = dict[str, int]


class Sample(NamedTuple):
    """The store's counts at a time since the restart."""

    seconds: float
    calls: Calls


class Restart(NamedTuple):
    """What was seen of one restart.

    Attributes:
        ready_seconds: Until all processes were ready, the limit if some
            never were.
        lease_seconds: Until all leases were held again, likewise.
    """

    ready_seconds: float
    lease_seconds: float
    samples: list[Sample]


def emit(
    name: str, value: float, unit: str, baseline: str = "", base: float = 0.0
) -> None:
    """Print one figure."""
    json_lines.print_figure(
        json_lines.create_figure(name, value, unit, baseline, base, SEED)
    )


def create_plan(gateways: int, groups: int) -> plan_lib.Plan:
    """Return addresses for gateways and groups, one service per group."""
    ports = plan_lib.Ports()
    take = ports.next_address
    return plan_lib.Plan(
        ports,
        take(),
        take(),
        take(),
        tuple(
            plan_lib.GatewayPlan(
                f"gateway-{number}", bench_fleet.DATA_CENTRE, take(), take()
            )
            for number in range(gateways)
        ),
        tuple(
            create_sidecar(group, number, take(), take())
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
    """Return one sidecar of a rank group."""
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


def create_shape() -> bench_fleet.Shape:
    """Return the options of the processes."""
    return bench_fleet.Shape(
        engines=GROUP_SIZE,
        slots=SLOTS,
        step_ms=STEP_MS,
        steady=False,
        launcher=LAUNCHER,
        gateway_options=(("limits", "links_per_gateway", LINKS),),
        ranks_per_engine=RANKS_PER_ENGINE,
    )


def start_standins(base: fleet_lib.Fleet) -> None:
    """Start the platform and one process with the engines of each group."""
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
            *(str(one.endpoint) for one in plan.engines_of(group)),
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
    bench_fleet.wait_listening(base, [one.endpoint for one in plan.sidecars])
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
    shape = create_shape()
    bundle["groups"] = [
        bench_fleet.create_group(shape)
        | {"name": name, "service": plan.engines_of(name)[0].service}
        for name in groups
    ]
    return bundle


class Starter:
    """Holds new processes until all of them can begin together."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Create a starter without processes."""
        self.directory = directory
        self.round = 0
        self.begin_file = directory

    def prepare(self) -> None:
        """Name the file for the next processes."""
        self.round += 1
        self.begin_file = self.directory / f"begin-{self.round}"
        os.environ["VERBENAFALL_BEGIN"] = str(self.begin_file)

    def begin(
        self,
        fleet: fleet_lib.Fleet,
        before: Callable[[], None] = lambda: None,
    ) -> None:
        """Wait until all programs are loaded, and let them begin.

        Args:
            fleet: The processes.
            before: Called right before they begin.
        """
        running = [*fleet.sidecars, *fleet.gateways]
        marks = [
            self.begin_file.with_name(f"{self.begin_file.name}-{one.popen.pid}")
            for one in running
        ]
        processes.wait_until(
            "all programs loaded",
            LIMIT_SECONDS,
            lambda: all(mark.exists() for mark in marks),
            fleet.all(),
        )
        before()
        self.begin_file.touch()


class Logs:
    """What the processes have logged since the last restart."""

    def __init__(self, running: list[processes.RunningProcess]) -> None:
        """Begin at the present ends of the log files."""
        self.begins = {
            one.log: one.log.stat().st_size if one.log.exists() else 0
            for one in running
        }

    def count(self, mark: str) -> int:
        """Return the number of processes that have logged an event."""
        return sum(mark in self.read(path) for path in self.begins)

    def read(self, path: pathlib.Path) -> str:
        """Return what one process has logged."""
        with path.open("rb") as file:
            file.seek(self.begins[path])
            return file.read().decode(errors="replace")


def all_ready(fleet: bench_fleet.Fleet, logs: Logs) -> bool:
    """Return whether all have a bundle and all gateways take requests."""
    base = fleet.base
    wanted = len(base.sidecars) + len(base.gateways)
    return logs.count(IN_FORCE) >= wanted and all(
        fleet_lib.is_ready(one.client) for one in base.plan.gateways
    )


def take_sample(fleet: bench_fleet.Fleet, began: float) -> Sample:
    """Read the store's counts."""
    calls = bench_fleet.read_store_calls(fleet)
    return Sample(time.monotonic() - began, calls)


def observe(fleet: bench_fleet.Fleet, logs: Logs) -> Restart:
    """Sample the store until all is as before the restart."""
    began = time.monotonic()
    samples = [take_sample(fleet, began)]
    ready = leases = LIMIT_SECONDS
    groups = len(fleet.base.plan.groups())
    left = AFTER_SAMPLES
    while left and samples[-1].seconds < LIMIT_SECONDS:
        time.sleep(SAMPLE_SECONDS)
        samples.append(take_sample(fleet, began))
        if ready == LIMIT_SECONDS and all_ready(fleet, logs):
            ready = time.monotonic() - began
        if leases == LIMIT_SECONDS and logs.count(LEASE_TAKEN) >= groups:
            leases = time.monotonic() - began
        if max(ready, leases) < LIMIT_SECONDS:
            left -= 1
    return Restart(ready, leases, samples)


def busiest_second(
    samples: list[Sample], count: Callable[[Calls], int]
) -> float:
    """Return the highest rate of calls over about one second."""
    pairs = zip(samples, samples[WINDOW_SAMPLES:], strict=False)
    return max(
        (count(new.calls) - count(old.calls)) / (new.seconds - old.seconds)
        for old, new in pairs
    )


def count_reads(calls: Calls) -> int:
    """Return the calls that count towards the read rate."""
    return calls["reads"] + calls["watches"]


def count_calls(calls: Calls) -> int:
    """Return all calls."""
    return count_reads(calls) + calls["writes"]


def report(
    label: str, seen: Restart, logs: Logs, size: int, rates: bench_fleet.Rates
) -> None:
    """Print the figures of one restart."""
    samples = seen.samples
    first, last = samples[0].calls, samples[-1].calls
    budget_rate = budget.DEFAULT_RATE
    emit(f"{label}.ready", seen.ready_seconds, "s", "limit", READY_LIMIT)
    emit(f"{label}.leases_held", seen.lease_seconds, "s")
    emit(f"{label}.leases_lost", logs.count(LEASE_LOST), "leases")
    emit(f"{label}.budget_used_up", logs.count(BUDGET_USED_UP), "processes")
    for kind in ("reads", "writes", "watches", "throttled"):
        calls = last[kind] - first[kind]
        emit(f"{label}.store.{kind}", calls, "calls")
    busiest = busiest_second(samples, count_reads)
    emit(f"{label}.store.reads.most", busiest, "calls/s", "limit", rates.reads)
    writes = busiest_second(samples, lambda calls: calls["writes"])
    emit(f"{label}.store.writes.most", writes, "calls/s", "limit", rates.writes)
    seconds = samples[-1].seconds - samples[0].seconds
    mean = (count_calls(last) - count_calls(first)) / size / seconds
    emit(f"{label}.process.calls", mean, "calls/s", "budget", budget_rate)
    emit(
        f"{label}.process.calls.most",
        busiest_second(samples, count_calls) / size,
        "calls/s",
        "budget",
        budget_rate,
    )


def scale_rates(size: int, share: float) -> bench_fleet.Rates:
    """Return a part of the rates that so many processes have by design."""
    scale = share * size / DESIGN_PROCESSES
    return bench_fleet.Rates(
        scale * DESIGN_RATES.reads, scale * DESIGN_RATES.writes
    )


def measure(gateways: int, groups: int, shares: Sequence[float]) -> None:
    """Restart a fleet of one size at each part of the store's rates."""
    size = gateways + groups * GROUP_SIZE
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        plan = create_plan(gateways, groups)
        base = fleet_lib.Fleet(plan, directory, [], [], [])
        starter = Starter(directory)
        try:
            start_standins(base)
            fleet = bench_fleet.Fleet(base, bench_fleet.create_keys(base))
            begin_roles(fleet, starter)
            bench_fleet.wait_roles(base)
            bench_fleet.roll(fleet, create_bundle(plan))
            for share in shares:
                rates = scale_rates(size, share)
                label = f"processes_{size}.reads_{rates.reads:.0f}"
                logs, seen = restart(fleet, starter, rates)
                report(label, seen, logs, size, rates)
                bench_fleet.limit_store(fleet, DESIGN_RATES)
        finally:
            for running in (base.gateways, base.sidecars, base.standins):
                processes.stop_processes(running, bench_fleet.STOP_SECONDS)
            plan.ports.release()


def begin_roles(fleet: bench_fleet.Fleet, starter: Starter) -> None:
    """Start all processes at the full rates."""
    starter.prepare()
    bench_fleet.launch_roles(fleet.base, create_shape(), fleet.keys)
    starter.begin(fleet.base)


def restart(
    fleet: bench_fleet.Fleet, starter: Starter, rates: bench_fleet.Rates
) -> tuple[Logs, Restart]:
    """Restart all processes at once at reduced rates."""
    base = fleet.base
    running = [*base.gateways, *base.sidecars]
    base.gateways.clear()
    base.sidecars.clear()
    starter.prepare()
    # The new programs load, which takes longest, while the old ones stop.
    bench_fleet.launch_roles(base, create_shape(), fleet.keys)
    processes.stop_processes(running, bench_fleet.STOP_SECONDS)
    logs = Logs([*base.sidecars, *base.gateways])
    starter.begin(base, lambda: bench_fleet.limit_store(fleet, rates))
    return logs, observe(fleet, logs)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    for gateways, groups, shares in CASES:
        measure(gateways, groups, shares)


if __name__ == "__main__":
    main()
