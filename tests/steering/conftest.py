"""Fixtures of the steering tests."""

import datetime

import pytest


@pytest.fixture
def at():
    """Return a function that converts seconds to a timedelta."""
    return lambda seconds: datetime.timedelta(seconds=seconds)
