"""Stand-in of the rate-limited weight store."""

import math
import threading
from typing import Final

import werkzeug.exceptions

from verbenafall_standins import http_serving
from verbenafall_standins import rates

EXPERTS_PER_SECOND: Final = 64.0


class WeightStoreStandin:
    """Loads experts at a limited rate."""

    def __init__(self, experts_per_second: float) -> None:
        """Create a store with its full rate."""
        self.bucket = rates.TokenBucket(experts_per_second)
        self.lock = threading.Lock()
        self.loads: list[dict[str, int]] = []

    def handle(self, request: http_serving.Request) -> http_serving.Response:
        """Answer a request."""
        match request.method, request.path:
            case "POST", "/weights/load":
                return self.load(http_serving.read_json(request))
            case "GET", "/-/loads":
                return http_serving.json_response(self.loads)
        raise werkzeug.exceptions.NotFound

    def load(self, body: dict[str, int]) -> http_serving.Response:
        """Load experts, or refuse over the rate."""
        experts = int(body.get("experts", 0))
        if not self.bucket.take(experts):
            answer = http_serving.json_response({"error": "over the rate"}, 429)
            wait = math.ceil(experts / self.bucket.per_second)
            answer.headers["Retry-After"] = str(max(1, wait))
            return answer
        with self.lock:
            self.loads.append(body)
        return http_serving.json_response(body)


def create_weight_store(
    experts_per_second: float = EXPERTS_PER_SECOND,
) -> WeightStoreStandin:
    """Create a store with its full rate."""
    return WeightStoreStandin(experts_per_second)
