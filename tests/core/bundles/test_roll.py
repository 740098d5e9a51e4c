"""Rollout: one version wins; after a lost response the store is read again."""

import datetime

import pytest

import bundle_helpers
from verbenafall_core import addresses
from verbenafall_core import messages
from verbenafall_core.bundles import records
from verbenafall_core.bundles import roll
from verbenafall_core.bundles import roll_plan
from verbenafall_core.instance_list import port as instance_port
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

ADDRESS = addresses.Address("127.0.0.1", 1)
LIMIT = datetime.timedelta(seconds=10)
Head = records.Head


def status(name, in_force=0, pending=0, rejected=()):
    return messages.StatusReply(
        0,
        name,
        "sidecar",
        "dc-1",
        "chat",
        in_force,
        pending,
        rejected,
        True,
        "",
        False,
        (),
    )


def instance(name, state="live"):
    return instance_port.Instance(
        name,
        "sidecar",
        "dc-1",
        "chat",
        ADDRESS,
        instance_port.InstanceState(state),
    )


class Fleet:
    """Processes that prepare the pending version when they are notified."""

    def __init__(self, store, names=("a", "b"), stuck=(), rejecting=()):
        self.store = store
        self.names = names
        self.stuck = stuck
        self.rejecting = rejecting
        self.head = Head(0, 0)

    def notify(self):
        stored = self.store.objects.get(records.HEAD_NAME)
        if stored is not None:
            self.head = records.decode_head(stored.value).unwrap()

    def read(self):
        self.notify()
        instances = (
            *(instance(name) for name in self.names),
            instance("gone", "leaving"),
        )
        return roll.FleetView(
            instances, tuple(map(self.status, self.names)), ()
        )

    def status(self, name):
        if name in self.rejecting:
            entry = messages.RejectedBundle(self.head.pending, "bad key")
            return status(name, 0, 0, (entry,))
        pending = 0 if name in self.stuck else self.head.pending
        return status(name, self.head.accepted, pending)


class NoticeOnlyFleet(Fleet):
    """Processes that read the head only on a notice, which may be lost.

    Attributes:
        lost: Numbers of the notices that are lost, from 1.
    """

    def __init__(self, store, lost):
        super().__init__(store)
        self.lost = lost
        self.notices = 0

    def notify(self):
        self.notices += 1
        if self.notices not in self.lost:
            super().notify()

    def read(self):
        return roll.FleetView(
            tuple(map(instance, self.names)),
            tuple(map(self.status, self.names)),
            (),
        )


def start(store, version, fleet=None, text=None):
    clock = manual_clock.create_manual_clock()
    lines = []
    signed = bundle_helpers.signed(version, text=text)
    fleet = fleet or Fleet(store)
    runner = roll.create_rollout(
        store, fleet, clock, clock.advance, lines.append, signed, LIMIT
    )
    return runner, lines


def head_of(store):
    return records.decode_head(store.objects[records.HEAD_NAME].value).unwrap()


ACTIONS = [
    (Head(0, 0), 1, (), roll_plan.SetPending(Head(0, 1))),
    (Head(3, 0), 4, (), roll_plan.SetPending(Head(3, 4))),
    (Head(3, 4), 6, (), roll_plan.SetPending(Head(3, 6))),
    (Head(3, 0), 5, (4,), roll_plan.SetPending(Head(3, 5))),
    (Head(3, 4), 4, (), roll_plan.AwaitPrepared()),
    (Head(4, 0), 4, (), roll_plan.AlreadyAccepted()),
    (Head(4, 5), 4, (), roll_plan.AlreadyAccepted()),
]

LOST = [
    (Head(3, 0), 5, (), "sign the bundle as version 4"),
    (Head(3, 0), 6, (4,), "sign the bundle as version 5"),
    (Head(5, 0), 4, (), "version 5 is accepted"),
    (Head(3, 6), 5, (), "version 6 is pending"),
]


class TestPlan:
    @pytest.mark.parametrize(("head", "version", "used", "action"), ACTIONS)
    def test_action(self, head, version, used, action):
        chosen = roll_plan.choose_action(head, version, frozenset(used))
        assert chosen == action

    @pytest.mark.parametrize(("head", "version", "used", "part"), LOST)
    def test_reports_the_winning_version(self, head, version, used, part):
        action = roll_plan.choose_action(head, version, frozenset(used))
        assert part in action.message


FAULTS = [
    memory_store.Fault.LOST_ANSWER,
    memory_store.Fault.LOST_CALL,
    memory_store.Fault.THROTTLED,
    memory_store.Fault.DOWN,
]


class TestRoll:
    @pytest.mark.parametrize("fault", FAULTS)
    @pytest.mark.parametrize("failing", range(12))
    def test_recovers_from_any_single_failed_call(self, fault, failing):
        store = memory_store.create_memory_store()
        store.plan = lambda call: (
            fault if len(store.calls) == failing + 1 else None
        )
        result = start(store, 1)[0].run()
        assert result.status is roll.RolloutStatus.ACCEPTED, result
        assert head_of(store) == Head(1, 0)

    def test_waits_for_every_live_process(self):
        store = memory_store.create_memory_store()
        runner = start(store, 1, Fleet(store, stuck=("b",)))[0]
        result = runner.run()
        assert result.status is roll.RolloutStatus.NOT_PREPARED
        assert "waiting for b" in result.message
        assert head_of(store) == Head(0, 1)
        assert start(store, 1)[0].run().status is roll.RolloutStatus.ACCEPTED

    @pytest.mark.parametrize("lost", [(1,), (2,), (1, 2), (1, 3)])
    def test_a_lost_notice_costs_seconds(self, lost):
        """Guards against a rollout that waits for the regular polls.

        With 980 processes, the poll interval is 49 s.
        """
        store = memory_store.create_memory_store()
        fleet = NoticeOnlyFleet(store, lost)
        runner, _ = start(store, 1, fleet)
        started_at = runner.clock.monotonic()
        result = runner.run()
        assert "in force everywhere" in result.message
        assert runner.clock.monotonic() - started_at < datetime.timedelta(
            seconds=7
        )

    def test_notices_are_spaced(self):
        """Guards against overload: a notice costs one read per gateway."""
        store = memory_store.create_memory_store()
        fleet = NoticeOnlyFleet(store, range(100))
        start(store, 1, fleet)[0].run()
        assert fleet.notices <= LIMIT / roll.NOTICE_INTERVAL + 1

    def test_an_empty_fleet_accepts_nothing(self):
        store = memory_store.create_memory_store()
        result = start(store, 1, Fleet(store, names=()))[0].run()
        assert result.status is roll.RolloutStatus.NOT_PREPARED

    def test_stops_at_a_rejection_and_accepts_a_higher_version(self):
        store = memory_store.create_memory_store()
        result = start(store, 1, Fleet(store, rejecting=("b",)))[0].run()
        assert result.status is roll.RolloutStatus.REJECTED
        assert "b: bad key" in result.message
        assert start(store, 2)[0].run().status is roll.RolloutStatus.ACCEPTED
        assert head_of(store) == Head(2, 0)

    def test_first_of_two_texts_with_the_same_version_wins(self):
        store = memory_store.create_memory_store()
        other = bundle_helpers.text_of(1, region="region-b")
        start(store, 1, Fleet(store, stuck=("a",)))[0].run()
        result = start(store, 1, text=other)[0].run()
        assert result.status is roll.RolloutStatus.LOST
        assert "another operator" in result.message

    def test_ends_when_a_higher_version_becomes_pending(self):
        store = memory_store.create_memory_store()
        runner, _ = start(store, 1, Fleet(store, stuck=("a",)))
        rounds = []

        def pause(step):
            rounds.append(step)
            if len(rounds) == 5:
                bundle_helpers.put_head(store, 0, 2)

        runner.pause = pause
        result = runner.run()
        assert result == (
            roll.RolloutStatus.LOST,
            "version 2 is pending and is newer",
        )

    def test_reports_a_store_that_remains_unavailable(self):
        store = memory_store.create_memory_store()
        store.plan = lambda _call: memory_store.Fault.DOWN
        result = start(store, 1)[0].run()
        assert result.status is roll.RolloutStatus.STORE_FAILED
