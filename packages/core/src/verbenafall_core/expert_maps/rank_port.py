"""Interface to the engine of one rank."""

import datetime
from typing import NamedTuple
from typing import Protocol

import returns.result

from verbenafall_core.expert_maps import rank_state


class RankPortFailure(NamedTuple):
    """The engine could not be reached, or its response is invalid."""

    message: str


class ExpertCounts(NamedTuple):
    """How often requests on a rank have used each expert since its start.

    Attributes:
        counts: Flat list by set and expert.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]


ReportResult = returns.result.Result[rank_state.RankReport, RankPortFailure]
CountsResult = returns.result.Result[ExpertCounts, RankPortFailure]
# Experts held by the rank, by set.
ExpertsResult = returns.result.Result[
    tuple[tuple[int, ...], ...], RankPortFailure
]


class RankPort(Protocol):
    """Calls to one engine; implementations do not retry."""

    def read_report(self) -> ReportResult:
        """Return the state of the rank as its engine reports it."""

    def read_counts(self) -> CountsResult:
        """Return the expert counters since the rank's start."""

    def read_experts(self) -> ExpertsResult:
        """Return the experts held by the rank, by set."""

    def send_order(
        self, order: rank_state.RankOrder, limit: datetime.timedelta
    ) -> rank_state.OrderAnswer:
        """Send an order once; UNANSWERED if no answer comes in time."""
