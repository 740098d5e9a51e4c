"""Port to a collection of typed objects that is followed by watches."""

import datetime
from typing import Generic
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

import returns.result

from verbenafall_core.object_store import port

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


class Item(NamedTuple, Generic[T]):
    """An object of a collection.

    Attributes:
        version: The store's revision of the last change to the object.
        value: None when the object was removed.
    """

    name: str
    version: int
    value: T | None


class Unreadable(NamedTuple):
    """An object that could not be decoded."""

    name: str
    problem: str


class Batch(NamedTuple, Generic[T]):
    """Objects as they were at a revision of the store.

    Attributes:
        revision: Revision from which the next watch goes on.
        unreadable: Objects that are treated as missing.
    """

    revision: int
    items: tuple[Item[T], ...]
    unreadable: tuple[Unreadable, ...]


class HistoryGone(NamedTuple):
    """The store has dropped the changes since the revision asked for."""


BatchResult = returns.result.Result[Batch[T], port.StoreFailure]
ChangesResult = returns.result.Result[Batch[T], port.StoreFailure | HistoryGone]


class Collection(Protocol[T]):
    """Calls that read one collection. None of them repeats itself."""

    def read_all(self) -> BatchResult[T]:
        """Return all objects, never older than the call."""

    def read_changes(
        self, revision: int, wait: datetime.timedelta
    ) -> ChangesResult[T]:
        """Return the changes after a revision; empty after the wait."""
