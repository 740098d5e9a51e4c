"""Revisions and the era of a store that is restored from a copy."""

import pytest

from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era

ORDERED = [
    (0, 0),
    (0, 7),
    (1, 0),
    (1, 6),
    (1, revisions.MAX_NUMBER),
    (2, 1),
    (revisions.MAX_ERA, revisions.MAX_NUMBER),
]

OUT_OF_RANGE = [
    (-1, 0),
    (revisions.MAX_ERA + 1, 0),
    (0, -1),
    (0, revisions.MAX_NUMBER + 1),
]


class TestRevisions:
    def test_order_is_by_era_then_by_number(self):
        packed = [revisions.create_revision(*parts) for parts in ORDERED]
        assert packed == sorted(set(packed))

    @pytest.mark.parametrize(("era", "number"), ORDERED)
    def test_parts_are_kept(self, era, number):
        revision = revisions.create_revision(era, number)
        assert revisions.era_of(revision) == era
        assert revisions.number_of(revision) == number
        assert revision < 2**53

    @pytest.mark.parametrize(("era", "number"), OUT_OF_RANGE)
    def test_parts_out_of_range(self, era, number):
        with pytest.raises(ValueError, match="is not between"):
            revisions.create_revision(era, number)


# Test id, eras of the responses in order (None for a response without one),
# whether the last one may be used, current era, eras reported as restores.
OBSERVED = [
    ("no era at all", [None], True, 0, []),
    ("first era", [3], True, 3, []),
    ("same era", [3, 3], True, 3, []),
    ("restored", [3, 4], True, 4, [4]),
    ("delayed response", [3, 4, 3], False, 4, [4]),
    ("era missing", [3, None], True, 3, []),
    ("two restores, one seen", [3, 5, 4], False, 5, [5]),
    ("two restores", [1, 2, 3], True, 3, [2, 3]),
]


class TestStoreEra:
    @pytest.mark.parametrize(
        ("eras", "usable", "current", "restores"),
        [case[1:] for case in OBSERVED],
        ids=[case[0] for case in OBSERVED],
    )
    def test_observe(self, eras, usable, current, restores):
        state = store_era.create_store_era()
        reported = []
        state.listeners.append(reported.append)
        results = [state.observe(era) for era in eras]
        assert results[-1] is usable
        assert state.current == current
        assert reported == restores

    @pytest.mark.parametrize(
        ("stated", "era_before", "expected", "current"),
        [
            ("4", 3, 4, 4),
            ("3", 3, 3, 3),
            ("2", 3, None, 3),
            ("", 3, 3, 3),
            ("", 2, 2, 3),
            ("x", 2, 2, 3),
        ],
    )
    def test_receive(self, stated, era_before, expected, current):
        state = store_era.create_store_era()
        state.observe(3)
        assert state.receive(stated, era_before) == expected
        assert state.current == current

    @pytest.mark.parametrize(
        ("revision", "expected"),
        [
            (0, True),
            (revisions.create_revision(1, revisions.MAX_NUMBER), True),
            (revisions.create_revision(2, 0), False),
            (revisions.create_revision(3, 0), False),
        ],
    )
    def test_is_past(self, revision, expected):
        state = store_era.create_store_era()
        state.observe(2)
        assert state.is_past(revision) is expected

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("1", 1),
            (str(revisions.MAX_ERA), revisions.MAX_ERA),
            (str(revisions.MAX_ERA + 1), None),
            ("0", None),
            ("", None),
            (" 1", None),
            ("+1", None),
            ("1.0", None),
            ("²", None),
            ("9" * 5000, None),
        ],
    )
    def test_parse_era(self, text, expected):
        assert store_era.parse_era(text) == expected
