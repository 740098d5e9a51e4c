"""A small deployment: the store, the configuration and gateway processes."""

import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
from typing import Any

from common import engine as engine_lib
from common import store as store_lib
from common import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
LAUNCHER = ["python3", "target/app/launch.py"]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
GRACE_SECONDS = 8.0
BOUNDS = {
    "retry-budget-ratio": 0.2,
    "retry-budget-extra": 90,
    "budget-window-s": 10,
    "grace-period-s": 8,
}
START_SECONDS = 20.0
# Fixed in the template of the settings.
METRICS_PORT = 9464


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt; thread-safe."""

    def __init__(self, path: pathlib.Path) -> None:
        """Create an empty record."""
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = path.open("w")

    def add(self, text: str) -> None:
        """Write a line with the time since the start."""
        with self.lock:
            now = time.monotonic() - self.started
            self.file.write(f"{now:8.3f} {text}\n")
            self.file.flush()


def free_host() -> str:
    """Return a random loopback address whose fixed port is free."""
    for _ in range(100):
        host = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.1"
        with contextlib.suppress(OSError):
            socket.create_server((host, METRICS_PORT)).close()
            return host
    raise CannotRunError("no loopback address is free")


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [int(item.getsockname()[1]) for item in sockets]
    for item in sockets:
        item.close()
    return ports


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Fill the placeholders of a settings template."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for word in match.group(1).split("."):
            found = found[int(word)] if word.isdigit() else found[word]
        return str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Process:
    """A program, started as the deploy file says.

    Attributes:
        name: Name of its machine.
        host: Loopback address of its machine.
    """

    def __init__(
        self,
        program: tuple[str, str],
        name: str,
        host: str,
        folder: pathlib.Path,
        record: Record,
    ) -> None:
        """Create a program that is not started."""
        self.program = program
        self.name = name
        self.host = host
        self.record = record
        self.settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, template: str, fields: dict[str, Any]) -> None:
        """Fill in a template of the deploy file."""
        text = (ROOT / "deploy" / template).read_text()
        common = {
            "node-name": self.name,
            "zone": "cba-norte",
            "ip": self.host,
            "bounds": BOUNDS,
        }
        self.settings.write_text(fill_template(text, {**common, **fields}))

    def launch(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*LAUNCHER, *self.program],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "VERBENAFALL_NODE_FILE": str(self.settings),
                },
            )
        self.record.add(f"{self.name} starts, pid {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process, whatever its state."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Gateway(Process):
    """A gateway process.

    Attributes:
        front: Address for clients.
    """

    def __init__(
        self, name: str, store: str, folder: pathlib.Path, record: Record
    ) -> None:
        """Write the settings; the process is not started."""
        # Each machine has an address of its own, as some ports are fixed.
        super().__init__(
            ("gateway", "forward"), name, free_host(), folder, record
        )
        front, ready, links = free_ports(self.host, 3)
        self.front = (self.host, front)
        self.ready = (self.host, ready)
        self.write_settings(
            "gateway.ini",
            {
                "internal-port-range": [links, links],
                "listen-addresses": {
                    "front": f"{self.host}:{front}",
                    "ready": f"{self.host}:{ready}",
                },
                "platform": {"address": store},
            },
        )

    def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.launch()
        end = time.monotonic() + START_SECONDS
        while not self.is_ready():
            ended = self.process is None or self.process.poll() is not None
            if time.monotonic() > end or ended:
                raise CannotRunError(f"{self.name} does not become ready")
            time.sleep(0.05)
        self.record.add(f"{self.name} is ready")

    def is_ready(self) -> bool:
        """Return whether the readiness call is answered with 200."""
        with contextlib.suppress(OSError, ValueError):
            sock = socket.create_connection(self.ready, 1)
            with sock:
                sock.settimeout(1)
                sock.sendall(
                    wire.head("GET /api/readiness HTTP/1.1", {"Host": "x"})
                )
                answer = wire.Connection(sock).read()
                return answer is not None and answer.status == 200
        return False


class Sidecar(Process):
    """The sidecar of an engine, on the engine's machine."""

    def __init__(
        self,
        engine: engine_lib.Engine,
        links: int,
        folder: pathlib.Path,
        record: Record,
    ) -> None:
        """Write the settings; the process is not started.

        Args:
            engine: The engine.
            links: Port for links, the same on all machines.
            folder: Where settings and log are written.
            record: Receives what happens.
        """
        host = engine.address[0]
        name = engine.name.replace("i-", "side-")
        super().__init__(("sidecar", "steer"), name, host, folder, record)
        self.write_settings(
            "sidecar.ini",
            {
                "service": engine.service,
                "app": f"{host}:{engine.address[1]}",
                "internal-port-range": [links, links],
                "platform": {"address": engine.store.url},
                "limits": {"link-mbps": 10.0},
            },
        )


class Deployment:
    """The store and some gateways in a temporary folder."""

    def __init__(self, gateways: int, record: Record) -> None:
        """Start the store; nothing is configured yet."""
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.record = record
        self.store = store_lib.Store()
        self.path = pathlib.Path(self.folder.name)
        self.gateways = [
            Gateway(f"edge-{number}", self.store.url, self.path, record)
            for number in range(gateways)
        ]
        self.sidecars: list[Sidecar] = []

    def configure(
        self, version: int, routes: list[dict[str, Any]], **engine: Any
    ) -> None:
        """Write a version of the configuration, as the operator does.

        Args:
            version: Its number.
            routes: Its routes.
            engine: What the services say of their engines.
        """
        services = sorted({route["service"] for route in routes})
        spec = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health-path": "/health",
                    "max-connections": 100,
                    "protocol": "h1",
                    "tls": False,
                    **({"engine": engine} if engine else {}),
                }
                for name in services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": [{"name": TENANT, "api-keys": [KEY]}],
        }
        self.store.put("config", "main", spec)
        self.record.add(f"configuration {json.dumps(spec)}")

    def start(self) -> None:
        """Start all gateways."""
        for gateway in self.gateways:
            gateway.start()

    def start_sidecars(self, engines: list[engine_lib.Engine]) -> None:
        """Start a sidecar beside each engine."""
        links = free_ports(engines[0].address[0], 1)[0]
        for engine in engines:
            sidecar = Sidecar(engine, links, self.path, self.record)
            self.sidecars.append(sidecar)
            sidecar.launch()

    def close(self) -> None:
        """End all processes and the store."""
        for process in (*self.gateways, *self.sidecars):
            process.end()
        self.store.close()
        self.folder.cleanup()


def route(
    name: str, kind: str, service: str, timeout_ms: int, **more: Any
) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": min(500, timeout_ms),
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "public": False,
        **more,
    }
