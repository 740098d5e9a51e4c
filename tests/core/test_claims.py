"""Claims: the stored record, the service, and removal after expiry."""

import datetime
import json

import pytest

from verbenafall_core.claims import collector
from verbenafall_core.claims import model
from verbenafall_core.claims import record
from verbenafall_core.claims import service
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

CLAIM = model.Claim(
    model.ClaimState.DONE,
    "r.1",
    "digest",
    "ep",
    manual_clock.ORIGIN,
    model.StoredAnswer(200, (("a", "b"),), b"\x00\xff"),
    "token",
    ("r.0",),
)

MALFORMED_FIELDS = [
    {"state": "other"},
    {"attempt_id": 1},
    {"changed_at": "2026-01-01T00:00:00"},
    {"answer": None},
    {"answer": {"status": 200, "headers": [["a"]], "body": None}},
    {"state": "started"},
    {"voided": None},
]


class TestRecord:
    @pytest.mark.parametrize(
        "claim",
        [
            CLAIM,
            CLAIM._replace(answer=CLAIM.answer._replace(body=None)),
            CLAIM._replace(state=model.ClaimState.VOID, answer=None),
        ],
    )
    def test_round_trip(self, claim):
        assert record.decode(record.encode(claim)).unwrap() == claim

    @pytest.mark.parametrize("change", MALFORMED_FIELDS)
    def test_malformed_fields(self, change):
        fields = json.loads(record.encode(CLAIM)) | change
        assert record.decode(json.dumps(fields).encode()).failure()


class TestService:
    def test_malformed_record_is_never_treated_as_a_free_key(self):
        store = memory_store.create_memory_store()
        clock = manual_clock.create_manual_clock()
        claims = service.create_claim_service(store, clock)
        store.create(model.object_name("t", "k"), b"{}")
        started = claims.start("t", "k", "r.1", "d", "ep")
        assert isinstance(started, model.Unavailable)
        settled = claims.settle("t", "k", "r.1")
        assert isinstance(settled, model.Unavailable)

    def test_costs_two_writes_and_no_read_without_faults(self):
        store = memory_store.create_memory_store()
        clock = manual_clock.create_manual_clock()
        claims = service.create_claim_service(store, clock)
        started = claims.start("t", "k", "r.1", "d", "ep")
        claims.finish(started, model.StoredAnswer(200, (), b""))
        assert [c.operation for c in store.calls] == ["create", "update"]


class TestCollector:
    def test_removes_all_expired_claims_in_bounded_passes(self):
        store = memory_store.create_memory_store()
        clock = manual_clock.create_manual_clock()
        claims = service.create_claim_service(store, clock)
        for number in range(200):
            claims.start(f"t{number % 3}", f"old{number}", "r.1", "d", "ep")
        store.create("claims/t0/bad", b"{}")
        store.create("other", record.encode(CLAIM))
        clock.advance(model.RETENTION + datetime.timedelta(seconds=1))
        for number in range(100):
            claims.start("t1", f"new{number}", "r.1", "d", "ep")
        created = collector.create_claim_collector(store, clock, lambda: True)
        removed = 0
        for _ in range(100):
            store.calls.clear()
            result = created.run_pass()
            removed += result.removed
            lists = [c for c in store.calls if c.operation == "list"]
            assert len(lists) <= collector.MAX_LISTS_PER_PASS
            limit = collector.MAX_LISTS_PER_PASS * collector.LIST_LIMIT
            assert result.removed <= limit
        assert removed == 200
        assert len(store.objects) == 102

    def test_only_the_lease_holder_removes(self):
        store = memory_store.create_memory_store()
        clock = manual_clock.create_manual_clock()
        created = collector.create_claim_collector(store, clock, lambda: False)
        created.run_pass()
        assert store.calls == []
