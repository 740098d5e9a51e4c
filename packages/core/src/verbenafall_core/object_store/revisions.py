"""Store revisions that stay ordered when the store is restored from a copy.

A restored store gives out revision numbers again that it has given out before.
It states its era, which grows with each restore, in every response. A revision
of this product is one integer with the era in its high bits, so that a later
era orders after an earlier one whatever the store's own numbers are. It fits
the 53 bits that JSON implementations represent exactly.
"""

from typing import Final

NUMBER_BITS: Final = 40
MAX_NUMBER: Final = 2**NUMBER_BITS - 1
MAX_ERA: Final = 2 ** (53 - NUMBER_BITS) - 1


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
