"""Among how many gateways a limit is divided, as one gateway knows it."""

import pytest

from verbenafall_gateway.forwarding import membership

START = 100.0
LIFETIME = membership.RECORDS_LIFETIME_SECONDS
EXPIRY = membership.SHARE_EXPIRY_SECONDS


def member(*names, counted_by=()):
    """Return the membership of g1 after it has read some records."""
    subject = membership.create_membership("g1")
    subject.apply_records(names, START)
    for name in counted_by:
        subject.record_counted_by(name)
    return subject


# Test id, records, gateways that count this one, seconds later, sharing.
JOINS = [
    ("nothing is recorded", (), (), 0.0, None),
    ("not recorded itself", ("g2",), ("g2",), 0.0, None),
    ("alone", ("g1",), (), 0.0, 1),
    ("counted by all", ("g1", "g2", "g3"), ("g2", "g3"), 0.0, 3),
    ("not counted by one", ("g1", "g2", "g3"), ("g2",), 0.0, None),
    ("not counted by one, records unread", ("g1", "g2"), (), EXPIRY, None),
    ("records unread", ("g1",), (), LIFETIME, None),
    ("records read recently", ("g1",), (), LIFETIME - 0.1, 1),
]


class TestMembership:
    @pytest.mark.parametrize(
        ("names", "counted_by", "seconds", "expected"),
        [case[1:] for case in JOINS],
        ids=[case[0] for case in JOINS],
    )
    def test_sharing(self, names, counted_by, seconds, expected):
        subject = member(*names, counted_by=counted_by)
        assert subject.sharing(START + seconds) == expected

    def test_silent_gateway_delays_a_new_one_until_its_share_expires(self):
        subject = member("g1", "g2")
        subject.apply_records(("g1", "g2"), START + EXPIRY)
        assert subject.sharing(START + EXPIRY - 0.1) is None
        assert subject.sharing(START + EXPIRY) == 2

    def test_new_gateways_need_not_count_one_that_has_joined(self):
        subject = member("g1", "g2", counted_by=("g2",))
        assert subject.sharing(START) == 2
        subject.apply_records(("g1", "g2", "g3"), START + 1)
        assert subject.sharing(START + 1) == 3

    def test_gateway_whose_record_disappears_joins_again(self):
        subject = member("g1", "g2", counted_by=("g2",))
        assert subject.sharing(START) == 2
        subject.apply_records(("g2",), START + 1)
        assert subject.sharing(START + 1) is None
        subject.apply_records(("g1", "g2"), START + 2)
        assert subject.sharing(START + 2) is None
        subject.record_counted_by("g2")
        assert subject.sharing(START + 2) == 2

    def test_gateway_that_leaves_is_counted_until_its_share_expires(self):
        subject = member("g1", "g2", counted_by=("g2",))
        subject.apply_records(("g1",), START + 1)
        assert subject.sharing(START + 1) == 2
        subject.apply_records(("g1",), START + 1 + EXPIRY)
        assert subject.sharing(START + 1 + EXPIRY) == 1

    def test_linked_gateway_without_a_record_is_counted(self):
        subject = member("g1")
        subject.add_link("g2")
        subject.record_counted_by("g2")
        assert subject.sharing(START) == 2
        subject.remove_link("g2", START + 1)
        assert subject.sharing(START + 1) == 2


ABSENCE = membership.ABSENCE_SECONDS

# Test id, name of the gateway, links, seconds later, records that it removes.
ABSENT = [
    ("first by name", "g1", ("g2",), ABSENCE, ["g3"]),
    ("not yet", "g1", ("g2",), ABSENCE - 0.1, []),
    ("another one is first", "g2", ("g1",), ABSENCE, []),
    ("no link to the first", "g2", ("g3",), ABSENCE, ["g1"]),
    ("most are absent", "g1", (), ABSENCE, []),
    ("linked with all", "g1", ("g2", "g3"), ABSENCE, []),
    ("has no record itself", "g0", ("g1", "g2"), ABSENCE, []),
]


class TestAbsence:
    @pytest.mark.parametrize(
        ("name", "links", "seconds", "expected"),
        [case[1:] for case in ABSENT],
        ids=[case[0] for case in ABSENT],
    )
    def test_records_to_remove(self, name, links, seconds, expected):
        subject = membership.create_membership(name)
        subject.apply_records(("g1", "g2", "g3"), START)
        for link in links:
            subject.add_link(link)
        assert subject.take_absent(START + seconds) == expected

    def test_record_of_the_only_other_gateway_is_removed(self):
        subject = member("g1", "g2")
        assert subject.take_absent(START + ABSENCE) == ["g2"]

    def test_record_is_removed_once_per_absence(self):
        subject = member("g1", "g2")
        subject.take_absent(START + ABSENCE)
        assert subject.take_absent(START + ABSENCE + 1) == []
        assert subject.take_absent(START + 2 * ABSENCE) == ["g2"]

    def test_gone_gateway_does_not_lower_the_shares_for_good(self):
        subject = member("g1", "g2", counted_by=("g2",))
        assert subject.take_absent(START + ABSENCE) == ["g2"]
        removed = START + ABSENCE + 1
        subject.apply_records(("g1",), removed)
        assert subject.sharing(removed) == 2
        subject.apply_records(("g1",), removed + EXPIRY)
        assert subject.sharing(removed + EXPIRY) == 1
