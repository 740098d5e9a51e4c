"""Stand-in for the store that engines load expert weights from."""

import math
import threading
from typing import Final

import werkzeug.exceptions

from verbenafall_standins import http_serving
from verbenafall_standins import rates

EXPERTS_PER_SECOND: Final = 64.0


class WeightStoreStandin:
    """Accepts loads of experts up to a rate.

    Attributes:
        loads: Bodies of the accepted loads.
    """

    def __init__(self, experts_per_second: float) -> None:
        """Create a store that accepts a burst of one second's experts."""
        self.bucket = rates.TokenBucket(experts_per_second)
        self.lock = threading.Lock()
        self.loads: list[dict[str, int]] = []

    def handle(self, request: http_serving.Request) -> http_serving.Response:
        """Load experts, or list the accepted loads."""
        match request.method, request.path:
            case "POST", "/weights/load":
                return self.load(http_serving.read_json(request))
            case "GET", "/-/loads":
                return http_serving.json_response(self.loads)
        raise werkzeug.exceptions.NotFound

    def load(self, body: dict[str, int]) -> http_serving.Response:
        """Accept a load, or refuse it with Retry-After above the rate."""
        experts = int(body.get("experts", 0))
        if not self.bucket.try_acquire(experts):
            response = http_serving.json_response(
                {"error": "over the rate"}, 429
            )
            wait = math.ceil(experts / self.bucket.per_second)
            response.headers["Retry-After"] = str(max(1, wait))
            return response
        with self.lock:
            self.loads.append(body)
        return http_serving.json_response(body)


def create_weight_store(
    experts_per_second: float = EXPERTS_PER_SECOND,
) -> WeightStoreStandin:
    """Create a store that accepts a burst of one second's experts."""
    return WeightStoreStandin(experts_per_second)
