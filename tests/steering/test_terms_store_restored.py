"""Terms from a store that is restored from a copy."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from core import store_client
from verbenafall_core.object_store import revisions
from verbenafall_sidecar.steering import group_term
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

SIZE = 3
FAULTS = ("answered", "not_taken", "lost_answer", "delayed", "repeated")


class Sidecar:
    """A sidecar that claims terms, and gives orders while it leads.

    Attributes:
        known_term: The highest term that its agent knows.
        record: Keeps the record of the term while this sidecar leads.
        refused: The terms under which an engine refused an order.
    """

    def __init__(self, group, number):
        self.group, self.number = group, number
        self.client = store_client.FaultyClient(group.store)
        self.generator = random.Random(number)
        self.known_term = 0
        self.record = None
        self.refused = set()
        self.attempts = 0

    def claim(self):
        """Claim a term; lead under it unless a higher one is known."""
        before = max(self.group.terms, default=0)
        self.attempts += 1
        holder = f"i{self.number}/{self.attempts}"
        term = group_term.acquire_term(self.client, "g", holder)
        if isinstance(term, group_term.ClaimFailure):
            return
        assert term > before, "a claim got a term that was acquired before"
        self.group.terms.add(term)
        if term < self.known_term:
            return
        self.known_term = term
        self.record = group_term.TermRecord(
            group_term.Claim("g", holder, term),
            self.client,
            self.client.era,
            self.group.clock,
            self.generator,
        )

    def term(self):
        return self.record.claim.term if self.record else None

    def learn_term(self, term):
        self.known_term = max(self.known_term, term)
        if self.record is not None and self.term() < self.known_term:
            self.record = None

    def give_order(self):
        """Give an order; a refusal ends the leadership, as in the agent."""
        term = self.term()
        if term is None:
            return
        assert term not in self.refused, "orders under a refused term"
        if not self.group.engine.accept(term, self.number, self.group.now()):
            self.refused.add(term)
            self.learn_term(term + 1)

    def rewrite(self):
        if self.record is not None:
            self.record.run_once()


class Group:
    def __init__(self, size):
        self.clock = manual_clock.create_manual_clock()
        self.store = memory_store.create_memory_store(self.clock)
        self.engine = store_client.FencingEngine()
        self.terms = set()
        self.sidecars = [Sidecar(self, number) for number in range(size)]

    def now(self):
        return self.clock.monotonic()

    def announce(self, source, target):
        """Send the term of a leader; the answer states a higher one."""
        sender, receiver = self.sidecars[source], self.sidecars[target]
        if sender.record is None:
            return
        receiver.learn_term(sender.term())
        sender.learn_term(receiver.known_term)

    def settle(self):
        """Run without faults; exactly one leads, and the store names it."""
        for sidecar in self.sidecars:
            sidecar.client.apply_late()
        for _ in range(10):
            for source in range(len(self.sidecars)):
                for target in range(len(self.sidecars)):
                    self.announce(source, target)
            if not any(sidecar.record for sidecar in self.sidecars):
                self.sidecars[0].client.learn_era()
                self.sidecars[0].claim()
            self.clock.advance(group_term.REWRITE_SPREAD / 2)
            for sidecar in self.sidecars:
                sidecar.client.learn_era()
                sidecar.rewrite()
                sidecar.give_order()
        leaders = [item for item in self.sidecars if item.record]
        assert len(leaders) == 1
        assert self.engine.highest == leaders[0].term()
        return leaders[0]

    def stored_holder(self):
        return self.store.read("group-terms/g").unwrap().value.decode()


class TestRestore:
    @pytest.mark.parametrize("changes", range(4))
    def test_store_restored_leader_keeps_leading(self, changes):
        group = Group(2)
        for sidecar in group.sidecars:
            sidecar.claim()
        group.announce(1, 0)
        term = group.sidecars[1].term()
        group.store.restore(changes)
        leader = group.settle()
        assert leader.term() == term
        assert group.stored_holder() == leader.record.claim.holder

    @pytest.mark.parametrize("changes", range(4))
    def test_store_restored_claim_is_above_the_lost_term(self, changes):
        group = Group(2)
        first, second = group.sidecars
        for _ in range(3):
            first.claim()
            first.give_order()
        group.store.restore(changes)
        second.claim()
        for sidecar in (second, first):
            sidecar.give_order()
        assert first.record is None
        assert group.settle() is second

    def test_store_restored_between_read_and_write_of_a_claim(self):
        """The number that was read is given out again to another claim."""
        group = Group(2)
        first, second = group.sidecars
        first.claim()

        def restore_and_claim():
            second.client.before = lambda: None
            group.store.restore(1)
            first.claim()

        def before_read():
            second.client.before = restore_and_claim

        second.client.before = before_read
        second.claim()
        for sidecar in (first, second):
            sidecar.give_order()
        group.settle()

    def test_store_restored_after_a_write_without_an_answer(self):
        group = Group(2)
        first, second = group.sidecars
        first.client.before = lambda: setattr(first.client, "fault", "delayed")
        first.claim()
        first.client.before = lambda: None
        assert first.record is None
        group.store.restore(0)
        second.claim()
        first.client.apply_late()
        second.give_order()
        assert group.settle() is second


class TestMutation:
    @pytest.mark.parametrize("changes", [1, 2, 3])
    def test_store_restored_terms_without_the_era_are_seen(
        self, changes, monkeypatch
    ):
        monkeypatch.setattr(
            revisions, "create_revision", lambda _era, number: number
        )
        monkeypatch.setattr(revisions, "era_of", lambda _: revisions.MAX_ERA)
        with pytest.raises(AssertionError, match="acquired before"):
            TestRestore().test_store_restored_claim_is_above_the_lost_term(
                changes
            )


class TermMachine(stateful.RuleBasedStateMachine):
    """Claims, orders and restores with late, lost and repeated writes."""

    def __init__(self):
        super().__init__()
        self.group = Group(SIZE)

    number = strategies.integers(0, SIZE - 1)

    @stateful.rule(number=number)
    def claim(self, number):
        self.group.sidecars[number].claim()

    @stateful.rule(
        number=number,
        other=number,
        faults=strategies.lists(strategies.sampled_from(FAULTS), max_size=2),
        events=strategies.lists(
            strategies.sampled_from(
                ["none", "restore", "claim", "restore_and_claim"]
            ),
            max_size=4,
        ),
        is_rewrite=strategies.booleans(),
    )
    def claim_disturbed(self, number, other, faults, events, is_rewrite):
        """Claim or rewrite a term; events happen around the store calls."""
        sidecar = self.group.sidecars[number]
        faults, events = iter(faults), iter(events)

        def happen():
            event = next(events, "none")
            if event.startswith("restore"):
                self.group.store.restore(1)
            if event.endswith("claim") and other != number:
                self.group.sidecars[other].claim()
                self.group.sidecars[other].give_order()

        def before():
            happen()
            sidecar.client.fault = next(faults, "answered")

        sidecar.client.before, sidecar.client.after = before, happen
        if is_rewrite:
            sidecar.rewrite()
        else:
            sidecar.claim()
        sidecar.client.before = sidecar.client.after = lambda: None
        sidecar.client.fault = "answered"

    @stateful.rule(number=number)
    def give_order(self, number):
        self.group.sidecars[number].give_order()

    @stateful.rule(source=number, receiver=number)
    def announce(self, source, receiver):
        self.group.announce(source, receiver)

    @stateful.rule(changes=strategies.integers(0, 4))
    def restore(self, changes):
        self.group.store.restore(changes)

    @stateful.rule(number=number)
    def learn_era(self, number):
        self.group.sidecars[number].client.learn_era()

    @stateful.rule(number=number)
    def rewrite_later(self, number):
        self.group.sidecars[number].rewrite()
        self.group.clock.advance(group_term.REWRITE_SPREAD)
        self.group.sidecars[number].rewrite()

    @stateful.rule(number=number)
    def late_writes_arrive(self, number):
        self.group.sidecars[number].client.apply_late()

    @stateful.rule(number=number)
    def restart(self, number):
        self.group.sidecars[number] = Sidecar(self.group, number)
        self.group.sidecars[number].attempts = 1000 * len(self.group.terms)

    def teardown(self):
        self.group.settle()


TermMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=30
)


class TestStoreRestoredMachine(TermMachine.TestCase):
    """No term is acquired twice, and none below one of before is used."""
