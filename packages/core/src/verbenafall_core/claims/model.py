"""Claim records and the results of operations on them."""

import datetime
import enum
import hashlib
from typing import Final
from typing import NamedTuple
from typing import Protocol

MAX_STORED_BODY_BYTES: Final = 64 * 1024
# Bounds the record; a claim with more voided attempts is not voided again.
MAX_VOIDED: Final = 1000
RETENTION: Final = datetime.timedelta(hours=24)


class ClaimState(enum.StrEnum):
    """State of a claim.

    STARTED: The attempt may have reached the endpoint.
    VOID: The attempt never ran and never will; the key is free.
    SEALED: No attempt has run and none ever will; the key is used up.
    DONE: The attempt ran and its answer is known.
    """

    STARTED = "started"
    VOID = "void"
    SEALED = "sealed"
    DONE = "done"


class StoredAnswer(NamedTuple):
    """An endpoint's answer kept with a claim.

    Attributes:
        body: None when the body was too large to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class Claim(NamedTuple):
    """The record in the store for one idempotency key of a team.

    Attributes:
        token: Random name of the start that wrote the record. Another start
            of the same attempt has another token.
        voided: Attempts that were reported as not run; none of them may
            start even when the key is taken over by another attempt.
    """

    state: ClaimState
    attempt_id: str
    body_digest: str
    endpoint: str
    changed_at: datetime.datetime
    answer: StoredAnswer | None
    token: str = ""
    voided: tuple[str, ...] = ()


class StartedClaim(NamedTuple):
    """Proof that this attempt holds the claim and may call the endpoint."""

    name: str
    version: int
    claim: Claim


class Replay(NamedTuple):
    """The same request ran before; this is its answer."""

    answer: StoredAnswer


class Held(NamedTuple):
    """Another attempt holds the claim; whether it ran is unknown."""

    attempt_id: str


class Mismatch(NamedTuple):
    """The key was used for another request."""


class Sealed(NamedTuple):
    """A client was told that the key was not run, so it never may run."""


class Unavailable(NamedTuple):
    """The claim could not be made; this attempt will not run."""

    message: str


class Voided(NamedTuple):
    """No attempt has run up to now, and the given attempt never will."""


StartResult = StartedClaim | Replay | Held | Mismatch | Sealed | Unavailable
SettleResult = Voided | Replay | Held | Unavailable
SealResult = Sealed | Replay | Held | Unavailable


class Claims(Protocol):
    """Operations on claims."""

    def start(
        self,
        team: str,
        key: str,
        attempt_id: str,
        body_digest: str,
        endpoint: str,
    ) -> StartResult:
        """Claim a key for an attempt, just before the endpoint is called."""

    def finish(self, started: StartedClaim, answer: StoredAnswer) -> None:
        """Record the answer; on a failure the claim stays started."""

    def abandon(self, started: StartedClaim) -> None:
        """Void a claim whose attempt provably did not reach the endpoint."""

    def settle(self, team: str, key: str, attempt_id: str) -> SettleResult:
        """Find out what happened to a key, voiding it when nobody has it.

        Attempt ids name who voided; a later start by the same attempt is
        refused as held.
        """

    def seal(self, team: str, key: str, sealer: str) -> SealResult:
        """Find out what happened to a key, closing it when nobody has it.

        The sealer's name is kept in the record.
        """


def object_name(team: str, key: str) -> str:
    """Return the store name of a claim."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"claims/{team}/{digest}"


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells requests under one key apart."""
    hasher = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()
