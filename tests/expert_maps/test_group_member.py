"""The group member as a service, and what it does without knowledge."""

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
    """A store that fails the first watches and notes the waits of all."""

    def __init__(self, kinds):
        self.kinds = list(kinds)
        self.waits = []

    def watch(self, _name, _known_version, wait):
        self.waits.append(wait)
        kind = self.kinds.pop(0) if self.kinds else port.FailureKind.MISSING
        return returns.result.Failure(port.StoreFailure(kind, "test"))


class CountedPauses:
    """Takes the place of the stop event; stops after some pauses."""

    def __init__(self, count):
        self.left = count

    def is_set(self):
        return self.left <= 0

    def wait(self, _seconds):
        self.left -= 1


class TestFirstWatch:
    @pytest.mark.parametrize("failures", [0, 1, 3])
    def test_a_missing_record_is_known_at_the_first_answer(self, failures):
        """Guards against a new group that gets its record 30 s late.

        In a start of many processes the store refuses some first calls, and
        a watch that waits says that the record is missing only at its end.
        """
        throttled = [port.FailureKind.THROTTLED] * failures
        store = FailingWatches(throttled)
        setup = group_model.Group(size=1).members[0].setup
        member = group_member.create_group_member(setup._replace(store=store))
        member.stopping = CountedPauses(failures + 2)
        member.watch()
        assert member.absent
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
        """Guards against orders by a process that knows no record."""
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
        """A state from before a peer's restart must not count."""
        group = group_model.Group()
        for _ in range(3):
            group.round()
        old = group.links[frozenset((0, 1))][0]
        group.connect(0, 1)
        member = group.members[0]
        member.setup.router.on_message(old, group.members[1].own)
        with member.lock:
            heard = [m.instance for m in member.other_members()]
        assert heard == ["i2"]

    def test_invalid_record_is_ignored(self):
        group = group_model.Group()
        for _ in range(3):
            group.round()
        member = group.members[0]
        member.on_record(None, messages.GroupRecord("g", 99, b"{}"))
        assert member.stored.version < 99

    def test_threads_follow_the_record(self):
        """The record must arrive by the watch while nobody calls."""
        group = group_model.Group()
        member = group.members[1]
        heard = threading.Event()
        adopt = member.adopt

        def note(stored):
            adopt(stored)
            heard.set()

        member.adopt = note
        member.start()
        record = record_lib.first_record(2)
        group.store.create("groups/g", record_lib.encode(record))
        assert heard.wait(20)
        member.stop(group_model.SECOND)
        assert member.status().map_version == 2
