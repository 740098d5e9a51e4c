"""One fleet for all system tests; each test begins with a settled one."""

import os
import sys

import pytest

from system import system_fleet


@pytest.fixture(scope="session", autouse=True)
def process_path():
    """Make started processes import what the tests import."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("PYTHONPATH", os.pathsep.join(filter(None, sys.path)))
        yield


@pytest.fixture(scope="session")
def shared_fleet(tmp_path_factory, process_path):
    created = system_fleet.start_fleet(tmp_path_factory.mktemp("fleet") / "run")
    yield created
    # A process that does not end by itself, or ends with an error, may have
    # cut off what it had open.
    assert [one for one in created.stop() if one.exit_code != 0] == []


@pytest.fixture
def fleet(shared_fleet):
    shared_fleet.settle()
    return shared_fleet
