"""Background thread that reads a collection and watches its changes."""

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

# Bounds of the backoff. The upper one limits how late a follower notices that
# the store is available again.
FIRST_RETRY_DELAY: Final = datetime.timedelta(milliseconds=50)
MAX_RETRY_DELAY: Final = datetime.timedelta(milliseconds=800)


class FollowerListener(Protocol[T]):
    """Callbacks of a follower, made on the follower's thread."""

    def on_batch(
        self,
        batch: collection_lib.Batch[T],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Handle objects that were read.

        Args:
            batch: All objects of the collection, or those that changed.
            complete: Whether the batch has all objects, so that objects that
                are not in it no longer exist.
            after_outage: Whether calls failed since the last batch.
        """

    def on_outage(self) -> None:
        """Handle the first failed call of an outage."""


class Follower(Generic[T]):
    """Reads a collection once, then watches for changes."""

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
        """Stop after the current call, without waiting for it."""
        del limit
        self.stopped.set()

    def run(self) -> None:
        """Read and watch the collection until stopped."""
        while not self.stopped.is_set():
            try:
                proceed = self.run_once()
            except Exception as error:  # The thread must survive any error.
                event_log.emit(
                    event_catalogue.FOLLOWER_FAILED,
                    collection=self.name,
                    error=repr(error),
                )
                self.revision = None
                proceed = False
            if not proceed:
                self.stopped.wait(self.next_retry_delay().total_seconds())

    def run_once(self) -> bool:
        """Make one call; return whether to make the next without a delay."""
        complete = self.revision is None
        result: Any
        if self.revision is None:
            result = self.collection.read_all()
        else:
            result = self.collection.read_changes(self.revision, self.wait)
        if self.stopped.is_set():
            return True
        if not returns.pipeline.is_successful(result):
            return self.handle_failure(result.failure())
        self.handle_batch(result.unwrap(), complete)
        return True

    def handle_failure(self, failure: Any) -> bool:
        """Handle a failed call; return whether to retry without a delay."""
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

    def handle_batch(
        self, batch: collection_lib.Batch[T], complete: bool
    ) -> None:
        """Log the end of an outage and pass the batch to the listener."""
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

    def next_retry_delay(self) -> datetime.timedelta:
        """Return the exponential backoff before a retry, with jitter."""
        exponent = min(max(self.failures - 1, 0), 8)
        delay = min(FIRST_RETRY_DELAY * int(2**exponent), MAX_RETRY_DELAY)
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
