"""One fleet for all system tests, reset before each test."""

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
    started_fleet = system_fleet.start_fleet(
        tmp_path_factory.mktemp("fleet") / "run"
    )
    yield started_fleet
    # A process that had to be killed or that ended with an error may have cut
    # off open requests.
    assert [
        process for process in started_fleet.stop() if process.exit_code != 0
    ] == []


@pytest.fixture
def fleet(shared_fleet):
    shared_fleet.reset()
    return shared_fleet
