"""Stand-in for a plain service (not an engine), such as a records service."""

import threading
from typing import Any
from typing import NamedTuple

import werkzeug.exceptions

from verbenafall_standins import http_serving


class Run(NamedTuple):
    """A processed request; the fields are reported by name.

    Attributes:
        key: Idempotency key, empty for none.
    """

    request_id: str
    key: str
    method: str
    path: str


class PlainServiceStandin:
    """Records each request that it processes.

    A test reads the records to find requests that ran more than once.
    """

    def __init__(self) -> None:
        """Create a service without recorded requests."""
        self.lock = threading.Lock()
        self.runs: list[Run] = []
        self.mode = "up"
        self.delay_seconds = 0.0

    def handle(self, request: http_serving.Request) -> http_serving.Response:
        """List the runs, set a fault, or process a request."""
        match request.method, request.path:
            case "GET", "/-/runs":
                with self.lock:
                    runs = [run._asdict() for run in self.runs]
                return http_serving.json_response(runs)
            case "POST", "/-/faults":
                return self.set_fault(http_serving.read_json(request))
        return self.process(request)

    def set_fault(self, body: dict[str, Any]) -> http_serving.Response:
        """Replace the current fault; mode "up" ends it."""
        modes = ("up", "slow", "break_before", "break_after")
        if body.get("mode") not in modes:
            raise werkzeug.exceptions.BadRequest(f"mode is one of {modes}")
        self.delay_seconds = body.get("delay_ms", 0) / 1000
        self.mode = body["mode"]
        return http_serving.json_response(body)

    def process(self, request: http_serving.Request) -> http_serving.Response:
        """Process a request; return its record, run number and body.

        "break_before" breaks the connection before the request runs, and
        "break_after" once it has run.
        """
        mode = self.mode
        if mode == "break_before":
            return http_serving.break_connection(request)
        if mode == "slow":
            threading.Event().wait(self.delay_seconds)
        run = Run(
            request.headers.get("X-Request-Id", ""),
            request.headers.get("Idempotency-Key", ""),
            request.method,
            request.path,
        )
        body = request.get_data().decode("utf-8", "replace")
        with self.lock:
            self.runs.append(run)
            number = len(self.runs)
        if mode == "break_after":
            return http_serving.break_connection(request)
        fields = run._asdict() | {"run": number, "body": body}
        return http_serving.json_response(fields)


def create_plain_service() -> PlainServiceStandin:
    """Create a service without recorded requests."""
    return PlainServiceStandin()
