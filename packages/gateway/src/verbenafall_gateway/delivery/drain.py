"""Planned stop: withdraw readiness, then finish open requests."""

from collections.abc import Callable
import datetime
import threading
from typing import Final

from verbenafall_core import event_log
from verbenafall_gateway import event_catalogue
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.delivery import activity as activity_lib

# Time for the balancer to notice that the gateway is not ready any more.
READINESS_PROPAGATION_DELAY: Final = datetime.timedelta(seconds=2)


class Drain:
    """Leads a gateway from serving to idle."""

    def __init__(
        self,
        state: service_state.ServiceState,
        activity: activity_lib.Activity,
        wait: Callable[[datetime.timedelta], None],
    ) -> None:
        """Create a drain that has not begun."""
        self.state = state
        self.activity = activity
        self.wait = wait

    def run(self, limit: datetime.timedelta) -> int:
        """Drain within the limit; return how many requests are still open."""
        self.state.enter(service_state.Phase.LEAVING)
        event_log.emit(
            event_catalogue.GATEWAY_DRAINING, open=self.activity.count
        )
        self.wait(min(READINESS_PROPAGATION_DELAY, limit))
        self.state.enter(service_state.Phase.REFUSING)
        left = max(limit - READINESS_PROPAGATION_DELAY, datetime.timedelta())
        return self.activity.wait_idle(left)


def wait_by_event(duration: datetime.timedelta) -> None:
    """Wait for a time."""
    threading.Event().wait(duration.total_seconds())


def create_drain(
    state: service_state.ServiceState,
    activity: activity_lib.Activity,
    wait: Callable[[datetime.timedelta], None] = wait_by_event,
) -> Drain:
    """Create a drain that has not begun."""
    return Drain(state, activity, wait)
