"""Claims in the object store."""

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
from verbenafall_core.claims import restores
from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions

# A round is a conditional write, after a read if the record is not known.
MAX_ROUNDS: Final = 3
MAX_UNRESOLVED: Final = 10_000
# A write without a response may reach the store after several reads.
MAX_RESOLVE_TRIES: Final = 30
RESOLVE_BATCH: Final = 20

S = TypeVar("S")
Decide = Callable[[decisions.Stored | None], decisions.Write | S]


class Undecided(NamedTuple):
    """No decision: a store call failed, or all rounds were used up.

    Attributes:
        maybe_written: Whether a write with an unknown result was made.
    """

    message: str
    maybe_written: bool


class Unresolved(NamedTuple):
    """A started claim that may exist although its attempt did not run."""

    name: str
    token: str
    tries_left: int


class ClaimService:
    """Claims in the object store; thread-safe.

    Attributes:
        era: The newest era of the store, as the versions of claims state it.
        restore_record: When the current era began.
    """

    def __init__(
        self,
        store: port.ObjectStore,
        clock: clock_lib.Clock,
        new_token: Callable[[], str],
    ) -> None:
        """Create a service; new_token returns a unique id for each start."""
        self.store = store
        self.clock = clock
        self.new_token = new_token
        self.era = 0
        self.restore_record = restores.create_restore_record(store, clock)
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
        if not self.may_write(key):
            return self.refuse_unconfirmed(name, body_digest)
        start = decisions.Start(
            attempt_id, body_digest, endpoint, self.new_token()
        )

        def decide(stored: decisions.Stored | None) -> decisions.StartStep:
            return decisions.next_start_step(start, stored, self.clock.now())

        # The record is usually absent, so try to create it before any read.
        step: decisions.StartEnd | Undecided = self.write_until_decided(
            name, decide, first=decide(None)
        )
        if isinstance(step, Undecided):
            return self.fail_start(name, start, step)
        if isinstance(step, decisions.Acquired):
            return self.confirm_start(name, key, step.stored)
        if not self.is_confirmed(key, self.era):
            return self.refuse_unconfirmed(name, body_digest)
        return step

    def confirm_start(
        self, name: str, key: str, stored: decisions.Stored
    ) -> model.StartedClaim | model.Unconfirmed:
        """Check a claim that was written against the era of the write.

        The store may have been restored since the previous check. The claim
        then stays started, so that nothing runs under it.
        """
        if not self.is_confirmed(key, revisions.era_of(stored.version)):
            return model.Unconfirmed(restores.key_prefix(self.era))
        return model.StartedClaim(name, stored.version, stored.claim)

    def may_write(self, key: str) -> bool:
        """Return whether a claim may be written for a key.

        A key from an era that this process does not know yet may be right;
        the response to the write states the era.
        """
        if restores.is_from_later_era(key, self.era):
            return True
        return self.is_confirmed(key, self.era)

    def is_confirmed(self, key: str, era: int) -> bool:
        """Return whether the claim of a key proves that it has not run.

        Args:
            key: The client's idempotency key.
            era: The era of the store in which the claim was read or written.
        """
        if restores.is_confirmed_without_record(key, era):
            return True
        if restores.is_from_later_era(key, era):
            return False
        restore = self.restore_record.find(era)
        if restore is None:
            return False
        return restores.is_over(restore, era, self.clock.now())

    def refuse_unconfirmed(
        self, name: str, body_digest: str
    ) -> model.StartResult:
        """Return the result of a start whose key is not confirmed."""
        stored = self.read(name).value_or(None)
        final = decisions.find_final_result(body_digest, stored)
        if final is not None:
            return final
        return model.Unconfirmed(restores.key_prefix(self.era))

    def read_unconfirmed(self, name: str) -> model.Replay | model.Held:
        """Return the outcome of a key that is not confirmed."""
        stored = self.read(name).value_or(None)
        if stored is None:
            return model.Held("")
        if stored.claim.answer is not None:
            return model.Replay(stored.claim.answer)
        return model.Held(stored.claim.attempt_id)

    def fail_start(
        self, name: str, start: decisions.Start, undecided: Undecided
    ) -> model.Unavailable:
        """Log a failed start; queue its claim to be voided if it may exist."""
        if undecided.maybe_written:
            with self.lock:
                self.unresolved.append(
                    Unresolved(name, start.token, MAX_RESOLVE_TRIES)
                )
        event_log.emit(
            event_catalogue.CLAIM_UNAVAILABLE,
            attempt=start.attempt_id,
            error=undecided.message,
        )
        return model.Unavailable(undecided.message)

    def finish(
        self, started: model.StartedClaim, answer: model.StoredAnswer
    ) -> None:
        """Record the answer; the claim stays started if this fails."""

        def decide(stored: decisions.Stored | None) -> decisions.FinishStep:
            return decisions.next_finish_step(
                started.claim, answer, stored, self.clock.now()
            )

        current = decisions.Stored(started.version, started.claim)
        step = self.write_until_decided(
            started.name, decide, first=decide(current)
        )
        if isinstance(step, Undecided):
            event_log.emit(
                event_catalogue.CLAIM_NOT_RECORDED,
                attempt=started.claim.attempt_id,
                error=step.message,
            )

    def abandon(self, started: model.StartedClaim) -> None:
        """Void a claim whose attempt certainly did not reach the endpoint."""
        current = decisions.Stored(started.version, started.claim)
        step = self.void(started.name, started.claim.token, current)
        if isinstance(step, Undecided):
            with self.lock:
                self.unresolved.append(
                    Unresolved(
                        started.name, started.claim.token, MAX_RESOLVE_TRIES
                    )
                )

    def settle(
        self, team: str, key: str, attempt_id: str
    ) -> model.SettleResult:
        """Return the outcome of a key; void the attempt if none was started."""
        name = model.object_name(team, key)

        def decide(stored: decisions.Stored | None) -> decisions.SettleStep:
            return decisions.next_settle_step(
                attempt_id, stored, self.clock.now()
            )

        if not self.may_write(key):
            return self.read_unconfirmed(name)
        step: decisions.SettleEnd | Undecided = self.write_until_decided(
            name, decide
        )
        if isinstance(step, Undecided):
            return model.Unavailable(step.message)
        if not self.is_confirmed(key, self.era):
            return self.read_unconfirmed(name)
        return step

    def seal(self, team: str, key: str, sealer: str) -> model.SealResult:
        """Return the outcome of a key; seal it if no attempt was started."""
        name = model.object_name(team, key)

        def decide(stored: decisions.Stored | None) -> decisions.SealStep:
            return decisions.next_seal_step(sealer, stored, self.clock.now())

        if not self.may_write(key):
            return self.read_unconfirmed(name)
        step: decisions.SealEnd | Undecided = self.write_until_decided(
            name, decide
        )
        if isinstance(step, Undecided):
            return model.Unavailable(step.message)
        if not self.is_confirmed(key, self.era):
            return self.read_unconfirmed(name)
        return step

    def resolve(self) -> None:
        """Void started claims that attempts left without having run.

        Call this periodically. Each call tries a limited number of claims
        once, so that the end of an outage does not cause a burst of calls.
        """
        with self.lock:
            count = min(len(self.unresolved), RESOLVE_BATCH)
            batch = [self.unresolved.popleft() for _ in range(count)]
        for entry in batch:
            self.resolve_entry(entry)

    def resolve_entry(self, entry: Unresolved) -> None:
        """Void one claim, or queue it again while it has tries left."""
        result = self.read(entry.name)
        stored = None
        if returns.pipeline.is_successful(result):
            stored = result.unwrap()
        current = decisions.find_started_claim(entry.token, stored)
        if current is not None:
            step = self.void(entry.name, entry.token, current)
            if not isinstance(step, Undecided):
                event_log.emit(
                    event_catalogue.CLAIM_VOIDED_LATER,
                    attempt=current.claim.attempt_id,
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
        self, name: str, token: str, current: decisions.Stored
    ) -> decisions.Complete | Undecided:
        """Void the started claim of a token, unless it has changed."""

        def decide(stored: decisions.Stored | None) -> decisions.FinishStep:
            return decisions.next_abandon_step(token, stored, self.clock.now())

        return self.write_until_decided(name, decide, first=decide(current))

    def write_until_decided(
        self,
        name: str,
        decide: Decide[S],
        first: decisions.Write | S | None = None,
    ) -> S | Undecided:
        """Write and read until the decision needs no further write.

        After a conflict or an uncertain result, the record is read back and
        decided on again: only a response of the store shows whether a
        write took effect.

        Args:
            name: Name of the claim's object.
            decide: Returns the next write, or the final decision.
            first: First decision; None to read the record first.
        """
        step = first
        maybe_written = False
        for _ in range(MAX_ROUNDS):
            if step is None:
                result = self.read(name)
                if not returns.pipeline.is_successful(result):
                    return Undecided(result.failure(), maybe_written)
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
            maybe_written = (
                maybe_written or failure.kind is port.FailureKind.UNCERTAIN
            )
            if failure.kind not in _READ_BACK_KINDS:
                return Undecided(failure.message, maybe_written)
            step = None
        return Undecided(
            f"no decision on the claim after {MAX_ROUNDS} writes", maybe_written
        )

    def read(
        self, name: str
    ) -> returns.result.Result[decisions.Stored | None, str]:
        """Read a claim; None if it is absent."""
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
            return returns.result.Failure("claim is malformed")
        self.observe(stored.version)
        return returns.result.Success(
            decisions.Stored(stored.version, claim.unwrap())
        )

    def observe(self, version: int) -> None:
        """Take note of the era in which the store gave out a version."""
        with self.lock:
            self.era = max(self.era, revisions.era_of(version))

    def write(
        self, name: str, step: decisions.Write
    ) -> returns.result.Result[decisions.Stored, port.StoreFailure]:
        """Create a claim, or replace the expected version of it."""
        value = record.encode(step.claim)
        if step.expected_version is None:
            result = self.store.create(name, value)
        else:
            result = self.store.update(name, value, step.expected_version)
        if returns.pipeline.is_successful(result):
            self.observe(result.unwrap().version)
        return result.map(
            lambda stored: decisions.Stored(stored.version, step.claim)
        )


_READ_BACK_KINDS: Final = frozenset(
    {
        port.FailureKind.CONFLICT,
        port.FailureKind.MISSING,
        port.FailureKind.UNCERTAIN,
    }
)


def random_token() -> str:
    """Return an id that no other start has."""
    return uuid.uuid4().hex


def create_claim_service(
    store: port.ObjectStore,
    clock: clock_lib.Clock,
    new_token: Callable[[], str] = random_token,
) -> ClaimService:
    """Create a service; new_token returns a unique id for each start."""
    return ClaimService(store, clock, new_token)
