"""Adoption decisions at their edges, without I/O."""

import datetime

import pytest

from verbenafall_core import messages
from verbenafall_core.bundles import adoption


def seconds(value):
    return datetime.timedelta(seconds=value)


def beat(in_force, pending=0, confirmed=True, draining=False):
    return messages.Heartbeat(in_force, pending, confirmed, draining)


def knowledge(*events):
    """Apply (second, event) pairs and settle after each."""
    known = adoption.create_knowledge()
    for at, event in events:
        known = adoption.apply(event, known, seconds(at))
        known = adoption.settle(known, seconds(at)).knowledge
    return known


def head(accepted, pending=0, at=0):
    return adoption.HeadRead(accepted, pending, seconds(at))


def heard(name, **fields):
    return adoption.PeerHeard(name, beat(**fields))


ONE = [(0, head(1)), (0, adoption.TextVerified(1))]
TWO_PENDING = [*ONE, (0, head(1, 2)), (0, adoption.TextVerified(2))]
THREE_PEERS = [(9, heard(name, in_force=1)) for name in "abc"]
LOST = adoption.PeerClosed("a")

# (name, events, second, expected: in force, takes new work, confirmed)
CASES = [
    ("fresh", [], 0, (0, False, False)),
    ("head only", [(0, head(1))], 0, (0, False, False)),
    ("accepted", ONE, 0, (1, True, True)),
    ("last second", ONE, 5, (1, True, True)),
    ("cut off", ONE, 5.1, (1, False, False)),
    ("old answer", [*ONE, (9, head(1, at=3))], 9, (1, False, False)),
    ("majority", [*ONE, *THREE_PEERS[:1]], 10, (1, True, True)),
    (
        "two of three lost",
        [*ONE, *THREE_PEERS, (20, heard("a", in_force=1))],
        20,
        (1, False, False),
    ),
    (
        "two of three heard",
        [*ONE, *THREE_PEERS, (20, heard("a", in_force=1)),
         (20, heard("b", in_force=1))],
        20,
        (1, True, True),
    ),
    ("pending is prepared only", TWO_PENDING, 1, (1, True, True)),
    (
        "pending in force when cut off",
        [*TWO_PENDING, (6, LOST)],
        6,
        (2, False, False),
    ),
    (
        "not confirmed until accepted",
        [*TWO_PENDING, (6, LOST), (7, head(1, 2, at=7))],
        7,
        (2, True, False),
    ),
    (
        "newer one unavailable",
        [*ONE, (2, head(2, at=2)), (6, head(2, at=6))],
        6,
        (1, False, False),
    ),
    (
        "newer one just learned",
        [*ONE, (2, head(2, at=2)), (4, head(2, at=4))],
        4,
        (1, True, False),
    ),
    (
        "learned after a doubt",
        [*ONE, (60, heard("a", in_force=2)), (60, heard("b", in_force=2))],
        60,
        (1, False, False),
    ),
    (
        "old head after new",
        [*ONE, (1, head(2, at=1)), (1, adoption.TextVerified(2)),
         (2, head(1, at=0))],
        2,
        (2, True, True),
    ),
    (
        "restart takes pending first",
        [(0, head(1, 2)), (0, adoption.TextVerified(1))],
        1,
        (0, False, False),
    ),
    (
        "unless it is rejected",
        [(0, head(1, 2)), (0, adoption.TextVerified(1)),
         (0, adoption.TextRejected(2, "bad"))],
        1,
        (1, True, True),
    ),
    (
        "stale peer",
        [(0, heard("a", in_force=1, confirmed=False)),
         (0, adoption.TextVerified(1))],
        0,
        (0, False, False),
    ),
]  # fmt: skip


class TestAdoption:
    @pytest.mark.parametrize(
        ("events", "at", "expected"),
        [case[1:] for case in CASES],
        ids=[case[0] for case in CASES],
    )
    def test_outcome(self, events, at, expected):
        known = knowledge(*events)
        now = seconds(at)
        found = (
            known.in_force,
            adoption.accepts_new_work(known, now),
            adoption.is_confirmed(known, now),
        )
        assert found == expected

    @pytest.mark.parametrize(
        ("draining", "at", "peers"),
        [(True, 1, 1), (False, 1, 2), (False, 62, 1)],
    )
    def test_forgets_peers_that_stopped_or_are_long_gone(
        self, draining, at, peers
    ):
        known = knowledge(
            *ONE,
            (0, heard("a", in_force=1, draining=draining)),
            (0, heard("b", in_force=1)),
            (0, LOST),
            (at, head(1, at=at)),
        )
        assert len(known.peers) == peers

    def test_polls_often_without_live_peers(self):
        regular = seconds(49)
        for events, expected in [
            (ONE, 1),
            ([*ONE, *THREE_PEERS], 49),
            ([*ONE, *THREE_PEERS, (15, LOST)], 1),
        ]:
            known = knowledge(*events)
            now = seconds(events[-1][0])
            interval = adoption.poll_interval(known, now, regular)
            assert interval == seconds(expected)
