"""Port for map orders to an engine and for its state."""

import datetime
import enum
from typing import NamedTuple
from typing import Protocol

import returns.result

from verbenafall_core.expert_maps import switch


class EngineState(NamedTuple):
    """State of the ranks behind an engine.

    Attributes:
        map_version: Map that the ranks run on, 0 before they were started.
        prepared: Map versions whose weights are loaded.
        armed_step: Step before which the ranks hold, 0 for none.
        step: Last step that ran.
        epoch: Epoch of the last order that was taken.
        rank_step_ms: Mean step time per rank of this engine.
        expert_load: Tokens per expert in recent steps, over all layers.
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


class FailureKind(enum.StrEnum):
    """Why a call to an engine failed.

    FENCED: The engine knows a newer epoch; nothing was changed.
    NOT_PREPARED: The weights of the map are not loaded.
    BUSY: The weights cannot be loaded yet.
    UNCERTAIN: No answer came; an order may take effect, even later.
    INVALID: The answer is malformed or its status is unexpected.
    """

    FENCED = "fenced"
    NOT_PREPARED = "not_prepared"
    BUSY = "busy"
    UNCERTAIN = "uncertain"
    INVALID = "invalid"


class OrderFailure(NamedTuple):
    """A call to an engine that failed.

    Attributes:
        retry_after: When to try again at the earliest.
    """

    kind: FailureKind
    message: str
    retry_after: datetime.timedelta


StateResult = returns.result.Result[EngineState, OrderFailure]


class OrderPort(Protocol):
    """Calls to one engine. None of them repeats itself."""

    def read_state(self) -> StateResult:
        """Return the state of the ranks."""

    def send_order(
        self, order: switch.Order, placement: tuple[int, ...]
    ) -> StateResult:
        """Give an order and return the state after it.

        Args:
            order: The state that the ranks shall be in.
            placement: Rank of each expert on the order's map; empty but for
                prepare.
        """
