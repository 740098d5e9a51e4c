"""Exports the era of the object store as metrics."""

from verbenafall_core import metrics as metrics_lib
from verbenafall_core.object_store import store_era


def export_era(era: store_era.StoreEra, metrics: metrics_lib.Metrics) -> None:
    """Keep a gauge of the era and a counter of the restores up to date.

    Both have a value from the start; the era is 0 until it is known.
    """
    era.observers.append(lambda current: metrics.gauge("store.era", current))
    era.listeners.append(lambda _current: metrics.count("store.restores"))
    metrics.gauge("store.era", era.current)
    metrics.count("store.restores", 0)
