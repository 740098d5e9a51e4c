"""An object store in memory, with faults that a test sets."""

from collections.abc import Callable
import datetime
import enum
import threading
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import returns.result

from verbenafall_core.object_store import port

T = TypeVar("T")


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


FaultPlan = Callable[[Call], Fault | None]


def no_faults(_call: Call) -> Fault | None:
    """Return no fault for any call."""
    return None


class MemoryStore:
    """Implements port.ObjectStore.

    Attributes:
        plan: Returns the fault of a call, None for none.
        calls: All calls in order, including those with faults.
        changed: Guards all state; notified when it may have changed.
    """

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.objects: dict[str, port.StoredObject] = {}
        self.plan: FaultPlan = no_faults
        self.calls: list[Call] = []
        self.version = 0
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
        if name not in self.objects:
            return _failure(port.FailureKind.MISSING, Call("update", name))
        if self._version_of(name) != expected_version:
            return _failure(port.FailureKind.CONFLICT, Call("update", name))
        return self._put(name, value)

    def _put(self, name: str, value: bytes) -> port.ObjectResult:
        if len(value) > port.MAX_VALUE_BYTES:
            return _failure(port.FailureKind.INVALID, Call("put", name))
        self.version += 1
        stored = port.StoredObject(name, self.version, value)
        self.objects[name] = stored
        return returns.result.Success(stored)

    def _delete(self, name: str, expected_version: int) -> port.DeleteResult:
        if name not in self.objects:
            return _failure(port.FailureKind.MISSING, Call("delete", name))
        if self._version_of(name) != expected_version:
            return _failure(port.FailureKind.CONFLICT, Call("delete", name))
        del self.objects[name]
        return returns.result.Success(None)


def _failure(
    kind: port.FailureKind, call: Call
) -> returns.result.Result[Any, port.StoreFailure]:
    message = f"{call.operation} {call.name}: {kind}"
    return returns.result.Failure(port.StoreFailure(kind, message))


def create_memory_store() -> MemoryStore:
    """Create an empty store without faults."""
    return MemoryStore()
