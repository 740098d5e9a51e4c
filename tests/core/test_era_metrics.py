"""Tests of the metrics of the store's era, as served to operators."""

import pytest

from verbenafall_core import prometheus_metrics
from verbenafall_core.object_store import era_metrics
from verbenafall_core.object_store import store_era

# Test id, eras observed before and after the export starts, values then.
OBSERVED = [
    ("no era", [], [None], 0, 0),
    ("first era", [], [3], 3, 0),
    ("first era before the export", [3], [], 3, 0),
    ("restored", [3], [4], 4, 1),
    ("restored twice", [], [3, 4, 4, 5], 5, 2),
    ("two restores at once", [], [3, 5], 5, 1),
    ("delayed response", [], [3, 4, 3], 4, 1),
]


class TestEraMetrics:
    @pytest.mark.parametrize(
        ("before", "after", "era", "restores"),
        [case[1:] for case in OBSERVED],
        ids=[case[0] for case in OBSERVED],
    )
    def test_store_restored(self, before, after, era, restores):
        state = store_era.create_store_era()
        for item in before:
            state.observe(item)
        metrics = prometheus_metrics.create_prometheus_metrics()
        era_metrics.export_era(state, metrics)
        for item in after:
            state.observe(item)
        value = metrics.registry.get_sample_value
        assert value("verbenafall_store_era") == era
        assert value("verbenafall_store_restores_total") == restores
