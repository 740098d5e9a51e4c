"""Tests that a leader chooses a map after other claims and late links."""

import loguru
import pytest

from steering import rank_fleet
from steering import sidecar_fleet

SEEDS = range(100)
# Bounds of the time between two claims, in steps of 5 ms.
GAPS = [(0, 5), (5, 30), (30, 600)]
DEMAND_STEPS = 400
DEMAND_CHANGES = 6
LATE = 900 * sidecar_fleet.MILLISECOND


@pytest.fixture
def create_fleet(monkeypatch):
    """Return a function that creates a fleet whose ranks are known."""

    def create(seed):
        fleet = sidecar_fleet.create_fleet(seed, monkeypatch)
        for _ in range(fleet.generator.randrange(110, 160)):
            fleet.step()
        return fleet

    loguru.logger.disable("verbenafall_core")
    yield create
    loguru.logger.enable("verbenafall_core")


def uses_map_of_the_leader(fleet):
    leaders = fleet.leaders()
    return len(leaders) == 1 and fleet.map_term() == leaders[0].leadership.term


def assert_new_demand_leads_to_a_new_map(fleet):
    """Change the demand until the newest leader has switched to its map.

    A leader that starts after a change may find the right map in use.
    """
    for _ in range(DEMAND_CHANGES):
        for _ in range(DEMAND_STEPS):
            fleet.step()
        if uses_map_of_the_leader(fleet):
            return
        fleet.shift += 3
    pytest.fail(f"no map of the newest leader: {sidecar_fleet.describe(fleet)}")


@pytest.mark.parametrize("seed", SEEDS)
class TestChoice:
    """Guards against a leader that chooses no map until the next one."""

    @pytest.mark.parametrize("gap", GAPS)
    def test_after_two_claims(self, create_fleet, seed, gap):
        """The second leader starts while the ranks answer the first one."""
        fleet = create_fleet(seed)
        first, second = fleet.generator.sample(range(rank_fleet.SIZE), 2)
        fleet.claim(first)
        for _ in range(fleet.generator.randrange(*gap)):
            fleet.step()
        fleet.claim(second)
        assert_new_demand_leads_to_a_new_map(fleet)

    def test_after_links_that_open_late(self, create_fleet, seed):
        """The leader calls engines until the links to their sidecars open.

        Sidecars that hear of no leader in time claim the next terms.
        """
        fleet = create_fleet(seed)
        fleet.max_connect_delay = LATE
        fleet.claim(0)
        assert_new_demand_leads_to_a_new_map(fleet)
