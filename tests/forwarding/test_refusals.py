"""When refused clients should return."""

import pytest

from verbenafall_gateway.forwarding import refusals

LEAST = refusals.MIN_RETRY_AFTER_SECONDS

# Test id, function of the draw, retry-after with draws of 0 and 1.
RETURNS = [
    ("no endpoint", refusals.no_endpoint, 0.5, 1.5),
    ("full", lambda draw: refusals.full(4.0, draw), 2.0, 4.0),
    ("full, soon free", lambda draw: refusals.full(0.1, draw), LEAST, LEAST),
    ("long pause", lambda draw: refusals.paused(4.0, draw), 4.0, 5.0),
    ("short pause", lambda draw: refusals.paused(0.1, draw), 0.1, 0.1 + LEAST),
    ("stalled", refusals.stalled, 2.0, 2.65),
    ("stopping", refusals.stopping, LEAST, 2 * LEAST),
]


class TestRefusals:
    @pytest.mark.parametrize(
        ("refuse", "first", "last"),
        [case[1:] for case in RETURNS],
        ids=[case[0] for case in RETURNS],
    )
    def test_returns_are_spread(self, refuse, first, last):
        assert refuse(0.0).retry_after == pytest.approx(first)
        assert refuse(1.0).retry_after == pytest.approx(last)
