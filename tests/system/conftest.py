"""One fleet for all system tests; each test begins with a settled one."""

import pytest

from system import system_fleet


@pytest.fixture(scope="session")
def shared_fleet(tmp_path_factory):
    created = system_fleet.start_fleet(tmp_path_factory.mktemp("fleet") / "run")
    yield created
    created.stop()


@pytest.fixture
def fleet(shared_fleet):
    shared_fleet.settle()
    return shared_fleet
