"""Fixtures of the steering tests."""

import datetime

import pytest


@pytest.fixture
def at():
    """Return a function that makes a time of seconds."""
    return lambda seconds: datetime.timedelta(seconds=seconds)
