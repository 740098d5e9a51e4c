"""Port to the platform's object store.

An object has a name, which may contain slashes, a value of at most 1 MB, and a
version that grows with each change. The platform limits the rate of calls; a
watch counts as one call, however long it waits.

A version is a revision of the module revisions: the store's era, then the
store's own number. After the store was restored from a copy, the versions of
all objects are in the new era, also of those that did not change since. A
conditional write with a version of an earlier era fails as CONFLICT, and a
watch with one returns the object as soon as it exists.
"""

import datetime
import enum
from typing import Final
from typing import NamedTuple
from typing import Protocol

import returns.result

MAX_VALUE_BYTES: Final = 1_000_000


class StoredObject(NamedTuple):
    """An object with its current version in the store."""

    name: str
    version: int
    value: bytes


class FailureKind(enum.StrEnum):
    """Kind of failure of a store call.

    CONFLICT: The object exists already, or has another version.
    MISSING: There is no such object.
    UNAVAILABLE: The store did not accept the call; nothing was changed.
    UNCERTAIN: The call was sent, but no valid response came; it may have
        taken effect.
    THROTTLED: A rate limit was reached; nothing was changed.
    INVALID: The call was rejected as malformed; nothing was changed.
    """

    CONFLICT = "conflict"
    MISSING = "missing"
    UNAVAILABLE = "unavailable"
    UNCERTAIN = "uncertain"
    THROTTLED = "throttled"
    INVALID = "invalid"


class StoreFailure(NamedTuple):
    """Why a store call failed."""

    kind: FailureKind
    message: str


ObjectResult = returns.result.Result[StoredObject, StoreFailure]
ListResult = returns.result.Result[tuple[StoredObject, ...], StoreFailure]
DeleteResult = returns.result.Result[None, StoreFailure]


class RecordStore(Protocol):
    """Calls on single objects. Adapters do not retry them."""

    def read(self, name: str) -> ObjectResult:
        """Return an object; MISSING if it does not exist."""

    def create(self, name: str, value: bytes) -> ObjectResult:
        """Create an object; CONFLICT if it exists."""

    def update(
        self, name: str, value: bytes, expected_version: int
    ) -> ObjectResult:
        """Replace a value; CONFLICT if the version differs."""

    def delete(self, name: str, expected_version: int) -> DeleteResult:
        """Delete an object; CONFLICT if the version differs."""


class ObjectStore(RecordStore, Protocol):
    """All calls to the object store. Adapters do not retry them."""

    def list_objects(self, prefix: str, limit: int) -> ListResult:
        """List up to limit objects with a name prefix, sorted by name."""

    def watch(
        self, name: str, known_version: int, wait: datetime.timedelta
    ) -> ObjectResult:
        """Return an object as soon as its version exceeds the known one.

        MISSING if that does not happen within the wait.
        """
