"""Settings shared by all tests."""

import hypothesis

import known_red

# The same examples are drawn in each run, so CI gives the same verdict.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


def pytest_collection_modifyitems(items):
    """Let the tests fail that KNOWN-RED.txt lists."""
    known_red.mark_listed(items, known_red.read_text())
