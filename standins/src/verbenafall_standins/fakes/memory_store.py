"""An object store in memory, with faults that a test sets."""

import collections
from collections.abc import Callable
import datetime
import enum
import threading
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeVar

import returns.pipeline
import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era

T = TypeVar("T")

FIRST_ERA: Final = 1
# The number of changes that a restore can undo at most.
MAX_CHANGES: Final = 10_000
_UNANSWERED: Final = (
    port.FailureKind.UNAVAILABLE,
    port.FailureKind.UNCERTAIN,
)


class Fault(enum.StrEnum):
    """Fault of a call.

    DOWN: The call is not accepted and fails as UNAVAILABLE.
    LOST_ANSWER: The call takes effect but fails as UNCERTAIN.
    LOST_CALL: The call has no effect and fails as UNCERTAIN.
    THROTTLED: The call is refused as THROTTLED.
    """

    DOWN = "down"
    LOST_ANSWER = "lost_answer"
    LOST_CALL = "lost_call"
    THROTTLED = "throttled"


class Call(NamedTuple):
    """A call that the store received; name is the prefix for a list."""

    operation: str
    name: str


class Change(NamedTuple):
    """A change to one object, with what is needed to undo it.

    Attributes:
        before: The object before the change, None if there was none.
        number: The store's own revision number before the change.
    """

    name: str
    before: port.StoredObject | None
    number: int
    made_at: datetime.timedelta


FaultPlan = Callable[[Call], Fault | None]


def no_faults(_call: Call) -> Fault | None:
    """Return no fault for any call."""
    return None


class MemoryStore:
    """Implements port.ObjectStore.

    Attributes:
        plan: Returns the fault of a call, None for none.
        calls: All calls in order, including those with faults.
        era: Part of all versions; grows with each restore.
        number: The store's own revision number; versions consist of the era
            and of this number.
        changes: The latest changes, oldest first.
        changed: Guards all state; notified when it may have changed.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Create an empty store without faults."""
        self.clock = clock
        self.objects: dict[str, port.StoredObject] = {}
        self.plan: FaultPlan = no_faults
        self.calls: list[Call] = []
        self.era = FIRST_ERA
        self.number = 0
        self.changes: collections.deque[Change] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self.closed = False
        self.changed = threading.Condition()

    def read(self, name: str) -> port.ObjectResult:
        """Return an object; MISSING if it does not exist."""
        return self._serve(Call("read", name), lambda: self._read(name))

    def list_objects(self, prefix: str, limit: int) -> port.ListResult:
        """List up to limit objects with a name prefix, sorted by name."""
        return self._serve(
            Call("list", prefix), lambda: self._list(prefix, limit)
        )

    def create(self, name: str, value: bytes) -> port.ObjectResult:
        """Create an object; CONFLICT if it exists."""
        return self._serve(
            Call("create", name), lambda: self._create(name, value)
        )

    def update(
        self, name: str, value: bytes, expected_version: int
    ) -> port.ObjectResult:
        """Replace a value; CONFLICT if the version differs."""
        return self._serve(
            Call("update", name),
            lambda: self._update(name, value, expected_version),
        )

    def delete(self, name: str, expected_version: int) -> port.DeleteResult:
        """Delete an object; CONFLICT if the version differs."""
        return self._serve(
            Call("delete", name), lambda: self._delete(name, expected_version)
        )

    def watch(
        self, name: str, known_version: int, wait: datetime.timedelta
    ) -> port.ObjectResult:
        """Return an object as soon as its version exceeds the known one.

        MISSING if that does not happen within the wait.
        """
        call = Call("watch", name)
        with self.changed:
            self.changed.wait_for(
                lambda: self.closed or self._version_of(name) > known_version,
                wait.total_seconds(),
            )
        return self._serve(call, lambda: self._newer(name, known_version))

    def restore(self, changes: int) -> None:
        """Return to the state before the latest changes, in a new era.

        Revision numbers given out since are given out again. The versions of
        all objects are in the new era, so waiting watches return them.
        """
        with self.changed:
            for _ in range(min(changes, len(self.changes))):
                self._undo(self.changes.pop())
            self.era += 1
            self.objects = {
                name: stored._replace(
                    version=self._version(revisions.number_of(stored.version))
                )
                for name, stored in self.objects.items()
            }
            self.changed.notify_all()

    def restore_age(self, age: datetime.timedelta) -> None:
        """Return to the state of some time ago, in a new era."""
        with self.changed:
            since = self.clock.monotonic() - age
            self.restore(sum(made.made_at > since for made in self.changes))

    def close(self) -> None:
        """End all waiting watches; later ones return at once."""
        with self.changed:
            self.closed = True
            self.changed.notify_all()

    def _serve(
        self,
        call: Call,
        apply: Callable[[], returns.result.Result[T, port.StoreFailure]],
    ) -> returns.result.Result[T, port.StoreFailure]:
        with self.changed:
            self.calls.append(call)
            fault = self.plan(call)
            if fault is Fault.DOWN:
                return _failure(port.FailureKind.UNAVAILABLE, call)
            if fault is Fault.THROTTLED:
                return _failure(port.FailureKind.THROTTLED, call)
            if fault is Fault.LOST_CALL:
                return _failure(port.FailureKind.UNCERTAIN, call)
            result = apply()
            self.changed.notify_all()
            if fault is Fault.LOST_ANSWER:
                return _failure(port.FailureKind.UNCERTAIN, call)
            return result

    def _undo(self, change: Change) -> None:
        self.number = change.number
        if change.before is None:
            self.objects.pop(change.name, None)
        else:
            self.objects[change.name] = change.before

    def _record_change(self, name: str) -> None:
        self.changes.append(
            Change(
                name,
                self.objects.get(name),
                self.number,
                self.clock.monotonic(),
            )
        )

    def _version(self, number: int) -> int:
        return revisions.create_revision(self.era, number)

    def _is_of_older_era(self, version: int) -> bool:
        return revisions.era_of(version) < self.era

    def _version_of(self, name: str) -> int:
        stored = self.objects.get(name)
        return stored.version if stored else 0

    def _read(self, name: str) -> port.ObjectResult:
        stored = self.objects.get(name)
        if stored is None:
            return _failure(port.FailureKind.MISSING, Call("read", name))
        return returns.result.Success(stored)

    def _newer(self, name: str, known_version: int) -> port.ObjectResult:
        if self._version_of(name) <= known_version:
            return _failure(port.FailureKind.MISSING, Call("watch", name))
        return self._read(name)

    def _list(self, prefix: str, limit: int) -> port.ListResult:
        names = sorted(name for name in self.objects if name.startswith(prefix))
        found = tuple(self.objects[name] for name in names[:limit])
        return returns.result.Success(found)

    def _create(self, name: str, value: bytes) -> port.ObjectResult:
        if name in self.objects:
            return _failure(port.FailureKind.CONFLICT, Call("create", name))
        return self._put(name, value)

    def _update(
        self, name: str, value: bytes, expected_version: int
    ) -> port.ObjectResult:
        if self._is_of_older_era(expected_version):
            return _failure(port.FailureKind.CONFLICT, Call("update", name))
        if name not in self.objects:
            return _failure(port.FailureKind.MISSING, Call("update", name))
        if self._version_of(name) != expected_version:
            return _failure(port.FailureKind.CONFLICT, Call("update", name))
        return self._put(name, value)

    def _put(self, name: str, value: bytes) -> port.ObjectResult:
        if len(value) > port.MAX_VALUE_BYTES:
            return _failure(port.FailureKind.INVALID, Call("put", name))
        self._record_change(name)
        self.number += 1
        stored = port.StoredObject(name, self._version(self.number), value)
        self.objects[name] = stored
        return returns.result.Success(stored)

    def _delete(self, name: str, expected_version: int) -> port.DeleteResult:
        if self._is_of_older_era(expected_version):
            return _failure(port.FailureKind.CONFLICT, Call("delete", name))
        if name not in self.objects:
            return _failure(port.FailureKind.MISSING, Call("delete", name))
        if self._version_of(name) != expected_version:
            return _failure(port.FailureKind.CONFLICT, Call("delete", name))
        self._record_change(name)
        del self.objects[name]
        return returns.result.Success(None)


class MemoryStoreClient:
    """Access of one process to a MemoryStore; implements port.ObjectStore.

    Attributes:
        era: The era that the process has seen; each answer is reported to it.
    """

    def __init__(self, store: MemoryStore, era: store_era.StoreEra) -> None:
        """Create a client that has called nothing yet."""
        self.store = store
        self.era = era

    def read(self, name: str) -> port.ObjectResult:
        """Return an object; MISSING if it does not exist."""
        return self._observe(self.store.read(name))

    def list_objects(self, prefix: str, limit: int) -> port.ListResult:
        """List up to limit objects with a name prefix, sorted by name."""
        return self._observe(self.store.list_objects(prefix, limit))

    def create(self, name: str, value: bytes) -> port.ObjectResult:
        """Create an object; CONFLICT if it exists."""
        return self._observe(self.store.create(name, value))

    def update(
        self, name: str, value: bytes, expected_version: int
    ) -> port.ObjectResult:
        """Replace a value; CONFLICT if the version differs."""
        return self._observe(self.store.update(name, value, expected_version))

    def delete(self, name: str, expected_version: int) -> port.DeleteResult:
        """Delete an object; CONFLICT if the version differs."""
        return self._observe(self.store.delete(name, expected_version))

    def watch(
        self, name: str, known_version: int, wait: datetime.timedelta
    ) -> port.ObjectResult:
        """Return an object as soon as its version exceeds the known one."""
        return self._observe(self.store.watch(name, known_version, wait))

    def _observe(
        self, result: returns.result.Result[T, port.StoreFailure]
    ) -> returns.result.Result[T, port.StoreFailure]:
        answered = (
            returns.pipeline.is_successful(result)
            or result.failure().kind not in _UNANSWERED
        )
        if answered:
            self.era.observe(self.store.era)
        return result


def _failure(
    kind: port.FailureKind, call: Call
) -> returns.result.Result[Any, port.StoreFailure]:
    message = f"{call.operation} {call.name}: {kind}"
    return returns.result.Failure(port.StoreFailure(kind, message))


def create_memory_store(clock: clock_lib.Clock | None = None) -> MemoryStore:
    """Create an empty store without faults."""
    return MemoryStore(clock or clock_lib.system_clock())


def create_client(
    store: MemoryStore, era: store_era.StoreEra | None = None
) -> MemoryStoreClient:
    """Create the access of one process to a store."""
    return MemoryStoreClient(store, era or store_era.create_store_era())
