"""Claims when the store is restored from an older copy (P1, P2)."""

import datetime

from hypothesis import stateful
from hypothesis import strategies
import pytest

import adapters
from core import test_claims_machine
from verbenafall_core import http_client
from verbenafall_core.claims import model
from verbenafall_core.claims import restores
from verbenafall_core.claims import service
from verbenafall_core.object_store import http_adapter
from verbenafall_standins import object_store
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

SECOND = datetime.timedelta(seconds=1)
ANSWER = model.StoredAnswer(201, (), b"done")
# More than all changes of a test.
ALL_CHANGES = 100
UNCONFIRMED = model.Unconfirmed("era-2.")
NOT_RUN_RESULTS = (model.Sealed, model.Voided, model.Mismatch)


class Scenario:
    """A key whose claim is lost, and services that may know the new era."""

    def __init__(self):
        self.clock = manual_clock.create_manual_clock()
        self.store = memory_store.create_memory_store(self.clock)
        self.first = self.create_claims()
        self.second = self.create_claims()

    def create_claims(self):
        return service.create_claim_service(self.store, self.clock)

    def start(self, claims, key="k", attempt="r.1", digest="d"):
        return claims.start("t", key, attempt, digest, "ep")

    def lose_started_claim(self):
        started = self.start(self.first)
        self.store.restore(ALL_CHANGES)
        return started

    def learn_era(self, claims):
        self.start(claims, key="other", attempt="x.1")


# Key, era of the store, whether the claims of the key are confirmed there.
KEYS = [
    ("k", 0, True),
    ("k", 1, True),
    ("k", 2, False),
    ("era-1.k", 1, True),
    ("era-1.k", 2, False),
    ("era-2.k", 1, False),
    ("era-2.k", 2, True),
    ("era-2.k", 0, False),
    ("era-2k", 2, False),
    ("era-02.k", 2, False),
    ("xera-2.k", 2, False),
    ("era-12.k", 2, False),
    ("era-12.k", 12, True),
]


class TestKeys:
    @pytest.mark.parametrize(("key", "era", "confirmed"), KEYS)
    def test_confirmed_without_record(self, key, era, confirmed):
        """Guards against keys that count as new in more than one era."""
        found = restores.is_confirmed_without_record(key, era)
        assert found is confirmed


class TestLostClaim:
    @pytest.mark.parametrize("knows_era", [False, True])
    def test_key_does_not_start_again(self, knows_era):
        """Guards against a request that runs again after a restore."""
        scenario = Scenario()
        scenario.lose_started_claim()
        if knows_era:
            scenario.learn_era(scenario.second)
        for attempt in ("r.2", "r.3"):
            result = scenario.start(scenario.second, attempt=attempt)
            assert result == UNCONFIRMED

    @pytest.mark.parametrize("knows_era", [False, True])
    @pytest.mark.parametrize("times", [1, 2])
    def test_outcome_is_unknown(self, knows_era, times):
        """Guards against "not run" for a key that ran."""
        scenario = Scenario()
        scenario.lose_started_claim()
        if knows_era:
            scenario.learn_era(scenario.second)
        for _ in range(times):
            sealed = scenario.second.seal("t", "k", "query")
            settled = scenario.second.settle("t", "k", "r.1")
        assert not isinstance(sealed, NOT_RUN_RESULTS)
        assert not isinstance(settled, NOT_RUN_RESULTS)

    @pytest.mark.parametrize("state", ["void", "sealed", "started"])
    def test_older_record_proves_nothing(self, state):
        """Guards against trust in a record that is older than the lost one."""
        scenario = Scenario()
        if state == "void":
            scenario.first.settle("t", "k", "r.0")
        elif state == "sealed":
            scenario.first.seal("t", "k", "query")
        else:
            scenario.start(scenario.first, attempt="r.0", digest="other")
        scenario.store.restore(0)
        results = [
            scenario.start(scenario.second),
            scenario.start(scenario.second),
            scenario.second.settle("t", "k", "r.0"),
            scenario.second.seal("t", "k", "query"),
        ]
        refused = (*NOT_RUN_RESULTS, model.StartedClaim)
        assert not any(isinstance(result, refused) for result in results)

    def test_recorded_answer_is_replayed(self):
        """Guards against "unknown" for a key whose answer was kept."""
        scenario = Scenario()
        scenario.first.finish(scenario.start(scenario.first), ANSWER)
        scenario.store.restore(0)
        for _ in range(2):
            result = scenario.start(scenario.second)
            assert result == model.Replay(ANSWER)
        other = scenario.start(scenario.second, digest="other")
        assert other == model.Mismatch()
        assert scenario.second.seal("t", "k", "q") == model.Replay(ANSWER)
        assert scenario.second.settle("t", "k", "q") == model.Replay(ANSWER)

    @pytest.mark.parametrize("has_older_record", [False, True])
    def test_answer_is_recorded_again(self, has_older_record):
        """Guards against "unknown" although the process that ran it lives."""
        scenario = Scenario()
        if has_older_record:
            scenario.first.settle("t", "k", "r.0")
        started = scenario.start(scenario.first)
        scenario.store.restore(1)
        scenario.first.finish(started, ANSWER)
        assert scenario.start(scenario.second) == model.Replay(ANSWER)


class TestNewKeys:
    def test_key_of_the_current_era_runs_once(self):
        """Guards against a refusal of requests that are known to be new."""
        scenario = Scenario()
        scenario.lose_started_claim()
        for claims in (scenario.first, scenario.second):
            scenario.learn_era(claims)
        first = scenario.start(scenario.second, key="era-2.k")
        second = scenario.start(scenario.first, key="era-2.k", attempt="r.2")
        assert isinstance(first, model.StartedClaim)
        assert second == model.Held("r.1")

    def test_key_of_an_unseen_era_is_tried(self):
        """Guards against a process that never learns of an era."""
        scenario = Scenario()
        scenario.lose_started_claim()
        result = scenario.start(scenario.second, key="era-2.k")
        assert isinstance(result, model.StartedClaim)

    @pytest.mark.parametrize("operation", ["start", "settle", "seal"])
    def test_key_of_a_later_era_never_runs(self, operation):
        """Guards against a key that runs in two eras."""
        scenario = Scenario()
        if operation == "start":
            result = scenario.start(scenario.first, key="era-2.k")
            assert isinstance(result, model.Unconfirmed)
        elif operation == "settle":
            result = scenario.first.settle("t", "era-2.k", "r.1")
            assert isinstance(result, model.Held)
        else:
            result = scenario.first.seal("t", "era-2.k", "q")
            assert isinstance(result, model.Held)

    def test_all_keys_run_after_the_retention(self):
        """Guards against a refusal that never ends."""
        scenario = Scenario()
        scenario.lose_started_claim()
        assert scenario.start(scenario.first, key="a") == UNCONFIRMED
        scenario.clock.advance(model.RETENTION)
        assert scenario.start(scenario.second, key="b") == UNCONFIRMED
        scenario.clock.advance(SECOND)
        for claims in (scenario.first, scenario.create_claims()):
            result = scenario.start(claims, key=f"c{id(claims)}")
            assert isinstance(result, model.StartedClaim)

    def test_second_restore_begins_the_retention_again(self):
        """Guards against the end of an earlier retention."""
        scenario = Scenario()
        scenario.lose_started_claim()
        scenario.learn_era(scenario.first)
        scenario.clock.advance(model.RETENTION + SECOND)
        started = scenario.start(scenario.first, key="b")
        assert isinstance(started, model.StartedClaim)
        scenario.store.restore(1)
        for claims in (scenario.first, scenario.second):
            result = scenario.start(claims, key="b", attempt="r.2")
            assert result == model.Unconfirmed("era-3.")

    @pytest.mark.parametrize("value", [b"", b"{}", b'{"era": "x"}'])
    def test_malformed_record_of_the_restore(self, value):
        """Guards against a record that ends the retention or blocks it."""
        scenario = Scenario()
        scenario.lose_started_claim()
        scenario.store.create(restores.RECORD_NAME, value)
        assert scenario.start(scenario.second) == UNCONFIRMED
        scenario.clock.advance(model.RETENTION + SECOND)
        started = scenario.start(scenario.second, key="b")
        assert isinstance(started, model.StartedClaim)

    def test_unavailable_store_confirms_nothing(self):
        """Guards against keys that count as new while the store is away."""
        scenario = Scenario()
        scenario.lose_started_claim()
        scenario.learn_era(scenario.second)
        scenario.store.plan = lambda _call: memory_store.Fault.DOWN
        assert scenario.start(scenario.second) == UNCONFIRMED

    def test_costs_nothing_without_a_restore(self):
        """Guards against extra calls for each request."""
        scenario = Scenario()
        scenario.first.finish(scenario.start(scenario.first), ANSWER)
        operations = [call.operation for call in scenario.store.calls]
        assert operations == ["create", "update"]


class TestHttp:
    def test_key_does_not_start_again(self):
        """Guards against an adapter that hides the era from the claims."""
        standin = object_store.create_object_store()
        clock = manual_clock.create_manual_clock()
        with adapters.serving(standin.handle) as url:
            first, second = (
                service.create_claim_service(
                    http_adapter.create_http_object_store(
                        http_client.create_http_client(), url
                    ),
                    clock,
                )
                for _ in range(2)
            )
            started = first.start("t", "k", "r.1", "d", "ep")
            standin.store.restore(1)
            again = second.start("t", "k", "r.2", "d", "ep")
            first.finish(started, ANSWER)
            later = second.start("t", "k", "r.3", "d", "ep")
            new = second.start("t", "era-2.k", "r.4", "d", "ep")
        assert isinstance(started, model.StartedClaim)
        assert again == UNCONFIRMED
        assert later in (UNCONFIRMED, model.Replay(ANSWER))
        assert isinstance(new, model.StartedClaim)


class RestoredMachine(test_claims_machine.ClaimsMachine):
    """Adds restores of the store, and keys that state an era."""

    def __init__(self):
        super().__init__()
        self.runs |= {"era-2.key": [], "era-3.key": []}
        self.knows_era = False

    def create_claims(self, store):
        claims = super().create_claims(store)
        if self.knows_era:
            claims.era = self.store.era
        return claims

    @stateful.rule()
    def toggle_known_era(self):
        self.knows_era = not self.knows_era

    @stateful.precondition(lambda self: self.store.era < 4)
    @stateful.rule(changes=strategies.integers(0, 4))
    def restore(self, changes):
        self.store.restore(changes)

    @stateful.precondition(
        lambda self: (
            len(self.attempts) < test_claims_machine.MAX_ATTEMPTS
            and test_claims_machine.can_start(self)
        )
    )
    @stateful.rule(
        key=strategies.sampled_from(["era-2.key", "era-3.key"]),
        claimer=strategies.integers(0, test_claims_machine.CLAIMERS - 1),
    )
    def dispatch_key_of_era(self, key, claimer):
        self.dispatch(key, claimer, "d1")

    @stateful.precondition(test_claims_machine.can_start)
    @stateful.rule(key=strategies.sampled_from(["era-2.key", "era-3.key"]))
    def seal_key_of_era(self, key):
        self.seal(key)


def trust_all_claims(monkeypatch):
    """Treat every key as confirmed in every era."""
    monkeypatch.setattr(
        restores, "is_confirmed_without_record", lambda _key, _era: True
    )


def run_keys_of_later_eras(monkeypatch):
    monkeypatch.setattr(
        restores,
        "is_confirmed_without_record",
        lambda key, era: era <= 1 or restores.era_of_key(key) >= era,
    )


def check_era_before_writes_only(monkeypatch):
    """Do not check the era in which a claim was written."""
    monkeypatch.setattr(
        service.ClaimService,
        "confirm_start",
        lambda _self, name, _key, stored: model.StartedClaim(
            name, stored.version, stored.claim
        ),
    )


class TestMachine:
    def test_properties_hold(self):
        stateful.run_state_machine_as_test(
            RestoredMachine, settings=test_claims_machine.SETTINGS
        )

    @pytest.mark.parametrize(
        "weaken", [trust_all_claims, check_era_before_writes_only]
    )
    def test_each_check_is_needed(self, weaken, monkeypatch):
        """Guards against a machine that does not reach a second run."""
        # Keys of later eras are scripted, as random runs reach them rarely.
        weaken(monkeypatch)
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                RestoredMachine, settings=test_claims_machine.STOP_AT_FIRST
            )

    @pytest.mark.parametrize("is_weakened", [False, True])
    def test_keys_of_later_eras(self, is_weakened, monkeypatch):
        """Guards against a key that runs before and after its era begins."""
        if is_weakened:
            run_keys_of_later_eras(monkeypatch)
        machine = RestoredMachine()
        for claimer in (0, 1):
            machine.dispatch_key_of_era("era-2.key", claimer)
            while machine.operations:
                machine.finish(0)
            machine.restore(ALL_CHANGES)
        if not is_weakened:
            machine.check()
            return
        with pytest.raises(AssertionError):
            machine.check()
