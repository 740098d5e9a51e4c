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


class Drain:
    """Ends new work, then waits until the open requests are completed."""

    def __init__(
        self,
        state: service_state.ServiceState,
        activity: activity_lib.Activity,
        wait: Callable[[datetime.timedelta], None],
    ) -> None:
        """Create a drain that has not been started."""
        self.state = state
        self.activity = activity
        self.wait = wait

    def run(self, limit: datetime.timedelta) -> int:
        """Drain within the limit; return the number of requests still open."""
        self.state.enter(service_state.Phase.LEAVING)
        event_log.emit(
            event_catalogue.GATEWAY_DRAINING, open=self.activity.count
        )
        self.wait(min(READINESS_PROPAGATION_DELAY, limit))
        self.state.enter(service_state.Phase.REFUSING)
        remaining = max(
            limit - READINESS_PROPAGATION_DELAY, datetime.timedelta()
        )
        return self.activity.wait_idle(remaining)


def sleep(duration: datetime.timedelta) -> None:
    """Block the calling thread for the duration."""
    threading.Event().wait(duration.total_seconds())


def create_drain(
    state: service_state.ServiceState,
    activity: activity_lib.Activity,
    wait: Callable[[datetime.timedelta], None] = sleep,
) -> Drain:
    """Create a drain that has not been started."""
    return Drain(state, activity, wait)
