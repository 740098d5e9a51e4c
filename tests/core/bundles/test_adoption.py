"""Boundary cases of the adoption decisions, without I/O."""

import datetime

import pytest

from verbenafall_core import messages
from verbenafall_core.bundles import adoption


def seconds(value):
    return datetime.timedelta(seconds=value)


def heartbeat(in_force, pending=0, confirmed=True, draining=False):
    return messages.Heartbeat(in_force, pending, confirmed, draining)


def apply_events(*events):
    """Apply (second, event) pairs and return the state after the last."""
    state = adoption.create_state()
    for at, event in events:
        state = adoption.apply(event, state, seconds(at))
        state = adoption.decide(state, seconds(at)).state
    return state


def head(accepted, pending=0, at=0):
    return adoption.HeadRead(accepted, pending, seconds(at))


def from_peer(name, **fields):
    return adoption.HeartbeatReceived(name, heartbeat(**fields))


ONE = [(0, head(1)), (0, adoption.TextVerified(1))]
TWO_PENDING = [*ONE, (0, head(1, 2)), (0, adoption.TextVerified(2))]
THREE_PEERS = [(9, from_peer(name, in_force=1)) for name in "abc"]
LINK_CLOSED = adoption.LinkClosed("a")

# (name, events, second, expected: in force, accepts new work, confirmed)
CASES = [
    ("just started", [], 0, (0, False, False)),
    ("text not yet verified", [(0, head(1))], 0, (0, False, False)),
    ("accepted", ONE, 0, (1, True, True)),
    ("contact timeout not yet passed", ONE, 5, (1, True, True)),
    ("contact timeout passed", ONE, 5.1, (1, False, False)),
    ("late read response", [*ONE, (9, head(1, at=3))], 9, (1, False, False)),
    ("the only peer is live", [*ONE, *THREE_PEERS[:1]], 10, (1, True, True)),
    (
        "one of three peers is live",
        [*ONE, *THREE_PEERS, (20, from_peer("a", in_force=1))],
        20,
        (1, False, False),
    ),
    (
        "two of three peers are live",
        [*ONE, *THREE_PEERS, (20, from_peer("a", in_force=1)),
         (20, from_peer("b", in_force=1))],
        20,
        (1, True, True),
    ),
    ("pending is only prepared in contact", TWO_PENDING, 1, (1, True, True)),
    (
        "pending is put in force out of contact",
        [*TWO_PENDING, (6, LINK_CLOSED)],
        6,
        (2, False, False),
    ),
    (
        "not confirmed until accepted",
        [*TWO_PENDING, (6, LINK_CLOSED), (7, head(1, 2, at=7))],
        7,
        (2, True, False),
    ),
    (
        "text of the accepted version missing too long",
        [*ONE, (2, head(2, at=2)), (6, head(2, at=6))],
        6,
        (1, False, False),
    ),
    (
        "text of the accepted version missing briefly",
        [*ONE, (2, head(2, at=2)), (4, head(2, at=4))],
        4,
        (1, True, False),
    ),
    (
        "newer version reported after the contact timeout",
        [*ONE, (60, from_peer("a", in_force=2)),
         (60, from_peer("b", in_force=2))],
        60,
        (1, False, False),
    ),
    (
        "response to an older read arrives last",
        [*ONE, (1, head(2, at=1)), (1, adoption.TextVerified(2)),
         (2, head(1, at=0))],
        2,
        (2, True, True),
    ),
    (
        "restart waits for the pending text",
        [(0, head(1, 2)), (0, adoption.TextVerified(1))],
        1,
        (0, False, False),
    ),
    (
        "restart uses the accepted text if pending is rejected",
        [(0, head(1, 2)), (0, adoption.TextVerified(1)),
         (0, adoption.TextRejected(2, "bad"))],
        1,
        (1, True, True),
    ),
    (
        "heartbeat of an unconfirmed peer",
        [(0, from_peer("a", in_force=1, confirmed=False)),
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
    def test_version_and_readiness(self, events, at, expected):
        state = apply_events(*events)
        now = seconds(at)
        actual = (
            state.in_force,
            adoption.accepts_new_work(state, now),
            adoption.is_confirmed(state, now),
        )
        assert actual == expected

    @pytest.mark.parametrize(
        ("draining", "at", "peers"),
        [(True, 1, 1), (False, 1, 2), (False, 62, 1)],
    )
    def test_removes_peers_that_drained_or_are_long_disconnected(
        self, draining, at, peers
    ):
        state = apply_events(
            *ONE,
            (0, from_peer("a", in_force=1, draining=draining)),
            (0, from_peer("b", in_force=1)),
            (0, LINK_CLOSED),
            (at, head(1, at=at)),
        )
        assert len(state.peers) == peers

    def test_polls_more_often_without_live_peers(self):
        regular = seconds(49)
        for events, expected in [
            (ONE, 1),
            ([*ONE, *THREE_PEERS], 49),
            ([*ONE, *THREE_PEERS, (15, LINK_CLOSED)], 1),
        ]:
            state = apply_events(*events)
            now = seconds(events[-1][0])
            interval = adoption.poll_interval(state, now, regular)
            assert interval == seconds(expected)
