"""Stand-in of a plain service: records desk, deposits, consent records."""

import threading
from typing import Any
from typing import NamedTuple

import werkzeug.exceptions

from verbenafall_standins import http_serving


class Run(NamedTuple):
    """A request that was processed."""

    request_id: str
    key: str
    method: str
    path: str


class PlainServiceStandin:
    """Processes any request and remembers it."""

    def __init__(self) -> None:
        """Create a service without runs."""
        self.lock = threading.Lock()
        self.runs: list[Run] = []
        self.mode = "up"
        self.delay_seconds = 0.0

    def handle(self, request: http_serving.Request) -> http_serving.Response:
        """Answer a request."""
        match request.method, request.path:
            case "GET", "/-/runs":
                with self.lock:
                    runs = [run._asdict() for run in self.runs]
                return http_serving.json_response(runs)
            case "POST", "/-/faults":
                return self.set_fault(http_serving.read_json(request))
        return self.process(request)

    def set_fault(self, body: dict[str, Any]) -> http_serving.Response:
        """Replace the fault."""
        modes = ("up", "slow", "break_before", "break_after")
        if body.get("mode") not in modes:
            raise werkzeug.exceptions.BadRequest(f"mode is one of {modes}")
        self.delay_seconds = body.get("delay_ms", 0) / 1000
        self.mode = body["mode"]
        return http_serving.json_response(body)

    def process(self, request: http_serving.Request) -> http_serving.Response:
        """Process a request; the answer names it and its run number."""
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
        answer = run._asdict() | {"run": number, "body": body}
        return http_serving.json_response(answer)


def create_plain_service() -> PlainServiceStandin:
    """Create a service without runs."""
    return PlainServiceStandin()
