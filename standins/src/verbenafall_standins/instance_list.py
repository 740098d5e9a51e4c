"""Stand-in for the platform's instance list, which lags behind changes."""

import datetime
import json
import threading
from typing import Any
from typing import Final

import werkzeug.exceptions

from verbenafall_core import clock as clock_lib
from verbenafall_standins import http_serving

LAG: Final = datetime.timedelta(seconds=1)


class InstanceListStandin:
    """Serves a list in which changes become visible after a lag.

    Attributes:
        down: Whether reads fail.
        visible: The list that reads return.
        pending: Later lists, each with the time at which it becomes visible.
    """

    def __init__(self, lag: datetime.timedelta) -> None:
        """Create an empty list."""
        self.lag = lag
        self.clock = clock_lib.system_clock()
        self.lock = threading.Lock()
        self.down = False
        self.visible: list[Any] = []
        self.pending: list[tuple[datetime.timedelta, list[Any]]] = []

    def handle(self, request: http_serving.Request) -> http_serving.Response:
        """Serve the list, replace it, or switch the outage on or off."""
        match request.method, request.path:
            case "GET", "/instances":
                return self.read(request)
            case "PUT", "/-/instances":
                return self.replace(json.loads(request.get_data()))
            case "POST", "/-/faults":
                body = http_serving.read_json(request)
                self.down = body.get("mode") == "down"
                return http_serving.json_response(body)
        raise werkzeug.exceptions.NotFound

    def read(self, request: http_serving.Request) -> http_serving.Response:
        """Return the visible list, or status 304 if the caller has it."""
        if self.down:
            return http_serving.json_response({"error": "outage"}, 503)
        now = self.clock.monotonic()
        with self.lock:
            while self.pending and self.pending[0][0] <= now:
                self.visible = self.pending.pop(0)[1]
            response = http_serving.json_response(self.visible)
        response.add_etag()
        return response.make_conditional(request)

    def replace(self, instances: list[Any]) -> http_serving.Response:
        """Make a new list visible after the lag."""
        with self.lock:
            due = self.clock.monotonic() + self.lag
            self.pending.append((due, instances))
        return http_serving.json_response(instances)


def create_instance_list(
    lag: datetime.timedelta = LAG,
) -> InstanceListStandin:
    """Create an empty list."""
    return InstanceListStandin(lag)
