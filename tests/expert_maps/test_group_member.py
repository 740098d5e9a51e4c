"""The group member as a service, and what it does without knowledge."""

import threading

import group_model
import pytest

from verbenafall_core import messages
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_standins.fakes import memory_store


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
