"""Planned stop: report "not ready", then complete open requests."""

from collections.abc import Callable
import datetime
import threading
from typing import Final

from verbenafall_core import event_log
from verbenafall_gateway import event_catalogue
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.delivery import activity as activity_lib

# Time for the load balancer in front of this gateway to notice that it is no
# longer ready.
READINESS_PROPAGATION_DELAY: Final = datetime.timedelta(seconds=2)
# Part of the limit for the final answers of requests that are still open.
ANSWER_TIME: Final = datetime.timedelta(milliseconds=500)


class Drain:
    """Ends new work, then completes or abandons the open requests."""

    def __init__(
        self,
        state: service_state.ServiceState,
        activity: activity_lib.Activity,
        abandon: Callable[[], None],
        wait: Callable[[datetime.timedelta], None],
    ) -> None:
        """Create a drain that has not been started."""
        self.state = state
        self.activity = activity
        self.abandon = abandon
        self.wait = wait

    def run(self, limit: datetime.timedelta) -> int:
        """Drain within the limit; return the number of abandoned requests."""
        self.state.enter(service_state.Phase.LEAVING)
        event_log.emit(
            event_catalogue.GATEWAY_DRAINING, open=self.activity.count
        )
        self.wait(min(READINESS_PROPAGATION_DELAY, limit))
        self.state.enter(service_state.Phase.REFUSING)
        remaining = max(
            limit - READINESS_PROPAGATION_DELAY - ANSWER_TIME,
            datetime.timedelta(),
        )
        abandoned = self.activity.wait_idle(remaining)
        if abandoned:
            self.abandon()
            self.activity.wait_idle(min(ANSWER_TIME, limit))
        return abandoned


def sleep(duration: datetime.timedelta) -> None:
    """Block the calling thread for the duration."""
    threading.Event().wait(duration.total_seconds())


def create_drain(
    state: service_state.ServiceState,
    activity: activity_lib.Activity,
    abandon: Callable[[], None],
    wait: Callable[[datetime.timedelta], None] = sleep,
) -> Drain:
    """Create a drain that has not been started.

    Args:
        state: Phase of this process.
        activity: Counts the open requests.
        abandon: Makes each open request end with its final answer.
        wait: Waits for a duration.
    """
    return Drain(state, activity, abandon, wait)
