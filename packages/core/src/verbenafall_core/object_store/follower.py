"""Background thread that reads a collection and watches its changes."""

from collections.abc import Callable
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
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era

T = TypeVar("T")
T_contra = TypeVar("T_contra", contravariant=True)

# Bounds of the backoff. The upper one limits how late a follower notices that
# the store is available again.
FIRST_RETRY_DELAY: Final = datetime.timedelta(milliseconds=50)
MAX_RETRY_DELAY: Final = datetime.timedelta(milliseconds=800)
# After a restore of the store, each process makes about eight reads: the pages
# of its collections and the watches that follow. The store serves 2,000 reads
# a second for all callers.
MAX_PROCESSES_PER_SECOND: Final = 150
NO_DELAY: Final = datetime.timedelta()

# Returns how long to wait before a collection is read again, given the last
# revision that was read.
ReadDelay = Callable[[int], datetime.timedelta]


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
            after_outage: Whether calls failed or the store was restored since
                the last batch. Objects may be missing that their writers are
                about to write again.
        """

    def on_outage(self) -> None:
        """Handle the first failed call of an outage."""


class Follower(Generic[T]):
    """Reads a collection once, then watches for changes.

    When another call of the process shows that the store was restored, a new
    thread replaces the one whose watch may still wait, and reads the
    collection again.

    Attributes:
        revision: Revision that the next watch continues from; None if the
            complete collection is read next.
        delivered: Revision of the last batch passed to the listener.
        generation: Number of replaced threads. A call made in an earlier
            generation has no effect.
    """

    def __init__(
        self,
        name: str,
        collection: collection_lib.Collection[T],
        listener: FollowerListener[T],
        wait: datetime.timedelta,
        generator: random.Random,
        read_delay: ReadDelay,
        era: store_era.StoreEra,
        change_pause: datetime.timedelta,
    ) -> None:
        """Create a follower that is not yet running."""
        self.name = name
        self.collection = collection
        self.listener = listener
        self.wait = wait
        self.generator = generator
        self.read_delay = read_delay
        self.change_pause = change_pause
        self.next_delay: datetime.timedelta | None = None
        self.era = era
        self.revision: int | None = None
        self.delivered: int | None = None
        self.failures = 0
        self.generation = 0
        # Guards the state and the calls of the listener.
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"follow-{name}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()
        self.era.listeners.append(self.on_restored)

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop after the current call, without waiting for it."""
        del limit
        self.stopped.set()
        if self.on_restored in self.era.listeners:
            self.era.listeners.remove(self.on_restored)

    def on_restored(self, _era: int) -> None:
        """Replace the thread, unless the call is made on it.

        A new thread takes the lock, as the caller may hold locks that the
        listener needs.
        """
        if threading.current_thread() is not self.thread:
            threading.Thread(
                target=self.replace_thread,
                name=f"follow-{self.name}",
                daemon=True,
            ).start()

    def replace_thread(self) -> None:
        """Continue on the calling thread, with a read of the collection."""
        generation = self.take_over()
        if self.next_delay:
            self.wait_for_retry()
        self.run(generation)

    def take_over(self) -> int:
        """Start a new generation, with the calling thread as its thread."""
        with self.lock:
            self.generation += 1
            self.thread = threading.current_thread()
            self.schedule_read()
            return self.generation

    def run(self, generation: int = 0) -> None:
        """Read and watch the collection until stopped or replaced."""
        while not self.has_ended(generation):
            try:
                proceed = self.run_once(generation)
            except Exception as error:  # The thread must survive any error.
                event_log.emit(
                    event_catalogue.FOLLOWER_FAILED,
                    collection=self.name,
                    error=repr(error),
                )
                self.revision = None
                proceed = False
            if not proceed:
                self.wait_for_retry()

    def has_ended(self, generation: int) -> bool:
        """Return whether the thread of a generation must end."""
        return self.stopped.is_set() or generation != self.generation

    def run_once(self, generation: int = 0) -> bool:
        """Make one call; return whether to make the next without a delay."""
        revision = self.revision
        result: Any
        if revision is None:
            result = self.collection.read_all()
        else:
            result = self.collection.read_changes(revision, self.wait)
        with self.lock:
            if self.has_ended(generation):
                return True
            if not returns.pipeline.is_successful(result):
                return self.handle_failure(result.failure())
            return self.handle_batch(result.unwrap(), revision)

    def schedule_read(self) -> bool:
        """Read the collection next; return whether to do so without a delay."""
        self.next_delay = self.read_delay(self.revision or 0)
        self.revision = None
        return not self.next_delay

    def handle_failure(self, failure: Any) -> bool:
        """Handle a failed call; return whether to retry without a delay."""
        if isinstance(failure, collection_lib.HistoryGone):
            event_log.emit(
                event_catalogue.WATCH_HISTORY_GONE,
                collection=self.name,
                revision=self.revision,
            )
            return self.schedule_read()
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
        self, batch: collection_lib.Batch[T], watched: int | None
    ) -> bool:
        """Pass a batch to the listener, and log the end of an outage.

        Args:
            batch: What the call returned.
            watched: Revision after which the collection was watched; None if
                it was read completely.

        Returns:
            Whether to make the next call without a delay.
        """
        era = revisions.era_of(batch.revision)
        if watched is not None and era != revisions.era_of(watched):
            return self.handle_failure(collection_lib.HistoryGone())
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
        restored = self.delivered is not None and (
            era > revisions.era_of(self.delivered)
        )
        after_outage = self.failures > 0 or restored
        self.failures = 0
        self.revision = batch.revision
        self.listener.on_batch(batch, watched is None, after_outage)
        self.delivered = batch.revision
        if watched is not None and batch.items and self.change_pause:
            self.next_delay = self.change_pause * self.generator.uniform(0.5, 1)
            return False
        return True

    def wait_for_retry(self) -> None:
        """Wait before the next call, or until stopped."""
        self.stopped.wait(self.next_retry_delay().total_seconds())

    def next_retry_delay(self) -> datetime.timedelta:
        """Return the delay before the next call.

        That is the chosen delay of a read or after changes, or else an
        exponential backoff with jitter.
        """
        if self.next_delay:
            delay, self.next_delay = self.next_delay, None
            return delay
        exponent = min(max(self.failures - 1, 0), 8)
        delay = min(FIRST_RETRY_DELAY * int(2**exponent), MAX_RETRY_DELAY)
        return delay * self.generator.uniform(0.5, 1.0)


def read_at_once(revision: int) -> datetime.timedelta:
    """Return no delay."""
    del revision
    return NO_DELAY


def spread_reads(
    era: store_era.StoreEra,
    process_count: Callable[[], int],
    generator: random.Random,
) -> ReadDelay:
    """Spread the reads of many processes after a restore of the store.

    Args:
        era: The store's era.
        process_count: Returns the number of processes that read.
        generator: Source of the random delays.

    Returns:
        A function that returns a random delay if the store was restored since
        the revision, and none if only its history is gone.
    """

    def draw_delay(revision: int) -> datetime.timedelta:
        if era.current <= revisions.era_of(revision):
            return NO_DELAY
        seconds = process_count() / MAX_PROCESSES_PER_SECOND
        return datetime.timedelta(seconds=generator.uniform(0, seconds))

    return draw_delay


def create_follower(
    name: str,
    collection: collection_lib.Collection[T],
    listener: FollowerListener[T],
    wait: datetime.timedelta,
    generator: random.Random | None = None,
    read_delay: ReadDelay = read_at_once,
    era: store_era.StoreEra | None = None,
    change_pause: datetime.timedelta = NO_DELAY,
) -> Follower[T]:
    """Create a follower that is not yet running.

    Args:
        name: Name of the collection, for the log.
        collection: What to follow.
        listener: Receives the objects.
        wait: Duration of one watch call.
        generator: Source of the random delays; a new one by default.
        read_delay: Delays a complete read.
        era: The era that the store's calls report to. Without it, a restore of
            the store is noticed only when the watch ends.
        change_pause: Time after changes before the next watch call, which
            returns all that changed in the meantime. Limits the calls if many
            processes follow records that all of them write.
    """
    return Follower(
        name,
        collection,
        listener,
        wait,
        generator or random.Random(),
        read_delay,
        era or store_era.create_store_era(),
        change_pause,
    )
