"""Stand-in of the object store."""

import base64
import datetime
import threading
from typing import Any
from typing import Final
from typing import NamedTuple

import returns.pipeline
import werkzeug.exceptions

from verbenafall_core.object_store import port
from verbenafall_standins import http_serving
from verbenafall_standins import rates
from verbenafall_standins.fakes import memory_store

READS_PER_SECOND: Final = 2000.0
WRITES_PER_SECOND: Final = 400.0
MAX_WAIT: Final = datetime.timedelta(seconds=60)

_STATUS: Final = {
    port.FailureKind.CONFLICT: 412,
    port.FailureKind.MISSING: 404,
    port.FailureKind.INVALID: 413,
}


class StoreFault(NamedTuple):
    """What happens to calls on names with a prefix.

    Attributes:
        calls_left: Calls left, 0 for no end.
    """

    mode: str
    calls_left: int
    delay: datetime.timedelta
    prefix: str


class ObjectStoreStandin:
    """Serves a store in memory by HTTP."""

    def __init__(
        self, reads_per_second: float, writes_per_second: float
    ) -> None:
        """Create an empty store."""
        self.store = memory_store.create_memory_store()
        self.lock = threading.Lock()
        self.fault = StoreFault("up", 0, datetime.timedelta(), "")
        self.calls = dict.fromkeys(("reads", "writes", "watches"), 0)
        self.throttled = 0
        self.buckets = {
            "reads": rates.TokenBucket(reads_per_second),
            "writes": rates.TokenBucket(writes_per_second),
        }

    def handle(self, request: http_serving.Request) -> http_serving.Response:
        """Answer a request."""
        match request.method, request.path:
            case "POST", "/-/faults":
                return self.set_fault(http_serving.read_json(request))
            case "POST", "/-/rates":
                return self.set_rates(http_serving.read_json(request))
            case "GET", "/-/calls":
                with self.lock:
                    counts = self.calls | {"throttled": self.throttled}
                return http_serving.json_response(counts)
        if not f"{request.path}/".startswith("/objects/"):
            raise werkzeug.exceptions.NotFound
        return self.handle_object_call(request)

    def set_fault(self, body: dict[str, Any]) -> http_serving.Response:
        """Replace the fault."""
        modes = ("up", "down", "slow", "lose_answer", "lose_call")
        if body.get("mode") not in modes:
            raise werkzeug.exceptions.BadRequest(f"mode is one of {modes}")
        fault = StoreFault(
            body["mode"],
            int(body.get("count", 0)),
            datetime.timedelta(milliseconds=body.get("delay_ms", 0)),
            body.get("prefix", ""),
        )
        with self.lock:
            self.fault = fault
        return http_serving.json_response(body)

    def set_rates(self, body: dict[str, Any]) -> http_serving.Response:
        """Replace the rates that are named; their buckets begin empty.

        A full bucket would let a second's worth of calls through at once.
        """
        named = [key for key in self.buckets if f"{key}_per_second" in body]
        for key in named:
            rate = float(body[f"{key}_per_second"])
            self.buckets[key] = rates.TokenBucket(rate, 0.0)
        return http_serving.json_response(body)

    def handle_object_call(
        self, request: http_serving.Request
    ) -> http_serving.Response:
        """Count a call, apply the fault, and serve it."""
        name = request.path.removeprefix("/objects").removeprefix("/")
        fault = self.take_fault(name or request.args.get("prefix", ""))
        if not self.admit(kind_of(request)):
            return http_serving.json_response({"error": "throttled"}, 429)
        if fault.delay:
            threading.Event().wait(fault.delay.total_seconds())
        if fault.mode == "down":
            return http_serving.json_response({"error": "outage"}, 503)
        if fault.mode == "lose_call":
            return http_serving.break_connection(request)
        answer = self.serve(request, name)
        if fault.mode == "lose_answer":
            return http_serving.break_connection(request)
        return answer

    def take_fault(self, name: str) -> StoreFault:
        """Return the fault of a call and use up one of its count."""
        with self.lock:
            fault = self.fault
            if not name.startswith(fault.prefix):
                return fault._replace(mode="up", delay=datetime.timedelta())
            if fault.calls_left == 1:
                self.fault = StoreFault("up", 0, datetime.timedelta(), "")
            elif fault.calls_left > 1:
                self.fault = fault._replace(calls_left=fault.calls_left - 1)
            return fault

    def admit(self, kind: str) -> bool:
        """Count a call; return whether the rate allows it."""
        bucket = self.buckets["writes" if kind == "writes" else "reads"]
        allowed = bucket.take()
        with self.lock:
            self.calls[kind] += 1
            self.throttled += not allowed
        return allowed

    def serve(
        self, request: http_serving.Request, name: str
    ) -> http_serving.Response:
        """Serve a call without a fault."""
        if request.method == "GET":
            return self.serve_read(request, name)
        match request.method:
            case "PUT" if request.headers.get("If-None-Match") == "*":
                result = self.store.create(name, request.get_data())
                return answer_object(result, 201, False)
            case "PUT":
                version = expected_version(request)
                result = self.store.update(name, request.get_data(), version)
                return answer_object(result, 200, False)
            case "DELETE":
                deleted = self.store.delete(name, expected_version(request))
                if returns.pipeline.is_successful(deleted):
                    return http_serving.Response(status=204)
                return answer_failure(deleted.failure())
        raise werkzeug.exceptions.MethodNotAllowed

    def serve_read(
        self, request: http_serving.Request, name: str
    ) -> http_serving.Response:
        """Serve a read, a watch or a list."""
        if not name:
            return self.serve_list(request)
        if "watch_after" in request.args:
            return self.serve_watch(request, name)
        return answer_object(self.store.read(name), 200, True)

    def close(self) -> None:
        """End the watches that wait."""
        self.store.close()

    def serve_list(
        self, request: http_serving.Request
    ) -> http_serving.Response:
        """Serve the objects with a prefix."""
        prefix = request.args.get("prefix", "")
        limit = request.args.get("limit", 1000, int)
        found = self.store.list_objects(prefix, limit).unwrap()
        return http_serving.json_response(
            [
                {
                    "name": stored.name,
                    "version": stored.version,
                    "value": base64.b64encode(stored.value).decode(),
                }
                for stored in found
            ]
        )

    def serve_watch(
        self, request: http_serving.Request, name: str
    ) -> http_serving.Response:
        """Wait for a newer version."""
        known = request.args.get("watch_after", 0, int)
        wait = datetime.timedelta(
            milliseconds=request.args.get("wait_ms", 0, int)
        )
        result = self.store.watch(name, known, min(wait, MAX_WAIT))
        if returns.pipeline.is_successful(result):
            return answer_object(result, 200, True)
        return http_serving.Response(status=304)


def kind_of(request: http_serving.Request) -> str:
    """Return how a call is counted."""
    if request.method != "GET":
        return "writes"
    return "watches" if "watch_after" in request.args else "reads"


def expected_version(request: http_serving.Request) -> int:
    """Return the version of If-Match.

    Raises:
        werkzeug.exceptions.BadRequest: The header is missing or malformed.
    """
    text = request.headers.get("If-Match", "").strip('"')
    if not text.isdecimal():
        raise werkzeug.exceptions.BadRequest("If-Match names no version")
    return int(text)


def answer_object(
    result: port.ObjectResult, status: int, with_value: bool
) -> http_serving.Response:
    """Return the answer for an object."""
    if not returns.pipeline.is_successful(result):
        return answer_failure(result.failure())
    stored = result.unwrap()
    value = stored.value if with_value else b""
    answer = http_serving.Response(
        value, status, content_type="application/octet-stream"
    )
    answer.set_etag(str(stored.version))
    return answer


def answer_failure(failure: port.StoreFailure) -> http_serving.Response:
    """Return the answer for a failure."""
    return http_serving.json_response(
        {"error": failure.message}, _STATUS[failure.kind]
    )


def create_object_store(
    reads_per_second: float = READS_PER_SECOND,
    writes_per_second: float = WRITES_PER_SECOND,
) -> ObjectStoreStandin:
    """Create an empty store."""
    return ObjectStoreStandin(reads_per_second, writes_per_second)
