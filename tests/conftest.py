"""Configuration shared by all tests."""

import hypothesis

import known_red

# Each run draws the same examples, so that CI results are reproducible.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt as expected failures."""
    known_red.mark_listed(items, known_red.read_text())
