"""Leases: at most one holder, despite clock skew and lost responses."""

import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import returns.result

from verbenafall_core import leases
from verbenafall_core.object_store import port
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

SECOND = datetime.timedelta(seconds=1)
ME, OTHER = "me/1", "other/1"
RECORD = leases.LeaseRecord(OTHER, 0 * SECOND, leases.DURATION)
# The clocks of the two instances differ in origin and rate.
OFFSETS = (1000 * SECOND, 0 * SECOND)
RATES = (0.96, 1.03)


class Instance:
    """A process with its own clock and with faults in its store calls.

    Attributes:
        delayed: Writes that reach the store later.
        before: Called before each store call.
        after: Called after each store call that reached the store.
        disturbance: What happens to the next store call.
    """

    def __init__(self, store, offset=0 * SECOND):
        self.clock = manual_clock.create_manual_clock()
        self.clock.advance(offset)
        self.store = store
        self.service = leases.create_lease_service(
            self, self.clock, "collector", "instance"
        )
        self.delayed = []
        self.before = lambda: None
        self.after = lambda: None
        self.disturbance = "answered"

    def read(self, name):
        return self.call(lambda: self.store.read(name))

    def create(self, name, value):
        return self.call(lambda: self.store.create(name, value))

    def update(self, name, value, version):
        return self.call(lambda: self.store.update(name, value, version))

    def call(self, send):
        self.before()
        disturbance, self.disturbance = self.disturbance, "answered"
        if disturbance == "not_taken":
            return failure(port.FailureKind.UNAVAILABLE)
        if disturbance == "delayed":
            self.delayed.append(send)
            return failure(port.FailureKind.UNCERTAIN)
        result = send()
        self.after()
        if disturbance == "lost_answer":
            return failure(port.FailureKind.UNCERTAIN)
        return result


def failure(kind):
    return returns.result.Failure(port.StoreFailure(kind, ""))


DECISIONS = [
    # version, record, seconds since first seen, action
    (0, None, 0, leases.Action.CREATE),
    (1, RECORD, 9.9, leases.Action.WAIT),
    (1, RECORD, 10, leases.Action.WRITE),
    (1, RECORD._replace(holder=ME), 0, leases.Action.WRITE),
    (1, RECORD._replace(holder=""), 0, leases.Action.WRITE),
    (1, None, 9.9, leases.Action.WAIT),
    (1, None, 10, leases.Action.WRITE),
]


class TestDecisions:
    @pytest.mark.parametrize(
        ("version", "record", "age_s", "action"), DECISIONS
    )
    def test_decide(self, version, record, age_s, action):
        view = leases.LeaseView(version, record, 5 * SECOND)
        assert leases.decide(view, ME, (5 + age_s) * SECOND) is action

    def test_reading_the_same_version_again_does_not_extend_it(self):
        value = leases.encode_record(RECORD)
        stored = port.StoredObject("leases/a", 1, value)
        view = leases.observe(None, stored, 1 * SECOND)
        assert view.record == RECORD
        assert leases.observe(view, stored, 7 * SECOND).seen_at == SECOND

    @pytest.mark.parametrize(
        "value", [b"", b"{}", b'{"holder":1,"sent_at_us":0,"duration_us":0}',
                  b'{"holder":"a","sent_at_us":0,"duration_us":9e99}',
                  b'{"holder":"a","sent_at_us":0,"duration_us":%d}' % 10**18]
    )  # fmt: skip
    def test_malformed_record(self, value):
        assert leases.decode_record(value) is None


class TestLeaseService:
    def test_pause_beyond_the_end_is_detected(self):
        """A paused holder must not act on a lease that has ended."""
        holder = Instance(memory_store.create_memory_store())
        holder.service.run_once()
        assert holder.service.holds()
        holder.clock.advance(leases.DURATION)
        assert not holder.service.holds()

    def test_pause_during_the_write_counts(self):
        """The duration starts before the write, not at its response."""
        holder = Instance(memory_store.create_memory_store())
        holder.after = lambda: holder.clock.advance(leases.DURATION)
        holder.service.run_once()
        assert not holder.service.holds()

    @pytest.mark.parametrize(
        ("disturbance", "holds"),
        [("lost_answer", True), ("delayed", False), ("not_taken", False)],
    )
    def test_first_write_without_a_response(self, disturbance, holds):
        holder = Instance(memory_store.create_memory_store())
        reads = iter(["answered", disturbance])
        holder.before = lambda: setattr(
            holder, "disturbance", next(reads, "answered")
        )
        holder.service.run_once()
        assert holder.service.holds() is holds

    def test_release_frees_the_lease_and_keeps_versions_growing(self):
        store = memory_store.create_memory_store()
        first, second = Instance(store), Instance(store)
        first.service.run_once()
        version = first.service.held().version
        first.service.release()
        first.service.run_once()
        assert not first.service.holds()
        second.service.run_once()
        assert second.service.held().version > version

    def test_restarted_process_does_not_hold_its_old_lease(self):
        """Its clock has another origin, so the stored times mean nothing."""
        store = memory_store.create_memory_store()
        Instance(store, 500 * SECOND).service.run_once()
        restarted = Instance(store)
        restarted.service.run_once()
        assert not restarted.service.holds()


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Two instances with pauses during calls, lost and delayed writes."""

    def __init__(self):
        super().__init__()
        self.store = memory_store.create_memory_store()
        self.instances = [Instance(self.store, offset) for offset in OFFSETS]
        self.newest_token = (0, 0)

    def advance(self, seconds):
        for instance, rate in zip(self.instances, RATES, strict=True):
            instance.clock.advance(seconds * rate * SECOND)

    number = strategies.integers(0, 1)
    disturbance = strategies.sampled_from(
        ["answered", "not_taken", "lost_answer", "delayed"]
    )
    pause = strategies.sampled_from([0, 0.5, 4, 12])

    @stateful.initialize(in_use=strategies.booleans())
    def begin(self, in_use):
        for instance in self.instances[: 2 * in_use]:
            instance.service.run_once()

    @stateful.rule(seconds=strategies.sampled_from([0.5, 1, 3, 5, 8, 9]))
    def time_passes(self, seconds):
        self.advance(seconds)

    # Runs without faults lead to states in which a fault has an effect.
    @stateful.rule(number=number)
    def run_undisturbed(self, number):
        self.instances[number].service.run_once()

    @stateful.rule(
        number=number,
        disturbances=strategies.lists(disturbance, max_size=3),
        pauses=strategies.lists(pause, max_size=4),
        other_runs_in_pause=strategies.booleans(),
    )
    def run_instance(self, number, disturbances, pauses, other_runs_in_pause):
        instance, other = self.instances[number], self.instances[1 - number]
        disturbances, pauses = iter(disturbances), iter(pauses)

        def disturb():
            seconds = next(pauses, 0)
            self.advance(seconds)
            if seconds and other_runs_in_pause:
                other.service.run_once()
            self.one_holder()

        def before():
            disturb()
            instance.disturbance = next(disturbances, "answered")

        instance.before, instance.after = before, disturb
        instance.service.run_once()
        instance.before = instance.after = lambda: None
        instance.disturbance = "answered"

    @stateful.rule(number=number)
    def delayed_writes_arrive(self, number):
        delayed, self.instances[number].delayed = (
            self.instances[number].delayed,
            [],
        )
        for send in delayed:
            send()

    @stateful.invariant()
    def one_holder(self):
        held = [instance.service.held() for instance in self.instances]
        assert None in held
        for number, lease in enumerate(held):
            if lease is None:
                continue
            token, holder = self.newest_token
            assert lease.version >= token
            assert lease.version > token or number == holder
            self.newest_token = (lease.version, number)

    def teardown(self):
        """Once faults end, exactly one of the two holds the lease."""
        for _ in range(6):
            self.advance(3)
            for instance in self.instances:
                instance.service.run_once()
        holders = [instance.service.holds() for instance in self.instances]
        assert holders.count(True) == 1


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=20
)
TestLeaseMachine = LeaseMachine.TestCase
