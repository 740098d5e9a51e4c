"""Port to the engine of one rank."""

import datetime
from typing import NamedTuple
from typing import Protocol

import returns.result

from verbenafall_core.expert_maps import rank_state


class RankPortFailure(NamedTuple):
    """A call without a usable answer."""

    message: str


class ExpertCounts(NamedTuple):
    """How often requests of a rank chose each expert since its start.

    Attributes:
        counts: Flat, by set and expert.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]


ReportResult = returns.result.Result[rank_state.RankReport, RankPortFailure]
CountsResult = returns.result.Result[ExpertCounts, RankPortFailure]
# Experts in use by set.
ExpertsResult = returns.result.Result[
    tuple[tuple[int, ...], ...], RankPortFailure
]


class RankPort(Protocol):
    """Calls to one engine. None of them repeats itself."""

    def read_report(self) -> ReportResult:
        """Return the state of the rank."""

    def read_counts(self) -> CountsResult:
        """Return the counts since the rank's start."""

    def read_experts(self) -> ExpertsResult:
        """Return the experts that the rank holds, by set."""

    def send_order(
        self, order: rank_state.RankOrder, limit: datetime.timedelta
    ) -> rank_state.OrderAnswer:
        """Give an order once; without an answer in the limit, say so."""
