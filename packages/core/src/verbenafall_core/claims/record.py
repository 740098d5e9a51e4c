"""JSON form of a claim in the object store."""

import datetime
from typing import TypedDict

import msgspec
import returns.result

from verbenafall_core import json_documents
from verbenafall_core.claims import model


class AnswerFields(TypedDict):
    """JSON object of an answer; msgspec writes the body in base64."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None


class ClaimFields(TypedDict):
    """JSON object of a claim."""

    state: model.ClaimState
    attempt_id: str
    body_digest: str
    endpoint: str
    changed_at: datetime.datetime
    answer: AnswerFields | None
    token: str
    voided: list[str]


def encode(claim: model.Claim) -> bytes:
    """Return the JSON text that is stored for a claim."""
    answer = claim.answer
    fields = ClaimFields(
        state=claim.state,
        attempt_id=claim.attempt_id,
        body_digest=claim.body_digest,
        endpoint=claim.endpoint,
        changed_at=claim.changed_at,
        answer=None
        if answer is None
        else AnswerFields(
            status=answer.status,
            headers=list(answer.headers),
            body=answer.body,
        ),
        token=claim.token,
        voided=list(claim.voided),
    )
    return msgspec.json.encode(fields)


def decode(value: bytes) -> returns.result.Result[model.Claim, str]:
    """Return the claim in a stored value, or why the value is malformed."""
    try:
        fields = json_documents.decode(value, ClaimFields)
    except json_documents.JsonError as error:
        return returns.result.Failure(str(error))
    if fields["changed_at"].tzinfo is None:
        return returns.result.Failure("changed_at has no time zone")
    answer = fields["answer"]
    if (answer is None) == (fields["state"] is model.ClaimState.DONE):
        return returns.result.Failure(
            "a claim must have an answer if, and only if, its state is done"
        )
    return returns.result.Success(
        model.Claim(
            fields["state"],
            fields["attempt_id"],
            fields["body_digest"],
            fields["endpoint"],
            fields["changed_at"],
            None
            if answer is None
            else model.StoredAnswer(
                answer["status"], tuple(answer["headers"]), answer["body"]
            ),
            fields["token"],
            tuple(fields["voided"]),
        )
    )
