"""Processes of a benchmark: platform and engine stand-ins, sidecars, gateway.

All run on the loopback address and are stopped by their ids.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import hashlib
import json
import os
import pathlib
import sys
import tempfile
from typing import Any
from typing import Final
from typing import NamedTuple

from verbenafall_core import addresses
from verbenafall_core.bundles import signing
from verbenafall_standins.demo import files
from verbenafall_standins.demo import fleet as fleet_lib
from verbenafall_standins.demo import plan as plan_lib
from verbenafall_standins.demo import processes
from verbenafall_standins.engines import group as group_lib

DATA_CENTRE: Final = "dc-1"
GROUP: Final = "group-0"
CREDENTIAL: Final = "example-bench"
STEADY_ENGINE: Final = str(pathlib.Path(__file__).with_name("steady_engine.py"))
START_SECONDS: Final = 60.0
STOP_SECONDS: Final = 15.0
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
TICKS: Final = os.sysconf("SC_CLK_TCK")


class Shape(NamedTuple):
    """Size and options of a fleet.

    Attributes:
        engines: Engines, each with a sidecar.
        slots: Batch size of each engine.
        step_ms: Time between two tokens of a stream.
        steady: One process with steady steps for each engine, else one
            process of the stand-ins with all engines.
        in_phase: Whether the steps of all steady engines begin together.
        launcher: Program that starts a sidecar or gateway, None for the
            modules themselves.
        gateway_options: More settings of the gateway.
        ranks_per_engine: Ranks of each engine in one rank group, 0 for none.
        gateways: Gateways, each linked with all sidecars.
    """

    engines: int
    slots: int
    step_ms: float
    steady: bool
    in_phase: bool = False
    launcher: Sequence[str] | None = None
    gateway_options: tuple[tuple[str, str, str], ...] = ()
    ranks_per_engine: int = 0
    gateways: int = 1


class Rates(NamedTuple):
    """Limits of the object store, in calls a second for all callers."""

    reads: float
    writes: float


class Fleet(NamedTuple):
    """A running fleet with the keys of its bundles."""

    base: fleet_lib.Fleet
    keys: pathlib.Path

    def gateway(self) -> plan_lib.GatewayPlan:
        """Return the addresses of the gateway."""
        return self.base.plan.gateways[0]

    def gateway_pid(self) -> int:
        """Return the process id of the gateway."""
        return self.base.gateways[0].popen.pid

    def sidecar_pids(self) -> list[int]:
        """Return the process ids of the sidecars."""
        return [one.popen.pid for one in self.base.sidecars]


def create_plan(shape: Shape) -> plan_lib.Plan:
    """Return addresses for a fleet."""
    ports = plan_lib.Ports()
    return plan_lib.Plan(
        ports,
        ports.next_address(),
        ports.next_address(),
        ports.next_address(),
        tuple(
            plan_lib.GatewayPlan(
                f"gateway-{number}",
                DATA_CENTRE,
                ports.next_address(),
                ports.next_address(),
            )
            for number in range(shape.gateways)
        ),
        tuple(
            plan_lib.SidecarPlan(
                f"sidecar-{number}",
                DATA_CENTRE,
                "model-0",
                "engine",
                ports.next_address(),
                ports.next_address(),
                GROUP if shape.ranks_per_engine else "",
                tuple(
                    range(
                        number * shape.ranks_per_engine,
                        (number + 1) * shape.ranks_per_engine,
                    )
                ),
            )
            for number in range(shape.engines)
        ),
    )


def create_bundle(
    version: int, slots: int, teams: int = 1, models: int = 1
) -> dict[str, Any]:
    """Return a bundle document; the first team is the benchmark's."""
    services = [
        {
            "name": f"model-{number}",
            "kind": "model",
            "model": f"model-{number}",
            "slots": slots,
            "deadline_ms": 60_000,
            "fences_orders": False,
            "rules": [],
        }
        for number in range(models)
    ]
    names = [service["name"] for service in services]
    return {
        "version": version,
        "deployment": "benchmark",
        "region": "region-a",
        "data_centres": [DATA_CENTRE],
        "services": services,
        "teams": [create_team(number, names) for number in range(teams)],
        "groups": [],
    }


def create_group(shape: Shape) -> dict[str, Any]:
    """Return the rank group of all engines, with their own map."""
    ranks = shape.engines * shape.ranks_per_engine
    placement = group_lib.default_placement(count_experts(shape), ranks)
    return {
        "name": GROUP,
        "service": "model-0",
        "ranks": ranks,
        "experts": count_experts(shape),
        "maps": [{"version": 1, "placement": list(placement)}],
        "skew_weight": 1.0,
        "move_weight": 1.0,
        "minimum_dwell_ms": 60_000,
        "moves_per_minute": 60,
    }


def count_experts(shape: Shape) -> int:
    """Return one expert for each rank."""
    return shape.engines * max(1, shape.ranks_per_engine)


def create_team(number: int, services: list[Any]) -> dict[str, Any]:
    """Return a team; the first one may use all services."""
    credential = CREDENTIAL if number == 0 else f"example-{number}"
    used = services if number == 0 else [services[number % len(services)]]
    return {
        "name": f"team-{number}",
        "credential_digests": [hashlib.sha256(credential.encode()).hexdigest()],
        "shares": 1,
        "max_in_flight": 1000,
        "priority": 0,
        "services": used,
    }


@contextlib.contextmanager
def running_fleet(shape: Shape) -> Iterator[Fleet]:
    """Start a fleet with bundle 1 in force, and stop it afterwards."""
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        base = fleet_lib.Fleet(create_plan(shape), directory, [], [], [])
        try:
            start_standins(base, shape)
            keys = start_system(base, shape)
            fleet = Fleet(base, keys)
            bundle = create_bundle(1, shape.slots)
            if shape.ranks_per_engine:
                bundle["groups"] = [create_group(shape)]
            roll(fleet, bundle)
            wait_ready(fleet)
            yield fleet
        finally:
            for group in (base.gateways, base.sidecars, base.standins):
                processes.stop_processes(group, STOP_SECONDS)
            base.plan.ports.release()


def start_standins(base: fleet_lib.Fleet, shape: Shape) -> None:
    """Start the platform and the engines."""
    plan = base.plan
    threads = 2 * shape.engines + 32
    commands = {
        "platform": fleet_lib.standin_command(
            "platform",
            f"--object-store={plan.object_store}",
            f"--instance-list={plan.instance_list}",
            f"--threads={threads}",
        )
    }
    if shape.steady:
        for number, sidecar in enumerate(plan.sidecars):
            commands[f"engine-{number}"] = [
                sys.executable,
                STEADY_ENGINE,
                str(sidecar.endpoint),
                f"--step-ms={shape.step_ms}",
                f"--phase={0 if shape.in_phase else number / shape.engines}",
            ]
    else:
        commands["engines"] = fleet_lib.standin_command(
            "engines",
            *(str(one.endpoint) for one in plan.sidecars),
            f"--ranks-per-engine={max(1, shape.ranks_per_engine)}",
            f"--experts={count_experts(shape)}",
            f"--group={GROUP}",
            "--token-us=0",
            f"--slots={shape.slots}",
            f"--step-ms={shape.step_ms}",
        )
    for name, command in commands.items():
        base.standins.append(
            processes.start_process(name, command, base.directory)
        )
    wait_listening(base, [plan.object_store, plan.instance_list])
    wait_listening(base, [one.endpoint for one in plan.sidecars])
    fleet_lib.send_json(
        plan.instance_list,
        "PUT",
        "/-/instances",
        files.create_instance_list(plan),
    )


def start_system(base: fleet_lib.Fleet, shape: Shape) -> pathlib.Path:
    """Start the sidecars and the gateway; return the directory of keys."""
    keys = create_keys(base)
    start_roles(base, shape, keys)
    return keys


def create_keys(base: fleet_lib.Fleet) -> pathlib.Path:
    """Create keys and the operator's settings; return the keys' directory."""
    directory = base.directory
    keys = directory / "keys"
    fleet_lib.run_command(
        fleet_lib.gateway_command("keys", "generate", str(keys))
    )
    operator = files.create_platform_settings(base.plan) | {
        "bundles": {"public_keys": str(keys / signing.PUBLIC_KEY_FILE)}
    }
    files.write_settings(directory / "operator.ini", operator)
    return keys


def start_roles(
    base: fleet_lib.Fleet, shape: Shape, keys: pathlib.Path
) -> None:
    """Start the sidecars and the gateways; wait until they listen."""
    launch_roles(base, shape, keys)
    wait_roles(base)


def wait_roles(base: fleet_lib.Fleet) -> None:
    """Wait until all sidecars and gateways listen on all addresses."""
    wait_listening(base, [one.links for one in base.plan.sidecars])
    wait_listening(base, [one.admin for one in base.plan.gateways])
    # The last address that a gateway listens on.
    wait_listening(base, [one.client for one in base.plan.gateways])


def launch_roles(
    base: fleet_lib.Fleet, shape: Shape, keys: pathlib.Path
) -> None:
    """Start the sidecars and the gateways without waiting for them."""
    public = keys / signing.PUBLIC_KEY_FILE
    for sidecar in base.plan.sidecars:
        sections = files.create_sidecar_settings(base.plan, sidecar, public)
        base.sidecars.append(
            start_one(base, "sidecar", sidecar.name, sections, shape)
        )
    for gateway in base.plan.gateways:
        sections = files.create_gateway_settings(base.plan, gateway, public)
        for section, option, value in shape.gateway_options:
            sections.setdefault(section, {})[option] = value
        base.gateways.append(
            start_one(base, "gateway", gateway.name, sections, shape)
        )


def stop_roles(base: fleet_lib.Fleet) -> None:
    """Stop all sidecars and gateways."""
    running = [*base.gateways, *base.sidecars]
    base.gateways.clear()
    base.sidecars.clear()
    processes.stop_processes(running, STOP_SECONDS)


def restart_roles(fleet: Fleet, shape: Shape) -> None:
    """Stop all sidecars and the gateway and start them again at once."""
    base = fleet.base
    stop_roles(base)
    start_roles(base, shape, fleet.keys)
    wait_ready(fleet)


def start_one(
    base: fleet_lib.Fleet,
    role: str,
    name: str,
    sections: files.IniSections,
    shape: Shape,
) -> processes.RunningProcess:
    """Start a sidecar or a gateway."""
    path = files.write_settings(base.directory / f"{name}.ini", sections)
    program = ["-m", f"verbenafall_{role}"]
    if shape.launcher:
        program = [*shape.launcher, f"verbenafall_{role}"]
    command = [sys.executable, *program, "serve", f"--settings={path}"]
    return processes.start_process(name, command, base.directory)


def wait_listening(
    base: fleet_lib.Fleet, expected: Sequence[addresses.Address]
) -> None:
    """Wait until something listens on all addresses."""
    processes.wait_until(
        "all listeners",
        START_SECONDS,
        lambda: all(processes.is_listening(address) for address in expected),
        base.all(),
    )


def wait_ready(fleet: Fleet) -> None:
    """Wait until all gateways are ready and have links to all sidecars."""
    wanted = len(fleet.base.plan.sidecars)

    def is_complete(gateway: plan_lib.GatewayPlan) -> bool:
        if not fleet_lib.is_ready(gateway.client):
            return False
        status = fleet_lib.read_json(gateway.admin, "/-/status")
        return len(status["processes"]) >= 1 + wanted

    processes.wait_until(
        "ready gateways",
        START_SECONDS,
        lambda: all(is_complete(one) for one in fleet.base.plan.gateways),
        fleet.base.all(),
    )


def roll(fleet: Fleet, bundle: dict[str, Any]) -> None:
    """Sign and roll out a bundle; wait until the command has finished."""
    directory = fleet.base.directory
    path = files.write_bundle(directory / "bundle.json", bundle)
    private = fleet.keys / signing.PRIVATE_KEY_FILE
    settings = directory / "operator.ini"
    for command in (
        ("sign", str(path), f"--key={private}"),
        ("roll", str(path), f"--settings={settings}"),
    ):
        fleet_lib.run_command(fleet_lib.gateway_command("bundle", *command))


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process, from /proc."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, from /proc."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES


def read_store_calls(fleet: Fleet) -> dict[str, int]:
    """Return the calls that the object store has counted."""
    calls: dict[str, int] = fleet_lib.read_json(
        fleet.base.plan.object_store, "/-/calls"
    )
    return calls


def limit_store(fleet: Fleet, rates: Rates) -> None:
    """Set the rates of the object store from now on."""
    body = {
        "reads_per_second": rates.reads,
        "writes_per_second": rates.writes,
    }
    store = fleet.base.plan.object_store
    fleet_lib.send_json(store, "POST", "/-/rates", body)


def to_json(value: Any) -> bytes:
    """Return the bytes of a JSON document."""
    return json.dumps(value).encode()
