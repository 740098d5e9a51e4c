"""Tests of the configuration after the store was restored from a copy."""

import loguru
import pytest

from forwarding import forwarding_fakes as fakes
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import revisions
from verbenafall_core.routes import table
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import store_listeners

IN_FORCE = 17


class DirectLoop:
    """Makes the calls of other threads at once."""

    def call_soon_threadsafe(self, function, *arguments):
        function(*arguments)


class Gateway:
    """The configuration of a gateway, its announcements and its log lines."""

    def __init__(self):
        self.state = configuration_state.create_configuration_state()
        self.announced = []
        self.state.changed = lambda: self.announced.append(self.state.version())
        self.listener = store_listeners.ConfigurationListener(
            DirectLoop(), self.state
        )
        self.lines = []

    def read(self, era, number, version, complete=True):
        """Read a version of the configuration, None if there is none."""
        revision = revisions.create_revision(era, number)
        items = ()
        if version is not None:
            value = create_configuration(version)
            items = (collection.Item("main", revision, value),)
        self.listener.on_batch(
            collection.Batch(revision, items, ()), complete, False
        )

    def serves(self, version):
        """Return whether the route of a version is in force."""
        path = f"/v{version}/x"
        return table.find_route(self.state.routes, fakes.HOST, path) is not None


def create_configuration(version):
    route = fakes.route(path_prefix=f"/v{version}/")
    return fakes.configuration(version, route)


@pytest.fixture
def gateway():
    found = Gateway()
    found.read(1, 40, IN_FORCE)
    found.announced.clear()
    handler = loguru.logger.add(
        lambda message: found.lines.append(message.record["extra"]["name"]),
        level="DEBUG",
    )
    yield found
    loguru.logger.remove(handler)


# Test id, versions that are read in era 2 (None for a store without a
# configuration), version in force after them, and the log lines.
READS = [
    ("older", [12], IN_FORCE, ["configuration_ignored"]),
    ("none", [None], IN_FORCE, []),
    ("same", [IN_FORCE], IN_FORCE, ["configuration_ignored"]),
    (
        *("older, then written again", [12, IN_FORCE], IN_FORCE),
        ["configuration_ignored"] * 2,
    ),
    (
        *("none, then written again", [None, IN_FORCE], IN_FORCE),
        ["configuration_ignored"],
    ),
    (
        *("older, then newer", [12, 21], 21),
        ["configuration_ignored", "configuration_in_force"],
    ),
    ("newer at once", [21], 21, ["configuration_in_force"]),
]


class TestConfiguration:
    @pytest.mark.parametrize(
        ("versions", "in_force", "lines"),
        [case[1:] for case in READS],
        ids=[case[0] for case in READS],
    )
    def test_store_restored(self, gateway, versions, in_force, lines):
        """The operator's version decides, not the store's revision."""
        for number, version in enumerate(versions, 60):
            gateway.read(2, number, version, complete=number == 60)
        assert gateway.state.version() == in_force
        assert [v for v in (12, IN_FORCE, 21) if gateway.serves(v)] == [
            in_force
        ]
        assert gateway.announced == [v for v in versions if v == 21]
        assert gateway.lines == lines
