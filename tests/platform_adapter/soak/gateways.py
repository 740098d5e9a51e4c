"""Gateway processes of the soak, and the balancer in front of them."""

import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time

from forwarding import forwarding_fakes as fakes
from platform_adapter.soak import proxy
from platform_adapter.soak import records as records_lib
from verbenafall_core import addresses

ROOT = pathlib.Path(__file__).parents[3]
PYTHON_PATH = os.pathsep.join(
    str(ROOT / folder)
    for folder in (
        "packages/core/src",
        "packages/gateway/src",
        "packages/sidecar/src",
        "platform",
    )
)
# Time from SIGTERM to SIGKILL. The gateways' own limit is the same.
GRACE_SECONDS = 5.0
CHECK_SECONDS = 1.0
MISSES = 2

SETTINGS = """\
[instance]
name = {name}
data_centre = z1

[listen]
client = {client}
readiness = {readiness}
links = {links}

[platform]
object_store = {store}
adapter = verbenafall_platform.gateway

[repeats]
ratio = 0.2
extra = 90
window = 10 s

[limits]
stop_limit = {stop_limit} s
"""


class SoakGateway:
    """One gateway, which is started again after it has ended.

    Attributes:
        lifetime: Name of the current process in the records.
        misses: Failed readiness checks in a row.
        ready_lifetime: Name of the last process that was ready.
    """

    def __init__(
        self,
        name: str,
        ports: list[addresses.Address],
        store_proxy: proxy.Proxy,
        directory: pathlib.Path,
        records: records_lib.Records,
    ) -> None:
        """Write the settings and start the process."""
        self.name = name
        self.client, self.readiness, links = ports
        self.store_proxy = store_proxy
        self.records = records
        self.settings = directory / f"{name}.ini"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                client=self.client,
                readiness=self.readiness,
                links=links,
                store=store_proxy.url,
                stop_limit=GRACE_SECONDS,
            )
        )
        self.log = directory / f"{name}.log"
        self.lock = threading.Lock()
        self.starts = 0
        self.misses = MISSES
        self.ready_lifetime = ""
        self.process = self.start()

    @property
    def lifetime(self) -> str:
        """Return the name of the current process."""
        return f"{self.name}#{self.starts}"

    def start(self) -> subprocess.Popen[bytes]:
        """Start a process."""
        self.starts += 1
        with self.log.open("ab") as log:
            return subprocess.Popen(
                [
                    sys.executable,
                    str(ROOT / "platform" / "launch.py"),
                    "gateway",
                    "forward",
                ],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": PYTHON_PATH,
                    "VERBENAFALL_NODE_FILE": str(self.settings),
                },
                cwd=self.settings.parent,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self, restart: bool = True) -> None:
        """Stop as planned; kill what is still running after the grace time."""
        with self.lock:
            name = self.lifetime
            self.records.add_stop(name, time.monotonic())
            self.send(signal.SIGTERM)
            try:
                code = self.process.wait(GRACE_SECONDS)
            except subprocess.TimeoutExpired:
                now = time.monotonic()
                if not self.was_frozen(name):
                    self.records.add(f"STOP {name} runs after its grace time")
                self.records.add(records_lib.Disturbance(name, now, now))
                self.process.kill()
                code = self.process.wait()
            # A process that is still starting has no handler for SIGTERM yet.
            allowed = {0, -signal.SIGKILL}
            if self.ready_lifetime != name:
                allowed.add(-signal.SIGTERM)
            if code not in allowed:
                self.records.add(f"STOP {name} has exit code {code}")
            if restart:
                self.process = self.start()

    def restart_if_ended(self) -> None:
        """Start the process again if it has ended by itself."""
        if not self.lock.acquire(blocking=False):
            return
        try:
            code = self.process.poll()
            if code is None:
                return
            # A signal may come before the process can handle any.
            if self.ready_lifetime == self.lifetime:
                self.records.add(f"EXIT {self.lifetime} has exit code {code}")
            self.process = self.start()
        finally:
            self.lock.release()

    def kill(self) -> None:
        """Kill the process and start it again."""
        with self.lock:
            now = time.monotonic()
            self.records.add(
                records_lib.Disturbance(self.lifetime, now, float("inf"))
            )
            self.process.kill()
            self.process.wait()
            self.process = self.start()

    def freeze(self, seconds: float) -> None:
        """Stop the process with SIGSTOP for a while."""
        name, process = self.lifetime, self.process
        start = time.monotonic()
        # Recorded first, so that a request cannot fail before it.
        self.records.add(
            records_lib.Disturbance(name, start, start + seconds + 1.0)
        )
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            time.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    def was_frozen(self, name: str) -> bool:
        """Return whether a lifetime was frozen during its last seconds."""
        now = time.monotonic()
        return any(
            item.gateway == name and item.end + GRACE_SECONDS >= now
            for item in list(self.records.disturbances)
        )

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        lifetime = self.lifetime
        with contextlib.suppress(OSError, ValueError, IndexError):
            address = (self.readiness.host, self.readiness.port)
            with socket.create_connection(address, CHECK_SECONDS) as client:
                client.settimeout(CHECK_SECONDS)
                client.sendall(
                    b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                if fakes.read_answer(client).status == 200:
                    self.ready_lifetime = lifetime
                    return True
        return False

    def end(self) -> None:
        """End the process, whatever its state."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Balancer:
    """Chooses gateways for new connections as the platform does."""

    def __init__(
        self, gateways: list[SoakGateway], generator: random.Random
    ) -> None:
        """Create a balancer that does not check yet."""
        self.gateways = gateways
        self.generator = generator
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.check, args=(gateway,), daemon=True)
            for gateway in gateways
        ]

    def start(self) -> None:
        """Start to check the gateways."""
        for thread in self.threads:
            thread.start()

    def check(self, gateway: SoakGateway) -> None:
        """Check one gateway until the balancer is stopped."""
        while not self.stopped.is_set():
            gateway.restart_if_ended()
            gateway.misses = 0 if gateway.is_ready() else gateway.misses + 1
            self.stopped.wait(CHECK_SECONDS)

    def choose(self) -> SoakGateway:
        """Return a gateway; any one if fewer than half of them are ready."""
        ready = [item for item in self.gateways if item.misses < MISSES]
        if 2 * len(ready) < len(self.gateways):
            ready = self.gateways
        with self.lock:
            return self.generator.choice(ready)
