"""Stand-ins of the platform, engines and clients; standard library only."""

import collections
import contextlib
from http import server
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "desk.example"
KEY = "k-review"
TENANT = "hule930"
# The bounds of the users' small installations.
GRACE_SECONDS = 8
DRAIN_SECONDS = 2.0
HEARTBEAT_SECONDS = 1.2
# Silence after which a client looks whether its answer is whole.
QUIET_SECONDS = 0.2
# Below the ports that the system gives to outgoing channels.
FIRST_PORT, LAST_PORT = 20000, 30000


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Collects what was sent, answered and run; thread-safe."""

    def __init__(self):
        self.lock = threading.Lock()
        self.lines = []

    def add(self, who, what, **fields):
        with self.lock:
            self.lines.append((time.time(), who, what, fields))

    def find(self, who, what):
        with self.lock:
            return [
                item[3] | {"at": item[0]}
                for item in self.lines
                if item[1] == who and item[2] == what
            ]

    def write(self, path, first_lines=()):
        with self.lock:
            lines = sorted(self.lines, key=lambda item: item[0])
        start = lines[0][0] if lines else 0.0
        with open(path, "w", encoding="utf-8") as out:
            for line in first_lines:
                out.write(line + "\n")
            for at, who, what, fields in lines:
                text = " ".join(f"{k}={v}" for k, v in fields.items())
                out.write(f"{at - start:8.3f} {who} {what} {text}\n")


class Store:
    """The platform's store: objects by kind and name, watches, one counter."""

    def __init__(self):
        self.condition = threading.Condition()
        self.revision = 10
        self.objects = {}
        self.log = []
        store = self

        class Handler(server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or "null")
                status, content = store.call(self.command, self.path, body)
                data = json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = handle_call

            def log_message(self, *args):
                del args

        class Server(server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *args):
                del args

        self.server = Server((LOOPBACK, 0), Handler)
        self.address = f"{LOOPBACK}:{self.server.server_address[1]}"
        threading.Thread(
            target=self.server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def put(self, kind, name, spec):
        with self.condition:
            known = self.objects.get(kind, {}).get(name)
            if known is not None and known["spec"] == spec:
                return known
            return self.change(kind, name, spec)

    def remove(self, kind, name):
        with self.condition:
            if name in self.objects.get(kind, {}):
                self.revision += 1
                found = self.objects[kind].pop(name)
                gone = found | {
                    "metadata": found["metadata"] | {"revision": self.revision}
                }
                self.log.append((self.revision, kind, gone, True))
                self.condition.notify_all()

    def change(self, kind, name, spec):
        self.revision += 1
        known = self.objects.get(kind, {}).get(name)
        created = known["metadata"]["created"] if known else self.revision
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deletion-pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self.log.append((self.revision, kind, stored, False))
        self.condition.notify_all()
        return stored

    def call(self, method, path, body):
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        segments = [
            urllib.parse.unquote(item) for item in parts.path.split("/")[3:]
        ]
        with self.condition:
            if method == "GET" and len(segments) == 1:
                return self.read_kind(segments[0], query)
            if method == "POST" and len(segments) == 1:
                name = body["metadata"]["name"]
                found = self.objects.get(segments[0], {}).get(name)
                if found is not None:
                    return 409, found
                return 200, self.change(segments[0], name, body["spec"])
            return self.handle_object(method, segments, body, query)

    def read_kind(self, kind, query):
        if "watch" in query:
            since = int(query["watch"])
            if since > self.revision:
                return 410, {}
            self.condition.wait_for(
                lambda: self.events(kind, since),
                int(query.get("wait-ms", 0)) / 1000,
            )
            events = self.events(kind, since)
            return 200, {"events": events, "as-of": self.revision}
        names = sorted(self.objects.get(kind, {}))
        names = [name for name in names if name > query.get("after", "")]
        return 200, {
            "items": [self.objects[kind][name] for name in names[:500]],
            "has-more": len(names) > 500,
            "as-of": self.revision,
        }

    def events(self, kind, since):
        return [
            {"object": stored, "removed": removed}
            for revision, changed, stored, removed in self.log
            if changed == kind and revision > since
        ]

    def handle_object(self, method, segments, body, query):
        kind, name = segments[:2]
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return 404, {}
        if method == "GET":
            return 200, found
        expected = (
            (body or {}).get("metadata", {}).get("revision")
            if method == "PUT"
            else query.get("revision")
        )
        if expected and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if found["spec"] == body["spec"]:
            return 200, found
        return 200, self.change(kind, name, body["spec"])


def free_ports(count):
    """Return free ports of the loopback interface."""
    ports = []
    while len(ports) < count:
        port = random.randint(FIRST_PORT, LAST_PORT)
        with contextlib.suppress(OSError):
            socket.create_server((LOOPBACK, port)).close()
            ports.append(port)
    return ports


def render(template, values):
    """Fill in a template of the deploy folder."""
    return re.sub(r"\{\{([^}]+)\}\}", lambda m: str(values[m[1]]), template)


class Program:
    """A process of the system, started as the deploy file says."""

    command = ()

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["VERBENAFALL_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "target/app/launch.py", *self.command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Sidecar(Program):
    """One sidecar process."""

    command = ("sidecar", "steer")

    def __init__(self, name, store_address, folder, host, ports):
        template = (ROOT / "deploy" / "sidecar.ini").read_text()
        template = template.replace("{{ip}}:9464", "{{metrics}}")
        self.settings = folder / f"{name}.ini"
        self.settings.write_text(
            render(
                template,
                {
                    "node-name": name,
                    "zone": "cba-norte",
                    "service": "asistente-llm",
                    "app": f"{host}:{ports[0]}",
                    "ip": host,
                    "internal-port-range.0": ports[1],
                    "metrics": f"{host}:{ports[2]}",
                    "platform.address": store_address,
                    "bounds.grace-period-s": GRACE_SECONDS,
                    "limits.link-mbps": 10.0,
                },
            )
        )
        self.log = folder / f"{name}.log"
        self.start()


class Gateway(Program):
    """One gateway process."""

    command = ("gateway", "forward")

    def __init__(self, name, store_address, folder):
        ports = free_ports(4)
        self.name = name
        self.front = (LOOPBACK, ports[0])
        self.ready = (LOOPBACK, ports[1])
        template = (ROOT / "deploy" / "gateway.ini").read_text()
        # Gateways of one machine cannot share the metrics port.
        template = template.replace("{{ip}}:9464", "{{metrics}}")
        self.settings = folder / f"{name}.ini"
        self.settings.write_text(
            render(
                template,
                {
                    "node-name": name,
                    "zone": "cba-norte",
                    "listen-addresses.front": f"{LOOPBACK}:{ports[0]}",
                    "listen-addresses.ready": f"{LOOPBACK}:{ports[1]}",
                    "ip": LOOPBACK,
                    "internal-port-range.0": ports[2],
                    "metrics": f"{LOOPBACK}:{ports[3]}",
                    "platform.address": store_address,
                    "bounds.retry-budget-ratio": 0.2,
                    "bounds.retry-budget-extra": 90,
                    "bounds.budget-window-s": 10,
                    "bounds.grace-period-s": GRACE_SECONDS,
                },
            )
        )
        self.log = folder / f"{name}.log"
        self.start()

    def is_ready(self):
        with contextlib.suppress(OSError, ValueError, IndexError):
            with socket.create_connection(self.ready, 1) as channel:
                channel.settimeout(1)
                channel.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return channel.recv(1000).split(b" ")[1] == b"200"
        return False

    def wait_until_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end and self.process.poll() is None:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False


class Engine:
    """One engine process with its entry in the store."""

    def __init__(self, store, record, folder, name, service, slots=6, **options):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.options = options
        self.folder = folder
        self.starts = 0
        self.weights = 1
        self.address = None
        self.start()

    def start(self):
        """Start the process; the entry is written by announce()."""
        self.starts += 1
        self.born = time.time_ns() // 1_000_000
        self.process = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).with_name("engine.py")),
                json.dumps(
                    {"name": self.name, "port": self.port(), **self.options}
                ),
            ],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.address = self.process.stdout.readline().strip()
        threading.Thread(
            target=self.read, args=(self.process,), daemon=True
        ).start()

    def port(self):
        return int(self.address.rpartition(":")[2]) if self.address else 0

    def read(self, process):
        for line in process.stdout:
            fields = json.loads(line)
            self.record.add(self.name, fields.pop("what"), **fields)

    def load_weights(self):
        """Take the next version of the weights into use, and say so."""
        self.weights += 1
        self.process.send_signal(signal.SIGUSR1)
        self.announce()

    def announce(self, state="ready", address=None):
        self.record.add(self.name, "entry", state=state, weights=self.weights)
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": address or self.address,
                "zone": "cba-norte",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold-remaining-ms": 0,
                "stage": "prefill_decode",
                "models": [
                    {"name": "m", "version": self.weights, "adapters": []}
                ],
                "born": self.born,
                "sequence": 1,
            },
        )

    def drain(self, seconds):
        """Leave as planned: say so, serve on, then exit."""
        self.announce("draining")
        time.sleep(seconds)
        self.process.send_signal(signal.SIGTERM)
        self.process.wait()
        self.record.add(self.name, "exit")
        self.store.remove("servers", self.name)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Resets:
    """The resets that are still to come.

    Attributes:
        after: Bytes of an answer after which its channel is reset; None for
            never. Cleared by the reset, so that there is one.
    """

    def __init__(self):
        self.after = None
        self.lock = threading.Lock()

    def take(self, passed):
        """Return whether a channel is to be reset now."""
        with self.lock:
            if self.after is None or passed < self.after:
                return False
            self.after = None
            return True


class Proxy:
    """Forwards channels to an engine; may reset one inside its answer."""

    def __init__(self, record, target, resets):
        self.record = record
        self.target = target
        self.resets = resets
        self.listener = socket.create_server((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self.serve, args=(channel,), daemon=True
            ).start()

    def serve(self, channel):
        host, _, port = self.target.rpartition(":")
        try:
            engine = socket.create_connection((host, int(port)), 2)
        except OSError:
            reset(channel)
            return
        engine.settimeout(None)
        passed = [0]
        threading.Thread(
            target=self.copy_requests,
            args=(channel, engine, passed),
            daemon=True,
        ).start()
        with contextlib.suppress(OSError):
            while data := engine.recv(65536):
                channel.sendall(data)
                passed[0] += len(data)
                if self.resets.take(passed[0]):
                    # The bytes that were sent arrive before the reset.
                    time.sleep(0.2)
                    self.record.add("network", "reset", answer_bytes=passed[0])
                    reset(channel)
                    reset(engine)
                    return
            channel.shutdown(socket.SHUT_WR)

    def copy_requests(self, channel, engine, passed):
        with contextlib.suppress(OSError):
            while data := channel.recv(65536):
                # A channel carries one answer after the other.
                passed[0] = 0
                engine.sendall(data)
            engine.shutdown(socket.SHUT_WR)


def reset(channel):
    """Reset a channel."""
    with contextlib.suppress(OSError):
        channel.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        channel.shutdown(socket.SHUT_RD)
    channel.close()


Answer = collections.namedtuple(
    "Answer", "status headers body complete fault raw"
)


def send_request(
    gateway,
    method,
    path,
    attempt,
    extra=(),
    body=b"",
    limit=10.0,
    patience=None,
):
    """Send one request on a new channel; return what came back.

    With `patience`, the client leaves after so many seconds without a byte.

    `complete` says that the answer is whole by its own framing; `fault` says
    what bytes were no HTTP, empty if there were none.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Verbenafall-Attempt-Id: {attempt}",
        f"Verbenafall-Deadline-Ms: {int(limit * 1000)}",
        f"Verbenafall-Key: {KEY}",
        *extra,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    raw = bytearray()
    end = time.monotonic() + limit + 1.0
    leave_at = end if patience is None else time.monotonic() + patience
    with contextlib.suppress(OSError):
        with socket.create_connection(gateway.front, 1) as channel:
            channel.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            channel.settimeout(QUIET_SECONDS)
            while time.monotonic() < min(end, leave_at):
                try:
                    data = channel.recv(65536)
                except TimeoutError:
                    # Anything behind an answer would have come by now.
                    answer = parse_answer(bytes(raw))
                    if answer.complete or answer.fault:
                        break
                    continue
                if not data:
                    break
                raw += data
                if patience is not None:
                    leave_at = time.monotonic() + patience
    return parse_answer(bytes(raw))


def parse_answer(raw):
    """Parse the bytes of an answer strictly by RFC 9112."""
    head, separator, rest = raw.partition(b"\r\n\r\n")
    if not separator:
        return Answer(0, {}, b"", False, "", raw)
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body, complete, fault = parse_chunks(rest)
        return Answer(status, headers, body, complete, fault, raw)
    length = int(headers.get("content-length", "0"))
    fault = "bytes behind the answer" if len(rest) > length else ""
    return Answer(
        status, headers, rest[:length], len(rest) >= length, fault, raw
    )


def parse_chunks(rest):
    body = bytearray()
    while True:
        line, separator, after = rest.partition(b"\r\n")
        if not separator:
            bad = not re.fullmatch(rb"[0-9a-fA-F]*\r?", line)
            return bytes(body), False, f"chunk size {line[:60]!r}" if bad else ""
        if not re.fullmatch(rb"[0-9a-fA-F]+", line):
            return bytes(body), False, f"chunk size {line[:60]!r}"
        size = int(line, 16)
        if size == 0:
            whole = after.startswith(b"\r\n")
            fault = "bytes behind the answer" if len(after) > 2 else ""
            return bytes(body), whole, fault
        body += after[:size]
        if len(after) < size + 2:
            return bytes(body), False, ""
        if after[size : size + 2] != b"\r\n":
            return bytes(body), False, "no end of a chunk"
        rest = after[size + 2 :]


def route(name, kind, service, timeout_ms=8000, attempts=2, **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": attempts,
        "public": False,
        "sticky-sessions": False,
        **more,
    }


def configuration(routes, services, version=7):
    """Return a configuration with one tenant."""
    return {
        "version": version,
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
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TENANT, "priority": 1, "api-keys": [KEY]}],
    }


class Deployment:
    """A store, gateways and engines; ends all that it started."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.record = Record()
        self.store = Store()
        self.gateways = []
        self.engines = []
        self.processes = []

    def add_engine(self, name, service, **options):
        engine = Engine(
            self.store, self.record, self.folder, name, service, **options
        )
        self.engines.append(engine)
        return engine

    def add_gateways(self, count):
        for _ in range(count):
            name = f"g{len(self.gateways)}"
            self.gateways.append(
                Gateway(name, self.store.address, self.folder)
            )
        for number, item in enumerate(self.gateways):
            if not item.wait_until_ready() and item.process.poll() is not None:
                # Another program has taken one of its ports.
                self.gateways[number] = Gateway(
                    item.name, self.store.address, self.folder
                )
        return all([item.wait_until_ready() for item in self.gateways])

    def close(self):
        for item in [*self.gateways, *self.engines, *self.processes]:
            item.end()
        self.store.close()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()


def run_case(folder, play):
    """Play a case, write its record and return its exit code.

    Args:
        folder: Folder of the case.
        play: Gets a Deployment; returns the breaches found, or None if the
            case could not run.
    """
    deployment = Deployment()
    breaches = None
    try:
        breaches = play(deployment)
    except Exception as error:
        deployment.record.add("case", "failed", error=repr(error))
    finally:
        lines = [f"trouble: {int(trouble())}"]
        lines += [f"breach: {item}" for item in breaches or ()]
        if breaches is None:
            lines.append("the case could not run")
            for item in deployment.gateways:
                sys.stderr.write(item.log.read_text()[-2000:])
        deployment.record.write(folder / "record.txt", lines)
        deployment.close()
    for line in lines:
        print(line)
    return 2 if breaches is None else int(bool(breaches))
