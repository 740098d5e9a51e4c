"""Counts the store calls of this process and limits their rate."""

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
    """How a call is counted; a watch is one call however long it waits."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class Rate(NamedTuple):
    """Calls a second, and how many may be made at once after a pause."""

    per_second: float
    burst: float


class Bucket(NamedTuple):
    """A token bucket at a time."""

    tokens: float
    filled_at: datetime.timedelta


class CallCounts(NamedTuple):
    """Calls made since the start, and calls refused by the budget."""

    reads: int
    writes: int
    watches: int
    refused: int


def take_token(
    bucket: Bucket, rate: Rate, now: datetime.timedelta
) -> tuple[bool, Bucket]:
    """Return whether a call is allowed, and the bucket after it."""
    gained = (now - bucket.filled_at).total_seconds() * rate.per_second
    tokens = min(rate.burst, bucket.tokens + gained)
    if tokens < 1:
        return False, Bucket(tokens, now)
    return True, Bucket(tokens - 1, now)


class BudgetedStore:
    """A store whose calls beyond the rate are refused as THROTTLED."""

    def __init__(
        self,
        store: port.ObjectStore,
        rate: Rate,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Wrap a store with a full budget."""
        self.store = store
        self.rate = rate
        self.clock = clock
        self.metrics = metrics
        self.lock = threading.Lock()
        self.bucket = Bucket(rate.burst, clock.monotonic())
        self.made = dict.fromkeys(CallKind, 0)
        self.refused = 0
        self.refused_in_a_row = 0

    def counts(self) -> CallCounts:
        """Return the calls up to now."""
        with self.lock:
            return CallCounts(
                self.made[CallKind.READ],
                self.made[CallKind.WRITE],
                self.made[CallKind.WATCH],
                self.refused,
            )

    def read(self, name: str) -> port.ObjectResult:
        """Return an object."""
        if not self.admit(CallKind.READ):
            return refuse()
        return self.store.read(name)

    def list_objects(self, prefix: str, limit: int) -> port.ListResult:
        """Return the first objects whose names start with a prefix."""
        if not self.admit(CallKind.READ):
            return refuse()
        return self.store.list_objects(prefix, limit)

    def create(self, name: str, value: bytes) -> port.ObjectResult:
        """Create an object; CONFLICT when it exists."""
        if not self.admit(CallKind.WRITE):
            return refuse()
        return self.store.create(name, value)

    def update(
        self, name: str, value: bytes, expected_version: int
    ) -> port.ObjectResult:
        """Replace a value; CONFLICT when the version is another."""
        if not self.admit(CallKind.WRITE):
            return refuse()
        return self.store.update(name, value, expected_version)

    def delete(self, name: str, expected_version: int) -> port.DeleteResult:
        """Delete an object; CONFLICT when the version is another."""
        if not self.admit(CallKind.WRITE):
            return refuse()
        return self.store.delete(name, expected_version)

    def watch(
        self, name: str, known_version: int, wait: datetime.timedelta
    ) -> port.ObjectResult:
        """Return an object once its version exceeds the known one."""
        if not self.admit(CallKind.WATCH):
            return refuse()
        return self.store.watch(name, known_version, wait)

    def admit(self, kind: CallKind) -> bool:
        """Count a call; return whether the rate allows it."""
        with self.lock:
            allowed, self.bucket = take_token(
                self.bucket, self.rate, self.clock.monotonic()
            )
            self.made[kind] += allowed
            self.refused += not allowed
            refused_before = self.refused_in_a_row
            self.refused_in_a_row = 0 if allowed else refused_before + 1
        self.metrics.count(f"store.{kind if allowed else 'refused'}")
        if not allowed and refused_before == 0:
            event_log.emit(
                event_catalogue.STORE_BUDGET_EXHAUSTED,
                rate=self.rate.per_second,
            )
        if allowed and refused_before:
            event_log.emit(
                event_catalogue.STORE_BUDGET_RECOVERED, refused=refused_before
            )
        return allowed


def refuse() -> returns.result.Result[Any, port.StoreFailure]:
    """Return the failure of a call that was not made."""
    message = "the process has used up its rate of store calls"
    return returns.result.Failure(
        port.StoreFailure(port.FailureKind.THROTTLED, message)
    )


def create_budgeted_store(
    store: port.ObjectStore,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    rate: Rate = Rate(DEFAULT_RATE, DEFAULT_BURST),  # noqa: B008
) -> BudgetedStore:
    """Wrap a store with a full budget."""
    return BudgetedStore(store, rate, clock, metrics)
