"""Decisions on claims: what to do next, given what the store holds.

A started claim is the only permission to call the endpoint. It is written
under the condition that the record is absent or void, so of any number of
starts at most one gets it.
"""

import datetime
from typing import NamedTuple

from verbenafall_core.claims import model


class Start(NamedTuple):
    """One call of Claims.start.

    Attributes:
        token: Random name of this call.
    """

    attempt_id: str
    body_digest: str
    endpoint: str
    token: str


class Stored(NamedTuple):
    """A claim as the store holds it."""

    version: int
    claim: model.Claim


class Write(NamedTuple):
    """Write a claim on the condition that the record is still the same.

    Attributes:
        expected_version: None when the record must be absent.
    """

    claim: model.Claim
    expected_version: int | None


class Won(NamedTuple):
    """The record is this start's own."""

    stored: Stored


class Complete(NamedTuple):
    """Nothing is left to do."""


StartEnd = Won | model.Replay | model.Held | model.Mismatch | model.Sealed
StartStep = Write | StartEnd
SettleEnd = model.Voided | model.Replay | model.Held
SettleStep = Write | SettleEnd
SealEnd = model.Sealed | model.Replay | model.Held
SealStep = Write | SealEnd
FinishStep = Write | Complete


def next_start_step(
    start: Start, stored: Stored | None, now: datetime.datetime
) -> StartStep:
    """Decide how a start goes on from what the store holds."""
    if stored is None:
        return Write(started_claim(start, (), now), None)
    claim = stored.claim
    if claim.token == start.token and claim.state is model.ClaimState.STARTED:
        return Won(stored)
    if claim.state is model.ClaimState.VOID:
        return next_step_from_void(start, stored, now)
    return refuse_start(start, claim)


def refuse_start(start: Start, claim: model.Claim) -> StartEnd:
    """Return the result of a start whose key is not free."""
    if claim.state is model.ClaimState.SEALED:
        return model.Sealed()
    if claim.body_digest != start.body_digest:
        return model.Mismatch()
    if claim.answer is not None:
        return model.Replay(claim.answer)
    return model.Held(claim.attempt_id)


def next_step_from_void(
    start: Start, stored: Stored, now: datetime.datetime
) -> StartStep:
    """Take a void claim over unless the attempt was reported as not run."""
    if start.attempt_id in stored.claim.voided:
        return model.Held(start.attempt_id)
    claim = started_claim(start, stored.claim.voided, now)
    return Write(claim, stored.version)


def next_settle_step(
    attempt_id: str, stored: Stored | None, now: datetime.datetime
) -> SettleStep:
    """Decide how a settle goes on from what the store holds."""
    if stored is None:
        return Write(void_claim(attempt_id, (), now), None)
    claim = stored.claim
    if claim.answer is not None:
        return model.Replay(claim.answer)
    if claim.state is model.ClaimState.STARTED:
        return model.Held(claim.attempt_id)
    sealed = claim.state is model.ClaimState.SEALED
    if sealed or attempt_id in claim.voided:
        return model.Voided()
    if len(claim.voided) >= model.MAX_VOIDED:
        return model.Held(claim.attempt_id)
    return Write(void_claim(attempt_id, claim.voided, now), stored.version)


def next_seal_step(
    sealer: str, stored: Stored | None, now: datetime.datetime
) -> SealStep:
    """Decide how a seal goes on from what the store holds."""
    if stored is None:
        return Write(sealed_claim(sealer, now), None)
    claim = stored.claim
    if claim.answer is not None:
        return model.Replay(claim.answer)
    if claim.state is model.ClaimState.STARTED:
        return model.Held(claim.attempt_id)
    if claim.state is model.ClaimState.SEALED:
        return model.Sealed()
    return Write(sealed_claim(sealer, now), stored.version)


def next_finish_step(
    token: str,
    answer: model.StoredAnswer,
    stored: Stored | None,
    now: datetime.datetime,
) -> FinishStep:
    """Decide how to record the answer to a claim's own attempt."""
    own = find_own_started(token, stored)
    if own is None:
        return Complete()
    claim = own.claim._replace(
        state=model.ClaimState.DONE,
        answer=bound_answer(answer),
        changed_at=now,
    )
    return Write(claim, own.version)


def next_abandon_step(
    token: str, stored: Stored | None, now: datetime.datetime
) -> FinishStep:
    """Decide how to void a claim whose attempt did not run."""
    own = find_own_started(token, stored)
    if own is None:
        return Complete()
    claim = own.claim
    if len(claim.voided) >= model.MAX_VOIDED:
        return Complete()
    void = void_claim(claim.attempt_id, claim.voided, now)
    return Write(void, own.version)


def find_own_started(token: str, stored: Stored | None) -> Stored | None:
    """Return what the store holds if it is the started claim of a token."""
    if stored is None or stored.claim.token != token:
        return None
    if stored.claim.state is not model.ClaimState.STARTED:
        return None
    return stored


def started_claim(
    start: Start, voided: tuple[str, ...], now: datetime.datetime
) -> model.Claim:
    """Return the record of a start."""
    return model.Claim(
        model.ClaimState.STARTED,
        start.attempt_id,
        start.body_digest,
        start.endpoint,
        now,
        None,
        start.token,
        voided,
    )


def void_claim(
    attempt_id: str, voided: tuple[str, ...], now: datetime.datetime
) -> model.Claim:
    """Return a void record that bars one more attempt."""
    return model.Claim(
        model.ClaimState.VOID,
        attempt_id,
        "",
        "",
        now,
        None,
        "",
        (*voided, attempt_id),
    )


def sealed_claim(sealer: str, now: datetime.datetime) -> model.Claim:
    """Return a record that bars all attempts."""
    return model.Claim(
        model.ClaimState.SEALED, sealer, "", "", now, None, "", ()
    )


def bound_answer(answer: model.StoredAnswer) -> model.StoredAnswer:
    """Return an answer that fits in the record."""
    body = answer.body
    if body is not None and len(body) > model.MAX_STORED_BODY_BYTES:
        return answer._replace(body=None)
    return answer


def is_expired(claim: model.Claim, now: datetime.datetime) -> bool:
    """Return whether a claim is old enough to be removed."""
    return now - claim.changed_at > model.RETENTION
