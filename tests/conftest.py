"""Settings shared by all tests."""

import hypothesis

# The same examples are drawn in each run, so CI gives the same verdict.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")
