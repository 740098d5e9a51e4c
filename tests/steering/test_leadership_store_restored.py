"""Tests of a leader's links after the store was restored from a copy."""

import random
import threading
import types

import pytest

from steering import rank_fleet
from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core import metrics
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import records
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era
from verbenafall_sidecar.steering import group_term
from verbenafall_sidecar.steering import leadership as leadership_lib

LINK_PORT = 7000
OWN, FIRST, OTHER, GATEWAY = (f"10.0.0.{last}" for last in range(1, 5))


class FakeLinks:
    """Records the addresses to which links are maintained."""

    def __init__(self):
        self.targets = set()

    def set_targets(self, wanted):
        self.targets = wanted


@pytest.fixture
def clock():
    return rank_fleet.ManualClock()


@pytest.fixture
def leadership(clock):
    settings = types.SimpleNamespace(
        service="s",
        engine=addresses.Address(OWN, 8000),
        link_listen=addresses.Address(OWN, LINK_PORT),
    )
    ports = types.SimpleNamespace(
        endpoints=None,
        gateways=None,
        configurations=None,
        store=None,
        era=store_era.create_store_era(),
    )
    dependencies = leadership_lib.Dependencies(
        settings=settings,
        ports=ports,
        agent=types.SimpleNamespace(report=None),
        links=FakeLinks(),
        clock=clock,
        metrics=metrics.NullMetrics(),
        generator=random.Random(1),
        lock=threading.RLock(),
        step_down=lambda term: None,
    )
    claim = group_term.Claim("s.g", "leader", 7)
    found = leadership_lib.create_leadership(claim, dependencies)
    found.on_batch(engines(1, 20, OWN, FIRST, OTHER), True, False)
    found.on_gateways(gateways(1, 20, GATEWAY), True)
    return found


def engines(era, number, *hosts):
    return batch(
        era,
        number,
        {
            host: endpoints.Endpoint(
                host, "s", addresses.Address(host, 8000), "dc", 4, False
            )
            for host in hosts
        },
    )


def gateways(era, number, *hosts):
    return batch(
        era, number, {host: addresses.Address(host, 9000) for host in hosts}
    )


def batch(era, number, values):
    version = revisions.create_revision(era, number)
    items = tuple(
        collection.Item(name, version, value) for name, value in values.items()
    )
    return collection.Batch(version, items, ())


def targets(leadership):
    return {item.host for item in leadership.dependencies.links.targets}


class TestLinksOfALeader:
    def test_store_restored_without_an_engine(self, leadership, clock):
        leadership.on_batch(engines(2, 15, OWN, FIRST), True, False)
        assert targets(leadership) == {FIRST, OTHER, GATEWAY}
        clock.time += leadership_lib.ENTRY_RETENTION
        leadership.on_batch(engines(2, 15), False, False)
        assert targets(leadership) == {FIRST, GATEWAY}

    def test_store_restored_without_a_gateway(self, leadership, clock):
        leadership.on_gateways(gateways(2, 15), True)
        assert targets(leadership) == {FIRST, OTHER, GATEWAY}
        clock.time += records.GATEWAY_RECORD_RETENTION
        leadership.on_gateways(gateways(2, 15), False)
        assert targets(leadership) == {FIRST, OTHER}

    def test_without_a_restore_a_missing_entry_is_gone(self, leadership):
        leadership.on_batch(engines(1, 25, OWN, FIRST), True, False)
        leadership.on_gateways(gateways(1, 25), True)
        assert targets(leadership) == {FIRST}
