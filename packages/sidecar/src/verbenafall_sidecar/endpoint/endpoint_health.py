"""Periodic health checks of the endpoint."""

from collections.abc import Callable
import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core import event_log
from verbenafall_core import periodic
from verbenafall_sidecar import event_catalogue
from verbenafall_sidecar.endpoint import endpoint_port

PROBE_INTERVAL: Final = datetime.timedelta(seconds=1)
# A single refused connection may mean a full backlog at a busy endpoint.
FAILURES_UNTIL_DOWN: Final = 2


class Health(NamedTuple):
    """Health of the endpoint as shown by the probes.

    Attributes:
        failures: Consecutive failed probes.
    """

    up: bool
    failures: int


def next_health(health: Health, succeeded: bool) -> Health:
    """Return the health after another probe."""
    if succeeded:
        return Health(True, 0)
    failures = health.failures + 1
    return Health(health.up and failures < FAILURES_UNTIL_DOWN, failures)


class EndpointHealth:
    """Probes the endpoint at an interval and reports changes."""

    def __init__(
        self,
        endpoint: endpoint_port.Endpoint,
        on_change: Callable[[bool], None],
    ) -> None:
        """Create a service that initially considers the endpoint up."""
        self.endpoint = endpoint
        self.on_change = on_change
        self.health = Health(True, 0)
        self.task = periodic.create_periodic_task(
            "endpoint-health", PROBE_INTERVAL, self.probe
        )

    def start(self) -> None:
        """Start probing on a thread of its own."""
        self.task.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop; a probe in progress is completed."""
        self.task.stop(limit)

    def probe(self) -> None:
        """Probe once, and log and report a change of the health."""
        failure = self.endpoint.probe()
        before, self.health = (
            self.health,
            next_health(self.health, failure is None),
        )
        if before.up == self.health.up:
            return
        if failure is None:
            event_log.emit(event_catalogue.ENDPOINT_UP)
        else:
            event_log.emit(event_catalogue.ENDPOINT_DOWN, error=failure.message)
        self.on_change(self.health.up)


def create_endpoint_health(
    endpoint: endpoint_port.Endpoint, on_change: Callable[[bool], None]
) -> EndpointHealth:
    """Create a service that initially considers the endpoint up."""
    return EndpointHealth(endpoint, on_change)
