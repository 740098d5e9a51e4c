"""Port to a model engine beside this sidecar."""

import datetime
from typing import Any
from typing import NamedTuple
from typing import Protocol

import returns.result

from verbenafall_sidecar.endpoint import endpoint_port


class EngineFailure(NamedTuple):
    """A call to the engine that failed."""

    message: str


class EngineLoad(NamedTuple):
    """The engine's own load report, which lags behind.

    Attributes:
        as_of_ms: Time of the report in the engine's own count.
        kv_used: Used part of the KV cache, from 0 to 1.
        expert_load: Tokens by expert.
    """

    as_of_ms: int
    in_flight: int
    queued: int
    kv_used: float
    expert_load: tuple[int, ...]


LoadResult = returns.result.Result[EngineLoad, EngineFailure]
StateResult = returns.result.Result[dict[str, Any], EngineFailure]


class Engine(endpoint_port.Endpoint, Protocol):
    """A model engine; each chunk of its answers is one token's text."""

    def cancel_run(self, run_id: str) -> None:
        """Ask the engine to give up a run; does not wait for the answer."""

    def read_load(self, limit: datetime.timedelta) -> LoadResult:
        """Return the engine's load report; blocks."""
