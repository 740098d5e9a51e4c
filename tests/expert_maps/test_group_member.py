"""The group member service, and its decisions without a known record."""

import threading

import group_model
import pytest
import returns.result

from verbenafall_core import messages
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.object_store import port
from verbenafall_sidecar.group import group_member
from verbenafall_standins.fakes import memory_store


class FailingWatches:
    """A store whose watches fail, and which records their wait times."""

    def __init__(self, kinds):
        self.kinds = list(kinds)
        self.waits = []

    def watch(self, _name, _known_version, wait):
        self.waits.append(wait)
        kind = self.kinds.pop(0) if self.kinds else port.FailureKind.MISSING
        return returns.result.Failure(port.StoreFailure(kind, "test"))


class LimitedWaits:
    """Replaces the stop event; is set after a number of waits."""

    def __init__(self, count):
        self.remaining = count

    def is_set(self):
        return self.remaining <= 0

    def wait(self, _seconds):
        self.remaining -= 1


class TestFirstWatch:
    @pytest.mark.parametrize("failures", [0, 1, 3])
    def test_a_missing_record_is_known_at_the_first_answer(self, failures):
        """Guards against a new group that gets its record 30 s late.

        When many processes start, the store throttles some first calls. A
        watch with a wait time reports a missing record only after the wait.
        """
        throttled = [port.FailureKind.THROTTLED] * failures
        store = FailingWatches(throttled)
        setup = group_model.Group(size=1).members[0].setup
        member = group_member.create_group_member(setup._replace(store=store))
        member.stopping = LimitedWaits(failures + 2)
        member.watch()
        assert member.record_missing
        none = 0 * group_model.SECOND
        assert store.waits[: failures + 1] == [none] * (failures + 1)
        assert all(wait > none for wait in store.waits[failures + 1 :])
        assert len(store.waits) == failures + 2


class TestGroupMember:
    @pytest.mark.parametrize(
        ("store_up", "peers_up", "map_version"),
        [
            (True, True, 1),
            (True, False, 1),
            (False, True, 1),
            (False, False, 0),
        ],
    )
    def test_orders_wait_for_the_record(self, store_up, peers_up, map_version):
        """Guards against orders from a process without a known record."""
        group = group_model.Group(fences=False)
        for _ in range(3):
            group.round()
        group.kill(1)
        group.replace_engine(1)
        if not store_up:
            group.store.plan = lambda _: memory_store.Fault.DOWN
        if not peers_up:
            group.cuts = {frozenset((0, 1)), frozenset((1, 2))}
        group.boot(1)
        for _ in range(4):
            group.round(steps=0)
        assert group.engines[1].map_version == map_version
        group.assert_recovers()

    def test_message_of_an_earlier_link_is_ignored(self):
        """Guards against the use of a state from before a peer's restart."""
        group = group_model.Group()
        for _ in range(3):
            group.round()
        old = group.links[frozenset((0, 1))][0]
        group.connect(0, 1)
        member = group.members[0]
        member.setup.router.on_message(old, group.members[1].own)
        with member.lock:
            known = [m.instance for m in member.other_members()]
        assert known == ["i2"]

    def test_invalid_record_is_ignored(self):
        group = group_model.Group()
        for _ in range(3):
            group.round()
        member = group.members[0]
        newer = member.stored.version + 99
        member.on_record(None, messages.GroupRecord("g", newer, b"{}"))
        assert member.stored.version < newer

    def test_threads_follow_the_record(self):
        """Guards against a record that is read only when a caller asks."""
        group = group_model.Group()
        member = group.members[1]
        adopted = threading.Event()
        adopt = member.adopt

        def adopt_and_signal(stored):
            adopt(stored)
            adopted.set()

        member.adopt = adopt_and_signal
        member.start()
        record = record_lib.first_record(2)
        group.store.create("groups/g", record_lib.encode(record))
        assert adopted.wait(20)
        member.stop(group_model.SECOND)
        assert member.status().map_version == 2
