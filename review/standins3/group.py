"""A stand-in of a rank group: engines that run passes together.

Each engine serves requests and its own interface at an address of its own.
Its orders follow PROTOCOL.md: fences, epochs, prepare, retention, go, arm and
disarm of a version.
"""

import contextlib
from http import server
import json
import random
import threading
import time

PASS_SECONDS = 0.07
COPY_SECONDS = 0.2
COUNTS_PER_PASS = 120
HOT_SHARE = 0.45


class Rank:
    """State of one rank; the group's lock guards it."""

    def __init__(self, group, number):
        self.group = group
        self.number = number
        self.fence = 0
        self.sequence = 0
        self.map_version = 0
        self.map = None
        self.highest = 0
        self.prepared = None
        self.copying = None
        self.armed = None
        self.held = None
        self.counts = [[0] * group.experts for _ in range(group.sets)]

    def order(self, body):
        """Take an order; return the status of the answer."""
        token = body.get("fencing-token", 0)
        if token < self.fence:
            return 412
        self.fence = token
        if body.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        handlers = {
            "prepare": self.prepare,
            "retention": self.retention,
            "go": self.go,
            "arm": self.arm,
            "disarm": self.disarm,
        }
        handler = handlers.get(body.get("operation"))
        if handler is None:
            return 400
        status = handler(body)
        self.sequence += status == 202
        return status

    def prepare(self, body):
        version = body["version"]
        if self.prepared is not None and self.prepared[0] == version:
            return 200
        if self.copying is not None and self.copying[0] == version:
            return 200
        if self.armed is not None or version <= self.highest:
            return 409
        self.highest = version
        done_at = time.monotonic() + COPY_SECONDS
        self.copying = (version, body["expert-map"], done_at)
        return 202

    def retention(self, body):
        if self.held is not None:
            return 200 if self.held == body["step"] else 409
        if body["step"] <= self.group.step:
            return 409
        self.held = body["step"]
        return 202

    def go(self, body):
        if self.held != body["step"]:
            return 200
        self.held = None
        return 202

    def arm(self, body):
        target = (body["version"], body["step"])
        if self.armed is not None:
            return 200 if self.armed == target else 409
        if self.map_version == body["version"]:
            return 200
        if (
            self.prepared is None
            or self.prepared[0] != body["version"]
            or body["step"] <= self.group.step
        ):
            return 409
        self.armed = target
        return 202

    def disarm(self, body):
        if self.map_version == body["version"]:
            return 409
        if self.armed is not None and self.armed[0] == body["version"]:
            self.armed = None
            return 202
        return 200

    def finish_copy(self):
        if self.copying is not None and time.monotonic() >= self.copying[2]:
            self.prepared, self.copying = self.copying[:2], None

    def begin_pass(self, step):
        if self.armed is not None and self.armed[1] == step:
            self.map_version, self.map = self.prepared
            self.armed = None

    def experts(self):
        """Return this rank's experts by set."""
        if self.map is None:
            return [
                [
                    expert
                    for expert in range(self.group.experts)
                    if expert % self.group.size == self.number
                ]
                for _ in range(self.group.sets)
            ]
        return [by_rank[self.number] for by_rank in self.map]

    def report(self):
        return {
            "group": {
                "name": "g0",
                "epoch": self.group.epoch,
                "rank": self.number,
                "state": "open",
            },
            "size": self.group.size,
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.copying is not None,
            "sequence": self.sequence,
            "queued-requests": 0,
            "active-requests": 0,
            "kv-cache-used": 0,
            "kv-cache-total": 140000,
            "handles": 0,
            "born": self.group.born,
            "step": self.group.step,
            "expert-map": self.map_version,
            "prepared": {"version": self.prepared[0], "experts": []}
            if self.prepared
            else None,
            "armed": {"version": self.armed[0], "step": self.armed[1]}
            if self.armed
            else None,
            "held": self.held,
            "pace": 1.0,
        }


class Group:
    """All ranks of a group.

    Attributes:
        on_order: Called with a rank's number, an order and its status.
        answer_seconds: How long an engine takes to answer an order.
    """

    def __init__(self, size, sets, experts, answer_seconds, generator):
        self.size = size
        self.sets = sets
        self.experts = experts
        self.answer_seconds = answer_seconds
        self.generator = generator
        self.born = time.time_ns() // 1_000_000
        self.epoch = 1
        self.step = 0
        self.passes = threading.Condition()
        self.on_order = lambda *_args: None
        self.over = False
        self.hot = [0] * sets
        self.ranks = [Rank(self, number) for number in range(size)]
        threading.Thread(target=self.run, daemon=True).start()

    def change_demand(self):
        """Let requests choose other experts most."""
        self.hot = [
            self.generator.randrange(self.experts) for _ in range(self.sets)
        ]

    def run(self):
        while not self.over:
            time.sleep(PASS_SECONDS)
            with self.passes:
                for rank in self.ranks:
                    rank.finish_copy()
                step = self.step + 1
                if any(rank.held == step for rank in self.ranks):
                    continue
                self.step = step
                for rank in self.ranks:
                    rank.begin_pass(step)
                    self.choose_experts(rank)
                self.passes.notify_all()

    def choose_experts(self, rank):
        for number, hot in enumerate(self.hot):
            for _ in range(COUNTS_PER_PASS):
                expert = (
                    hot
                    if self.generator.random() < HOT_SHARE
                    else self.generator.randrange(self.experts)
                )
                rank.counts[number][expert] += 1

    def wait_for_pass(self, after, limit):
        """Wait for a pass after a step; return the step or None."""
        with self.passes:
            self.passes.wait_for(lambda: self.step > after, limit)
            return self.step if self.step > after else None


class EngineServer:
    """The HTTP side of one rank; streams bring one event a pass."""

    def __init__(self, group, rank, name, host, port, events, record):
        engine = self
        self.group, self.rank, self.name = group, rank, name
        self.events, self.record = events, record

        class Handler(server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                if self.path.startswith("/api/"):
                    status, content = engine.call(self.path, body)
                    data = json.dumps(content).encode()
                    self.wfile.write(
                        f"HTTP/1.1 {status} X\r\nContent-Type:"
                        " application/json\r\nContent-Length:"
                        f" {len(data)}\r\n\r\n".encode()
                        + data
                    )
                    return
                with contextlib.suppress(OSError):
                    engine.stream(self)

            do_GET = do_POST = handle_call

            def log_message(self, *args):
                del args

        class Server(server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *args):
                del args

        self.server = Server((host, port), Handler)
        threading.Thread(
            target=self.server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def call(self, path, body):
        if path.startswith("/api/order"):
            order = json.loads(body)
            with self.group.passes:
                status = self.rank.order(order)
            self.group.on_order(self.rank.number, order, status)
            time.sleep(self.group.answer_seconds)
            return status, {}
        with self.group.passes:
            if path.startswith("/api/report"):
                return 200, self.rank.report()
            if "lists" in path:
                return 200, {
                    "expert-map": self.rank.experts(),
                    "prepared": None,
                }
            return 200, {
                "step": self.group.step,
                "epoch": self.group.epoch,
                "counts": self.rank.counts,
            }

    def stream(self, handler):
        attempt = handler.headers.get("Verbenafall-Attempt-Id", "")
        expected = handler.headers.get("Verbenafall-Expect-Instance")
        if expected not in (None, self.name):
            handler.wfile.write(
                f"HTTP/1.1 421 X\r\nVerbenafall-Attempt-Id: {attempt}\r\n"
                f"Verbenafall-Instance-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        left = int(handler.headers.get("Verbenafall-Deadline-Ms", "8000"))
        end = time.monotonic() + left / 1000
        first = int(handler.headers.get("Last-Event-Id", "0")) + 1
        step = self.group.step
        handler.wfile.write(
            f"HTTP/1.1 200 X\r\nVerbenafall-Attempt-Id: {attempt}\r\n"
            f"Verbenafall-Engine-Signature: {self.name}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, self.events + 1):
            step = self.group.wait_for_pass(step, end - time.monotonic())
            if step is None:
                handler.close_connection = True
                return
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")
        self.record.add(self.name, "answered", attempt=attempt)
