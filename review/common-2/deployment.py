"""Starts a small deployment on loopback addresses and ends all of it again.

The gateways are the project's own, started with the command of the deploy file
and its settings template. Store, engines and clients are stand-ins.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import store as store_lib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HEARTBEAT_S = 1.2
BOUNDS = {
    "contact_s": 3.0,
    "drain_timeout_s": 2.0,
    "grace_period_s": 8,
}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def free_port(host):
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


def free_host():
    """Return a loopback address whose metrics port is free."""
    while True:
        host = f"127.{random.randrange(64, 120)}.{random.randrange(1, 255)}.9"
        with socket.socket() as found, contextlib.suppress(OSError):
            found.bind((host, 9464))
            return host


def render(template, values):
    """Fill in the placeholders of a settings template."""

    def value(match):
        found = values
        for key in match.group(1).split("."):
            found = found[int(key) if isinstance(found, list) else key]
        return str(found)

    return re.sub(r"\{\{([\w.-]+)\}\}", value, template)


# All processes that were started, to end them also after an error.
STARTED = []


class Gateway:
    """One gateway process."""

    def __init__(self, deployment, name):
        self.name = name
        self.host = free_host()
        self.client = (self.host, free_port(self.host))
        self.ready = (self.host, free_port(self.host))
        self.settings = deployment.folder / f"{name}.ini"
        self.log = deployment.folder / f"{name}.log"
        template = (ROOT / "deploy/gateway.ini").read_text()
        self.settings.write_text(
            render(
                template,
                {
                    "node-name": name,
                    "zone": "z1",
                    "ip": self.host,
                    "internal-port-range": [free_port(self.host)],
                    "listen-addresses": {
                        "front": "{}:{}".format(*self.client),
                        "ready": "{}:{}".format(*self.ready),
                    },
                    "platform": {"address": deployment.store.address},
                    "bounds": {
                        "retry-budget-ratio": 0.2,
                        "retry-budget-extra": 90,
                        "budget-window-s": 10,
                        "grace-period-s": BOUNDS["grace_period_s"],
                    },
                },
            )
        )
        self.process = None

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["VERBENAFALL_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "target/app/launch.py", "gateway", "forward"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        STARTED.append(self.process)

    def is_ready(self):
        with contextlib.suppress(OSError):
            with socket.create_connection(self.ready, 1) as channel:
                channel.settimeout(1)
                channel.sendall(
                    b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                return channel.recv(100).startswith(b"HTTP/1.1 200")
        return False


class EngineProcess:
    """One engine process, which can be started again."""

    def __init__(self, deployment, name, settings):
        self.id = name
        self.path = deployment.folder / f"{name}.json"
        self.settings = {
            "id": name,
            "host": "127.0.0.1",
            "port": free_port("127.0.0.1"),
            "zone": "z1",
            "store": f"http://{deployment.store.address}",
            "heartbeat_s": HEARTBEAT_S,
            "drain_s": BOUNDS["drain_timeout_s"] + 0.3,
            "record": str(deployment.engine_record),
            "slots": 6,
            "queue": 24,
            **settings,
        }
        self.process = None

    def start(self, **settings):
        self.settings |= settings
        self.path.write_text(json.dumps(self.settings))
        self.process = subprocess.Popen(
            [sys.executable, "-B", str(HERE / "engine.py"), str(self.path)],
            stdin=subprocess.DEVNULL,
        )
        STARTED.append(self.process)

    def has_ended(self):
        return self.process.poll() is not None


class Deployment:
    """A store, gateways and engines; ends them on exit."""

    def __init__(self, configuration, gateways, case):
        self.case = pathlib.Path(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.engine_record = self.folder / "engines.jsonl"
        self.engine_record.touch()
        self.store = store_lib.Store(HEARTBEAT_S)
        self.store.put("config", "main", configuration)
        self.gateways = [
            Gateway(self, f"edge-{number + 1}") for number in range(gateways)
        ]
        self.engines = {}
        self.sent = []
        self.next_gateway = 0

    def add_engine(self, name, **settings):
        engine = EngineProcess(self, name, settings)
        self.engines[name] = engine
        return engine

    def start(self, limit=20):
        """Start all processes; exit with 2 if they don't become ready."""
        for engine in self.engines.values():
            engine.start()
        for gateway in self.gateways:
            gateway.start()
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(gateway.is_ready() for gateway in self.gateways):
                time.sleep(HEARTBEAT_S + 0.5)
                return
            time.sleep(0.1)
        self.finish(2, "the deployment did not become ready")

    def engine_lines(self):
        return [
            json.loads(line)
            for line in self.engine_record.read_text().splitlines()
        ]

    def pick(self):
        """Return the next gateway, in turn."""
        self.next_gateway += 1
        return self.gateways[self.next_gateway % len(self.gateways)]

    async def ask(self, gateway, method, target, headers, body=b"", tag=""):
        """Send a request on a new channel; record and return its answer."""
        request = f"{random.getrandbits(64):016x}"
        answer = {
            "what": "answer",
            "request": request,
            "tag": tag,
            "gateway": gateway.name,
            "method": method,
            "target": target,
            "sent": time.monotonic(),
            "status": 0,
            "complete": False,
            "body": "",
        }
        self.sent.append(answer)
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                *gateway.client, limit=1 << 20
            )
            lines = [f"{method} {target} HTTP/1.1", "Host: shop.example"]
            lines.append(f"Verbenafall-Attempt-Id: {request}")
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode() + body)
            await read_answer(reader, answer)
        except (OSError, EOFError, ValueError) as error:
            answer["error"] = repr(error)
        finally:
            answer["ended"] = time.monotonic()
            if writer is not None:
                writer.close()
        return answer

    def finish(self, code, text, failures=()):
        """End all processes, write the record and exit."""
        for item in (*self.gateways, *self.engines.values()):
            if item.process is not None and item.process.poll() is None:
                item.process.kill()
            if item.process is not None:
                item.process.wait()
        lines = [text, *failures, ""]
        lines += [
            json.dumps({**item, "body": item["body"][-200:]})
            for item in self.sent
        ]
        lines += [json.dumps(line) for line in self.engine_lines()]
        lines += [
            json.dumps(
                {
                    "at": at,
                    "what": "store",
                    "kind": kind,
                    "name": name,
                    "removed": removed,
                }
            )
            for at, kind, name, removed in self.store.changes
        ]
        (self.case / "record.txt").write_text("\n".join(lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        print("\n".join([text, *failures[:10]]))
        sys.stdout.flush()
        os._exit(code)


async def read_answer(reader, answer):
    """Read an answer into its record; `complete` only if it is whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    answer["status"] = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    answer["headers"] = headers
    answer["head_at"] = time.monotonic()
    data = bytearray()
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                line = (await reader.readuntil(b"\r\n")).strip()
                if not re.fullmatch(rb"[0-9a-fA-F]+", line):
                    answer["stray"] = line[:80].decode("latin-1")
                size = int(line, 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    break
                data += await reader.readexactly(size)
                await reader.readexactly(2)
        else:
            data += await reader.readexactly(int(headers["content-length"]))
        answer["complete"] = True
    finally:
        answer["body"] = data.decode("latin-1")


def route(name, prefix, kind, service, **fields):
    """Return a route of the configuration."""
    found = {
        "name": name,
        "host": "shop.example",
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 8000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
    }
    return found | fields


def configuration(routes, services, tenants):
    """Return a configuration as the operator writes it."""
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 100,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": LIMITS,
        "tenants": tenants,
    }
