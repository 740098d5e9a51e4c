"""Claim records and the results of operations on them."""

import datetime
import enum
import hashlib
from typing import Final
from typing import NamedTuple
from typing import Protocol

MAX_STORED_BODY_BYTES: Final = 64 * 1024
# Bounds the size of the record; a claim that lists this many voided attempts
# is not voided again.
MAX_VOIDED_ATTEMPTS: Final = 1000
RETENTION: Final = datetime.timedelta(hours=24)


class ClaimState(enum.StrEnum):
    """State of a claim.

    STARTED: The attempt may have reached the endpoint.
    VOID: The attempt has not run and never will; another one may start.
    SEALED: No attempt has run and none ever will.
    DONE: The attempt ran and its answer is recorded.
    """

    STARTED = "started"
    VOID = "void"
    SEALED = "sealed"
    DONE = "done"


class StoredAnswer(NamedTuple):
    """An endpoint's answer, stored in the claim.

    Attributes:
        body: None if the body was too large to store.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class Claim(NamedTuple):
    """The record in the store for one idempotency key of a team.

    Attributes:
        token: Random id of the start that wrote the record. Another start
            of the same attempt has another token.
        voided: Ids of attempts that were reported as not run. None of them
            may start later, even if another attempt takes over the key.
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
    """The same request ran before and got this answer."""

    answer: StoredAnswer


class Held(NamedTuple):
    """The operation is refused; whether the key ran is not known.

    An attempt was started under the key, the attempt being started was voided
    before, the record lists too many voided attempts to add another, or a
    restore of the store may have lost the claim.

    Attributes:
        attempt_id: The refused attempt if it was voided, else the one in the
            record.
    """

    attempt_id: str


class Mismatch(NamedTuple):
    """The key is in use for a request with another digest."""


class Sealed(NamedTuple):
    """A client has been sent the outcome not_run, so no attempt may run."""


class Unconfirmed(NamedTuple):
    """The start is refused; whether the key ran is not known.

    A restore of the store may have lost the claim of the key.

    Attributes:
        key_prefix: How keys begin that may be started now.
    """

    key_prefix: str


class Unavailable(NamedTuple):
    """The store gave no final result; a start must not call the endpoint."""

    message: str


class Voided(NamedTuple):
    """No attempt has run so far, and the given attempt never will."""


StartResult = (
    StartedClaim | Replay | Held | Mismatch | Sealed | Unconfirmed | Unavailable
)
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
        """Record the answer; the claim stays started if this fails."""

    def abandon(self, started: StartedClaim) -> None:
        """Void a claim whose attempt certainly did not reach the endpoint."""

    def settle(self, team: str, key: str, attempt_id: str) -> SettleResult:
        """Return the outcome of a key; void the attempt if none was started.

        The record keeps the attempt id, and a later start of that attempt
        returns Held.
        """

    def seal(self, team: str, key: str, sealer: str) -> SealResult:
        """Return the outcome of a key; seal it if no attempt was started.

        The record keeps the sealer's name in place of an attempt id.
        """


def object_name(team: str, key: str) -> str:
    """Return the name of a claim's object in the store."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"claims/{team}/{digest}"


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return a digest of a request, to detect its key on a different one."""
    hasher = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()
