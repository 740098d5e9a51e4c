"""Starts the processes of a deployment and runs operator commands on it."""

import http.client
import json
import pathlib
import shutil
import subprocess
import sys
from typing import Any
from typing import Final
from typing import NamedTuple

from verbenafall_core import addresses
from verbenafall_core.bundles import signing
from verbenafall_standins.demo import files
from verbenafall_standins.demo import plan as plan_lib
from verbenafall_standins.demo import processes

READY_SECONDS: Final = 20.0
ROLL_SECONDS: Final = 30.0
CALL_SECONDS: Final = 3.0
STEP_MS: Final = 15.0
TOKEN_US: Final = 500.0


class Fleet(NamedTuple):
    """The processes of a deployment; each list is in order of their start."""

    plan: plan_lib.Plan
    directory: pathlib.Path
    standins: list[processes.RunningProcess]
    sidecars: list[processes.RunningProcess]
    gateways: list[processes.RunningProcess]

    def all(self) -> list[processes.RunningProcess]:
        """Return all processes, in order of their start."""
        return [*self.standins, *self.sidecars, *self.gateways]


def create_fleet(
    directory: pathlib.Path, plan: plan_lib.Plan | None = None
) -> Fleet:
    """Create a fleet without processes; empty its directory.

    Args:
        directory: For settings, keys and logs.
        plan: By default the one of the demonstration run.
    """
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    return Fleet(plan or plan_lib.create_plan(), directory, [], [], [])


def gateway_command(*arguments: str) -> list[str]:
    """Return a command line that runs the gateway program."""
    return [sys.executable, "-m", "verbenafall_gateway", *arguments]


def sidecar_command(*arguments: str) -> list[str]:
    """Return a command line that runs the sidecar program."""
    return [sys.executable, "-m", "verbenafall_sidecar", *arguments]


def standin_command(*arguments: str) -> list[str]:
    """Return a command line that runs stand-ins."""
    return [sys.executable, "-m", "verbenafall_standins", *arguments]


def start_standins(fleet: Fleet) -> None:
    """Start the stand-ins and publish the instance list."""
    plan = fleet.plan
    commands = {
        "platform": standin_command(
            "platform",
            f"--object-store={plan.object_store}",
            f"--instance-list={plan.instance_list}",
            f"--weight-store={plan.weight_store}",
        )
    }
    for group in plan.groups():
        commands[f"engines-{group}"] = standin_command(
            "engines",
            *(str(sidecar.endpoint) for sidecar in plan.engines_of(group)),
            f"--group={group}",
            f"--ranks-per-engine={plan_lib.RANKS_PER_ENGINE}",
            f"--experts={plan_lib.EXPERTS}",
            "--slots=16",
            f"--step-ms={STEP_MS}",
            f"--token-us={TOKEN_US}",
            f"--weight-store=http://{plan.weight_store}",
        )
    commands["records"] = standin_command(
        "records", *(str(sidecar.endpoint) for sidecar in plan.records())
    )
    for name, command in commands.items():
        fleet.standins.append(
            processes.start_process(name, command, fleet.directory)
        )
    wait_until_listening(
        fleet,
        [plan.object_store, plan.instance_list, plan.weight_store]
        + [sidecar.endpoint for sidecar in plan.sidecars],
    )
    send_json(
        plan.instance_list,
        "PUT",
        "/-/instances",
        files.create_instance_list(plan),
    )


def start_sidecars_and_gateways(fleet: Fleet) -> pathlib.Path:
    """Create signing keys, and start sidecars and gateways.

    Returns:
        The directory of the keys.
    """
    directory = fleet.directory
    keys = directory / "keys"
    run_command(gateway_command("keys", "generate", str(keys)))
    public = keys / signing.PUBLIC_KEY_FILE
    for sidecar in fleet.plan.sidecars:
        path = files.write_settings(
            directory / f"{sidecar.name}.ini",
            files.create_sidecar_settings(fleet.plan, sidecar, public),
        )
        command = sidecar_command("serve", f"--settings={path}")
        fleet.sidecars.append(
            processes.start_process(sidecar.name, command, directory)
        )
    for gateway in fleet.plan.gateways:
        path = files.write_settings(
            directory / f"{gateway.name}.ini",
            files.create_gateway_settings(fleet.plan, gateway, public),
        )
        command = gateway_command("serve", f"--settings={path}")
        fleet.gateways.append(
            processes.start_process(gateway.name, command, directory)
        )
    wait_until_listening(
        fleet,
        [planned.links for planned in fleet.plan.sidecars]
        + [planned.admin for planned in fleet.plan.gateways]
        # A gateway starts to listen on its client address last.
        + [planned.client for planned in fleet.plan.gateways],
    )
    return keys


def roll_bundle(fleet: Fleet, keys: pathlib.Path) -> None:
    """Check, sign and roll the bundle; wait until all gateways are ready."""
    directory = fleet.directory
    private = keys / signing.PRIVATE_KEY_FILE
    public = keys / signing.PUBLIC_KEY_FILE
    bundle = files.write_bundle(
        directory / "bundle.json", files.create_bundle(fleet.plan)
    )
    operator = files.write_settings(
        directory / "operator.ini",
        files.create_platform_settings(fleet.plan)
        | {"bundles": {"public_keys": str(public)}},
    )
    run_command(gateway_command("bundle", "check", str(bundle)))
    run_command(
        gateway_command("bundle", "sign", str(bundle), f"--key={private}")
    )
    run_command(
        gateway_command("bundle", "roll", str(bundle), f"--settings={operator}")
    )
    processes.wait_until(
        "readiness of all gateways",
        READY_SECONDS,
        lambda: all(
            is_ready(gateway.client) for gateway in fleet.plan.gateways
        ),
        fleet.all(),
    )


def read_status(fleet: Fleet) -> str:
    """Return the output of `bundle status`."""
    operator = fleet.directory / "operator.ini"
    return run_command(
        gateway_command("bundle", "status", f"--settings={operator}")
    )


def run_command(command: list[str]) -> str:
    """Run an operator command; return its standard output.

    Raises:
        ProcessError: The command failed or did not end within ROLL_SECONDS.
    """
    label = " ".join(command[2:5])
    try:
        done = subprocess.run(
            command,
            check=False,
            capture_output=True,
            text=True,
            timeout=ROLL_SECONDS,
        )
    except subprocess.TimeoutExpired as error:
        # The output so far shows what the command was waiting for.
        raise processes.ProcessError(
            f"{label} did not end within {ROLL_SECONDS:g} s:"
            f"\n{decode_output(error.stdout)}{decode_output(error.stderr)}"
        ) from error
    if done.returncode != 0:
        raise processes.ProcessError(
            f"{label} ended with exit code {done.returncode}:"
            f"\n{done.stdout}{done.stderr}"
        )
    return done.stdout


def decode_output(output: bytes | str | None) -> str:
    """Return the output in a TimeoutExpired error as text.

    subprocess.run stores bytes there, even with text=True.
    """
    if isinstance(output, bytes):
        return output.decode(errors="replace")
    return output or ""


def wait_until_listening(
    fleet: Fleet, expected: list[addresses.Address]
) -> None:
    """Wait until all addresses accept connections.

    Raises:
        ProcessError: A process ended, or an address did not become ready.
    """
    for address in expected:
        processes.wait_until(
            f"a listener on {address}",
            READY_SECONDS,
            lambda address=address: processes.is_listening(address),  # type: ignore[misc]
            fleet.all(),
        )


def is_ready(address: addresses.Address) -> bool:
    """Return whether a gateway reports that it is ready for requests."""
    try:
        read_json(address, "/-/ready")
    except (OSError, ValueError):
        return False
    return True


def read_json(address: addresses.Address, path: str) -> Any:
    """Send a GET and return the JSON response."""
    return json.loads(call(address, "GET", path, b""))


def send_json(
    address: addresses.Address, method: str, path: str, body: Any
) -> None:
    """Send a request with a JSON body."""
    call(address, method, path, json.dumps(body).encode())


def call(
    address: addresses.Address, method: str, path: str, body: bytes
) -> bytes:
    """Send an HTTP request; return the body of the response.

    Raises:
        OSError: The request failed, or its status is 400 or above.
    """
    connection = http.client.HTTPConnection(*address, timeout=CALL_SECONDS)
    headers = {"Content-Type": "application/json"}
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        data = response.read()
    finally:
        connection.close()
    if response.status >= 400:
        raise OSError(f"{method} {path}: status {response.status}")
    return data


def count_mixed_steps(fleet: Fleet) -> int:
    """Return how many steps of all groups ran on more than one map."""
    first_engines = [
        fleet.plan.engines_of(name)[0] for name in fleet.plan.groups()
    ]
    reports = [
        read_json(engine.endpoint, "/-/steps") for engine in first_engines
    ]
    return sum(report["mixed"] for report in reports)


def read_runs(fleet: Fleet) -> list[dict[str, str]]:
    """Return the requests that the records services processed."""
    return [
        run
        for sidecar in fleet.plan.records()
        for run in read_json(sidecar.endpoint, "/-/runs")
    ]
