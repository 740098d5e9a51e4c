"""Measures the cost of an idle fleet and of a roll-out, and how both grow.

Starts fleets with several numbers of sidecars, gateways, teams, models and
instances. Prints one JSON line per figure.
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import os
import pathlib
import resource
import socket
import tempfile
import threading
import time
from typing import Any
from typing import Final

import bench_fleet
import json_lines
from verbenafall_core import addresses
from verbenafall_gateway.links import subsetting
from verbenafall_standins.demo import files
from verbenafall_standins.demo import fleet as fleet_lib

SEED: Final = 20260302
SIDECARS: Final = (4, 16, 48)
# Together with the gateway: 3, 30 and 100 processes.
ROLLOUT_SIDECARS: Final = (2, 29, 99)
TEAMS: Final = (100, 1600, 16_000)
MODELS: Final = (1, 7, 21)
INSTANCES: Final = (20, 250, 980)
GROUPS: Final = (4, 16, 32)
# The smallest case of the part "sidecars" measures one gateway with as many
# sidecars.
GATEWAYS: Final = (4, 12)
GATEWAY_SIDECARS: Final = SIDECARS[0]
PARTS: Final = ("bundles", "groups", "sidecars", "gateways", "rollouts")
IDLE_SECONDS: Final = 5.0
SETTLE_SECONDS: Final = 1.0
POLL_SECONDS: Final = 0.02
TIMEOUT_SECONDS: Final = 60.0
COUNTED_LAUNCHER: Final = (
    str(pathlib.Path(__file__).with_name("launch_counted.py")),
)
CPU_LIMIT_CORES: Final = 0.016
MEMORY_LIMIT_MIB: Final = 256.0
BYTES_PER_MIB: Final = 1024 * 1024


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


def read_counts(fleet: bench_fleet.Fleet) -> list[tuple[int, int]]:
    """Return bytes and messages sent by the gateway and each sidecar."""
    prefix = os.environ["VERBENAFALL_COUNT"]
    counts = []
    for pid in (fleet.gateway_pid(), *fleet.sidecar_pids()):
        fields = pathlib.Path(f"{prefix}-{pid}").read_text().split()
        counts.append((int(fields[0]), int(fields[1])))
    return counts


def report_links(
    label: str,
    before: list[tuple[int, int]],
    after: list[tuple[int, int]],
    seconds: float,
) -> None:
    """Print the rates at which the processes send on their links."""
    rates = [
        ((new[0] - old[0]) / seconds, (new[1] - old[1]) / seconds)
        for old, new in zip(before, after, strict=True)
    ]
    sidecars = rates[1:]
    emit(f"{label}.gateway.sent", rates[0][0], "B/s")
    emit(f"{label}.gateway.sent_messages", rates[0][1], "messages/s")
    for number, unit in enumerate(("B/s", "messages/s")):
        name = ("sent", "sent_messages")[number]
        values = [rate[number] for rate in sidecars]
        emit(f"{label}.sidecar.{name}", sum(values) / len(values), unit)
        emit(f"{label}.sidecar.{name}.most", max(values), unit)


def measure_idle(fleet: bench_fleet.Fleet, label: str) -> None:
    """Print CPU, link, memory and object store usage of an idle fleet."""
    gateway = fleet.gateway_pid()
    sidecars = fleet.sidecar_pids()
    time.sleep(SETTLE_SECONDS)
    calls = bench_fleet.read_store_calls(fleet)
    counts = read_counts(fleet)
    cpu = [bench_fleet.cpu_seconds(pid) for pid in (gateway, *sidecars)]
    started = time.monotonic()
    time.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - started
    used = [
        (bench_fleet.cpu_seconds(pid) - before) / seconds
        for pid, before in zip((gateway, *sidecars), cpu, strict=True)
    ]
    after = bench_fleet.read_store_calls(fleet)
    emit(f"{label}.gateway.core", used[0], "cores", "limit", CPU_LIMIT_CORES)
    emit(
        f"{label}.sidecar.core",
        sum(used[1:]) / len(sidecars),
        "cores",
        "limit",
        CPU_LIMIT_CORES,
    )
    emit(f"{label}.sidecar.core.most", max(used[1:]), "cores")
    report_links(label, counts, read_counts(fleet), seconds)
    report_memory(fleet, label)
    for kind in ("reads", "writes", "watches"):
        rate = (after[kind] - calls[kind]) / seconds
        emit(f"{label}.store.{kind}", rate, "calls/s")


def report_memory(fleet: bench_fleet.Fleet, label: str) -> None:
    """Print the resident memory of a gateway and a sidecar."""
    for role, pid in (
        ("gateway", fleet.gateway_pid()),
        ("sidecar", fleet.sidecar_pids()[0]),
    ):
        emit(
            f"{label}.{role}.memory",
            bench_fleet.resident_bytes(pid) / BYTES_PER_MIB,
            "MiB",
            "limit",
            MEMORY_LIMIT_MIB,
        )


def wait_for(condition: Callable[[], bool]) -> float:
    """Wait for a condition until a timeout; return the seconds waited."""
    started = time.monotonic()
    while not condition() and time.monotonic() - started < TIMEOUT_SECONDS:
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started


def is_in_force_everywhere(fleet: bench_fleet.Fleet, version: int) -> bool:
    """Return whether the gateway reports a version in force everywhere."""
    status = fleet_lib.read_json(fleet.gateway().admin, "/-/status")
    versions = [process["in_force"] for process in status["processes"]]
    expected = 1 + len(fleet.base.plan.sidecars)
    return len(versions) >= expected and min(versions) >= version


def measure_bundle_rollout(
    fleet: bench_fleet.Fleet, bundle: dict[str, Any], label: str
) -> None:
    """Print the duration of a roll-out and its cost for the processes."""
    pids = (fleet.gateway_pid(), fleet.sidecar_pids()[0])
    cpu = [bench_fleet.cpu_seconds(pid) for pid in pids]
    calls = bench_fleet.read_store_calls(fleet)
    operator = resource.getrusage(resource.RUSAGE_CHILDREN)
    started = time.monotonic()
    rollout_thread = threading.Thread(
        target=bench_fleet.roll_out, args=(fleet, bundle)
    )
    rollout_thread.start()
    wait_for(lambda: is_in_force_everywhere(fleet, bundle["version"]))
    seconds = time.monotonic() - started
    rollout_thread.join()
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    emit(
        f"{label}.operator.cpu",
        used.ru_utime + used.ru_stime - operator.ru_utime - operator.ru_stime,
        "s",
    )
    # Linux reports the maximum over all commands so far, in KiB.
    emit(f"{label}.operator.memory", used.ru_maxrss / 1024, "MiB")
    emit(f"{label}.in_force_everywhere", seconds, "s", "limit", 7.0)
    after = bench_fleet.read_store_calls(fleet)
    for kind in ("reads", "writes", "watches"):
        emit(f"{label}.store.{kind}", after[kind] - calls[kind], "calls")
    for role, pid, before in zip(
        ("gateway", "sidecar"), pids, cpu, strict=True
    ):
        seconds = bench_fleet.cpu_seconds(pid) - before
        emit(f"{label}.{role}.cpu", seconds, "s")


def create_options(sidecars: int) -> bench_fleet.FleetOptions:
    """Return options for a fleet whose gateway links to all sidecars."""
    links = max(sidecars, subsetting.DEFAULT_LINKS_PER_GATEWAY)
    return bench_fleet.FleetOptions(
        engines=sidecars,
        slots=16,
        step_ms=1000.0,
        steady_steps=False,
        launcher=COUNTED_LAUNCHER,
        gateway_options=(("limits", "links_per_gateway", str(links)),),
    )


def measure_sidecars(sidecars: int) -> None:
    """Measure an idle fleet with some sidecars, and a roll-out to it."""
    label = f"sidecars_{sidecars}"
    with bench_fleet.running_fleet(create_options(sidecars)) as fleet:
        measure_idle(fleet, label)
        bundle = bench_fleet.create_bundle(2, 16)
        measure_bundle_rollout(fleet, bundle, f"{label}.roll")


def measure_gateways(gateways: int) -> None:
    """Measure an idle fleet whose sidecars are linked to several gateways."""
    options = create_options(GATEWAY_SIDECARS)._replace(gateways=gateways)
    with bench_fleet.running_fleet(options) as fleet:
        measure_idle(fleet, f"gateways_{gateways}")


def measure_rollout(sidecars: int) -> None:
    """Measure a roll-out to a fleet with a number of sidecars."""
    with bench_fleet.running_fleet(create_options(sidecars)) as fleet:
        bundle = bench_fleet.create_bundle(2, 16)
        measure_bundle_rollout(fleet, bundle, f"processes_{1 + sidecars}.roll")


def measure_bundles() -> None:
    """Measure a small fleet with growing bundles and instance lists."""
    with bench_fleet.running_fleet(create_options(2)) as fleet:
        version = 1
        sizes = [(100, models) for models in MODELS]
        sizes += [(teams, MODELS[-1]) for teams in TEAMS[1:]]
        for teams, models in sizes:
            version += 1
            label = f"teams_{teams}.models_{models}"
            bundle = bench_fleet.create_bundle(version, 16, teams, models)
            emit(
                f"{label}.bundle",
                len(bench_fleet.to_json(bundle)) / 1024,
                "KiB",
            )
            measure_bundle_rollout(fleet, bundle, f"{label}.roll")
            report_memory(fleet, label)
        measure_idle(fleet, f"{label}.idle")
    with bench_fleet.running_fleet(create_options(2)) as fleet:
        for instances in INSTANCES:
            measure_instances(fleet, instances)


def measure_instances(fleet: bench_fleet.Fleet, instances: int) -> None:
    """Measure an idle fleet whose instance list has additional entries.

    The additional entries are gateways, to which no process opens a link.
    """
    plan = fleet.base.plan
    entries = files.create_instance_list(plan)
    entries += [
        files.create_instance(
            f"gateway-{number}",
            "gateway",
            bench_fleet.DATA_CENTRE,
            "",
            plan.gateways[0].admin,
        )
        for number in range(1, 1 + instances - len(entries))
    ]
    fleet_lib.send_json(plan.instance_list, "PUT", "/-/instances", entries)
    measure_idle(fleet, f"instances_{instances}")
    # Read last, because the platform publishes a new list after a lag.
    complete_bytes, etag = fetch_instance_list(plan.instance_list, "")
    unchanged_bytes, _ = fetch_instance_list(plan.instance_list, etag)
    emit(f"instances_{instances}.whole_read", complete_bytes, "B")
    emit(
        f"instances_{instances}.unchanged_read",
        unchanged_bytes,
        "B",
        "whole read",
        complete_bytes,
    )


def fetch_instance_list(
    address: addresses.Address, etag: str
) -> tuple[int, str]:
    """Read the instance list; return the HTTP bytes both ways and the ETag."""
    lines = [f"If-None-Match: {etag}"] if etag else []
    head = ["GET /instances HTTP/1.1", f"Host: {address}", *lines]
    request = "\r\n".join([*head, "Connection: close", "", ""]).encode()
    with socket.create_connection(
        address, timeout=TIMEOUT_SECONDS
    ) as connection:
        connection.sendall(request)
        answer = b"".join(iter(lambda: connection.recv(65536), b""))
    headers = answer.partition(b"\r\n\r\n")[0].decode().lower()
    tags = [
        line.partition(":")[2].strip()
        for line in headers.splitlines()
        if line.startswith("etag:")
    ]
    return len(request) + len(answer), tags[0] if tags else ""


def measure_group(sidecars: int) -> None:
    """Measure an idle rank group, and a restart of all its sidecars."""
    options = create_options(sidecars)._replace(ranks_per_engine=8)
    with bench_fleet.running_fleet(options) as fleet:
        label = f"group_of_{sidecars}"
        measure_idle(fleet, label)
        before = bench_fleet.read_store_calls(fleet)
        bench_fleet.restart_servers(fleet, options)
        after = bench_fleet.read_store_calls(fleet)
        for kind in ("reads", "writes", "watches"):
            calls = after[kind] - before[kind]
            emit(f"{label}.restart.store.{kind}", calls, "calls")


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--parts",
        nargs="*",
        choices=PARTS,
        default=PARTS,
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        os.environ["VERBENAFALL_COUNT"] = f"{directory}/count"
        run_parts(arguments.parts)


def run_parts(parts: Sequence[str]) -> None:
    """Run the given parts of the benchmark."""
    if "bundles" in parts:
        measure_bundles()
    if "groups" in parts:
        for sidecars in GROUPS:
            measure_group(sidecars)
    if "sidecars" in parts:
        for sidecars in SIDECARS:
            measure_sidecars(sidecars)
    if "gateways" in parts:
        for gateways in GATEWAYS:
            measure_gateways(gateways)
    if "rollouts" in parts:
        for sidecars in ROLLOUT_SIDECARS:
            measure_rollout(sidecars)


if __name__ == "__main__":
    main()
