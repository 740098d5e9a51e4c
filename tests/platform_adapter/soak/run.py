"""Runs one seed: starts all parts, injects the faults, collects findings."""

import pathlib
import random
import threading
import time
from typing import NamedTuple

from forwarding import forwarding_fakes as fakes
from platform_adapter import standin_store
from platform_adapter.soak import clients as clients_lib
from platform_adapter.soak import endpoints as endpoints_lib
from platform_adapter.soak import findings
from platform_adapter.soak import gateways as gateways_lib
from platform_adapter.soak import proxy
from platform_adapter.soak import records as records_lib
from platform_adapter.soak import schedule
from verbenafall_standins.demo import plan

SERVICE = "engines"
CONFIGURATION_KIND = "config"
# Time after a restore of the store in which the operator and the endpoints
# write again what the copy lacks.
REWRITE_SECONDS = 1.5
# Time after a restore in which copied entries of endpoints that have ended
# are removed.
LAPSE_SECONDS = 3.6
# Longest time that the gateways may need to serve again after the last fault.
RECOVERY_SECONDS = 20.0

PROXY_MODES = {
    schedule.Kind.STORE_SLOW: proxy.Mode.SLOW,
    schedule.Kind.STORE_SILENT: proxy.Mode.SILENT,
    schedule.Kind.STORE_RESET: proxy.Mode.RESET,
    schedule.Kind.STORE_DEAF: proxy.Mode.DEAF,
}


class Size(NamedTuple):
    """Size of a run.

    Attributes:
        seconds: Duration of the traffic.
        deadly: Shares of requests that crash each endpoint.
        statements: Whether endpoints say in answers that they leave or pause.
    """

    gateways: int = 4
    endpoints: int = 5
    clients: int = 16
    seconds: float = 12.0
    deadly: records_lib.DeadlyShares = records_lib.NOTHING_DEADLY
    statements: bool = False


class Result(NamedTuple):
    """What a run has done and found."""

    attempts: int
    answered: int
    faults: int
    findings: list[str]


class Soak:
    """The parts of one run."""

    def __init__(self, seed: int, size: Size, directory: pathlib.Path) -> None:
        """Start the store, the endpoints and the gateways."""
        self.generator = random.Random(seed)
        self.size = size
        self.records = records_lib.Records()
        self.store = standin_store.StandinStore()
        # The proxies reset connections to it.
        self.store.server.handle_error = lambda *_args: None
        self.ports = plan.Ports()
        self.all_endpoints: list[endpoints_lib.SoakEndpoint] = []
        self.version = 0
        self.routes = 0
        self.configuration: dict[str, object] = {}
        self.injections: list[threading.Thread] = []
        self.configure()
        self.endpoints = [
            self.start_endpoint(f"e{number}")
            for number in range(size.endpoints)
        ]
        self.proxies = [
            proxy.Proxy(self.store.url) for _ in range(size.gateways)
        ]
        self.gateways = [
            gateways_lib.SoakGateway(
                f"g{number}",
                [self.ports.next_address() for _ in range(3)],
                self.proxies[number],
                directory,
                self.records,
            )
            for number in range(size.gateways)
        ]
        self.balancer = gateways_lib.Balancer(
            self.gateways, random.Random(self.generator.random())
        )

    def start_endpoint(self, name: str) -> endpoints_lib.SoakEndpoint:
        """Start an endpoint with a generator of its own."""
        endpoint = endpoints_lib.SoakEndpoint(
            name,
            SERVICE,
            self.store,
            self.records,
            random.Random(self.generator.random()),
            self.replace_crashed,
        )
        self.all_endpoints.append(endpoint)
        return endpoint

    def replace_crashed(self, endpoint: endpoints_lib.SoakEndpoint) -> None:
        """Start an endpoint again some time after a prompt crashed it."""
        thread = threading.Thread(target=self.start_again, args=(endpoint,))
        self.injections.append(thread)
        thread.start()

    def start_again(self, endpoint: endpoints_lib.SoakEndpoint) -> None:
        """Wait and start an endpoint again under its name."""
        time.sleep(endpoints_lib.CRASH_SECONDS)
        if endpoint in self.endpoints:
            number = self.endpoints.index(endpoint)
            self.endpoints[number] = self.start_endpoint(endpoint.name)

    def configure(self) -> None:
        """Write the next version of the configuration, with one more route."""
        self.version += 1 + self.version % 3
        self.routes += 1
        kinds = [
            (kind.name.lower(), kind.value, kind)
            for kind in records_lib.RequestKind
        ]
        kinds += [
            (
                f"more-{number}",
                f"/more{number}/",
                records_lib.RequestKind.LOOKUP,
            )
            for number in range(self.routes)
        ]
        routes = [
            {
                "name": name,
                "host": clients_lib.HOST,
                "path-prefix": prefix,
                "kind": wire_kind(kind),
                "timeout-ms": 4000,
                "target-latency-ms": 500,
                "itl-target-ms": 200,
                "service": SERVICE,
                "max-attempts": findings.MAX_ATTEMPTS,
                "stream-resume": kind is records_lib.RequestKind.RESUMABLE,
            }
            for name, prefix, kind in kinds
        ]
        self.configuration = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE, "max-connections": 200}],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 65536,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": [{"name": "team", "api-keys": [clients_lib.KEY]}],
        }
        self.store.put(CONFIGURATION_KIND, "main", self.configuration)

    def wait_ready(self, limit: float) -> bool:
        """Wait until the balancer's checks of all gateways succeed."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(item.misses == 0 for item in self.gateways):
                return True
            time.sleep(0.1)
        return False

    def play(self) -> Result:
        """Play the traffic and the faults; return what was found."""
        self.balancer.start()
        if not self.wait_ready(RECOVERY_SECONDS):
            self.records.add("START not all gateways became ready")
        stopped = threading.Event()
        clients = [
            clients_lib.Client(
                f"c{number}",
                self.balancer,
                self.records,
                random.Random(self.generator.random()),
                stopped,
                self.size.deadly,
            )
            for number in range(self.size.clients)
        ]
        for client in clients:
            client.thread.start()
        faults = schedule.draw_faults(
            self.generator,
            self.size.gateways,
            self.size.endpoints,
            self.size.seconds,
        )
        if self.size.statements:
            # Drawn last, so that seeds of runs without them stay the same.
            faults += schedule.draw_statements(
                self.generator, self.size.endpoints, self.size.seconds
            )
            faults.sort()
        started = time.monotonic()
        for fault in faults:
            time.sleep(max(0.0, started + fault.at - time.monotonic()))
            self.inject(fault)
        time.sleep(max(0.0, started + self.size.seconds - time.monotonic()))
        for thread in self.injections:
            thread.join()
        if not self.wait_ready(RECOVERY_SECONDS):
            self.records.add("RECOVER not all gateways became ready again")
        stopped.set()
        for client in clients:
            client.thread.join()
        self.check_recovery()
        # The records of runs are complete when no endpoint works any more.
        for endpoint in self.all_endpoints:
            fakes.wait_until(lambda endpoint=endpoint: not endpoint.open)
        attempts = self.records.attempts
        return Result(
            len(attempts),
            sum(item.status == 200 and item.complete for item in attempts),
            len(faults),
            findings.find_all(self.records, gateways_lib.GRACE_SECONDS),
        )

    def check_recovery(self) -> None:
        """Check that each gateway serves after the last fault."""
        for gateway in self.gateways:
            balancer = gateways_lib.Balancer([gateway], random.Random(0))
            client = clients_lib.Client(
                f"last-{gateway.name}",
                balancer,
                self.records,
                random.Random(self.generator.random()),
                threading.Event(),
            )
            statuses = [
                client.request(records_lib.RequestKind.LOOKUP)[0]
                for _ in range(20)
            ]
            client.drop()
            if 200 not in statuses:
                self.records.add(
                    f"RECOVER {gateway.lifetime} answers {set(statuses)}"
                )

    def inject(self, fault: schedule.Fault) -> None:
        """Start a fault on a thread of its own."""
        thread = threading.Thread(target=self.perform, args=(fault,))
        self.injections.append(thread)
        thread.start()

    def perform(self, fault: schedule.Fault) -> None:
        """Perform a fault."""
        kind = fault.kind
        if kind in schedule.GATEWAY_KINDS:
            self.disturb_gateway(fault)
        elif kind in PROXY_MODES:
            self.proxies[fault.target].mode = PROXY_MODES[kind]
            time.sleep(fault.seconds)
            self.proxies[fault.target].mode = proxy.Mode.PASS
        elif kind is schedule.Kind.HISTORY_GONE:
            self.store.oldest = self.store.revision + 1
        elif kind is schedule.Kind.STORE_RESTORED:
            self.restore_store(fault)
        elif kind is schedule.Kind.CONFIGURE:
            self.configure()
        elif kind in schedule.ENDPOINT_KINDS:
            self.disturb_endpoint(fault)
        elif kind is schedule.Kind.SAY_LEAVING:
            self.say_leaving(fault)
        else:
            paused = (
                [self.endpoints[fault.target]]
                if kind is schedule.Kind.PAUSE
                else self.endpoints
            )
            for endpoint in paused:
                endpoint.paused_until = time.monotonic() + fault.seconds

    def restore_store(self, fault: schedule.Fault) -> None:
        """Let the store go away and come back from an older copy."""
        for item in self.proxies:
            item.mode = proxy.Mode.RESET
        time.sleep(fault.seconds / 4)
        self.store.restore(1 + int(fault.seconds * 4))
        for item in self.proxies:
            item.mode = proxy.Mode.PASS
        time.sleep(REWRITE_SECONDS)
        self.store.put(CONFIGURATION_KIND, "main", self.configuration)
        for endpoint in self.all_endpoints:
            endpoint.announce_again()
        time.sleep(LAPSE_SECONDS - REWRITE_SECONDS)
        for endpoint in self.all_endpoints:
            endpoint.remove_if_gone()

    def disturb_gateway(self, fault: schedule.Fault) -> None:
        """Send signals to one gateway, or to all but one."""
        gateway = self.gateways[fault.target]
        if fault.kind is schedule.Kind.STOP:
            gateway.stop()
        elif fault.kind is schedule.Kind.STOP_MOST:
            others = [item for item in self.gateways if item is not gateway]
            threads = [threading.Thread(target=item.stop) for item in others]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        elif fault.kind is schedule.Kind.KILL:
            gateway.kill()
        elif fault.kind is schedule.Kind.FREEZE:
            gateway.freeze(fault.seconds)
        else:
            for _ in range(5):
                gateway.send(schedule.RELOAD_SIGNAL)
                time.sleep(fault.seconds / 10)

    def disturb_endpoint(self, fault: schedule.Fault) -> None:
        """Let an endpoint leave, or crash and come back."""
        endpoint = self.endpoints[fault.target]
        if endpoint.leaving.is_set():
            return
        if fault.kind is schedule.Kind.DRAIN:
            self.endpoints[fault.target] = self.start_endpoint(
                f"{endpoint.name}n"
            )
            endpoint.drain()
            return
        endpoint.end()
        time.sleep(endpoints_lib.CRASH_SECONDS)
        self.endpoints[fault.target] = self.start_endpoint(endpoint.name)

    def say_leaving(self, fault: schedule.Fault) -> None:
        """Let an endpoint say that it leaves some time before it drains."""
        endpoint = self.endpoints[fault.target]
        if endpoint.leaving.is_set() or endpoint.says_it_leaves:
            return
        endpoint.says_it_leaves = True
        self.endpoints[fault.target] = self.start_endpoint(f"{endpoint.name}s")
        time.sleep(fault.seconds)
        endpoint.drain()

    def close(self) -> None:
        """End all that was started."""
        self.balancer.stopped.set()
        for gateway in self.gateways:
            gateway.end()
        for endpoint in self.endpoints:
            endpoint.end()
        for item in self.proxies:
            item.close()
        self.store.close()
        self.ports.release()


def wire_kind(kind: records_lib.RequestKind) -> str:
    """Return the name of a kind of request in the configuration."""
    if kind.streaming:
        return "streaming"
    return "idempotent" if kind.repeatable else "non_idempotent"


def run_seed(seed: int, size: Size, directory: pathlib.Path) -> Result:
    """Play one seed; logs and settings of the gateways go to a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, size, directory)
    try:
        return soak.play()
    finally:
        soak.close()
