"""Store revisions that stay ordered when the store is restored from a copy.

A restored store gives out revision numbers again that it has given out before.
It states its era, which grows with each restore, in every response. A revision
of this product is one integer with the era in its high bits, so that a later
era orders after an earlier one whatever the store's own numbers are. It fits
the 53 bits that JSON implementations represent exactly.
"""

from typing import Any
from typing import Final
from typing import TypeGuard

NUMBER_BITS: Final = 40
MAX_NUMBER: Final = 2**NUMBER_BITS - 1
MAX_ERA: Final = 2 ** (53 - NUMBER_BITS) - 1
_MAX_DIGITS: Final = len(str(MAX_NUMBER))


def create_revision(era: int, number: int) -> int:
    """Return the revision for a store's own number in one of its eras.

    Raises:
        ValueError: The era or the number is out of range.
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"era {era} is not between 0 and {MAX_ERA}")
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"number {number} is not between 0 and {MAX_NUMBER}")
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era in which the store gave out a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & MAX_NUMBER


def is_number(value: Any) -> TypeGuard[int]:
    """Return whether a value can be a store's own revision number."""
    return type(value) is int and 0 <= value <= MAX_NUMBER


def parse_number(text: str) -> int | None:
    """Return the decimal number in a text, None if it is out of range."""
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
        return None
    number = int(text)
    return number if is_number(number) else None
