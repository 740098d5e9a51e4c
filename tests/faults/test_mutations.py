"""Mutations of the request path: each must turn a cell of the matrix red."""

from typing import NamedTuple

import pytest

from faults import flow_requests
from faults import matrix
from faults import request_fleet
from verbenafall_core import outcomes
from verbenafall_core.claims import decisions
from verbenafall_core.claims import model
from verbenafall_core.claims import restores
from verbenafall_core.claims import service as claim_service
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import open_attempts
from verbenafall_gateway.delivery import request_flow
from verbenafall_gateway.delivery import stream_assembly
from verbenafall_sidecar.delivery import attempt_registry

SEALED = model.ClaimState.SEALED
NOT_RUN, UNKNOWN, _RAN = outcomes.Outcome


class UnconditionalStore(NamedTuple):
    """Creates a claim even if it already exists."""

    store: request_fleet.Store

    def read(self, name):
        return self.store.read(name)

    def create(self, name, value):
        self.store.fleet.store.objects.pop(name, None)
        return self.store.create(name, value)

    def update(self, name, value, version):
        return self.store.update(name, value, version)


def create_claims_unconditionally(fleet, _monkeypatch):
    def create(store, clock, new_token):
        return claim_service.create_claim_service(
            UnconditionalStore(store), clock, new_token
        )

    fleet.create_claims = create


class ClaimServiceWithoutStore(claim_service.ClaimService):
    """Starts every attempt without reading or writing its claim."""

    def start(self, team, key, attempt_id, body_digest, endpoint):
        start = decisions.Start(attempt_id, body_digest, endpoint, "token")
        claim = decisions.started_claim(start, (), self.clock.now())
        return model.StartedClaim(model.object_name(team, key), 1, claim)


def start_without_claims(fleet, _monkeypatch):
    fleet.create_claims = ClaimServiceWithoutStore


class RegistryOfSeenAttempts(attempt_registry.AttemptRegistry):
    """Does not record the cancel of an attempt that it has not seen."""

    def close(self, attempt_id, known, now):
        return attempt_id not in self.attempts or super().close(
            attempt_id, known, now
        )


def ignore_cancels_of_unseen_attempts(fleet, _monkeypatch):
    fleet.create_registry = lambda: RegistryOfSeenAttempts(100)


def allow_voided_attempts_to_start(_fleet, monkeypatch):
    """Start an attempt although its key was voided for that attempt."""
    original = decisions.next_step_from_void

    def next_step(start, stored, now):
        claim = stored.claim._replace(voided=())
        return original(start, stored._replace(claim=claim), now)

    monkeypatch.setattr(decisions, "next_step_from_void", next_step)


def reuse_sealed_keys(_fleet, monkeypatch):
    """Treat a sealed claim as a void one, so that a start may reuse it."""
    original = decisions.next_start_step

    def next_start_step(start, stored, now):
        if stored is not None and stored.claim.state is SEALED:
            claim = stored.claim._replace(state=model.ClaimState.VOID)
            stored = stored._replace(claim=claim)
        return original(start, stored, now)

    monkeypatch.setattr(decisions, "next_start_step", next_start_step)


def report_unknown_as_not_run(_fleet, monkeypatch):
    """Report attempts with an unknown outcome as not run."""
    original = attempt_events.effective_outcome

    def effective_outcome(reported, assembly):
        outcome = original(reported, assembly)
        return NOT_RUN if outcome is UNKNOWN else outcome

    monkeypatch.setattr(attempt_events, "effective_outcome", effective_outcome)


def accept_gaps(_fleet, monkeypatch):
    def check_chunk(assembly, chunk):
        next_assembly = assembly._replace(
            next_sequence=chunk.sequence + 1,
            byte_count=assembly.byte_count + len(chunk.data),
        )
        return stream_assembly.Step(
            next_assembly, stream_assembly.Verdict.DELIVER
        )

    monkeypatch.setattr(stream_assembly, "check_chunk", check_chunk)


def misroute_messages(fleet, monkeypatch):
    """Deliver each message to the attempt that was opened first."""

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


def store_restored_claims_are_trusted(_fleet, monkeypatch):
    """Treat every key as confirmed in every era of the store."""
    monkeypatch.setattr(
        restores, "is_confirmed_without_record", lambda _key, _era: True
    )


def store_restored_claim_is_checked_before_the_write(_fleet, monkeypatch):
    """Do not check the era of the store in which a claim was written."""
    monkeypatch.setattr(
        claim_service.ClaimService,
        "confirm_start",
        lambda _claims, name, _key, stored: model.StartedClaim(
            name, stored.version, stored.claim
        ),
    )


class Mutation(NamedTuple):
    """A mutation and the violation that a cell of a flow must report."""

    property: str
    mutate: object
    flow: str
    violation: str


MUTATIONS = [
    Mutation("P1", create_claims_unconditionally, "reservation", "the key ran"),
    Mutation("P1", start_without_claims, "reservation", "the key ran"),
    Mutation(
        "P1", store_restored_claims_are_trusted, "reservation", "the key ran"
    ),
    Mutation(
        "P1",
        store_restored_claim_is_checked_before_the_write,
        "reservation",
        "the key ran",
    ),
    Mutation(
        "P2",
        store_restored_claims_are_trusted,
        "outcome_after_claim",
        "not_run",
    ),
    Mutation(
        "P2",
        ignore_cancels_of_unseen_attempts,
        "cancel_overtakes_search",
        "not_run",
    ),
    Mutation("P2", reuse_sealed_keys, "outcome_before_claim", "not_run"),
    Mutation(
        "P2", allow_voided_attempts_to_start, "reservation_once", "not_run"
    ),
    Mutation("P2", report_unknown_as_not_run, "search", "not_run"),
    Mutation("P2", report_unknown_as_not_run, "reservation", "not_run"),
    Mutation("P3", accept_gaps, "stream", "left"),
    Mutation("P3", accept_any_end, "stream", "ended cleanly"),
    Mutation("P3", accept_any_end, "search", "another answer"),
    Mutation("P3", misroute_messages, "stream", "left got"),
    Mutation("P3", resume_from_the_start, "stream", "left got"),
]


def run_mutated(mutation, monkeypatch):
    """Run a mutated flow with single faults and yield the verdicts."""
    spec = next(
        item for item in flow_requests.FLOW_SPECS if item.name == mutation.flow
    )

    def run(cell):
        with monkeypatch.context() as patch:
            return flow_requests.execute(
                spec.service,
                spec.scenario,
                cell,
                lambda fleet: mutation.mutate(fleet, patch),
            )

    flow = spec.build()._replace(pairs=False, run=run)
    return matrix.run_flow(flow, seed=1)


class TestMutations:
    @pytest.mark.parametrize(
        "mutation",
        MUTATIONS,
        ids=[f"{r.property}-{r.mutate.__name__}-{r.flow}" for r in MUTATIONS],
    )
    def test_mutation_turns_a_cell_red(self, mutation, monkeypatch):
        """Guards against checks that pass although a mechanism is broken."""
        assert any(
            verdict.state is matrix.State.RED
            and mutation.violation in verdict.reason
            for verdict in run_mutated(mutation, monkeypatch)
        )

    def test_every_property_of_requests_has_a_mutation(self):
        """Guards against a property without a mutation."""
        assert {mutation.property for mutation in MUTATIONS} == {
            "P1",
            "P2",
            "P3",
        }
