"""A small fleet of real processes for the system tests."""

import collections
import concurrent.futures
import contextlib
import hashlib
import http.client
import json
import random
import signal
import subprocess
import urllib.parse

from verbenafall_core.bundles import signing
from verbenafall_standins.demo import client
from verbenafall_standins.demo import files
from verbenafall_standins.demo import fleet as fleet_lib
from verbenafall_standins.demo import plan as plan_lib
from verbenafall_standins.demo import processes
from verbenafall_standins.demo import workload
from verbenafall_standins.engines import tokens

# Limit of each wait; a passing test waits only until its condition holds.
WAIT_SECONDS = 40
SEED = 7
CALLER = plan_lib.DESK
TEAM = "desk"
ENGINES = 3
GROUP = "asistente-llm-group"
RECORDS = "mostrador-app-0"
LEASE_EVENTS = ("lease_taken", "lease_lost", "lease_released")


def create_plan():
    """Plan two gateways, a group of three engines and a records service."""
    ports = plan_lib.Ports()
    gateways = tuple(
        plan_lib.GatewayPlan(
            f"gateway-{number}",
            plan_lib.DATA_CENTRES[number],
            ports.next_address(),
            ports.next_address(),
        )
        for number in range(2)
    )
    return plan_lib.Plan(
        ports,
        ports.next_address(),
        ports.next_address(),
        ports.next_address(),
        gateways,
        (
            *plan_lib.plan_engines(CALLER.model_service, ENGINES, ports),
            plan_lib.plan_records(CALLER.records_service, ports),
        ),
    )


def chat_requests(count, token_count, stream=True, seed=SEED):
    """Return chat requests with their expected answers."""
    generator = random.Random(seed)
    requests = []
    for _ in range(count):
        prompt = f"quote {generator.getrandbits(64):x}"
        text = tokens.prompt_text([{"role": "user", "content": prompt}])
        expected = tokens.answer_text(tokens.prompt_digest(text), token_count)
        requests.append(
            workload.ChatRequest(CALLER, prompt, token_count, stream, expected)
        )
    return requests


def reservation(key):
    return workload.RecordsRequest(
        CALLER, "POST", "/reservations", key, f"item {key}"
    )


class SystemFleet:
    """Processes of the fleet, with access to their state and their faults."""

    def __init__(self, fleet, keys):
        self.fleet = fleet
        self.plan = fleet.plan
        self.keys = keys
        self.log_offsets = collections.Counter()
        self.pool = concurrent.futures.ThreadPoolExecutor(32)

    # Processes.

    def find_process(self, name):
        for process_list in (self.fleet.gateways, self.fleet.sidecars):
            for process in process_list:
                if process.name == name:
                    return process
        raise KeyError(name)

    def find_plan(self, name):
        plans = (*self.plan.gateways, *self.plan.sidecars)
        return next(item for item in plans if item.name == name)

    def send_signal(self, name, number):
        self.find_process(name).popen.send_signal(number)

    def kill(self, name):
        self.send_signal(name, signal.SIGKILL)
        self.find_process(name).popen.wait(WAIT_SECONDS)

    def exit_code(self, name):
        return self.find_process(name).popen.wait(WAIT_SECONDS)

    def start(self, name):
        """Restart a process that has ended."""
        is_gateway = any(gateway.name == name for gateway in self.plan.gateways)
        command = (
            fleet_lib.gateway_command
            if is_gateway
            else fleet_lib.sidecar_command
        )
        process_list = (
            self.fleet.gateways if is_gateway else self.fleet.sidecars
        )
        index = process_list.index(self.find_process(name))
        path = self.fleet.directory / f"{name}.ini"
        # Offset at which the log of the new process starts.
        self.log_offsets[name] = len(self.log(name))
        process_list[index] = processes.start_process(
            name, command("serve", f"--settings={path}"), self.fleet.directory
        )

    def wait(self, description, condition):
        processes.wait_until(description, WAIT_SECONDS, condition, ())

    def log(self, name):
        path = self.fleet.directory / f"{name}.log"
        return path.read_text(errors="replace")

    def log_lines(self, name, event):
        return [
            line for line in self.log(name).splitlines() if f" {event} " in line
        ]

    # States.

    def statuses(self, gateway):
        """Return the processes on a gateway's status page by name."""
        page = fleet_lib.read_json(gateway.admin, "/-/status")
        return {status["instance"]: status for status in page["processes"]}

    def is_healthy(self):
        """Return whether the fleet is in its normal state.

        All processes are linked, ready and run the accepted bundle, and no
        map switch is under way.
        """
        head = self.object("bundles/head")
        for gateway in self.plan.gateways:
            try:
                statuses = self.statuses(gateway)
            except (OSError, http.client.HTTPException):
                return False
            expected = {
                gateway.name,
                *(sidecar.name for sidecar in self.plan.sidecars),
            }
            if not expected <= statuses.keys():
                return False
            for name in expected:
                status = statuses[name]
                if not status["ready"] or status["draining"]:
                    return False
                if status["in_force"] != head["accepted"]:
                    return False
        record = self.object(f"groups/{GROUP}")
        return record is not None and record["phase"] == "stable"

    def reset(self):
        """Restore all processes, remove all faults and wait until healthy."""
        for process_list in (self.fleet.gateways, self.fleet.sidecars):
            for process in list(process_list):
                if process.popen.poll() is None:
                    process.popen.send_signal(signal.SIGCONT)
                else:
                    self.start(process.name)
        self.set_store_fault("up")
        self.publish_instance_list({})
        for sidecar in self.plan.sidecars:
            self.set_endpoint_fault(sidecar.name, "up")
        self.wait("a healthy fleet", self.is_healthy)

    def object(self, name):
        """Return a JSON object of the store, or None if it cannot be read."""
        path = f"/objects/{urllib.parse.quote(name, safe='/')}"
        with contextlib.suppress(OSError):
            return fleet_lib.read_json(self.plan.object_store, path)
        return None

    def claim(self, key):
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self.object(f"claims/{TEAM}/{digest}")

    def claim_state(self, key):
        claim = self.claim(key)
        return claim and claim["state"]

    def runs(self, name):
        return fleet_lib.read_json(self.find_plan(name).endpoint, "/-/runs")

    def run_keys(self):
        """Return the keys that the records service has run, in order."""
        return [run["key"] for run in self.runs(RECORDS)]

    def open_runs(self, name, minimum_tokens=1):
        """Return an engine's open runs with at least minimum_tokens."""
        return [
            run
            for run in self.runs(name)
            if not run["ended"] and run["tokens"] >= minimum_tokens
        ]

    def in_flight(self, name):
        state = fleet_lib.read_json(self.find_plan(name).endpoint, "/v1/state")
        return state["in_flight"]

    def engines(self):
        return [sidecar.name for sidecar in self.plan.sidecars if sidecar.group]

    def lease_holder(self):
        """Return the name of the sidecar that holds the group's lease.

        The store names a killed holder until its lease has expired, so this
        counts only a process that has acquired the lease since its start.
        """
        lease = self.object(f"leases/group/{GROUP}") or {"holder": ""}
        for name in self.engines():
            if lease["holder"].startswith(f"{name}/"):
                events = [
                    event
                    for line in self.log(name)[
                        self.log_offsets[name] :
                    ].splitlines()
                    for event in LEASE_EVENTS
                    if f" {event} " in line
                ]
                return name if events[-1:] == ["lease_taken"] else ""
        return ""

    # Faults.

    def set_store_fault(self, mode, count=0, prefix=""):
        fleet_lib.send_json(
            self.plan.object_store,
            "POST",
            "/-/faults",
            {"mode": mode, "count": count, "prefix": prefix},
        )

    def set_endpoint_fault(self, name, mode, **fields):
        fleet_lib.send_json(
            self.find_plan(name).endpoint,
            "POST",
            "/-/faults",
            {"mode": mode, **fields},
        )

    def publish_instance_list(self, states):
        """Publish the instance list; instances not in states are live."""
        entries = files.create_instance_list(self.plan)
        for entry in entries:
            entry["state"] = states.get(entry["name"], "live")
        fleet_lib.send_json(
            self.plan.instance_list, "PUT", "/-/instances", entries
        )

    # Requests.

    def send(self, request, gateway=0):
        """Send a request on a thread and return the future of its report."""
        address = self.plan.gateways[gateway].client
        return self.pool.submit(client.send_request, address, request)

    def send_all(self, requests, gateway=None):
        """Send requests to the given gateway, or alternately to both."""
        return [
            self.send(request, number % 2 if gateway is None else gateway)
            for number, request in enumerate(requests)
        ]

    def outcome(self, key, gateway=0):
        """Query the outcome of a key; return status and body."""
        status, _, body = self.call(
            "GET", f"/v1/outcomes/{key}", gateway=gateway
        )
        return status, body

    def call(self, method, path, body=b"", headers=None, gateway=0):
        """Make a call; return status, headers and the JSON body."""
        connection = http.client.HTTPConnection(
            *self.plan.gateways[gateway].client, timeout=WAIT_SECONDS
        )
        fields = {"Authorization": f"Bearer {CALLER.credential}"}
        try:
            connection.request(method, path, body, fields | (headers or {}))
            response = connection.getresponse()
            return (
                response.status,
                dict(response.getheaders()),
                json.loads(response.read() or b"null"),
            )
        finally:
            connection.close()

    # Bundles.

    def bundle(self, version, **changes):
        """Return the fleet's bundle document with a version and changes."""
        document = files.create_bundle(self.plan) | {"version": version}
        return document | changes

    def sign(self, name, document):
        path = files.write_bundle(self.fleet.directory / name, document)
        private = self.keys / signing.PRIVATE_KEY_FILE
        fleet_lib.run_command(
            fleet_lib.gateway_command(
                "bundle", "sign", str(path), f"--key={private}"
            )
        )
        return path

    def start_rollout(self, path):
        operator = self.fleet.directory / "operator.ini"
        return subprocess.Popen(
            fleet_lib.gateway_command(
                "bundle", "roll", str(path), f"--settings={operator}"
            ),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def accepted(self):
        return self.object("bundles/head")["accepted"]

    def stop(self):
        """Stop all processes; return how each of them ended."""
        self.pool.shutdown(wait=False, cancel_futures=True)
        stopped = []
        for process_list in (
            self.fleet.gateways,
            self.fleet.sidecars,
            self.fleet.standins,
        ):
            for process in process_list:
                if process.popen.poll() is None:
                    process.popen.send_signal(signal.SIGCONT)
            stopped.extend(processes.stop_processes(process_list, WAIT_SECONDS))
        self.plan.ports.release()
        return stopped


def start_fleet(directory):
    """Start a fleet and roll out its first bundle."""
    fleet = fleet_lib.create_fleet(directory, create_plan())
    try:
        fleet_lib.start_standins(fleet)
        keys = fleet_lib.start_sidecars_and_gateways(fleet)
        fleet_lib.roll_bundle(fleet, keys)
    except BaseException:
        for process_list in (fleet.gateways, fleet.sidecars, fleet.standins):
            processes.stop_processes(process_list, WAIT_SECONDS)
        fleet.plan.ports.release()
        raise
    return SystemFleet(fleet, keys)


def find_incomplete(futures):
    """Return verdict and detail of each request without its full answer."""
    reports = [future.result(WAIT_SECONDS) for future in futures]
    return [
        (report.verdict, report.detail)
        for report in reports
        if report.verdict is not client.Verdict.COMPLETE
    ]
