"""Interface between the sidecar and a model engine."""

import datetime
from typing import Any
from typing import NamedTuple
from typing import Protocol

import returns.result

from verbenafall_sidecar.endpoint import endpoint_port


class EngineFailure(NamedTuple):
    """Failure of a request to the engine other than a dispatched call."""

    message: str


class EngineLoad(NamedTuple):
    """Load as reported by the engine, which lags behind the actual load.

    Attributes:
        as_of_ms: Time of the measurement by the engine's clock.
        kv_used: Fraction of the KV cache in use, from 0 to 1.
        expert_load: Number of tokens for each expert.
    """

    as_of_ms: int
    in_flight: int
    queued: int
    kv_used: float
    expert_load: tuple[int, ...]


LoadResult = returns.result.Result[EngineLoad, EngineFailure]
StateResult = returns.result.Result[dict[str, Any], EngineFailure]


class Engine(endpoint_port.Endpoint, Protocol):
    """A model engine; each chunk of a response is the text of one token."""

    def cancel_run(self, run_id: str) -> None:
        """Ask the engine to cancel a run; does not wait for the response."""

    def read_load(self, limit: datetime.timedelta) -> LoadResult:
        """Read the engine's load report; blocks."""
