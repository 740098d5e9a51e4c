"""Interface for counters, gauges and timers, and its statsd implementation."""

import datetime
from typing import Protocol

import statsd


class Metrics(Protocol):
    """Destination of measurements."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Record a duration."""


class NullMetrics:
    """Discards all measurements."""

    def count(self, name: str, amount: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Do nothing."""


class StatsdMetrics:
    """Sends measurements as statsd packets over UDP."""

    def __init__(self, client: statsd.StatsClient) -> None:
        """Wrap a statsd client."""
        self.client = client

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.client.gauge(name, value)

    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Record a duration in milliseconds."""
        self.client.timing(name, duration)


def create_statsd(host: str, port: int, prefix: str) -> Metrics:
    """Create metrics that are sent to a statsd server."""
    return StatsdMetrics(statsd.StatsClient(host, port, prefix=prefix))
