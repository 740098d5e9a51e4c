"""A rank group: engines that run each pass together, as PROTOCOL.md says."""

import json
import threading
import time
from typing import Any

from common import deployment
from common import engine as engine_lib
from common import store as store_lib
from common import wire

GROUP = "g0"
SETS = 2
EXPERTS = 8
PLACEMENTS = 4
SPARE = 2
PASS_SECONDS = 0.1
COPY_SECONDS = 0.2
# Choices of experts by each rank and set in a pass.
PICKS = 40
# Time after which other experts are chosen by half of the tokens.
TOPIC_SECONDS = 1.5
EVENTS = 6


class Rank:
    """State of one rank; the group's condition guards it."""

    def __init__(self, number: int, size: int) -> None:
        """Create a rank with map 0, which assigns experts in turn."""
        self.number = number
        self.fence = 0
        self.sequence = 0
        self.version = 0
        self.content = [
            [
                [e for e in range(EXPERTS) if e * size // EXPERTS == rank]
                for rank in range(size)
            ]
            for _ in range(SETS)
        ]
        self.highest = 0
        self.prepared = 0
        self.prepared_content = self.content
        self.copied_at = 0.0
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None
        self.counts = [[0] * EXPERTS for _ in range(SETS)]

    def order(self, body: dict[str, Any], step: int, epoch: int) -> int:
        """Carry out an order; return the status of the answer."""
        fence = body.get("fencing-token", self.fence)
        if fence < self.fence:
            return 412
        self.fence = fence
        if body.get("epoch", epoch) != epoch:
            return 409
        handlers = {
            "prepare": self.prepare,
            "arm": self.arm,
            "disarm": self.disarm,
            "retention": self.hold,
            "go": self.go,
        }
        handler = handlers.get(body["operation"])
        return 400 if handler is None else handler(body, step)

    def prepare(self, body: dict[str, Any], _step: int) -> int:
        """Begin to copy the experts of a map."""
        version, content = body["version"], body["expert-map"]
        if version == self.prepared:
            return 200
        if version <= self.highest or self.armed is not None:
            return 409
        for before, after in zip(self.content, content, strict=True):
            new = set(after[self.number]) - set(before[self.number])
            if len(new) > SPARE or len(after[self.number]) > PLACEMENTS:
                return 409
        self.highest = self.prepared = version
        self.prepared_content = content
        self.copied_at = time.monotonic() + COPY_SECONDS
        return 202

    def is_copied(self) -> bool:
        """Return whether the prepared map can be armed."""
        return self.prepared > 0 and time.monotonic() >= self.copied_at

    def arm(self, body: dict[str, Any], step: int) -> int:
        """Switch to the prepared map as a pass begins."""
        target = (body["version"], body["step"])
        if self.armed == target:
            return 200
        if body["version"] != self.prepared or not self.is_copied():
            return 409
        if body["step"] <= step or self.armed is not None:
            return 409
        self.armed = target
        return 202

    def disarm(self, body: dict[str, Any], _step: int) -> int:
        """Do not switch to a version."""
        if body["version"] == self.version:
            return 409
        if self.armed is None or self.armed[0] != body["version"]:
            return 200
        self.armed = None
        return 202

    def hold(self, body: dict[str, Any], step: int) -> int:
        """Keep the group from beginning a pass."""
        if self.held == body["step"]:
            return 200
        if self.held is not None or body["step"] <= step:
            return 409
        self.held = body["step"]
        return 202

    def go(self, body: dict[str, Any], _step: int) -> int:
        """End the hold of a pass."""
        if self.held != body["step"]:
            return 200
        self.held = None
        return 202


class Group:
    """The engines of a group, and the thread that runs its passes.

    Attributes:
        order_seconds: Time that an engine takes for an order.
        passes: Guards the state; notified when a pass begins.
        mixed: Number of passes that began with different maps.
        switches: Number of changes of map.
        hold_acknowledged: Set when an engine has answered a `retention` with
            202.
    """

    def __init__(
        self,
        size: int,
        service: str,
        store: store_lib.Store,
        record: deployment.Record,
        order_seconds: float,
    ) -> None:
        """Start the engines, each at an address of its own."""
        self.order_seconds = order_seconds
        self.record = record
        self.passes = threading.Condition()
        self.epoch = 1
        self.step = 0
        self.mixed = 0
        self.switches = 0
        self.hold_acknowledged = threading.Event()
        self.ended = threading.Event()
        self.ranks = [Rank(number, size) for number in range(size)]
        self.engines = [
            engine_lib.Engine(
                f"i-{number}",
                service,
                store,
                self.serve,
                (deployment.free_host(), 0),
            )
            for number in range(size)
        ]
        for engine in self.engines:
            engine.register()
        threading.Thread(target=self.run_passes, daemon=True).start()

    def run_passes(self) -> None:
        """Begin a pass after the other while none is held."""
        while not self.ended.wait(PASS_SECONDS):
            with self.passes:
                if any(rank.held == self.step + 1 for rank in self.ranks):
                    continue
                self.begin_pass()
                self.passes.notify_all()

    def begin_pass(self) -> None:
        """Switch the maps that are due and count choices of experts."""
        self.step += 1
        before = self.ranks[0].version
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.version = rank.armed[0]
                rank.content = rank.prepared_content
                rank.armed = None
            favourite = int(time.monotonic() / TOPIC_SECONDS) * 3 % EXPERTS
            for row in rank.counts:
                row[favourite] += PICKS // 2
                for expert in range(EXPERTS):
                    row[expert] += PICKS // 2 // EXPERTS
        if len({rank.version for rank in self.ranks}) > 1:
            self.mixed += 1
            self.record.add(f"pass {self.step} begins with different maps")
        if self.ranks[0].version != before:
            self.switches += 1
            self.record.add(f"pass {self.step} has a new map")

    # Calls to engines.

    def serve(
        self,
        engine: engine_lib.Engine,
        connection: wire.Connection,
        request: wire.Message,
    ) -> bool:
        """Serve one request to an engine."""
        rank = self.ranks[self.engines.index(engine)]
        path = request.first[1]
        if path.startswith("/api/report"):
            send_json(connection, 200, self.report(rank))
        elif path.startswith("/api/picked"):
            send_json(connection, 200, self.picked(rank, "lists" in path))
        elif path.startswith("/api/order"):
            body = json.loads(request.body)
            status = self.take_order(rank, body)
            try:
                send_json(connection, status, {})
            finally:
                if (body["operation"], status) == ("retention", 202):
                    self.hold_acknowledged.set()
        else:
            return self.write_stream(engine, connection, request)
        return True

    def take_order(self, rank: Rank, body: dict[str, Any]) -> int:
        """Carry out an order, which takes a moment; return the status."""
        time.sleep(self.order_seconds)
        with self.passes:
            status = rank.order(body, self.step, self.epoch)
            rank.sequence += status == 202
        self.record.add(
            f"i-{rank.number} {body['operation']} {body.get('version', '')}"
            f" {body.get('step', '')} by {body.get('fencing-token')}: {status}"
        )
        return status

    def report(self, rank: Rank) -> dict[str, Any]:
        """Return the state of a rank."""
        with self.passes:
            armed = rank.armed
            return {
                "stage": "prefill_decode",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": rank.sequence,
                "queued-requests": 0,
                "active-requests": 1,
                "kv-cache-used": 41000,
                "kv-cache-total": 140000,
                "handles": 0,
                "group": {
                    "name": GROUP,
                    "epoch": self.epoch,
                    "rank": rank.number,
                    "state": "open",
                },
                "size": len(self.ranks),
                "step": self.step,
                "expert-map": rank.version,
                "prepared": {"version": rank.prepared}
                if rank.is_copied()
                else None,
                "armed": {"version": armed[0], "step": armed[1]}
                if armed
                else None,
                "held": rank.held,
                "pace": 1.0,
                "born": self.engines[rank.number].born,
            }

    def picked(self, rank: Rank, lists: bool) -> dict[str, Any]:
        """Return the counts of choices, or the experts of a rank by set."""
        with self.passes:
            if lists:
                rows = [row[rank.number] for row in rank.content]
                return {"expert-map": rows, "prepared": None}
            counts = [list(row) for row in rank.counts]
            return {"step": self.step, "epoch": self.epoch, "counts": counts}

    def write_stream(
        self,
        engine: engine_lib.Engine,
        connection: wire.Connection,
        request: wire.Message,
    ) -> bool:
        """Write an event with each pass, until the time budget is over."""
        attempt = request.headers["verbenafall-attempt-id"]
        budget = int(request.headers["verbenafall-deadline-ms"]) / 1000
        end = time.monotonic() + budget
        head = wire.head(
            "HTTP/1.1 200 OK",
            {
                "Verbenafall-Attempt-Id": attempt,
                "Verbenafall-Engine-Signature": f"{engine.name}.{attempt}",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            },
        )
        first = int(request.headers.get("last-event-id", "-1")) + 1
        for number in range(first, EVENTS):
            with self.passes:
                step = self.step
                while self.step == step:
                    if time.monotonic() > end or self.ended.is_set():
                        return False
                    self.passes.wait(0.1)
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            connection.sock.sendall(head + wire.chunk(event))
            head = b""
        connection.sock.sendall(head + wire.chunk(b""))
        return True


def engine_profile() -> dict[str, Any]:
    """Return what a service says of its engines in the configuration."""
    return {
        "slots": 6,
        "kv-cache-tokens": 140000,
        "link-mbps": 180000.0,
        "stride": 4,
        "step_ms": 4.55,
        "per_seq_ms": 1.81,
        "sets": SETS,
        "experts": EXPERTS,
        "placements": PLACEMENTS,
        "spare": SPARE,
        "expert-mb": 10.0,
        "expert-share": 0.85,
    }


def send_json(connection: wire.Connection, status: int, content: Any) -> None:
    """Send an answer with a JSON body."""
    body = json.dumps(content).encode()
    connection.sock.sendall(
        wire.head(
            f"HTTP/1.1 {status} X",
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            },
        )
        + body
    )
