"""Exports the era of the object store as metrics."""

from typing import Final

from verbenafall_core import metrics as metrics_lib
from verbenafall_core.object_store import store_era

ERA: Final = "store.era"
RESTORES: Final = "store.restores"


def export_era(era: store_era.StoreEra, metrics: metrics_lib.Metrics) -> None:
    """Keep a gauge of the era and a counter of the restores up to date.

    Both have a value from the start; the era is 0 until it is known.
    """
    era.observers.append(lambda current: metrics.gauge(ERA, current))
    era.listeners.append(lambda _current: metrics.count(RESTORES))
    metrics.gauge(ERA, era.current)
    metrics.count(RESTORES, 0)
