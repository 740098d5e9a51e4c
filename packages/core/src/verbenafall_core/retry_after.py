"""Reads the time after which a response asks its sender to return."""

from collections.abc import Sequence
import datetime
import email.utils
import math
from typing import Final

# Longer values are no usable numbers.
MAX_LENGTH: Final = 32


def parse_retry_after(
    values: Sequence[str], answered_at: str | None
) -> float | None:
    """Return the seconds that an answer asks to wait, None if unreadable.

    Args:
        values: Values of its Retry-After headers.
        answered_at: Value of its Date header. A Retry-After date counts from
            there, as the clocks of endpoint and gateway may differ.
    """
    if len(values) != 1 or len(values[0]) > MAX_LENGTH:
        return None
    try:
        seconds = float(values[0])
    except ValueError:
        return parse_date_difference(values[0], answered_at)
    return seconds if math.isfinite(seconds) and seconds >= 0 else None


def parse_date_difference(until: str, since: str | None) -> float | None:
    """Return the seconds from one HTTP date to another, None if unreadable."""
    if since is None:
        return None
    try:
        end = email.utils.parsedate_to_datetime(until)
        start = email.utils.parsedate_to_datetime(since)
        return max(0.0, (end - start) / datetime.timedelta(seconds=1))
    except (TypeError, ValueError, OverflowError, IndexError):
        # One is no date, which the parser reports in several ways, or only one
        # of them names its time zone.
        return None
