"""Tests of updates of the directory by store, gateways and endpoints."""

import pytest

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core.object_store import collection
from verbenafall_gateway.forwarding import endpoint_directory

GRACE = endpoint_directory.REGISTRATION_GRACE_SECONDS


def item(name, version, draining=False, gone=False):
    value = endpoints.Endpoint(
        name, "s", addresses.Address("10.0.0.1", 80), "dc", 4, draining
    )
    return collection.Item(name, version, None if gone else value)


def apply(directory, revision, items, complete=False, outage=False, now=0.0):
    batch = collection.Batch(revision, tuple(items), ())
    directory.apply(batch, complete, outage, now)


def usable(directory):
    return sorted(endpoint.id for endpoint in directory.usable("s"))


@pytest.fixture
def directory():
    found = endpoint_directory.create_endpoint_directory()
    apply(found, 5, [item("a", 4), item("b", 5)], complete=True)
    return found


CHANGES = [
    ("draining", [item("a", 6, draining=True)], ["b"]),
    ("removed", [item("a", 6, gone=True)], ["b"]),
    ("outdated entry", [item("a", 3, draining=True)], ["a", "b"]),
    ("outdated removal", [item("a", 3, gone=True)], ["a", "b"]),
    ("added", [item("c", 6)], ["a", "b", "c"]),
]


class TestStore:
    @pytest.mark.parametrize(
        ("items", "expected"),
        [case[1:] for case in CHANGES],
        ids=[case[0] for case in CHANGES],
    )
    def test_change(self, directory, items, expected):
        apply(directory, 6, items)
        assert usable(directory) == expected

    def test_missing_from_a_complete_list(self, directory):
        apply(directory, 7, [item("b", 5)], complete=True)
        assert usable(directory) == ["b"]

    def test_entries_may_reappear_after_an_outage(self, directory):
        apply(directory, 9, [], complete=True, outage=True, now=100.0)
        assert usable(directory) == ["a", "b"]
        apply(directory, 10, [item("a", 10)], now=101.0)
        directory.expire(100.0 + GRACE + 0.01)
        assert usable(directory) == ["a"]

    def test_expired_draining_entry_is_removed_after_an_outage(self, directory):
        apply(directory, 6, [item("a", 6, draining=True)])
        apply(directory, 9, [item("b", 5)], complete=True, outage=True)
        assert usable(directory) == ["b"]


# Starts of two engines at one address, as listed, and the usable ones.
STARTS = [
    ((10, 20), ["new"]),
    ((20, 20), ["new", "old"]),
    ((None, 20), ["new", "old"]),
    ((20, None), ["new", "old"]),
]


class TestAddressUsedAgain:
    @pytest.mark.parametrize(("starts", "expected"), STARTS)
    def test_only_the_engine_that_started_last_is_used(self, starts, expected):
        """The entry of a crashed engine stays in the store for a while."""
        items = []
        for (name, revision), start in zip(
            [("old", 1), ("new", 2)], starts, strict=True
        ):
            found = item(name, revision)
            value = found.value._replace(started_at=start)
            items.append(found._replace(value=value))
        directory = endpoint_directory.create_endpoint_directory()
        apply(directory, 2, items, complete=True)
        assert usable(directory) == expected

    def test_earlier_engine_returns_with_a_later_start(self):
        directory = endpoint_directory.create_endpoint_directory()
        for revision, (name, start) in enumerate(
            [("a", 10), ("b", 20), ("a", 30)], 1
        ):
            found = item(name, revision)
            value = found.value._replace(started_at=start)
            apply(directory, revision, [found._replace(value=value)])
        assert usable(directory) == ["a"]


class TestOthers:
    def test_leaving_endpoints_are_reported_and_merged(self, directory):
        reports = []
        directory.leaving_changed = reports.append
        apply(directory, 6, [item("a", 6, draining=True)])
        assert reports == [{"a": 6}]
        other = endpoint_directory.create_endpoint_directory()
        apply(other, 5, [item("a", 4), item("b", 5)], complete=True)
        other.merge_leaving(reports[0])
        assert usable(other) == ["b"]
        apply(other, 8, [item("a", 8)])
        assert usable(other) == ["a", "b"]

    def test_number_of_leaving_endpoints_is_bounded(
        self, directory, monkeypatch
    ):
        monkeypatch.setattr(endpoint_directory, "MAX_LEAVING", 3)
        for number in range(10):
            apply(directory, 10 + number, [item(f"n{number}", 10 + number)])
            gone = item(f"n{number}", 30 + number, gone=True)
            apply(directory, 30 + number, [gone])
        assert list(directory.leaving) == ["n7", "n8", "n9"]

    def test_address_that_answers_under_another_id(self, directory):
        directory.mark_replaced("a")
        assert usable(directory) == ["b"]
        apply(directory, 6, [item("a", 6)])
        assert usable(directory) == ["a", "b"]


class TestAddressOfAnotherEntry:
    """Guards an engine against an odd entry with its address.

    An entry of an unknown service with a later start took it out of use.
    """

    @pytest.mark.parametrize(
        ("service", "started_at", "expected"),
        [
            ("s", 2, ["b"]),
            ("t", 2, []),
            ("unknown", 2, ["a"]),
            ("unknown", 0, ["a"]),
            ("s", 0, ["a"]),
        ],
    )
    def test_later_start(self, service, started_at, expected):
        found = endpoint_directory.create_endpoint_directory()
        found.is_known_service = {"s", "t"}.__contains__
        first, second = (item(name, 4).value for name in "ab")
        other = second._replace(service=service, started_at=started_at)
        entries = [
            collection.Item("a", 4, first._replace(started_at=1)),
            collection.Item("b", 5, other),
        ]
        apply(found, 5, entries, complete=True)
        assert usable(found) == expected
