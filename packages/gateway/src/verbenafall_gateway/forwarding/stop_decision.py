"""Decides whether a stopping gateway can finish a request; pure functions."""

from typing import Final
from typing import NamedTuple

# Weight of the newest value in the moving averages.
SMOOTHING_FACTOR: Final = 0.1
# Mean absolute deviations added to the mean, as in the retransmission timeout
# of TCP (RFC 6298). A few durations exceed the sum.
DEVIATIONS: Final = 4


class DurationEstimate(NamedTuple):
    """Moving averages of how long requests of a service take, in seconds.

    Attributes:
        mean: Average duration.
        deviation: Average absolute difference from the mean.
    """

    mean: float
    deviation: float


# Assumed until the first answer of a service has been measured.
DEFAULT_ESTIMATE: Final = DurationEstimate(2.0, 0.5)


def update_estimate(
    estimate: DurationEstimate, duration: float
) -> DurationEstimate:
    """Return the estimate after another request was answered."""
    error = duration - estimate.mean
    return DurationEstimate(
        estimate.mean + error * SMOOTHING_FACTOR,
        estimate.deviation
        + (abs(error) - estimate.deviation) * SMOOTHING_FACTOR,
    )


def longest_duration(estimate: DurationEstimate) -> float:
    """Return the seconds within which a request is likely to be answered."""
    return estimate.mean + DEVIATIONS * estimate.deviation


def can_finish(
    now: float,
    finish_by: float,
    deadline: float,
    estimate: DurationEstimate | None,
) -> bool:
    """Return whether a request that starts now ends before a planned stop.

    It ends at its deadline at the latest. All times are in seconds of one
    clock.

    Args:
        now: Current time.
        finish_by: When the gateway abandons the requests that are still open.
        deadline: When the client must have a final answer.
        estimate: Durations of the service's requests; None if the request
            must certainly end in time.
    """
    if deadline <= finish_by:
        return True
    return estimate is not None and now + longest_duration(estimate) <= (
        finish_by
    )
