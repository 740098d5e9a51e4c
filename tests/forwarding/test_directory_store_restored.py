"""Tests of the directory after the store was restored from an older copy."""

import pytest

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import revisions
from verbenafall_gateway.forwarding import endpoint_directory

GRACE = endpoint_directory.REGISTRATION_GRACE_SECONDS
LAPSE = endpoint_directory.COPIED_ENTRY_LAPSE_SECONDS
START = 50_000
RESTART = START + 1


def entry(number, era=1, name="a", draining=False, start=START):
    value = endpoints.Endpoint(
        name,
        "s",
        addresses.Address(f"10.0.0.{ord(name[0])}", 80),
        "dc",
        4,
        draining,
        start,
    )
    return collection.Item(name, revisions.create_revision(era, number), value)


def removal(number, era=1, name="a"):
    return collection.Item(name, revisions.create_revision(era, number), None)


def other(era):
    """An entry that has not changed since before the copy was made."""
    return entry(80, era, "b")


def apply(directory, era, number, items, now, complete=False, outage=False):
    batch = collection.Batch(
        revisions.create_revision(era, number), tuple(items), ()
    )
    directory.apply(batch, complete, outage, now)


def read(directory, era, number, items, now=100.0, outage=False):
    apply(directory, era, number, items, now, complete=True, outage=outage)


def watch(directory, items, now=100.0):
    for item in items:
        era = revisions.era_of(item.version)
        number = revisions.number_of(item.version)
        apply(directory, era, number, [item], now)


def usable(directory):
    return sorted(endpoint.id for endpoint in directory.usable("s"))


def create_directory(start=START):
    """Return a directory that has read the entries of a and b in era 1."""
    directory = endpoint_directory.create_endpoint_directory()
    read(directory, 1, 95, [entry(90, start=start), other(1)], now=0.0)
    return directory


# What the directory learned of a in era 1.
REMOVED = [removal(105)]
DRAINED = [entry(105, draining=True)]
DRAINED_AND_REMOVED = [entry(105, draining=True), removal(110)]
STARTED_AGAIN = [*DRAINED_AND_REMOVED, entry(112, start=RESTART)]

# Test id, changes of a's entry in era 1, its entry as read in era 2 (None if
# it is missing), whether a is usable after the read, and whether it is usable
# when the entry has stayed for longer than a copied one could.
READS = [
    ("unchanged", [], entry(90, 2), True, True),
    ("changed before the copy", [entry(92)], entry(92, 2), True, True),
    ("changed after the copy", [entry(105)], entry(90, 2), True, True),
    ("drains now", [], entry(101, 2, draining=True), False, False),
    ("removed, copied", REMOVED, entry(90, 2), False, True),
    (
        "removed, started again",
        REMOVED,
        entry(99, 2, start=RESTART),
        True,
        True,
    ),
    ("removed, listed anew", REMOVED, entry(106, 2), True, True),
    ("removed, start unknown", REMOVED, entry(90, 2, start=None), False, True),
    ("removed, earlier start", REMOVED, entry(90, 2, start=1), False, True),
    ("draining, copied", DRAINED, entry(90, 2), False, False),
    ("draining, ready without a start", DRAINED, entry(106, 2), False, False),
    ("draining, still", DRAINED, entry(99, 2, draining=True), False, False),
    (
        "draining, started again",
        DRAINED,
        entry(99, 2, start=RESTART),
        True,
        True,
    ),
    ("draining, start unknown", DRAINED, entry(90, 2, start=None), False, True),
    ("drained, copied", DRAINED_AND_REMOVED, entry(90, 2), False, False),
    ("drained, copied later", DRAINED_AND_REMOVED, entry(99, 2), False, False),
    (
        *("drained, draining copied", DRAINED_AND_REMOVED),
        *(entry(99, 2, draining=True), False, False),
    ),
    (
        *("drained, started again", DRAINED_AND_REMOVED),
        *(entry(99, 2, start=RESTART), True, True),
    ),
    (
        *("started again before, same entry", STARTED_AGAIN),
        *(entry(99, 2, start=RESTART), True, True),
    ),
]

# Test id, changes in era 1, first entry in era 2, change in era 2, whether a
# is usable after it.
CHANGES = [
    ("removed, written again", REMOVED, entry(90, 2), entry(101, 2), True),
    ("removed again", REMOVED, entry(90, 2), removal(101, 2), False),
    (
        "draining, again",
        DRAINED,
        entry(90, 2),
        entry(101, 2, draining=True),
        False,
    ),
    ("draining, ready late", DRAINED, entry(90, 2), entry(101, 2), False),
    (
        *("draining, started again", DRAINED, entry(90, 2)),
        *(entry(101, 2, start=RESTART), True),
    ),
    (
        *("drained, started again", DRAINED_AND_REMOVED, entry(90, 2)),
        *(entry(101, 2, start=RESTART), True),
    ),
    ("missing, written again", [], None, entry(101, 2), True),
    ("missing, draining", [], None, entry(101, 2, draining=True), False),
    ("removed, listed anew", REMOVED, None, entry(101, 2), True),
]


def items_in_era_2(item):
    return [other(2)] if item is None else [item, other(2)]


class TestStoreRestored:
    @pytest.mark.parametrize(
        ("before", "copied", "at_once", "later"),
        [case[1:] for case in READS],
        ids=[case[0] for case in READS],
    )
    def test_entry_in_the_first_read(self, before, copied, at_once, later):
        directory = create_directory()
        watch(directory, before)
        read(directory, 2, 100, items_in_era_2(copied))
        assert ("a" in usable(directory)) is at_once
        # Watches without a change.
        apply(directory, 2, 100, [], 100.0 + LAPSE - 0.1)
        assert ("a" in usable(directory)) is at_once
        apply(directory, 2, 100, [], 100.0 + LAPSE)
        assert ("a" in usable(directory)) is later

    @pytest.mark.parametrize(
        ("before", "copied", "change", "expected"),
        [case[1:] for case in CHANGES],
        ids=[case[0] for case in CHANGES],
    )
    def test_change_after_the_first_read(
        self, before, copied, change, expected
    ):
        directory = create_directory()
        watch(directory, before)
        read(directory, 2, 100, items_in_era_2(copied))
        watch(directory, [change], now=101.0)
        directory.expire(100.0 + GRACE)
        assert ("a" in usable(directory)) is expected

    def test_copies_do_not_count_as_checked_without_the_store(self):
        """An entry cannot be removed while the store is unavailable."""
        directory = create_directory()
        watch(directory, REMOVED)
        read(directory, 2, 100, [entry(90, 2), other(2)])
        directory.mark_store_lost()
        apply(directory, 2, 100, [], 100.0 + LAPSE, outage=True)
        assert usable(directory) == ["b"]
        apply(directory, 2, 100, [], 100.0 + 2 * LAPSE)
        assert usable(directory) == ["a", "b"]

    def test_second_restore(self):
        """What was known in the first era also holds in the third."""
        directory = create_directory()
        watch(directory, REMOVED)
        read(directory, 2, 100, [entry(90, 2), other(2)])
        read(directory, 3, 102, [entry(90, 3), other(3)], now=100.1)
        assert usable(directory) == ["b"]
        watch(directory, [entry(103, 3)])
        assert usable(directory) == ["a", "b"]

    def test_confirmed_entry_is_not_withheld_after_another_restore(self):
        directory = create_directory()
        watch(directory, REMOVED)
        read(directory, 2, 100, [entry(90, 2), other(2)])
        apply(directory, 2, 100, [], 100.0 + LAPSE)
        read(directory, 3, 102, [entry(90, 3), other(3)], now=200.0)
        assert usable(directory) == ["a", "b"]


class TestStoreRestoredWithoutAnEntry:
    @pytest.mark.parametrize("outage", [False, True])
    def test_stays_in_use_until_its_engine_had_time(self, outage):
        directory = create_directory()
        read(directory, 2, 70, [], outage=outage)
        assert usable(directory) == ["a", "b"]
        watch(directory, [entry(71, 2)], now=101.0)
        directory.expire(100.0 + GRACE - 0.1)
        assert usable(directory) == ["a", "b"]
        directory.expire(100.0 + GRACE)
        assert usable(directory) == ["a"]

    def test_removal_in_the_new_era_counts_after_the_grace_period(self):
        directory = create_directory()
        read(directory, 2, 100, [other(2)])
        directory.expire(100.0 + GRACE)
        watch(directory, [entry(101, 2), removal(102, 2)], now=103.0)
        assert usable(directory) == ["b"]

    def test_outage_within_the_grace_period(self):
        """Entries cannot be written while the store is unavailable."""
        directory = create_directory()
        read(directory, 2, 100, [other(2)])
        directory.mark_store_lost()
        directory.expire(100.0 + 2 * GRACE)
        assert usable(directory) == ["a", "b"]
        apply(directory, 2, 100, [], 110.0, outage=True)
        directory.expire(110.0 + GRACE - 0.1)
        assert usable(directory) == ["a", "b"]
        directory.expire(110.0 + GRACE)
        assert usable(directory) == ["b"]

    def test_second_restore_within_the_grace_period(self):
        directory = create_directory()
        read(directory, 2, 100, [other(2)])
        read(directory, 3, 100, [other(3)], now=101.0)
        directory.expire(101.0 + GRACE - 0.1)
        assert usable(directory) == ["a", "b"]
        directory.expire(101.0 + GRACE)
        assert usable(directory) == ["b"]

    def test_earlier_start_counts_as_missing(self):
        """The copy shows the engine's previous life, which drained."""
        directory = create_directory(start=START)
        watch(directory, [entry(105, start=RESTART)])
        read(directory, 2, 100, [entry(99, 2, draining=True), other(2)])
        assert usable(directory) == ["a", "b"]
        directory.expire(100.0 + GRACE)
        assert usable(directory) == ["b"]
        watch(directory, [entry(101, 2, start=RESTART)], now=103.0)
        assert usable(directory) == ["a", "b"]


class TestStoreRestoredReplaced:
    def test_copied_entry_of_a_replaced_endpoint(self):
        directory = create_directory()
        directory.mark_replaced("a")
        read(directory, 2, 100, [entry(90, 2), other(2)])
        assert usable(directory) == ["b"]
        watch(directory, [entry(101, 2)])
        assert usable(directory) == ["a", "b"]


# Test id, era and number of a's entry as read, era and number that another
# gateway reports as the ones at which a left, whether a stays usable, and
# whether it is usable when the entry has stayed for longer than a copied one
# could.
MERGES = [
    ("newer", (1, 90), (1, 105), False, False),
    ("same", (1, 90), (1, 90), False, False),
    ("older", (1, 90), (1, 85), True, True),
    ("peer saw the restore first", (1, 90), (2, 85), False, False),
    ("peer has not seen the restore", (2, 90), (1, 105), False, True),
    ("peer is behind, entry is newer", (2, 110), (1, 105), True, True),
    ("peer is behind by two restores", (3, 90), (1, 105), False, True),
    ("both saw the restore", (2, 90), (2, 95), False, False),
    ("both saw the restore, older", (2, 90), (2, 85), True, True),
]


class TestStoreRestoredOtherGateways:
    @pytest.mark.parametrize(
        ("listed", "reported", "at_once", "later"),
        [case[1:] for case in MERGES],
        ids=[case[0] for case in MERGES],
    )
    def test_reported_departure(self, listed, reported, at_once, later):
        era, number = listed
        directory = endpoint_directory.create_endpoint_directory()
        read(directory, era, 120, [entry(number, era), other(era)], now=0.0)
        directory.merge_leaving({"a": revisions.create_revision(*reported)})
        assert ("a" in usable(directory)) is at_once
        apply(directory, era, 120, [], LAPSE)
        assert ("a" in usable(directory)) is later

    @pytest.mark.parametrize(
        ("copied", "expected"),
        [(entry(90, 2), ["b"]), (entry(106, 2), ["a", "b"])],
        ids=["copied", "written after it left"],
    )
    def test_departure_is_known_before_the_entry(self, copied, expected):
        """A gateway that has just started learns from its peers."""
        directory = endpoint_directory.create_endpoint_directory()
        directory.merge_leaving({"a": revisions.create_revision(1, 105)})
        read(directory, 2, 100, [copied, other(2)])
        assert usable(directory) == expected

    def test_report_of_a_gateway_that_is_behind_by_far(self):
        directory = create_directory()
        read(directory, 2, 100, [entry(90, 2), other(2)])
        apply(directory, 2, 100, [], 100.0 + LAPSE)
        directory.merge_leaving({"a": revisions.create_revision(1, 105)})
        assert usable(directory) == ["a", "b"]

    def test_gateways_that_see_the_restore_at_different_times(self):
        first, second = create_directory(), create_directory()
        first.leaving_changed = second.merge_leaving
        second.leaving_changed = first.merge_leaving
        watch(first, DRAINED)
        assert usable(second) == ["b"]
        read(second, 2, 100, [entry(90, 2), other(2)])
        read(first, 2, 100, [entry(90, 2), other(2)], now=101.0)
        assert usable(first) == usable(second) == ["b"]
        watch(second, [entry(101, 2, start=RESTART)], now=102.0)
        first.merge_leaving(second.leaving_versions())
        watch(first, [entry(101, 2, start=RESTART)], now=103.0)
        second.merge_leaving(first.leaving_versions())
        assert usable(first) == usable(second) == ["a", "b"]

    def test_number_of_reported_departures_is_bounded(self, monkeypatch):
        monkeypatch.setattr(endpoint_directory, "MAX_LEAVING", 3)
        directory = endpoint_directory.create_endpoint_directory()
        directory.merge_leaving({f"n{number}": number for number in range(10)})
        assert list(directory.leaving) == ["n7", "n8", "n9"]
