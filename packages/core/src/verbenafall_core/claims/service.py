"""Claims on the object store."""

import collections
from collections.abc import Callable
import threading
from typing import Final
from typing import NamedTuple
from typing import TypeVar
import uuid

import returns.pipeline
import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core.claims import decisions
from verbenafall_core.claims import event_catalogue
from verbenafall_core.claims import model
from verbenafall_core.claims import record
from verbenafall_core.object_store import port

# Each round is a conditional write and, unless it wins, a read.
MAX_ROUNDS: Final = 3
MAX_UNRESOLVED: Final = 10_000
# Lost calls may still be on their way to the store when they are read back.
RESOLVE_TRIES: Final = 30
RESOLVE_BATCH: Final = 20

S = TypeVar("S")
Decide = Callable[[decisions.Stored | None], decisions.Write | S]


class Unread(NamedTuple):
    """The store could not be asked, or not in the rounds allowed.

    Attributes:
        wrote: Whether a write with an unknown result was made.
    """

    message: str
    wrote: bool


class Unresolved(NamedTuple):
    """A start that was given up and may have left a started claim."""

    name: str
    token: str
    tries_left: int


class ClaimService:
    """Claims on the object store; safe to use from any thread."""

    def __init__(
        self,
        store: port.ObjectStore,
        clock: clock_lib.Clock,
        new_token: Callable[[], str],
    ) -> None:
        """Create the service."""
        self.store = store
        self.clock = clock
        self.new_token = new_token
        self.lock = threading.Lock()
        self.unresolved: collections.deque[Unresolved] = collections.deque(
            maxlen=MAX_UNRESOLVED
        )

    def start(
        self,
        team: str,
        key: str,
        attempt_id: str,
        body_digest: str,
        endpoint: str,
    ) -> model.StartResult:
        """Claim a key for an attempt, just before the endpoint is called."""
        name = model.object_name(team, key)
        start = decisions.Start(
            attempt_id, body_digest, endpoint, self.new_token()
        )

        def decide(stored: decisions.Stored | None) -> decisions.StartStep:
            return decisions.next_start_step(start, stored, self.clock.now())

        # An absent record is by far the most frequent case.
        step: decisions.StartEnd | Unread = self.run(
            name, decide, first=decide(None)
        )
        if isinstance(step, decisions.Won):
            return model.StartedClaim(
                name, step.stored.version, step.stored.claim
            )
        if isinstance(step, Unread):
            return self.give_up_start(name, start, step)
        return step

    def give_up_start(
        self, name: str, start: decisions.Start, unread: Unread
    ) -> model.Unavailable:
        """Note a start whose claim may be in the store all the same."""
        if unread.wrote:
            with self.lock:
                self.unresolved.append(
                    Unresolved(name, start.token, RESOLVE_TRIES)
                )
        event_log.emit(
            event_catalogue.CLAIM_UNAVAILABLE,
            attempt=start.attempt_id,
            error=unread.message,
        )
        return model.Unavailable(unread.message)

    def finish(
        self, started: model.StartedClaim, answer: model.StoredAnswer
    ) -> None:
        """Record the answer; on a failure the claim stays started."""
        token = started.claim.token

        def decide(stored: decisions.Stored | None) -> decisions.FinishStep:
            return decisions.next_finish_step(
                token, answer, stored, self.clock.now()
            )

        own = decisions.Stored(started.version, started.claim)
        step = self.run(started.name, decide, first=decide(own))
        if isinstance(step, Unread):
            event_log.emit(
                event_catalogue.CLAIM_NOT_RECORDED,
                attempt=started.claim.attempt_id,
                error=step.message,
            )

    def abandon(self, started: model.StartedClaim) -> None:
        """Void a claim whose attempt provably did not reach the endpoint."""
        own = decisions.Stored(started.version, started.claim)
        step = self.void(started.name, started.claim.token, own)
        if isinstance(step, Unread):
            with self.lock:
                self.unresolved.append(
                    Unresolved(started.name, started.claim.token, RESOLVE_TRIES)
                )

    def settle(
        self, team: str, key: str, attempt_id: str
    ) -> model.SettleResult:
        """Find out what happened to a key, voiding it when nobody has it."""
        name = model.object_name(team, key)

        def decide(stored: decisions.Stored | None) -> decisions.SettleStep:
            return decisions.next_settle_step(
                attempt_id, stored, self.clock.now()
            )

        step: decisions.SettleEnd | Unread = self.run(name, decide)
        if isinstance(step, Unread):
            return model.Unavailable(step.message)
        return step

    def seal(self, team: str, key: str, sealer: str) -> model.SealResult:
        """Find out what happened to a key, closing it when nobody has it."""
        name = model.object_name(team, key)

        def decide(stored: decisions.Stored | None) -> decisions.SealStep:
            return decisions.next_seal_step(sealer, stored, self.clock.now())

        step: decisions.SealEnd | Unread = self.run(name, decide)
        if isinstance(step, Unread):
            return model.Unavailable(step.message)
        return step

    def resolve(self) -> None:
        """Void started claims that given-up starts may have left behind.

        To be called from time to time; each call tries some of them once,
        so that the end of an outage does not bring a burst of calls.
        """
        with self.lock:
            count = min(len(self.unresolved), RESOLVE_BATCH)
            todo = [self.unresolved.popleft() for _ in range(count)]
        for entry in todo:
            self.resolve_one(entry)

    def resolve_one(self, entry: Unresolved) -> None:
        """Void one claim, or keep it for the next call."""
        result = self.read(entry.name)
        stored = None
        if returns.pipeline.is_successful(result):
            stored = result.unwrap()
        own = decisions.find_own_started(entry.token, stored)
        if own is not None:
            step = self.void(entry.name, entry.token, own)
            if not isinstance(step, Unread):
                event_log.emit(
                    event_catalogue.CLAIM_VOIDED_LATER,
                    attempt=own.claim.attempt_id,
                )
                return
        if entry.tries_left > 1:
            with self.lock:
                self.unresolved.append(
                    entry._replace(tries_left=entry.tries_left - 1)
                )
        else:
            event_log.emit(event_catalogue.CLAIM_NOT_VOIDED, name=entry.name)

    def void(
        self, name: str, token: str, own: decisions.Stored
    ) -> decisions.Complete | Unread:
        """Void the started claim of a token."""

        def decide(stored: decisions.Stored | None) -> decisions.FinishStep:
            return decisions.next_abandon_step(token, stored, self.clock.now())

        return self.run(name, decide, first=decide(own))

    def run(
        self,
        name: str,
        decide: Decide[S],
        first: decisions.Write | S | None = None,
    ) -> S | Unread:
        """Write and read until the decision is final.

        A write is never taken to have succeeded or failed without an answer
        that says so: after any other answer the record is read back and
        decided on again.
        """
        step = first
        wrote = False
        for _ in range(MAX_ROUNDS):
            if step is None:
                result = self.read(name)
                if not returns.pipeline.is_successful(result):
                    return Unread(result.failure(), wrote)
                step = decide(result.unwrap())
            if not isinstance(step, decisions.Write):
                return step
            written = self.write(name, step)
            if returns.pipeline.is_successful(written):
                step = decide(written.unwrap())
                if not isinstance(step, decisions.Write):
                    return step
                continue
            failure = written.failure()
            wrote = wrote or failure.kind is port.FailureKind.UNCERTAIN
            if failure.kind not in _READ_AGAIN:
                return Unread(failure.message, wrote)
            step = None
        return Unread("the claim changes too often", wrote)

    def read(
        self, name: str
    ) -> returns.result.Result[decisions.Stored | None, str]:
        """Read a claim; None when it is absent."""
        result = self.store.read(name)
        if not returns.pipeline.is_successful(result):
            failure = result.failure()
            if failure.kind is port.FailureKind.MISSING:
                return returns.result.Success(None)
            return returns.result.Failure(failure.message)
        stored = result.unwrap()
        claim = record.decode(stored.value)
        if not returns.pipeline.is_successful(claim):
            event_log.emit(
                event_catalogue.CLAIM_MALFORMED,
                name=name,
                error=claim.failure(),
            )
            return returns.result.Failure("the claim is malformed")
        return returns.result.Success(
            decisions.Stored(stored.version, claim.unwrap())
        )

    def write(
        self, name: str, step: decisions.Write
    ) -> returns.result.Result[decisions.Stored, port.StoreFailure]:
        """Make a conditional write."""
        value = record.encode(step.claim)
        if step.expected_version is None:
            result = self.store.create(name, value)
        else:
            result = self.store.update(name, value, step.expected_version)
        return result.map(
            lambda stored: decisions.Stored(stored.version, step.claim)
        )


_READ_AGAIN: Final = frozenset(
    {
        port.FailureKind.CONFLICT,
        port.FailureKind.MISSING,
        port.FailureKind.UNCERTAIN,
    }
)


def random_token() -> str:
    """Return a name that no other start has."""
    return uuid.uuid4().hex


def create_claim_service(
    store: port.ObjectStore,
    clock: clock_lib.Clock,
    new_token: Callable[[], str] = random_token,
) -> ClaimService:
    """Create the service."""
    return ClaimService(store, clock, new_token)
