"""The items of a followed collection, across restores of the store."""

import datetime
from typing import Generic
from typing import TypeVar

from verbenafall_core.object_store import collection
from verbenafall_core.object_store import revisions

T = TypeVar("T")


class KnownItems(Generic[T]):
    """The readable items of a collection.

    A store that is restored from an older copy may lack items whose writers
    are alive and write them again. Such items are kept for a time. Not
    thread-safe.

    Attributes:
        by_name: Values of the items, by name.
        missing_until: Kept items that the store lacks, with the time after
            which the next batch drops them.
    """

    def __init__(self, retention: datetime.timedelta) -> None:
        """Create an empty collection.

        Args:
            retention: Time for which items stay known after a restore.
        """
        self.retention = retention
        self.by_name: dict[str, T] = {}
        self.missing_until: dict[str, datetime.timedelta] = {}
        self.revision: int | None = None
        self.restored_at: datetime.timedelta | None = None

    def apply(
        self,
        batch: collection.Batch[T],
        complete: bool,
        now: datetime.timedelta,
    ) -> None:
        """Apply a batch from the store.

        Args:
            batch: Changed items; those without a value were removed or are
                unreadable.
            complete: Whether the batch contains all items.
            now: Current time.
        """
        known = self.revision
        self.revision = batch.revision
        if known is not None and (
            revisions.era_of(batch.revision) > revisions.era_of(known)
        ):
            self.restored_at = now
        if complete:
            self.remove_all(now)
        for item in batch.items:
            self.missing_until.pop(item.name, None)
            if item.value is None:
                self.by_name.pop(item.name, None)
            else:
                self.by_name[item.name] = item.value
        for name, until in list(self.missing_until.items()):
            if now >= until:
                del self.missing_until[name]
                del self.by_name[name]

    def remove_all(self, now: datetime.timedelta) -> None:
        """Remove all items, or schedule that if the store was just restored."""
        self.missing_until.clear()
        if self.restored_at is None or now >= self.restored_at + self.retention:
            self.by_name.clear()
            return
        until = self.restored_at + self.retention
        self.missing_until = dict.fromkeys(self.by_name, until)


def create_known_items(retention: datetime.timedelta) -> KnownItems[T]:
    """Create an empty collection."""
    return KnownItems(retention)
