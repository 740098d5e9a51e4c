"""Whether the endpoint can be reached, from repeated probes."""

from collections.abc import Callable
import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core import event_log
from verbenafall_core import periodic
from verbenafall_sidecar import event_catalogue
from verbenafall_sidecar.endpoint import endpoint_port

PROBE_INTERVAL: Final = datetime.timedelta(seconds=1)
# One refused connection can be a full backlog of a busy endpoint.
FAILURES_UNTIL_DOWN: Final = 2


class Health(NamedTuple):
    """What the probes have shown.

    Attributes:
        failures: Failed probes since the last that succeeded.
    """

    up: bool
    failures: int


def next_health(health: Health, succeeded: bool) -> Health:
    """Return the health after one more probe."""
    if succeeded:
        return Health(True, 0)
    failures = health.failures + 1
    return Health(health.up and failures < FAILURES_UNTIL_DOWN, failures)


class EndpointHealth:
    """Probes the endpoint and tells of changes."""

    def __init__(
        self,
        endpoint: endpoint_port.Endpoint,
        on_change: Callable[[bool], None],
    ) -> None:
        """Create a service that takes the endpoint to be up at first."""
        self.endpoint = endpoint
        self.on_change = on_change
        self.health = Health(True, 0)
        self.task = periodic.create_periodic_task(
            "endpoint-health", PROBE_INTERVAL, self.probe
        )

    def start(self) -> None:
        """Start probes at an interval."""
        self.task.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop after the probe that is running."""
        self.task.stop(limit)

    def probe(self) -> None:
        """Probe once."""
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
    """Create a service that takes the endpoint to be up at first."""
    return EndpointHealth(endpoint, on_change)
