"""Group records in a store that is restored from a copy."""

import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from expert_maps import group_model
from expert_maps import test_group_member
from expert_maps import test_switch_machine
from verbenafall_core.expert_maps import coordinator
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import restored_record
from verbenafall_core.object_store import revisions
from verbenafall_sidecar.group import group_member
from verbenafall_standins.fakes import memory_store

SECOND = datetime.timedelta(seconds=1)
Phase = record_lib.Phase
STABLE = record_lib.MapRecord(6, Phase.STABLE, 1, 0, 20)
PREPARING = record_lib.MapRecord(7, Phase.PREPARING, 1, 2, 20)
SWITCHING = record_lib.MapRecord(7, Phase.SWITCHING, 1, 2, 40)


def stored(era, number, record, epoch_era=None):
    """Return a stored record; its epoch is of another era if given."""
    if epoch_era is None:
        epoch_era = era
    epoch = revisions.create_revision(epoch_era, record.epoch)
    return coordinator.Stored(
        revisions.create_revision(era, number), record._replace(epoch=epoch)
    )


# Test id, known record, found record, version and content after the merge.
MERGES = [
    (
        "newer record",
        stored(1, 50, STABLE),
        stored(1, 51, SWITCHING),
        stored(1, 51, SWITCHING),
    ),
    (
        "older record",
        stored(1, 51, SWITCHING),
        stored(1, 50, STABLE),
        stored(1, 51, SWITCHING),
    ),
    (
        "older record came back",
        stored(1, 51, SWITCHING),
        stored(2, 50, STABLE, 1),
        stored(2, 50, SWITCHING, 1),
    ),
    (
        "a peer knows a newer record than the one that came back",
        stored(2, 50, STABLE, 1),
        stored(1, 51, SWITCHING),
        stored(2, 50, SWITCHING, 1),
    ),
    (
        "written again",
        stored(2, 50, SWITCHING, 1),
        stored(2, 51, STABLE._replace(epoch=1)),
        stored(2, 51, STABLE._replace(epoch=1)),
    ),
    (
        "content of an earlier era does not replace a record in force",
        stored(2, 51, STABLE._replace(epoch=1)),
        stored(1, 52, SWITCHING),
        stored(2, 51, STABLE._replace(epoch=1)),
    ),
    (
        "record is missing",
        stored(1, 51, SWITCHING),
        stored(2, 0, SWITCHING, 1),
        stored(2, 0, SWITCHING, 1),
    ),
    (
        "a write that took effect after the restore has the same epoch",
        stored(2, 50, SWITCHING, 1),
        stored(2, 51, PREPARING, 1),
        stored(2, 51, SWITCHING, 1),
    ),
]


def member(rank, **fields):
    values = {
        "epoch": 0,
        "map_version": 1,
        "prepared": (1, 2),
        "armed_step": 0,
        "passed_step": 0,
        "step": 30,
        "record_version": revisions.create_revision(2, 50),
        "record_epoch": 0,
        **fields,
    }
    return group_model.messages.GroupMember("g", f"i{rank}", (rank,), **values)


NEWER = revisions.create_revision(1, 9)
ARMED = {"epoch": NEWER, "armed_step": 44, "armed_version": 2}
# Test id, fields of the ranks' states, the record that they show.
SHOWN = [
    ("nothing was ordered", [{}, {}], STABLE),
    (
        "a rank is armed",
        [ARMED, {}],
        record_lib.MapRecord(0, Phase.SWITCHING, 1, 2, 44),
    ),
    (
        "a rank has switched, another one is held again",
        [{"map_version": 2, "epoch": NEWER}, ARMED],
        record_lib.MapRecord(0, Phase.SWITCHING, 1, 2, 44),
    ),
    (
        "all ranks have switched",
        [{"map_version": 2, "epoch": NEWER, "step": 50}] * 2,
        record_lib.MapRecord(0, Phase.STABLE, 2, 0, 53),
    ),
    (
        "all ranks have switched, one is held again",
        [{**ARMED, "map_version": 2}, {"map_version": 2}],
        record_lib.MapRecord(0, Phase.STABLE, 2, 0, 47),
    ),
    (
        "released ranks have not switched yet",
        [{"map_version": 2, "epoch": NEWER}, {}],
        None,
    ),
    (
        "a replaced rank",
        [{"map_version": 0}, {"map_version": 2, "epoch": NEWER}],
        record_lib.MapRecord(0, Phase.STABLE, 2, 0, 33),
    ),
]
# Test id, fields of a rank's state with which nothing is written.
UNDECIDED = [
    ("unaware", {"record_version": revisions.create_revision(1, 51)}),
    ("record not received", {"record_epoch": NEWER}),
]


class TestDecisions:
    @pytest.mark.parametrize(
        ("known", "found", "expected"),
        [case[1:] for case in MERGES],
        ids=[case[0] for case in MERGES],
    )
    def test_store_restored_merge(self, known, found, expected):
        assert restored_record.merge(known, found) == expected

    @pytest.mark.parametrize(
        ("fields", "expected"),
        [case[1:] for case in SHOWN],
        ids=[case[0] for case in SHOWN],
    )
    def test_store_restored_ranks_outrank_the_record(self, fields, expected):
        members = [member(rank, **item) for rank, item in enumerate(fields)]
        found = restored_record.decide_rewrite(
            stored(2, 50, STABLE, 1), members, len(members)
        )
        if expected is not None:
            first = revisions.create_revision(2, 1)
            expected = expected._replace(epoch=first)
        assert found == expected

    @pytest.mark.parametrize(
        "fields",
        [case[1] for case in UNDECIDED],
        ids=[case[0] for case in UNDECIDED],
    )
    def test_store_restored_waits_for_all_sidecars(self, fields):
        came_back = stored(2, 50, STABLE, 1)
        members = [member(0), member(1, **fields)]
        decide = restored_record.decide_rewrite
        assert decide(came_back, members, 2) is None
        assert decide(came_back, members[:1], 2) is None

    def test_store_restored_record_without_an_era_allows_orders(self):
        """Releases without eras write such records during an upgrade."""
        record = coordinator.Stored(revisions.create_revision(1, 5), STABLE)
        assert restored_record.is_in_force(record)
        assert restored_record.needs_rewrite(record)
        assert not restored_record.is_in_force(stored(2, 50, STABLE, 1))


def run_until(group, condition, rounds=40):
    for _ in range(rounds):
        if condition():
            return
        group.round()
    raise AssertionError(f"condition not met within {rounds} rounds")


def era_of_epoch(group):
    record = group.record()
    return revisions.era_of(record.epoch) if record else 0


@pytest.fixture(params=[True, False], ids=["fenced", "unfenced"])
def group(request):
    group = group_model.Group(request.param)
    for _ in range(3):
        group.round()
    return group


class TestRestore:
    # A switch writes three records, the first of a group one.
    @pytest.mark.parametrize("changes", range(5))
    @pytest.mark.parametrize("phase", Phase)
    def test_store_restored_record_is_written_again(
        self, group, phase, changes
    ):
        """The ranks go on from the phase that they were in."""
        group.wanted = 2
        run_until(group, lambda: group.record().phase is not Phase.STABLE)
        run_until(group, lambda: group.record().phase is phase)
        before = group.record()
        group.wanted = 0
        group.store.restore(changes)
        run_until(group, lambda: era_of_epoch(group) == 2)
        assert group.record().epoch > before.epoch
        group.assert_recovers()
        if phase is not Phase.PREPARING:
            assert group.record().map_version == 2

    def test_store_restored_epoch_is_not_given_out_again(self, group):
        """The next holder would use it for another switch."""
        group.wanted = 2
        run_until(group, lambda: group.record().phase is Phase.PREPARING)
        lost = group.record()
        group.store.restore(1)
        group.holders = {1}
        run_until(group, lambda: group.record().phase is Phase.SWITCHING)
        assert group.record().epoch > lost.epoch
        assert all(epoch <= lost.epoch or record != lost
                   for epoch, record in group.ordered.items())  # fmt: skip

    def test_store_restored_sidecars_without_memory(self, group):
        """Only the ranks know the last record."""
        group.wanted = 2
        run_until(group, lambda: any(e.armed for e in group.engines))
        step = group.engines[0].armed or group.engines[1].armed
        for index in range(group.size):
            group.kill(index)
        group.in_transit.clear()
        group.store.restore(2)
        group.wanted = 0
        for index in range(group.size):
            group.boot(index)
        run_until(group, lambda: era_of_epoch(group) == 2)
        assert group.record().boundary_step == step
        group.assert_recovers()
        assert group.record().map_version == 2

    def test_store_restored_waiting_watch_does_not_delay_the_read(self, group):
        """A watch that waits does not return when the store is restored."""
        member = group.members[1]
        group.store.restore(1)
        member.setup.era.observe(group.store.era)
        reads = []
        watch_once = member.watch_once

        def count_read(wait):
            reads.append(member.setup.clock.monotonic())
            return watch_once(wait)

        member.watch_once = count_read
        started = member.setup.clock.monotonic()
        for _ in range(50):
            group.clock.advance(SECOND / 10)
            member.poll_when_due()
        assert len(reads) == 1
        assert reads[0] - started <= group_member.RESTORE_SPREAD + SECOND
        assert revisions.era_of(member.stored.version) == 2


class TestWatchAfterRestore:
    @pytest.fixture
    def member(self, group):
        group.store.close()  # Watches do not wait.
        member = group.members[1]
        member.stopping = test_group_member.LimitedWaits(4)
        return member

    def test_store_restored_watch_leaves_the_read_to_the_poll(
        self, group, member
    ):
        """The poll reads at a random time, so that processes do not collide."""
        group.store.restore(0)
        member.setup.era.observe(group.store.era)
        group.store.calls.clear()
        member.watch()
        assert group.store.calls == []

    def test_store_restored_retries_of_watches_are_spread(self, group, member):
        """All watches end at once, and each may need two calls."""
        delays = []
        group.store.plan = lambda _call: memory_store.Fault.DOWN
        member.stopping = test_group_member.LimitedWaits(200)
        wait = member.stopping.wait
        member.stopping.wait = lambda seconds: (
            delays.append(seconds),
            wait(seconds),
        )
        member.watch()
        longest = max(delays[1:]) - min(delays[1:])
        assert longest > 0.9 * group_member.WATCH_RETRY.total_seconds()


class RestoredMachine(test_switch_machine.SwitchMachine):
    """Switches under any faults and restores of the store.

    Sidecars are not ended until the record is written again: without their
    knowledge, a rank does not show that it was released.
    """

    def is_rewritten(self):
        stored_object = self.group.store.objects.get("groups/g")
        if stored_object is None:
            return False
        record = record_lib.decode(stored_object.value).unwrap()
        return not restored_record.needs_rewrite(
            coordinator.Stored(stored_object.version, record)
        )

    @stateful.rule(changes=st.integers(0, 4))
    def restore(self, changes):
        self.group.store.restore(changes)

    @stateful.rule(
        index=test_switch_machine.INDEX,
        boot=st.booleans(),
        engine=st.booleans(),
    )
    def kill(self, index, boot, engine):
        if self.is_rewritten():
            super().kill(index, boot, engine)


class UnfencedRestoredMachine(RestoredMachine):
    fences = False


SETTINGS = hypothesis.settings(
    test_switch_machine.SETTINGS, max_examples=100, stateful_step_count=40
)
TestStoreRestoredFencing = RestoredMachine.TestCase
TestStoreRestoredFencing.settings = SETTINGS
TestStoreRestoredUnfenced = UnfencedRestoredMachine.TestCase
TestStoreRestoredUnfenced.settings = SETTINGS
