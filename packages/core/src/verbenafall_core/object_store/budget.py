"""Object store wrapper that counts and rate-limits calls."""

import datetime
import enum
import threading
from typing import Any
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import metrics as metrics_lib
from verbenafall_core.object_store import event_catalogue
from verbenafall_core.object_store import port

DEFAULT_RATE: Final = 50.0
DEFAULT_BURST: Final = 100.0


class CallKind(enum.StrEnum):
    """Kind under which a call is counted.

    A watch counts as one call, however long it waits.
    """

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class Rate(NamedTuple):
    """Sustained calls per second, and the number of calls in a burst."""

    per_second: float
    burst: float


class Bucket(NamedTuple):
    """Tokens in a token bucket, as of the time of its last refill."""

    tokens: float
    filled_at: datetime.timedelta


class CallCounts(NamedTuple):
    """Calls allowed since the start by kind, and calls refused."""

    reads: int
    writes: int
    watches: int
    refused: int


def try_acquire(
    bucket: Bucket, rate: Rate, now: datetime.timedelta
) -> tuple[bool, Bucket]:
    """Acquire a token if there is one; return success and the new bucket."""
    gained = (now - bucket.filled_at).total_seconds() * rate.per_second
    tokens = min(rate.burst, bucket.tokens + gained)
    if tokens < 1:
        return False, Bucket(tokens, now)
    return True, Bucket(tokens - 1, now)


class BudgetedStore:
    """An object store that fails calls above a rate as THROTTLED."""

    def __init__(
        self,
        store: port.ObjectStore,
        rate: Rate,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Wrap a store, starting with the full burst available."""
        self.store = store
        self.rate = rate
        self.clock = clock
        self.metrics = metrics
        self.lock = threading.Lock()
        self.bucket = Bucket(rate.burst, clock.monotonic())
        self.call_counts = dict.fromkeys(CallKind, 0)
        self.refused = 0
        self.consecutive_refusals = 0

    def counts(self) -> CallCounts:
        """Return the counts of calls since the start."""
        with self.lock:
            return CallCounts(
                self.call_counts[CallKind.READ],
                self.call_counts[CallKind.WRITE],
                self.call_counts[CallKind.WATCH],
                self.refused,
            )

    def read(self, name: str) -> port.ObjectResult:
        """Return an object; MISSING if it does not exist."""
        if not self.admit(CallKind.READ):
            return refuse()
        return self.store.read(name)

    def list_objects(self, prefix: str, limit: int) -> port.ListResult:
        """List up to limit objects with a name prefix, sorted by name."""
        if not self.admit(CallKind.READ):
            return refuse()
        return self.store.list_objects(prefix, limit)

    def create(self, name: str, value: bytes) -> port.ObjectResult:
        """Create an object; CONFLICT if it exists."""
        if not self.admit(CallKind.WRITE):
            return refuse()
        return self.store.create(name, value)

    def update(
        self, name: str, value: bytes, expected_version: int
    ) -> port.ObjectResult:
        """Replace a value; CONFLICT if the version differs."""
        if not self.admit(CallKind.WRITE):
            return refuse()
        return self.store.update(name, value, expected_version)

    def delete(self, name: str, expected_version: int) -> port.DeleteResult:
        """Delete an object; CONFLICT if the version differs."""
        if not self.admit(CallKind.WRITE):
            return refuse()
        return self.store.delete(name, expected_version)

    def watch(
        self, name: str, known_version: int, wait: datetime.timedelta
    ) -> port.ObjectResult:
        """Return an object as soon as its version exceeds the known one."""
        if not self.admit(CallKind.WATCH):
            return refuse()
        return self.store.watch(name, known_version, wait)

    def admit(self, kind: CallKind) -> bool:
        """Count a call; return whether the rate allows it.

        The first refusal and the next allowed call after it are logged.
        """
        with self.lock:
            allowed, self.bucket = try_acquire(
                self.bucket, self.rate, self.clock.monotonic()
            )
            self.call_counts[kind] += allowed
            self.refused += not allowed
            previous_refusals = self.consecutive_refusals
            self.consecutive_refusals = 0 if allowed else previous_refusals + 1
        self.metrics.count(f"store.{kind if allowed else 'refused'}")
        if not allowed and previous_refusals == 0:
            event_log.emit(
                event_catalogue.STORE_BUDGET_EXHAUSTED,
                rate=self.rate.per_second,
            )
        if allowed and previous_refusals:
            event_log.emit(
                event_catalogue.STORE_BUDGET_RECOVERED,
                refused=previous_refusals,
            )
        return allowed


def refuse() -> returns.result.Result[Any, port.StoreFailure]:
    """Return the result of a call that is not made."""
    message = "this process has reached its limit on object store calls"
    return returns.result.Failure(
        port.StoreFailure(port.FailureKind.THROTTLED, message)
    )


def create_budgeted_store(
    store: port.ObjectStore,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    rate: Rate = Rate(DEFAULT_RATE, DEFAULT_BURST),  # noqa: B008
) -> BudgetedStore:
    """Wrap a store, starting with the full burst available."""
    return BudgetedStore(store, rate, clock, metrics)
