"""The bundle head when the store is restored from an older copy (P5)."""

import pytest

import bundle_helpers
from core.bundles import test_roll
from core.bundles import test_service
from verbenafall_core.bundles import head_repair
from verbenafall_core.bundles import records
from verbenafall_core.bundles import roll
from verbenafall_standins.fakes import memory_store

Head = records.Head
TEXT_2 = records.bundle_name(2)
# More than all changes of a test.
ALL_CHANGES = 100

# Head in the store, versions known to a process, head to write.
HEADS = [
    (Head(1, 0), Head(1, 0), None),
    (Head(2, 0), Head(1, 0), None),
    (Head(2, 0), Head(1, 2), None),
    (Head(1, 2), Head(1, 0), None),
    (Head(1, 3), Head(1, 2), None),
    (Head(0, 0), Head(0, 0), None),
    (Head(0, 0), Head(1, 0), Head(1, 0)),
    (Head(1, 0), Head(2, 0), Head(2, 0)),
    (Head(1, 0), Head(2, 2), Head(2, 0)),
    (Head(1, 0), Head(1, 2), Head(1, 2)),
    (Head(1, 2), Head(2, 2), Head(2, 0)),
    (Head(1, 3), Head(2, 2), Head(2, 3)),
]


def run_second_version(process):
    """Accept versions 1 and 2; the process runs both."""
    test_service.run_version(process, 1)
    test_service.run_version(process, 2)


def head_of(store):
    return records.decode_head(store.objects[records.HEAD_NAME].value).unwrap()


class TestPlan:
    @pytest.mark.parametrize(("stored", "known", "newer"), HEADS)
    def test_newer_head(self, stored, known, newer):
        """Guards against a head that goes back, and against needless writes."""
        assert head_repair.find_newer_head(stored, known) == newer


class TestProcess:
    @pytest.mark.parametrize("changes", [1, 2, ALL_CHANGES])
    def test_store_restored_gets_the_accepted_version(self, changes):
        """Guards against a start with an older version than the others run."""
        process = test_service.Process()
        run_second_version(process)
        process.store.restore(changes)
        process.run(3)
        assert head_of(process.store) == Head(2, 0)
        later = test_service.Process(process.store)
        later.run()
        later.run(1)
        assert later.service.current().version == 2
        assert process.service.current().version == 2

    def test_store_restored_gets_the_pending_version(self):
        """Guards against another text under a prepared version."""
        process = test_service.Process()
        test_service.run_version(process, 1)
        bundle_helpers.put_bundle(process.store, bundle_helpers.signed(2))
        bundle_helpers.put_head(process.store, 1, 2)
        process.run(3)
        process.store.restore(2)
        process.run(3)
        assert head_of(process.store) == Head(1, 2)
        assert TEXT_2 in process.store.objects

    def test_text_that_is_not_held_is_not_announced(self):
        """Guards against a head whose version nobody can fetch."""
        process = test_service.Process()
        test_service.run_version(process, 1)
        link = process.link("peer")
        process.receive_heartbeat(link, 2)
        process.run(3)
        assert head_of(process.store) == Head(1, 0)

    def test_delayed_read_changes_nothing(self):
        """Guards against a head that goes back to what a process knows."""
        process = test_service.Process()
        run_second_version(process)
        stored = process.store.objects[records.HEAD_NAME]
        bundle_helpers.put_bundle(process.store, bundle_helpers.signed(3))
        bundle_helpers.put_head(process.store, 3)
        process.service.handle_head(
            Head(1, 0), stored.version, process.clock.monotonic()
        )
        assert head_of(process.store) == Head(3, 0)

    def test_reused_number_is_not_accepted(self):
        """Guards against two bundles with one accepted version."""
        process = test_service.Process()
        run_second_version(process)
        process.store.restore(2)
        other = bundle_helpers.signed(
            2, text=bundle_helpers.text_of(2, region="other")
        )
        bundle_helpers.put_bundle(process.store, other)
        process.run(3)
        assert head_of(process.store) == Head(1, 0)
        assert process.service.current().region == "region-a"

    def test_without_a_restore_nothing_is_written(self):
        """Guards against writes at every poll."""
        process = test_service.Process()
        run_second_version(process)
        process.store.calls.clear()
        for _ in range(5):
            process.run(3)
        assert {call.operation for call in process.store.calls} == {"read"}


class RunningFleet(test_roll.Fleet):
    """Processes that keep their version; a notice makes them write it again.

    Attributes:
        version: The version in force at all processes.
    """

    def __init__(self, store, version):
        super().__init__(store)
        self.version = version
        self.notices = 0

    def notify(self):
        super().notify()
        self.notices += 1
        if self.notices == self.repairs_at:
            signed = bundle_helpers.signed(self.version)
            bundle_helpers.put_bundle(self.store, signed)
            bundle_helpers.put_head(self.store, self.version)

    repairs_at = 3

    def status(self, name):
        status = super().status(name)
        return status._replace(in_force=max(self.version, status.in_force))


class TestRoll:
    def test_store_restored_number_in_force_is_not_reused(self):
        """Guards against another text under a version that processes run."""
        store = memory_store.create_memory_store()
        text = bundle_helpers.text_of(2, region="other")
        bundle_helpers.put_head(store, 1)
        fleet = RunningFleet(store, 2)
        runner, _ = test_roll.start(store, 2, fleet, text)
        assert runner.run().status is roll.RolloutStatus.LOST
        expected = records.encode_bundle(bundle_helpers.signed(2))
        assert store.objects[TEXT_2].value == expected

    def test_store_restored_waits_for_the_head(self):
        """Guards against a roll-out that skips what processes run."""
        store = memory_store.create_memory_store()
        bundle_helpers.put_head(store, 1)
        runner, lines = test_roll.start(store, 3, RunningFleet(store, 2))
        assert runner.run().status is roll.RolloutStatus.ACCEPTED
        assert "they write it again" in lines[0]
        assert head_of(store) == Head(3, 0)

    def test_head_that_stays_old_is_reported(self):
        """Guards against a wait without a reason for the operator."""
        store = memory_store.create_memory_store()
        bundle_helpers.put_head(store, 1)
        fleet = RunningFleet(store, 2)
        fleet.repairs_at = 0
        result = test_roll.start(store, 2, fleet)[0].run()
        assert result.status is roll.RolloutStatus.STORE_FAILED
        assert "version 2" in result.message
        assert TEXT_2 not in store.objects

    @pytest.mark.parametrize("changes", [1, 2, 3])
    def test_store_restored_during_the_roll_out(self, changes):
        """Guards against a pending version without a text."""
        store = memory_store.create_memory_store()
        fleet = test_roll.Fleet(store, stuck=("a", "b"))
        runner, _ = test_roll.start(store, 1, fleet)
        runner.put_text()
        runner.advance()
        runner.advance()
        store.restore(changes)
        fleet.head = Head(0, 0)
        fleet.stuck = ()
        assert runner.run().status is roll.RolloutStatus.ACCEPTED
        assert records.bundle_name(1) in store.objects
