"""Concurrent claims under faults, interleaved at each store call."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from core import stepping
from verbenafall_core.claims import decisions
from verbenafall_core.claims import model
from verbenafall_core.claims import service
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

KEYS = ("key-1", "key-2")
CLAIMERS = 2
# With few attempts and operations, more of them meet on the same key.
MAX_ATTEMPTS = 4
MAX_OPERATIONS = 3
FAULTS = (*memory_store.Fault, "late", None, None, None)


def can_start(machine):
    return len(machine.operations) < MAX_OPERATIONS


def can_start_with_attempt(machine):
    return bool(machine.attempts) and can_start(machine)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Sidecars claim keys and call endpoints while gateways settle attempts.

    Attributes:
        delayed_calls: Store calls that reach the store later.
        dispatched_to: Claimer that each attempt was dispatched to first.
        seen: Attempts that each claimer has received.
        misdirected: Attempts of which a copy went to another claimer. The
            claims alone must still prevent a second run.
        refused: Attempts that a claimer reported as not run.
        settled: Attempts that a gateway reported as not run.
        sealed: Keys that an outcome query reported as not run.
        runs: Attempts that the endpoint ran, by key.
        replays: Keys and the answers that were replayed for them.
        unresolved: Claims that each claimer still has to void.
    """

    def __init__(self):
        super().__init__()
        self.clock = manual_clock.create_manual_clock()
        self.store = memory_store.create_memory_store()
        self.delayed_calls = []
        self.operations = []
        self.attempts = []
        self.dispatched_to = {}
        self.seen = [set() for _ in range(CLAIMERS)]
        self.misdirected = set()
        self.refused = set()
        self.settled = set()
        self.sealed = set()
        self.runs = {key: [] for key in KEYS}
        self.replays = []
        self.store_is_down = False
        self.unresolved = [[] for _ in range(CLAIMERS)]

    def create_claims(self, store):
        return service.create_claim_service(store, self.clock)

    def start_operation(self, function):
        stepping_store = stepping.SteppingStore(self.store, self.delayed_calls)
        claims = self.create_claims(stepping_store)

        def run(operation):
            stepping_store.operation = operation
            function(operation, claims)

        operation = stepping.Operation(run)
        if not operation.done:
            self.operations.append(operation)

    def claim_and_call(self, operation, claims, attempt, claimer):
        key, attempt_id, digest = attempt
        result = claims.start("team", key, attempt_id, digest, str(claimer))
        self.unresolved[claimer].extend(claims.unresolved)
        if isinstance(result, model.Replay):
            self.replays.append((key, result.answer.body))
        refusals = model.Mismatch | model.Sealed | model.Unavailable
        if isinstance(result, refusals):
            self.refused.add(attempt_id)
        if not isinstance(result, model.StartedClaim):
            return
        fault = operation.pause()
        if fault in tuple(memory_store.Fault):
            claims.abandon(result)
            self.refused.add(attempt_id)
            return
        self.runs[key].append(attempt_id)
        if fault == "late":
            # The endpoint fails after it has run the call.
            return
        answer = model.StoredAnswer(200, (), attempt_id.encode())
        claims.finish(result, answer)

    def settle_one(self, _operation, claims, attempt):
        key, attempt_id, _ = attempt
        result = claims.settle("team", key, attempt_id)
        if isinstance(result, model.Voided):
            self.settled.add(attempt_id)
        if isinstance(result, model.Replay):
            self.replays.append((key, result.answer.body))

    def seal_one(self, _operation, claims, key):
        result = claims.seal("team", key, "query")
        if isinstance(result, model.Sealed):
            self.sealed.add(key)
        if isinstance(result, model.Replay):
            self.replays.append((key, result.answer.body))

    def dispatch_to(self, attempt, claimer):
        if attempt[1] in self.seen[claimer]:
            return
        self.seen[claimer].add(attempt[1])
        self.start_operation(
            lambda o, c: self.claim_and_call(o, c, attempt, claimer)
        )

    @stateful.precondition(
        lambda self: len(self.attempts) < MAX_ATTEMPTS and can_start(self)
    )
    @stateful.rule(
        key=strategies.sampled_from(["key-1", "key-1", "key-1", "key-2"]),
        claimer=strategies.integers(0, CLAIMERS - 1),
        digest=strategies.sampled_from(["d1", "d1", "d1", "d2"]),
    )
    def dispatch(self, key, claimer, digest):
        attempt = (key, f"a{len(self.attempts)}", digest)
        self.attempts.append(attempt)
        self.dispatched_to[attempt[1]] = claimer
        self.dispatch_to(attempt, claimer)

    @stateful.precondition(can_start_with_attempt)
    @stateful.rule(
        number=strategies.integers(0, 3),
        claimer=strategies.integers(0, CLAIMERS - 1),
    )
    def duplicate(self, number, claimer):
        attempt = self.attempts[number % len(self.attempts)]
        if claimer != self.dispatched_to[attempt[1]]:
            self.misdirected.add(attempt[1])
        self.dispatch_to(attempt, claimer)

    @stateful.precondition(can_start_with_attempt)
    @stateful.rule(number=strategies.integers(0, 3))
    def settle(self, number):
        attempt = self.attempts[number % len(self.attempts)]
        self.start_operation(lambda o, c: self.settle_one(o, c, attempt))

    @stateful.precondition(can_start)
    @stateful.rule(key=strategies.sampled_from(KEYS))
    def seal(self, key):
        self.start_operation(lambda o, c: self.seal_one(o, c, key))

    @stateful.precondition(can_start)
    @stateful.rule(claimer=strategies.integers(0, CLAIMERS - 1))
    def resolve(self, claimer):
        entries, self.unresolved[claimer] = self.unresolved[claimer], []

        def run(_operation, claims):
            claims.unresolved.extend(entries)
            claims.resolve()
            self.unresolved[claimer].extend(claims.unresolved)

        self.start_operation(run)

    @stateful.rule()
    def toggle_outage(self):
        self.store_is_down = not self.store_is_down

    @stateful.precondition(lambda self: self.operations)
    @stateful.rule(
        number=strategies.integers(0, 3),
        fault=strategies.sampled_from(FAULTS),
    )
    def step(self, number, fault):
        operation = self.operations[number % len(self.operations)]
        operation.step(memory_store.Fault.DOWN if self.store_is_down else fault)
        self.operations = [o for o in self.operations if not o.done]

    @stateful.precondition(lambda self: self.operations)
    @stateful.rule(number=strategies.integers(0, 3))
    def finish(self, number):
        operation = self.operations[number % len(self.operations)]
        while not operation.done:
            operation.step(None)
        self.operations = [o for o in self.operations if not o.done]

    @stateful.precondition(lambda self: self.operations)
    @stateful.rule(number=strategies.integers(0, 3))
    def kill(self, number):
        self.operations.pop(number % len(self.operations)).kill()

    @stateful.precondition(lambda self: self.delayed_calls)
    @stateful.rule(number=strategies.integers(0, 3))
    def deliver_late(self, number):
        self.delayed_calls.pop(number % len(self.delayed_calls))()

    @stateful.invariant()
    def a_key_runs_at_most_once(self):
        assert all(len(runs) <= 1 for runs in self.runs.values()), self.runs

    @stateful.invariant()
    def what_was_reported_as_not_run_never_runs(self):
        ran = {run for runs in self.runs.values() for run in runs}
        assert not ran & self.settled
        assert not ran & (self.refused - self.misdirected)
        assert not any(self.runs[key] for key in self.sealed)

    @stateful.invariant()
    def a_replay_is_the_answer_of_the_run(self):
        for key, body in self.replays:
            assert [body.decode()] == self.runs[key]

    def check(self):
        self.a_key_runs_at_most_once()
        self.what_was_reported_as_not_run_never_runs()
        self.a_replay_is_the_answer_of_the_run()

    def teardown(self):
        for operation in self.operations:
            operation.kill()


SETTINGS = hypothesis.settings(
    hypothesis.settings.get_profile("fixed"),
    max_examples=200,
    stateful_step_count=50,
)
STOP_AT_FIRST = hypothesis.settings(
    SETTINGS,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
)


def create_without_condition(store):
    """Make a create replace an existing object."""
    store.create = store._put


def ignore_versions(store):
    """Make an update replace any version."""
    store._update = lambda name, value, _version: store._put(name, value)


def drop_voided_attempts(monkeypatch):
    """Keep only the last voided attempt in a void claim."""
    original = decisions.void_claim
    monkeypatch.setattr(
        decisions,
        "void_claim",
        lambda attempt_id, _voided, now: original(attempt_id, (), now),
    )


def share_tokens(monkeypatch):
    """Treat every started claim of the attempt as that of the same start."""
    original = decisions.next_start_step

    def by_attempt(start, stored, now):
        if stored is not None and stored.claim.attempt_id == start.attempt_id:
            start = start._replace(token=stored.claim.token or start.token)
        return original(start, stored, now)

    monkeypatch.setattr(decisions, "next_start_step", by_attempt)


def take_over_twice(machine):
    """Make two attempts read the same void claim before either writes."""
    machine.dispatch("key-1", 0, "d1")
    machine.settle(0)
    machine.finish(1)
    machine.finish(0)
    machine.dispatch("key-1", 0, "d1")
    machine.dispatch("key-1", 1, "d1")
    for _ in range(2):  # A create that conflicts, then a read.
        machine.step(0, None)
        machine.step(1, None)
    machine.finish(0)
    machine.finish(0)


def abandon_after_settle(machine):
    """Settle a paused attempt; another takes the key over and abandons it."""
    machine.dispatch("key-1", 0, "d1")
    machine.settle(0)
    machine.finish(1)
    machine.dispatch("key-1", 1, "d1")
    for fault in (None, None, None, memory_store.Fault.DOWN, None):
        machine.step(1, fault)
    assert machine.refused == {"a1"}
    machine.finish(0)


def duplicate_of_a_started_attempt(machine):
    """Make a copy of an attempt reach another claimer before its call."""
    machine.dispatch("key-1", 0, "d1")
    machine.step(0, None)
    machine.duplicate(0, 1)
    machine.step(1, None)
    machine.step(1, None)
    while machine.operations:
        machine.finish(0)


class TestClaims:
    def test_properties_hold(self):
        stateful.run_state_machine_as_test(ClaimsMachine, settings=SETTINGS)

    def test_create_without_its_condition_is_detected(self):
        # The state machine must be able to reach a second run.
        class Weakened(ClaimsMachine):
            def __init__(self):
                super().__init__()
                create_without_condition(self.store)

        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(Weakened, settings=STOP_AT_FIRST)

    # Random runs reach these cases too rarely, so they are scripted.
    @pytest.mark.parametrize("is_weakened", [False, True])
    @pytest.mark.parametrize(
        ("weaken", "scenario"),
        [
            (ignore_versions, take_over_twice),
            (drop_voided_attempts, abandon_after_settle),
            (share_tokens, duplicate_of_a_started_attempt),
        ],
    )
    def test_each_condition_is_needed(
        self, is_weakened, weaken, scenario, monkeypatch
    ):
        machine = ClaimsMachine()
        if is_weakened and weaken is ignore_versions:
            weaken(machine.store)
        elif is_weakened:
            weaken(monkeypatch)
        scenario(machine)
        if not is_weakened:
            machine.check()
            return
        with pytest.raises(AssertionError):
            machine.check()
