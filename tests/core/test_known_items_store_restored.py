"""Tests of the items that stay known when a restored store lacks them."""

import datetime

import pytest

from verbenafall_core.object_store import collection
from verbenafall_core.object_store import known_items
from verbenafall_core.object_store import revisions

SECOND = datetime.timedelta(seconds=1)
RETENTION = 10 * SECOND


def apply(known, era, number, seconds, *names, complete=False, removed=()):
    version = revisions.create_revision(era, number)
    items = [collection.Item(name, version, f"{name}{era}") for name in names]
    items += [collection.Item(name, version, None) for name in removed]
    known.apply(
        collection.Batch(version, tuple(items), ()), complete, seconds * SECOND
    )


@pytest.fixture
def known():
    found = known_items.create_known_items(RETENTION)
    apply(found, 1, 20, 0, "a", "b", complete=True)
    return found


# Test id; batches as era, number, seconds, names, whether complete and names
# of removed items; values known after them.
BATCHES = [
    ("same era", [(1, 25, 5, "a", True, "")], {"a": "a1"}),
    ("removed", [(1, 25, 5, "", False, "b")], {"a": "a1"}),
    ("lacks one", [(2, 15, 5, "a", True, "")], {"a": "a2", "b": "b1"}),
    ("lacks all", [(2, 15, 5, "", True, "")], {"a": "a1", "b": "b1"}),
    (
        *("written again", [(2, 15, 5, "a", True, ""), (2, 16, 9, "b", 0, "")]),
        {"a": "a2", "b": "b2"},
    ),
    (
        *(
            "written and kept",
            [(2, 15, 5, "", True, ""), (2, 16, 9, "b", 0, "")],
        ),
        {"a": "a1", "b": "b2"},
    ),
    (
        *(
            "not written in time",
            [(2, 15, 5, "a", True, ""), (2, 15, 15, "", 0, "")],
        ),
        {"a": "a2"},
    ),
    (
        *("removed again", [(2, 15, 5, "a", True, ""), (2, 16, 6, "", 0, "b")]),
        {"a": "a2"},
    ),
    (
        *("read twice", [(2, 15, 5, "a", True, ""), (2, 16, 6, "a", True, "")]),
        {"a": "a2", "b": "b1"},
    ),
    (
        *("read late", [(2, 15, 5, "a", True, ""), (2, 16, 15, "", True, "")]),
        {},
    ),
    (
        *(
            "restored twice",
            [(2, 15, 5, "a", True, ""), (3, 9, 14, "", True, "")],
        ),
        {"a": "a2", "b": "b1"},
    ),
]


class TestKnownItems:
    @pytest.mark.parametrize(
        ("batches", "expected"),
        [case[1:] for case in BATCHES],
        ids=[case[0] for case in BATCHES],
    )
    def test_store_restored(self, known, batches, expected):
        for era, number, seconds, names, complete, removed in batches:
            apply(
                *(known, era, number, seconds, *names),
                complete=bool(complete),
                removed=removed,
            )
        assert known.by_name == expected
        assert set(known.missing_until) <= set(known.by_name)
