"""Starts and stops the processes of a benchmark on the loopback address.

A fleet consists of stand-ins for the platform and the engines, and of servers:
the sidecars and gateways under test.
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
START_TIMEOUT_SECONDS: Final = 60.0
STOP_TIMEOUT_SECONDS: Final = 15.0
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
CLOCK_TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")


class FleetOptions(NamedTuple):
    """Size and options of a fleet.

    Attributes:
        engines: Number of engines, each with a sidecar.
        slots: Requests that each engine runs concurrently.
        step_ms: Time between two tokens of a stream.
        steady_steps: Whether each engine is a process of steady_engine.py;
            otherwise one stand-in process serves all engines.
        in_phase: Whether all steady engines start their steps at the same
            time; otherwise their steps are spread evenly.
        launcher: Script, with arguments, that runs the module of a sidecar or
            gateway; None to run the module directly.
        gateway_options: Additional gateway settings, each a section, an
            option and a value.
        ranks_per_engine: Ranks of each engine in the rank group, 0 for no
            group.
        gateways: Number of gateways.
    """

    engines: int
    slots: int
    step_ms: float
    steady_steps: bool
    in_phase: bool = False
    launcher: Sequence[str] | None = None
    gateway_options: tuple[tuple[str, str, str], ...] = ()
    ranks_per_engine: int = 0
    gateways: int = 1


class StoreRates(NamedTuple):
    """Rate limits of the object store for all callers, in calls per second."""

    reads: float
    writes: float


class Fleet(NamedTuple):
    """A running fleet.

    Attributes:
        base: Plan and processes.
        keys: Directory of the keys that sign and verify bundles.
    """

    base: fleet_lib.Fleet
    keys: pathlib.Path

    def gateway(self) -> plan_lib.GatewayPlan:
        """Return the plan of the first gateway."""
        return self.base.plan.gateways[0]

    def gateway_pid(self) -> int:
        """Return the process id of the first gateway."""
        return self.base.gateways[0].popen.pid

    def sidecar_pids(self) -> list[int]:
        """Return the process ids of the sidecars."""
        return [sidecar.popen.pid for sidecar in self.base.sidecars]


def create_plan(options: FleetOptions) -> plan_lib.Plan:
    """Plan the instances of a fleet and their addresses."""
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
            for number in range(options.gateways)
        ),
        tuple(
            plan_lib.SidecarPlan(
                f"sidecar-{number}",
                DATA_CENTRE,
                "model-0",
                "engine",
                ports.next_address(),
                ports.next_address(),
                GROUP if options.ranks_per_engine else "",
                tuple(
                    range(
                        number * options.ranks_per_engine,
                        (number + 1) * options.ranks_per_engine,
                    )
                ),
            )
            for number in range(options.engines)
        ),
    )


def create_bundle(
    version: int, slots: int, teams: int = 1, models: int = 1
) -> dict[str, Any]:
    """Return a bundle document whose first team has CREDENTIAL."""
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


def create_group(options: FleetOptions) -> dict[str, Any]:
    """Return a rank group of all engines with their default map."""
    ranks = options.engines * options.ranks_per_engine
    placement = group_lib.default_placement(count_experts(options), ranks)
    return {
        "name": GROUP,
        "service": "model-0",
        "ranks": ranks,
        "experts": count_experts(options),
        "maps": [{"version": 1, "placement": list(placement)}],
        "skew_weight": 1.0,
        "move_weight": 1.0,
        "minimum_dwell_ms": 60_000,
        "moves_per_minute": 60,
    }


def count_experts(options: FleetOptions) -> int:
    """Return the number of experts, one per rank."""
    return options.engines * max(1, options.ranks_per_engine)


def create_team(number: int, services: list[Any]) -> dict[str, Any]:
    """Return a team; the first may use all services, the others only one."""
    credential = CREDENTIAL if number == 0 else f"example-{number}"
    usable = services if number == 0 else [services[number % len(services)]]
    return {
        "name": f"team-{number}",
        "credential_digests": [hashlib.sha256(credential.encode()).hexdigest()],
        "shares": 1,
        "max_in_flight": 1000,
        "priority": 0,
        "services": usable,
    }


@contextlib.contextmanager
def running_fleet(options: FleetOptions) -> Iterator[Fleet]:
    """Start a fleet, put bundle 1 in force, and stop the fleet at the end."""
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        base = fleet_lib.Fleet(create_plan(options), directory, [], [], [])
        try:
            start_standins(base, options)
            keys = start_system(base, options)
            fleet = Fleet(base, keys)
            bundle = create_bundle(1, options.slots)
            if options.ranks_per_engine:
                bundle["groups"] = [create_group(options)]
            roll_out(fleet, bundle)
            wait_until_ready(fleet)
            yield fleet
        finally:
            for running in (base.gateways, base.sidecars, base.standins):
                processes.stop_processes(running, STOP_TIMEOUT_SECONDS)
            base.plan.ports.release()


def start_standins(base: fleet_lib.Fleet, options: FleetOptions) -> None:
    """Start the stand-ins and publish the instance list."""
    plan = base.plan
    threads = 2 * options.engines + 32
    commands = {
        "platform": fleet_lib.standin_command(
            "platform",
            f"--object-store={plan.object_store}",
            f"--instance-list={plan.instance_list}",
            f"--threads={threads}",
        )
    }
    if options.steady_steps:
        for number, sidecar in enumerate(plan.sidecars):
            commands[f"engine-{number}"] = [
                sys.executable,
                STEADY_ENGINE,
                str(sidecar.endpoint),
                f"--step-ms={options.step_ms}",
                "--phase="
                f"{0 if options.in_phase else number / options.engines}",
            ]
    else:
        commands["engines"] = fleet_lib.standin_command(
            "engines",
            *(str(engine.endpoint) for engine in plan.sidecars),
            f"--ranks-per-engine={max(1, options.ranks_per_engine)}",
            f"--experts={count_experts(options)}",
            f"--group={GROUP}",
            "--token-us=0",
            f"--slots={options.slots}",
            f"--step-ms={options.step_ms}",
        )
    for name, command in commands.items():
        base.standins.append(
            processes.start_process(name, command, base.directory)
        )
    wait_listening(base, [plan.object_store, plan.instance_list])
    wait_listening(base, [engine.endpoint for engine in plan.sidecars])
    fleet_lib.send_json(
        plan.instance_list,
        "PUT",
        "/-/instances",
        files.create_instance_list(plan),
    )


def start_system(base: fleet_lib.Fleet, options: FleetOptions) -> pathlib.Path:
    """Start the servers with new keys; return the directory of the keys."""
    keys = create_keys(base)
    start_servers(base, options, keys)
    return keys


def create_keys(base: fleet_lib.Fleet) -> pathlib.Path:
    """Create bundle keys and operator settings; return the keys' directory."""
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


def start_servers(
    base: fleet_lib.Fleet, options: FleetOptions, keys: pathlib.Path
) -> None:
    """Start all sidecars and gateways, and wait until they listen."""
    launch_servers(base, options, keys)
    wait_for_servers(base)


def wait_for_servers(base: fleet_lib.Fleet) -> None:
    """Wait until all sidecars and gateways listen on all addresses."""
    wait_listening(base, [sidecar.links for sidecar in base.plan.sidecars])
    wait_listening(base, [gateway.admin for gateway in base.plan.gateways])
    # A gateway listens on its client address last.
    wait_listening(base, [gateway.client for gateway in base.plan.gateways])


def launch_servers(
    base: fleet_lib.Fleet, options: FleetOptions, keys: pathlib.Path
) -> None:
    """Start all sidecars and gateways without waiting until they listen."""
    public = keys / signing.PUBLIC_KEY_FILE
    for sidecar in base.plan.sidecars:
        sections = files.create_sidecar_settings(base.plan, sidecar, public)
        base.sidecars.append(
            start_server(base, "sidecar", sidecar.name, sections, options)
        )
    for gateway in base.plan.gateways:
        sections = files.create_gateway_settings(base.plan, gateway, public)
        for section, option, value in options.gateway_options:
            sections.setdefault(section, {})[option] = value
        base.gateways.append(
            start_server(base, "gateway", gateway.name, sections, options)
        )


def stop_servers(base: fleet_lib.Fleet) -> None:
    """Stop all sidecars and gateways."""
    running = [*base.gateways, *base.sidecars]
    base.gateways.clear()
    base.sidecars.clear()
    processes.stop_processes(running, STOP_TIMEOUT_SECONDS)


def restart_servers(fleet: Fleet, options: FleetOptions) -> None:
    """Stop all sidecars and gateways, then start them again."""
    base = fleet.base
    stop_servers(base)
    start_servers(base, options, fleet.keys)
    wait_until_ready(fleet)


def start_server(
    base: fleet_lib.Fleet,
    role: str,
    name: str,
    sections: files.IniSections,
    options: FleetOptions,
) -> processes.RunningProcess:
    """Write the settings of a sidecar or gateway and start it."""
    path = files.write_settings(base.directory / f"{name}.ini", sections)
    program = ["-m", f"verbenafall_{role}"]
    if options.launcher:
        program = [*options.launcher, f"verbenafall_{role}"]
    command = [sys.executable, *program, "serve", f"--settings={path}"]
    return processes.start_process(name, command, base.directory)


def wait_listening(
    base: fleet_lib.Fleet, expected: Sequence[addresses.Address]
) -> None:
    """Wait until all addresses accept connections."""
    processes.wait_until(
        "all addresses listening",
        START_TIMEOUT_SECONDS,
        lambda: all(processes.is_listening(address) for address in expected),
        base.all(),
    )


def wait_until_ready(fleet: Fleet) -> None:
    """Wait until each gateway is ready and linked to all sidecars."""
    sidecars = len(fleet.base.plan.sidecars)

    def is_ready_and_linked(gateway: plan_lib.GatewayPlan) -> bool:
        if not fleet_lib.is_ready(gateway.client):
            return False
        status = fleet_lib.read_json(gateway.admin, "/-/status")
        return len(status["processes"]) >= 1 + sidecars

    processes.wait_until(
        "all gateways ready",
        START_TIMEOUT_SECONDS,
        lambda: all(
            is_ready_and_linked(gateway) for gateway in fleet.base.plan.gateways
        ),
        fleet.base.all(),
    )


def roll_out(fleet: Fleet, bundle: dict[str, Any]) -> None:
    """Sign a bundle and roll it out; return when the command has ended."""
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
    """Return the CPU time that a process has used, from /proc."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, from /proc."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES


def read_store_calls(fleet: Fleet) -> dict[str, int]:
    """Return the object store's counts of calls by kind."""
    calls: dict[str, int] = fleet_lib.read_json(
        fleet.base.plan.object_store, "/-/calls"
    )
    return calls


def set_store_rates(fleet: Fleet, rates: StoreRates) -> None:
    """Change the rate limits of the object store."""
    body = {
        "reads_per_second": rates.reads,
        "writes_per_second": rates.writes,
    }
    store = fleet.base.plan.object_store
    fleet_lib.send_json(store, "POST", "/-/rates", body)


def to_json(value: Any) -> bytes:
    """Encode a value as JSON."""
    return json.dumps(value).encode()
