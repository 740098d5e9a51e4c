"""Port for orders to an engine and for the state of its ranks."""

import datetime
import enum
from typing import NamedTuple
from typing import Protocol

import returns.result

from verbenafall_core.expert_maps import switch


class EngineState(NamedTuple):
    """State of the ranks behind an engine.

    Attributes:
        map_version: Map in use, 0 for ranks that have not been started.
        prepared: Map versions whose weights are loaded.
        armed_step: Step before which the ranks hold, 0 if not armed.
        step: Last step that ran.
        epoch: Epoch of the last order that the engine accepted.
        rank_step_ms: Mean step time of each of the ranks.
        expert_load: Tokens per expert in recent steps, over all layers.
        armed_version: Map that the ranks are armed for, 0 if not armed.
    """

    group: str
    ranks: tuple[int, ...]
    map_version: int
    prepared: tuple[int, ...]
    armed_step: int
    step: int
    epoch: int
    rank_step_ms: tuple[float, ...]
    expert_load: tuple[float, ...]
    armed_version: int = 0


class FailureKind(enum.StrEnum):
    """Why a call to an engine failed.

    FENCED: The engine knows a later epoch and ignored the order.
    NOT_PREPARED: The weights of the map are not loaded.
    BUSY: The weights cannot be loaded at present.
    UNCERTAIN: No response was received; an order may still take effect, now or
        later.
    INVALID: The response is malformed or has an unexpected status.
    """

    FENCED = "fenced"
    NOT_PREPARED = "not_prepared"
    BUSY = "busy"
    UNCERTAIN = "uncertain"
    INVALID = "invalid"


class OrderFailure(NamedTuple):
    """A call to an engine that failed.

    Attributes:
        retry_after: Minimum time to wait before the next order.
    """

    kind: FailureKind
    message: str
    retry_after: datetime.timedelta


StateResult = returns.result.Result[EngineState, OrderFailure]


class OrderPort(Protocol):
    """Calls to one engine; a failed call is not retried."""

    def read_state(self) -> StateResult:
        """Return the current state of the ranks."""

    def send_order(
        self, order: switch.Order, placement: tuple[int, ...]
    ) -> StateResult:
        """Send an order and return the state after it.

        Args:
            order: The state that the ranks are requested to have.
            placement: Rank of each expert on the order's map for a prepare
                order, empty for other kinds.
        """
