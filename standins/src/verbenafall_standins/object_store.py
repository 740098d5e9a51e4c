"""Stand-in for the platform's object store, with rate limits and faults."""

import base64
import datetime
import threading
from typing import Any
from typing import Final
from typing import NamedTuple

import returns.pipeline
import werkzeug.exceptions

from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions
from verbenafall_standins import http_serving
from verbenafall_standins import rates
from verbenafall_standins.fakes import memory_store

READS_PER_SECOND: Final = 2000.0
WRITES_PER_SECOND: Final = 400.0
ERA_HEADER: Final = "Store-Era"
MAX_WAIT: Final = datetime.timedelta(seconds=60)

_STATUS_BY_FAILURE: Final = {
    port.FailureKind.CONFLICT: 412,
    port.FailureKind.MISSING: 404,
    port.FailureKind.INVALID: 413,
}


class StoreFault(NamedTuple):
    """Fault of calls on names with a prefix.

    Attributes:
        calls_left: Number of calls until the fault ends, 0 for no limit.
        delay: Time by which a call is delayed.
    """

    mode: str
    calls_left: int
    delay: datetime.timedelta
    prefix: str


class ObjectStoreStandin:
    """Serves a memory_store.MemoryStore over HTTP.

    Versions in calls and answers are the store's own numbers; each answer
    states the era in a header.

    Attributes:
        calls: Calls by kind, including throttled ones.
        throttled: Calls refused because of a rate limit.
    """

    def __init__(
        self, reads_per_second: float, writes_per_second: float
    ) -> None:
        """Create an empty store without faults."""
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
        """Serve a call; an error is an answer too and states the era."""
        try:
            response = self.route(request)
        except werkzeug.exceptions.HTTPException as error:
            response = http_serving.json_response(
                {"error": error.description}, error.code or 500
            )
        response.headers.setdefault(ERA_HEADER, str(self.store.era))
        return response

    def route(self, request: http_serving.Request) -> http_serving.Response:
        """Set faults and rates, report call counts, or serve an object call."""
        match request.method, request.path:
            case "POST", "/-/restore":
                return self.restore(http_serving.read_json(request))
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

    def restore(self, body: dict[str, Any]) -> http_serving.Response:
        """Return to the state of some time or some changes ago."""
        if "age_ms" in body:
            self.store.restore_age(
                datetime.timedelta(milliseconds=body["age_ms"])
            )
        else:
            self.store.restore(int(body.get("changes", 0)))
        return http_serving.json_response({"era": self.store.era})

    def set_fault(self, body: dict[str, Any]) -> http_serving.Response:
        """Replace the current fault; mode "up" ends it."""
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
        """Set the given rates, with empty buckets.

        A full bucket would admit a burst of one second's calls at first.
        """
        changed_kinds = [
            key for key in self.buckets if f"{key}_per_second" in body
        ]
        for key in changed_kinds:
            rate = float(body[f"{key}_per_second"])
            self.buckets[key] = rates.TokenBucket(rate, 0.0)
        return http_serving.json_response(body)

    def handle_object_call(
        self, request: http_serving.Request
    ) -> http_serving.Response:
        """Serve a call on objects, subject to the rate limit and the fault.

        A throttled call uses up one call of the fault too.
        """
        name = request.path.removeprefix("/objects").removeprefix("/")
        fault = self.consume_fault(name or request.args.get("prefix", ""))
        if not self.admit(call_kind(request)):
            return http_serving.json_response({"error": "throttled"}, 429)
        if fault.delay:
            threading.Event().wait(fault.delay.total_seconds())
        if fault.mode == "down":
            return http_serving.json_response({"error": "outage"}, 503)
        if fault.mode == "lose_call":
            return http_serving.break_connection(request)
        # The header must state the era of the state that the answer is about.
        with self.store.changed:
            response = self.serve(request, name)
            response.headers[ERA_HEADER] = str(self.store.era)
        if fault.mode == "lose_answer":
            return http_serving.break_connection(request)
        return response

    def consume_fault(self, name: str) -> StoreFault:
        """Return the fault of a call, and count the call against its limit."""
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
        """Count a call; return whether the rate limit allows it."""
        bucket = self.buckets["writes" if kind == "writes" else "reads"]
        allowed = bucket.try_acquire()
        with self.lock:
            self.calls[kind] += 1
            self.throttled += not allowed
        return allowed

    def serve(
        self, request: http_serving.Request, name: str
    ) -> http_serving.Response:
        """Apply a call to the store and return the response."""
        if request.method == "GET":
            return self.serve_read(request, name)
        match request.method:
            case "PUT" if request.headers.get("If-None-Match") == "*":
                result = self.store.create(name, request.get_data())
                return object_response(result, 201, False)
            case "PUT":
                version = self.to_version(expected_number(request))
                result = self.store.update(name, request.get_data(), version)
                return object_response(result, 200, False)
            case "DELETE":
                version = self.to_version(expected_number(request))
                deleted = self.store.delete(name, version)
                if returns.pipeline.is_successful(deleted):
                    return http_serving.Response(status=204)
                return failure_response(deleted.failure())
        raise werkzeug.exceptions.MethodNotAllowed

    def serve_read(
        self, request: http_serving.Request, name: str
    ) -> http_serving.Response:
        """Serve a GET: a list without a name, else a watch or a read."""
        if not name:
            return self.serve_list(request)
        if "watch_after" in request.args:
            return self.serve_watch(request, name)
        return object_response(self.store.read(name), 200, True)

    def to_version(self, number: int) -> int:
        """Return the version for a number in the store's current era."""
        return revisions.create_revision(
            self.store.era, min(number, revisions.MAX_NUMBER)
        )

    def close(self) -> None:
        """End all waiting watches."""
        self.store.close()

    def serve_list(
        self, request: http_serving.Request
    ) -> http_serving.Response:
        """List objects with a name prefix, with values in base64."""
        prefix = request.args.get("prefix", "")
        limit = request.args.get("limit", 1000, int)
        found = self.store.list_objects(prefix, limit).unwrap()
        return http_serving.json_response(
            [
                {
                    "name": stored.name,
                    "version": revisions.number_of(stored.version),
                    "value": base64.b64encode(stored.value).decode(),
                }
                for stored in found
            ]
        )

    def serve_watch(
        self, request: http_serving.Request, name: str
    ) -> http_serving.Response:
        """Wait for a newer version; status 304 if none comes in time.

        A version that the store does not have was given out before a restore;
        any object is newer than it.
        """
        known_number = request.args.get("watch_after", 0, int)
        if known_number > self.store.number:
            known_number = 0
        known_version = self.to_version(known_number)
        wait = datetime.timedelta(
            milliseconds=request.args.get("wait_ms", 0, int)
        )
        result = self.store.watch(name, known_version, min(wait, MAX_WAIT))
        if returns.pipeline.is_successful(result):
            return object_response(result, 200, True)
        return http_serving.Response(status=304)


def call_kind(request: http_serving.Request) -> str:
    """Return the kind under which a call is counted."""
    if request.method != "GET":
        return "writes"
    return "watches" if "watch_after" in request.args else "reads"


def expected_number(request: http_serving.Request) -> int:
    """Return the revision number in the If-Match header.

    Raises:
        werkzeug.exceptions.BadRequest: The header is missing or malformed.
    """
    text = request.headers.get("If-Match", "").strip('"')
    if not text.isdecimal():
        raise werkzeug.exceptions.BadRequest("If-Match names no version")
    return int(text)


def object_response(
    result: port.ObjectResult, status: int, with_value: bool
) -> http_serving.Response:
    """Return the response for an object, with its number as ETag."""
    if not returns.pipeline.is_successful(result):
        return failure_response(result.failure())
    stored = result.unwrap()
    value = stored.value if with_value else b""
    response = http_serving.Response(
        value, status, content_type="application/octet-stream"
    )
    response.set_etag(str(revisions.number_of(stored.version)))
    return response


def failure_response(failure: port.StoreFailure) -> http_serving.Response:
    """Return the response for a failure, with the matching status."""
    return http_serving.json_response(
        {"error": failure.message}, _STATUS_BY_FAILURE[failure.kind]
    )


def create_object_store(
    reads_per_second: float = READS_PER_SECOND,
    writes_per_second: float = WRITES_PER_SECOND,
) -> ObjectStoreStandin:
    """Create an empty store without faults."""
    return ObjectStoreStandin(reads_per_second, writes_per_second)
