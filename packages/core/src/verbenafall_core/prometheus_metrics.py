"""Counters, gauges and histograms, served in the Prometheus text format."""

import datetime
import re
import threading
from typing import Final

import prometheus_client

from verbenafall_core import addresses

PREFIX: Final = "verbenafall_"
# From calls within a data centre to the longest responses.
HISTOGRAM_BUCKETS_SECONDS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.38,
    0.5,
    1.0,
    2.0,
    4.0,
    8.0,
)
_INVALID_CHARACTERS: Final = re.compile(r"[^a-z0-9_]")


class PrometheusMetrics:
    """Metrics in their own registry, each created on first use."""

    def __init__(self) -> None:
        """Create metrics without values."""
        self.registry = prometheus_client.CollectorRegistry()
        self.lock = threading.Lock()
        self.counters: dict[str, prometheus_client.Counter] = {}
        self.gauges: dict[str, prometheus_client.Gauge] = {}
        self.histograms: dict[str, prometheus_client.Histogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        with self.lock:
            counter = self.counters.get(name)
            if counter is None:
                counter = self.counters[name] = prometheus_client.Counter(
                    metric_name(name), name, registry=self.registry
                )
        counter.inc(amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        with self.lock:
            gauge = self.gauges.get(name)
            if gauge is None:
                gauge = self.gauges[name] = prometheus_client.Gauge(
                    metric_name(name), name, registry=self.registry
                )
        gauge.set(value)

    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Record a duration in a histogram, in seconds."""
        with self.lock:
            histogram = self.histograms.get(name)
            if histogram is None:
                histogram = prometheus_client.Histogram(
                    metric_name(name) + "_seconds",
                    name,
                    registry=self.registry,
                    buckets=HISTOGRAM_BUCKETS_SECONDS,
                )
                self.histograms[name] = histogram
        histogram.observe(duration.total_seconds())

    def serve(self, address: addresses.Address) -> None:
        """Serve the metrics over HTTP on a separate thread.

        Raises:
            OSError: The address cannot be bound.
        """
        prometheus_client.start_http_server(
            address.port, address.host, self.registry
        )


def metric_name(name: str) -> str:
    """Return the Prometheus name of a metric."""
    return PREFIX + _INVALID_CHARACTERS.sub("_", name.lower())


def create_prometheus_metrics() -> PrometheusMetrics:
    """Create metrics without values."""
    return PrometheusMetrics()
