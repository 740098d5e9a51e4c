"""Times after which responses ask their sender to return."""

import math

import hypothesis
from hypothesis import strategies
import pytest

from verbenafall_core import retry_after

DATE = "Fri, 04 Dec 2026 12:00:00 GMT"
LATER_DATE = "Fri, 04 Dec 2026 12:00:07 GMT"

# Test id, values of Retry-After, Date, seconds.
RETRY_AFTER = [
    ("whole", ["3"], None, 3.0),
    ("fraction", ["0.25"], None, 0.25),
    ("spaces", [" 2 "], None, 2.0),
    ("zero", ["0"], None, 0.0),
    ("very long", ["1e300"], None, 1e300),
    ("negative", ["-1"], None, None),
    ("not a number", ["nan"], None, None),
    ("infinite", ["inf"], None, None),
    ("overflow", ["1e999"], None, None),
    ("400 digits", ["9" * 400], None, None),
    ("empty", [""], None, None),
    ("text", ["soon"], None, None),
    ("twice", ["3", "3"], None, None),
    ("list", ["3, 4"], None, None),
    ("date", [LATER_DATE], DATE, 7.0),
    ("past date", [DATE], LATER_DATE, 0.0),
    ("date without Date", [LATER_DATE], None, None),
    ("year out of range", ["4 Dec 9999901240 0:0:0 GMT"], DATE, None),
    ("zone out of range", ["4 Dec 2026 12:00:00 +9999999"], DATE, None),
    ("date without a zone", ["4 Dec 2026 12:00:00 -0000"], DATE, None),
    ("date with a bad Date", [LATER_DATE], "x", None),
]


class TestRetryAfter:
    @pytest.mark.parametrize(
        ("values", "date", "seconds"),
        [case[1:] for case in RETRY_AFTER],
        ids=[case[0] for case in RETRY_AFTER],
    )
    def test_seconds(self, values, date, seconds):
        assert retry_after.parse_retry_after(values, date) == seconds

    @hypothesis.given(strategies.text(), strategies.none() | strategies.text())
    def test_any_text_is_a_time_or_unreadable(self, text, date):
        seconds = retry_after.parse_retry_after([text], date)
        assert seconds is None or 0 <= seconds < math.inf
