"""The rate limit on the object store calls of a process."""

import datetime

import pytest
import returns.pipeline

from verbenafall_core import metrics
from verbenafall_core.object_store import budget
from verbenafall_core.object_store import port
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

RATE = budget.Rate(per_second=2, burst=3)
WAIT = datetime.timedelta(milliseconds=1)
CALLS = {
    "read": lambda store: store.read("a"),
    "list": lambda store: store.list_objects("a", 1),
    "create": lambda store: store.create("a", b""),
    "update": lambda store: store.update("a", b"", 1),
    "delete": lambda store: store.delete("a", 1),
    "watch": lambda store: store.watch("a", 0, WAIT),
}


@pytest.fixture
def clock():
    return manual_clock.create_manual_clock()


@pytest.fixture
def store(clock):
    return budget.create_budgeted_store(
        memory_store.create_memory_store(), clock, metrics.NullMetrics(), RATE
    )


def is_throttled(result):
    return (
        not returns.pipeline.is_successful(result)
        and result.failure().kind is port.FailureKind.THROTTLED
    )


class TestBudgetedStore:
    @pytest.mark.parametrize("label", CALLS)
    def test_every_call_is_limited_and_not_made(self, store, label):
        for _ in range(3):
            assert not is_throttled(CALLS[label](store))
        assert is_throttled(CALLS[label](store))
        assert len(store.store.calls) == 3
        assert store.counts().refused == 1
        assert sum(store.counts()) == 4

    @pytest.mark.parametrize(
        ("pause_s", "allowed"), [(0, 0), (0.4, 0), (0.5, 1), (1, 2), (60, 3)]
    )
    def test_rate_after_the_burst(self, store, clock, pause_s, allowed):
        while not is_throttled(store.read("a")):
            pass
        clock.advance(datetime.timedelta(seconds=pause_s))
        results = [is_throttled(store.read("a")) for _ in range(5)]
        assert results.count(False) == allowed

    def test_counts_by_kind(self, store):
        for label in ("read", "create", "watch"):
            CALLS[label](store)
        assert store.counts() == budget.CallCounts(1, 1, 1, 0)
