"""Follows a collection by watches on a thread of its own."""

import datetime
import random
import threading
from typing import Any
from typing import Final
from typing import Generic
from typing import Protocol
from typing import TypeVar

import returns.pipeline

from verbenafall_core import event_log
from verbenafall_core.object_store import collection as collection_lib
from verbenafall_core.object_store import event_catalogue

T = TypeVar("T")
T_contra = TypeVar("T_contra", contravariant=True)

# A store that is back is noticed within this time at the latest.
RETRY_FIRST: Final = datetime.timedelta(milliseconds=50)
RETRY_LIMIT: Final = datetime.timedelta(milliseconds=800)


class FollowerListener(Protocol[T]):
    """Receives what a follower reads, on the follower's thread."""

    def on_batch(
        self,
        batch: collection_lib.Batch[T],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Take objects.

        Args:
            batch: All objects of the collection, or those that changed.
            complete: Whether objects that are not in the batch are gone.
            after_outage: Whether calls failed just before this one.
        """

    def on_outage(self) -> None:
        """Note that a call failed after one that did not."""


class Follower(Generic[T]):
    """Reads a collection once, then its changes."""

    def __init__(
        self,
        name: str,
        collection: collection_lib.Collection[T],
        listener: FollowerListener[T],
        wait: datetime.timedelta,
        generator: random.Random,
    ) -> None:
        """Create a follower that is not yet running."""
        self.name = name
        self.collection = collection
        self.listener = listener
        self.wait = wait
        self.generator = generator
        self.revision: int | None = None
        self.failures = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"follow-{name}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop after the call that is running; does not wait for it."""
        del limit
        self.stopped.set()

    def run(self) -> None:
        """Follow until stopped."""
        while not self.stopped.is_set():
            try:
                done = self.run_once()
            except Exception as error:  # The thread must outlive one failure.
                event_log.emit(
                    event_catalogue.FOLLOWER_FAILED,
                    collection=self.name,
                    error=repr(error),
                )
                self.revision = None
                done = False
            if not done:
                self.stopped.wait(self.next_delay().total_seconds())

    def run_once(self) -> bool:
        """Make one call; return whether it succeeded."""
        complete = self.revision is None
        result: Any
        if self.revision is None:
            result = self.collection.read_all()
        else:
            result = self.collection.read_changes(self.revision, self.wait)
        if self.stopped.is_set():
            return True
        if not returns.pipeline.is_successful(result):
            return self.note_failure(result.failure())
        self.accept(result.unwrap(), complete)
        return True

    def note_failure(self, failure: Any) -> bool:
        """Take a failed call; return whether to go on at once."""
        if isinstance(failure, collection_lib.HistoryGone):
            event_log.emit(
                event_catalogue.WATCH_HISTORY_GONE,
                collection=self.name,
                revision=self.revision,
            )
            self.revision = None
            return True
        if self.failures == 0:
            event_log.emit(
                event_catalogue.STORE_LOST,
                collection=self.name,
                kind=failure.kind,
                error=failure.message,
            )
            self.listener.on_outage()
        self.failures += 1
        return False

    def accept(self, batch: collection_lib.Batch[T], complete: bool) -> None:
        """Hand over what was read."""
        if self.failures:
            event_log.emit(
                event_catalogue.STORE_REGAINED,
                collection=self.name,
                failed_calls=self.failures,
                revision=batch.revision,
            )
        for item in batch.unreadable:
            event_log.emit(
                event_catalogue.OBJECT_UNREADABLE,
                collection=self.name,
                name=item.name,
                problem=item.problem,
            )
        after_outage = self.failures > 0
        self.failures = 0
        self.revision = batch.revision
        self.listener.on_batch(batch, complete, after_outage)

    def next_delay(self) -> datetime.timedelta:
        """Return the time until the next try, jittered and bounded."""
        exponent = min(max(self.failures - 1, 0), 8)
        delay = min(RETRY_FIRST * int(2**exponent), RETRY_LIMIT)
        return delay * self.generator.uniform(0.5, 1.0)


def create_follower(
    name: str,
    collection: collection_lib.Collection[T],
    listener: FollowerListener[T],
    wait: datetime.timedelta,
    generator: random.Random | None = None,
) -> Follower[T]:
    """Create a follower that is not yet running."""
    return Follower(
        name, collection, listener, wait, generator or random.Random()
    )
