"""Decisions on claims: the next step, given the record in the store.

An attempt may call the endpoint only while it holds a started claim. The claim
is written on the condition that the record is absent or void, so at most one
of several concurrent starts gets it.
"""

import datetime
from typing import NamedTuple

from verbenafall_core.claims import model


class Start(NamedTuple):
    """One call of Claims.start.

    Attributes:
        token: Random id of this call.
    """

    attempt_id: str
    body_digest: str
    endpoint: str
    token: str


class Stored(NamedTuple):
    """A claim and the version of its record in the store."""

    version: int
    claim: model.Claim


class Write(NamedTuple):
    """Write a claim on the condition that the record has not changed.

    Attributes:
        expected_version: Version that is replaced; None to create the record.
    """

    claim: model.Claim
    expected_version: int | None


class Acquired(NamedTuple):
    """The record is the started claim of this call."""

    stored: Stored


class Complete(NamedTuple):
    """No further write is needed."""


StartEnd = Acquired | model.Replay | model.Held | model.Mismatch | model.Sealed
StartStep = Write | StartEnd
SettleEnd = model.Voided | model.Replay | model.Held
SettleStep = Write | SettleEnd
SealEnd = model.Sealed | model.Replay | model.Held
SealStep = Write | SealEnd
FinishStep = Write | Complete


def next_start_step(
    start: Start, stored: Stored | None, now: datetime.datetime
) -> StartStep:
    """Decide the next step of a start, given the record in the store."""
    if stored is None:
        return Write(started_claim(start, (), now), None)
    claim = stored.claim
    if claim.token == start.token and claim.state is model.ClaimState.STARTED:
        return Acquired(stored)
    if claim.state is model.ClaimState.VOID:
        return next_step_from_void(start, stored, now)
    return refuse_start(start, claim)


def refuse_start(start: Start, claim: model.Claim) -> StartEnd:
    """Return the result of a start whose key is already in use."""
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
    """Take over a void claim unless this attempt was reported as not run."""
    if start.attempt_id in stored.claim.voided:
        return model.Held(start.attempt_id)
    claim = started_claim(start, stored.claim.voided, now)
    return Write(claim, stored.version)


def next_settle_step(
    attempt_id: str, stored: Stored | None, now: datetime.datetime
) -> SettleStep:
    """Decide the next step of a settle, given the record in the store."""
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
    if len(claim.voided) >= model.MAX_VOIDED_ATTEMPTS:
        return model.Held(claim.attempt_id)
    return Write(void_claim(attempt_id, claim.voided, now), stored.version)


def next_seal_step(
    sealer: str, stored: Stored | None, now: datetime.datetime
) -> SealStep:
    """Decide the next step of a seal, given the record in the store."""
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


def find_final_result(
    body_digest: str, stored: Stored | None
) -> model.Replay | model.Mismatch | None:
    """Return the result of a start that no restore of the store can change.

    Only a claim that is done is final. After a restore, any other state may
    be older than one that was lost.
    """
    if stored is None or stored.claim.answer is None:
        return None
    if stored.claim.body_digest != body_digest:
        return model.Mismatch()
    return model.Replay(stored.claim.answer)


def next_finish_step(
    started: model.Claim,
    answer: model.StoredAnswer,
    stored: Stored | None,
    now: datetime.datetime,
) -> FinishStep:
    """Decide to record the answer of the attempt that ran under a claim.

    The claim is written again if a restore of the store has lost it.
    """
    if not may_record_answer(started.token, stored):
        return Complete()
    claim = started._replace(
        state=model.ClaimState.DONE,
        answer=drop_large_body(answer),
        changed_at=now,
    )
    return Write(claim, None if stored is None else stored.version)


def may_record_answer(token: str, stored: Stored | None) -> bool:
    """Return whether the record is absent, void, or started by the token."""
    if stored is None or stored.claim.state is model.ClaimState.VOID:
        return True
    return find_started_claim(token, stored) is not None


def next_abandon_step(
    token: str, stored: Stored | None, now: datetime.datetime
) -> FinishStep:
    """Decide to void the token's claim if it is still started.

    It stays started if the record lists too many voided attempts.
    """
    current = find_started_claim(token, stored)
    if current is None:
        return Complete()
    claim = current.claim
    if len(claim.voided) >= model.MAX_VOIDED_ATTEMPTS:
        return Complete()
    void = void_claim(claim.attempt_id, claim.voided, now)
    return Write(void, current.version)


def find_started_claim(token: str, stored: Stored | None) -> Stored | None:
    """Return the stored record if it is the started claim of a token."""
    if stored is None or stored.claim.token != token:
        return None
    if stored.claim.state is not model.ClaimState.STARTED:
        return None
    return stored


def started_claim(
    start: Start, voided: tuple[str, ...], now: datetime.datetime
) -> model.Claim:
    """Return the started claim of a call, with the attempts voided so far."""
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
    """Return a void claim that adds an attempt to those that may not start."""
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
    """Return a sealed claim, under which no attempt may start."""
    return model.Claim(
        model.ClaimState.SEALED, sealer, "", "", now, None, "", ()
    )


def drop_large_body(answer: model.StoredAnswer) -> model.StoredAnswer:
    """Return the answer without its body if that is too large to store."""
    body = answer.body
    if body is not None and len(body) > model.MAX_STORED_BODY_BYTES:
        return answer._replace(body=None)
    return answer


def is_expired(claim: model.Claim, now: datetime.datetime) -> bool:
    """Return whether a claim has not changed for the retention period."""
    return now - claim.changed_at > model.RETENTION
