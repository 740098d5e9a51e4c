"""Leases in the object store.

A lease is an object whose version is the fencing token. Clocks of different
instances are never compared. The holder measures the duration from just before
it sends the write that creates or renews the lease; every other process
measures it from when it first sees that version. The holder's measurement
starts earlier, so the lease ends earlier for the holder than for the others.

A store that is restored from a copy may have lost the write of a holder, and
another process may acquire the lease before the holder learns of the restore.
The other process then has the higher token, as its version is of a later era.
The holder's lease ends when it learns of the restore, and at the latest when it
would have ended without one; it acquires the lease again at once if it is free.
"""

import datetime
import enum
import random
import threading
from typing import Annotated
from typing import Final
from typing import NamedTuple
import uuid

import msgspec
import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import json_documents
from verbenafall_core import lease_events
from verbenafall_core import periodic
from verbenafall_core.object_store import port
from verbenafall_core.object_store import store_era

DURATION: Final = datetime.timedelta(seconds=10)
RENEW_INTERVAL: Final = datetime.timedelta(seconds=3)
# Allows for clocks that run at different rates, and for the time between a call
# of holds() and the action that depends on it.
EXPIRY_MARGIN: Final = datetime.timedelta(seconds=1)

# Time within which the holders of leases read them again after a restore.
RESTORE_SPREAD: Final = datetime.timedelta(seconds=1)

# Bounds how long a faulty record can block the lease.
MAX_DURATION: Final = datetime.timedelta(minutes=1)

_MICROSECOND: Final = datetime.timedelta(microseconds=1)


class LeaseRecord(NamedTuple):
    """The value of a lease object.

    Attributes:
        holder: Unique id of the holding process; empty if released.
        sent_at: The holder's monotonic clock just before it sent the write;
            meaningless to other processes.
        duration: How long other processes leave the lease to the holder after
            they first see this version.
    """

    holder: str
    sent_at: datetime.timedelta
    duration: datetime.timedelta


class LeaseView(NamedTuple):
    """A process's last observation of a lease.

    Attributes:
        version: 0 if there is no object.
        record: None if there is no object, or if it is malformed.
        seen_at: This process's monotonic clock when it first saw the version.
    """

    version: int
    record: LeaseRecord | None
    seen_at: datetime.timedelta


class Held(NamedTuple):
    """A lease that this process holds.

    Attributes:
        version: Fencing token; grows with each write of the lease.
        until: This process's monotonic clock at which the lease ends.
    """

    version: int
    until: datetime.timedelta


class Action(enum.Enum):
    """Next step of a process that wants a lease.

    CREATE: Create the object.
    WRITE: Replace the record, to acquire or renew the lease.
    WAIT: Leave the lease to its current holder.
    """

    CREATE = "create"
    WRITE = "write"
    WAIT = "wait"


def decide(view: LeaseView, holder: str, now: datetime.timedelta) -> Action:
    """Return the next step of a process that wants the lease.

    A malformed record blocks the lease for the default duration.
    """
    if view.version == 0:
        return Action.CREATE
    if view.record is None:
        expired = now - view.seen_at >= DURATION
        return Action.WRITE if expired else Action.WAIT
    if view.record.holder in ("", holder):
        return Action.WRITE
    expired = now - view.seen_at >= view.record.duration
    return Action.WRITE if expired else Action.WAIT


def observe(
    view: LeaseView | None,
    stored: port.StoredObject | None,
    now: datetime.timedelta,
) -> LeaseView:
    """Return the view after a store call that completed at `now`.

    The view stays as it is if the version has not changed.
    """
    version = stored.version if stored else 0
    if view is not None and view.version == version:
        return view
    record = decode_record(stored.value) if stored else None
    return LeaseView(version, record, now)


def held_lease(view: LeaseView, holder: str) -> Held | None:
    """Return the lease that a process holds according to a view, if any."""
    if view.record is None or view.record.holder != holder:
        return None
    end = view.record.sent_at + view.record.duration - EXPIRY_MARGIN
    return Held(view.version, end)


def encode_record(record: LeaseRecord) -> bytes:
    """Return the JSON text that is stored for a lease."""
    return msgspec.json.encode(
        {
            "holder": record.holder,
            "sent_at_us": record.sent_at // _MICROSECOND,
            "duration_us": record.duration // _MICROSECOND,
        }
    )


class StoredRecord(msgspec.Struct):
    """The JSON form of a lease record."""

    holder: str
    sent_at_us: int
    duration_us: Annotated[
        int, msgspec.Meta(ge=0, le=MAX_DURATION // _MICROSECOND)
    ]


def decode_record(value: bytes) -> LeaseRecord | None:
    """Return the record in a stored value; None if it is malformed."""
    try:
        stored = json_documents.decode(value, StoredRecord)
        return LeaseRecord(
            stored.holder,
            stored.sent_at_us * _MICROSECOND,
            stored.duration_us * _MICROSECOND,
        )
    except (json_documents.JsonError, OverflowError):
        return None


class LeaseService:
    """Acquires and renews one lease while it is running."""

    def __init__(
        self,
        store: port.ObjectStore,
        clock: clock_lib.Clock,
        name: str,
        holder: str,
        era: store_era.StoreEra,
        generator: random.Random,
    ) -> None:
        """Create a service that does not hold the lease."""
        self.store = store
        self.era = era
        self.clock = clock
        self.name = name
        self.object_name = f"leases/{name}"
        self.holder = holder
        self.view: LeaseView | None = None
        self.last_held: Held | None = None
        self.released = False
        self.lock = threading.Lock()
        self.task = periodic.create_periodic_task(
            f"lease-{name}",
            RENEW_INTERVAL,
            self.run_once,
            generator,
            # Spreads the first store calls of processes that start together.
            first_delay=generator.uniform(0, 1) * RENEW_INTERVAL,
        )
        era.listeners.append(self.on_restore)

    def start(self) -> None:
        """Start to acquire and renew the lease."""
        self.task.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop and release the lease, so that others can acquire it at once."""
        self.task.stop(limit)
        self.release()

    def held(self) -> Held | None:
        """Return the lease if this process holds it now.

        The clock is read on each call, so that a process that was paused
        beyond the end of the lease finds out before it acts. A lease of an
        earlier era of the store may have been acquired by another process.
        """
        last = self.last_held
        if last is None or self.clock.monotonic() >= last.until:
            return None
        if self.era.is_past(last.version):
            return None
        return last

    def holds(self) -> bool:
        """Return whether this process holds the lease now."""
        return self.held() is not None

    def on_restore(self, _era: int) -> None:
        """Read the lease again soon if this process held it."""
        if self.last_held is not None:
            self.task.run_within(RESTORE_SPREAD)

    def run_once(self) -> None:
        """Acquire or renew the lease if possible; log a change."""
        with self.lock:
            if self.released:
                return
            was_held = self.last_held is not None
            self.acquire_or_renew()
            if self.last_held is not None and not self.holds():
                self.last_held = None
            self.log_change(was_held)

    def acquire_or_renew(self) -> None:
        """Read the lease unless it is held; write it if it is free or held."""
        # While the lease is held, its version is known from the last write.
        if not self.holds() and not self.refresh():
            return
        if self.view is None:
            return
        now = self.clock.monotonic()
        action = decide(self.view, self.holder, now)
        if action is not Action.WAIT:
            self.write(action, self.view.version, self.holder, now)

    def refresh(self) -> bool:
        """Read the lease; return whether the view is current."""
        result = self.store.read(self.object_name)
        now = self.clock.monotonic()
        if returns.pipeline.is_successful(result):
            self.set_view(observe(self.view, result.unwrap(), now))
            return True
        if result.failure().kind is port.FailureKind.MISSING:
            self.set_view(observe(self.view, None, now))
            return True
        return False

    def write(
        self,
        action: Action,
        version: int,
        holder: str,
        now: datetime.timedelta,
    ) -> None:
        """Write the lease; read it back after an unknown result or a conflict.

        A write whose response was lost may take effect later, so a conflict may
        also be with an earlier write of this process.
        """
        value = encode_record(LeaseRecord(holder, now, DURATION))
        if action is Action.CREATE:
            result = self.store.create(self.object_name, value)
        else:
            result = self.store.update(self.object_name, value, version)
        if returns.pipeline.is_successful(result):
            done = self.clock.monotonic()
            self.set_view(observe(self.view, result.unwrap(), done))
        elif result.failure().kind in (
            port.FailureKind.UNCERTAIN,
            port.FailureKind.CONFLICT,
            port.FailureKind.MISSING,
        ):
            self.refresh()

    def set_view(self, view: LeaseView) -> None:
        """Store a view and the lease that this process holds in it, if any."""
        self.view = view
        self.last_held = held_lease(view, self.holder)

    def release(self) -> None:
        """Release the lease; stop holding it before the store is written.

        The object is not deleted: if it were created again, its versions,
        which are the fencing tokens, might start from the beginning.
        """
        with self.lock:
            self.released = True
            held, self.last_held = self.held(), None
            if held is None:
                return
            now = self.clock.monotonic()
            value = encode_record(LeaseRecord("", now, DURATION))
            self.store.update(self.object_name, value, held.version)
            event_log.emit(lease_events.LEASE_RELEASED, lease=self.name)

    def log_change(self, was_held: bool) -> None:
        """Log that this process acquired or lost the lease."""
        last = self.last_held
        if last is not None and not was_held:
            event_log.emit(
                lease_events.LEASE_TAKEN, lease=self.name, version=last.version
            )
        if last is None and was_held:
            event_log.emit(lease_events.LEASE_LOST, lease=self.name)


def create_lease_service(
    store: port.ObjectStore,
    clock: clock_lib.Clock,
    name: str,
    instance: str,
    generator: random.Random | None = None,
    era: store_era.StoreEra | None = None,
) -> LeaseService:
    """Create a service with a holder id that is unique to this process.

    A restarted process counts as another holder: its monotonic clock differs,
    and it does not know what its predecessor was about to do.

    Args:
        store: The object store.
        clock: The clock.
        name: Name of the lease.
        instance: Name of this process.
        generator: Spreads the store calls of many processes.
        era: The era that the store's adapter reports to; None for a store
            without eras.
    """
    holder = f"{instance}/{uuid.uuid4().hex}"
    return LeaseService(
        store,
        clock,
        name,
        holder,
        era or store_era.create_store_era(),
        generator or random.Random(),
    )
