"""Checks of the fault matrix: a weakened mechanism must turn cells red."""

from typing import NamedTuple

import pytest

from faults import flow_requests
from faults import matrix
from faults import request_fleet
from verbenafall_core import outcomes
from verbenafall_core.claims import decisions
from verbenafall_core.claims import model
from verbenafall_core.claims import service as claim_service
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import open_attempts
from verbenafall_gateway.delivery import request_flow
from verbenafall_gateway.delivery import stream_assembly
from verbenafall_sidecar.delivery import attempt_registry

SEALED = model.ClaimState.SEALED
NOT_RUN, UNKNOWN, _RAN = outcomes.Outcome


class UnconditionalStore(NamedTuple):
    """Creates claims without the condition that they are absent."""

    store: request_fleet.Store

    def read(self, name):
        return self.store.read(name)

    def create(self, name, value):
        self.store.fleet.store.objects.pop(name, None)
        return self.store.create(name, value)

    def update(self, name, value, version):
        return self.store.update(name, value, version)


def claims_without_condition(fleet, _monkeypatch):
    def create(store, clock, new_token):
        return claim_service.create_claim_service(
            UnconditionalStore(store), clock, new_token
        )

    fleet.create_claims = create


class NoClaims(claim_service.ClaimService):
    """Lets every start run."""

    def start(self, team, key, attempt_id, body_digest, endpoint):
        start = decisions.Start(attempt_id, body_digest, endpoint, "token")
        claim = decisions.started_claim(start, (), self.clock.now())
        return model.StartedClaim(model.object_name(team, key), 1, claim)


def no_claims(fleet, _monkeypatch):
    fleet.create_claims = NoClaims


class ForgetfulRegistry(attempt_registry.AttemptRegistry):
    """Forgets cancelled attempts that it has not seen before."""

    def close(self, attempt_id, known, now):
        return attempt_id not in self.attempts or super().close(
            attempt_id, known, now
        )


def cancel_without_memory(fleet, _monkeypatch):
    fleet.create_registry = lambda: ForgetfulRegistry(100)


def let_voided_attempts_start(_fleet, monkeypatch):
    """Let a start take over a void that was written for its own attempt."""
    original = decisions.next_step_from_void

    def next_step(start, stored, now):
        claim = stored.claim._replace(voided=())
        return original(start, stored._replace(claim=claim), now)

    monkeypatch.setattr(decisions, "next_step_from_void", next_step)


def take_sealed_keys_over(_fleet, monkeypatch):
    """Let a start treat a sealed claim as a void one."""
    original = decisions.next_start_step

    def next_start_step(start, stored, now):
        if stored is not None and stored.claim.state is SEALED:
            claim = stored.claim._replace(state=model.ClaimState.VOID)
            stored = stored._replace(claim=claim)
        return original(start, stored, now)

    monkeypatch.setattr(decisions, "next_start_step", next_start_step)


def unknown_as_not_run(_fleet, monkeypatch):
    """Report an attempt as not run when nothing was heard of it."""
    original = attempt_events.effective_outcome

    def effective_outcome(reported, assembly):
        outcome = original(reported, assembly)
        return NOT_RUN if outcome is UNKNOWN else outcome

    monkeypatch.setattr(attempt_events, "effective_outcome", effective_outcome)


def accept_gaps(_fleet, monkeypatch):
    def check_chunk(assembly, chunk):
        grown = assembly._replace(
            next_sequence=chunk.sequence + 1,
            byte_count=assembly.byte_count + len(chunk.data),
        )
        return stream_assembly.Step(grown, stream_assembly.Verdict.DELIVER)

    monkeypatch.setattr(stream_assembly, "check_chunk", check_chunk)


def cross_answers(fleet, monkeypatch):
    """Hand each message to the attempt that was opened first."""

    def receive(attempts, _link, message):
        if attempts.attempts:
            next(iter(attempts.attempts.values())).events.put(message)

    monkeypatch.setattr(open_attempts.OpenAttempts, "receive", receive)
    accept_gaps(fleet, monkeypatch)


def accept_any_end(_fleet, monkeypatch):
    monkeypatch.setattr(
        stream_assembly, "is_complete", lambda _assembly, _end: True
    )


def resume_from_the_start(_fleet, monkeypatch):
    """Resume a stream as if the client had no tokens."""
    original = stream_assembly.create_assembly
    monkeypatch.setattr(
        stream_assembly,
        "create_assembly",
        lambda attempt_id, _index: original(attempt_id, 0),
    )
    flow = request_flow.RequestFlow
    build = flow.build_dispatch
    monkeypatch.setattr(
        flow,
        "build_dispatch",
        lambda self, progress, attempt_id: build(
            self, progress, attempt_id
        )._replace(resume_index=0, resume_text=""),
    )


class Row(NamedTuple):
    """A mutation, and what some cell of a flow must find."""

    property: str
    mutate: object
    flow: str
    finding: str


ROWS = [
    Row("P1", claims_without_condition, "reservation", "the key ran"),
    Row("P1", no_claims, "reservation", "the key ran"),
    Row("P2", cancel_without_memory, "cancel_overtakes_search", "not_run"),
    Row("P2", take_sealed_keys_over, "outcome_before_claim", "not_run"),
    Row("P2", let_voided_attempts_start, "reservation_once", "not_run"),
    Row("P2", unknown_as_not_run, "search", "not_run"),
    Row("P2", unknown_as_not_run, "reservation", "not_run"),
    Row("P3", accept_gaps, "stream", "left"),
    Row("P3", accept_any_end, "stream", "ended cleanly"),
    Row("P3", accept_any_end, "search", "another answer"),
    Row("P3", cross_answers, "stream", "left got"),
    Row("P3", resume_from_the_start, "stream", "left got"),
]


def run_mutated(row, monkeypatch):
    """Yield the verdicts on the single faults of a flow."""
    spec = next(
        item for item in flow_requests.FLOW_SPECS if item.name == row.flow
    )

    def run(cell):
        with monkeypatch.context() as patch:
            return flow_requests.execute(
                spec.service,
                spec.scenario,
                cell,
                lambda fleet: row.mutate(fleet, patch),
            )

    flow = spec.build()._replace(pairs=False, run=run)
    return matrix.run_flow(flow, seed=1)


class TestMutations:
    @pytest.mark.parametrize(
        "row",
        ROWS,
        ids=[f"{r.property}-{r.mutate.__name__}-{r.flow}" for r in ROWS],
    )
    def test_matrix_sees_it(self, row, monkeypatch):
        """Guards against a matrix whose checks hold whatever happens."""
        assert any(
            verdict.state is matrix.State.RED and row.finding in verdict.reason
            for verdict in run_mutated(row, monkeypatch)
        )

    def test_every_property_of_requests_has_a_mutation(self):
        """Guards against a property whose checks nothing has checked."""
        assert {row.property for row in ROWS} == {"P1", "P2", "P3"}
