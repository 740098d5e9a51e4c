"""Leases in the object store.

A lease is an object whose version is the fencing token. Clocks of different
instances are never compared. The holder counts from just before it sent the
write that made or renewed the lease; everyone else counts from when it first
saw that version. The holder's count starts earlier, so it ends earlier.
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
from verbenafall_core import lease_events
from verbenafall_core import periodic
from verbenafall_core.object_store import port

DURATION: Final = datetime.timedelta(seconds=10)
RENEW_INTERVAL: Final = datetime.timedelta(seconds=3)
# Allows for clocks that run at different rates and for the time between a
# check of holds() and the action after it.
HOLD_MARGIN: Final = datetime.timedelta(seconds=1)

# A record with a longer duration would keep the lease from everyone.
MAX_DURATION: Final = datetime.timedelta(minutes=1)

_US: Final = datetime.timedelta(microseconds=1)


class LeaseRecord(NamedTuple):
    """The value of a lease object.

    Attributes:
        holder: Unique id of the holding process; empty when released.
        sent_at: The holder's monotonic clock just before it sent the write;
            without meaning for other processes.
        duration: Time for which others leave the lease alone.
    """

    holder: str
    sent_at: datetime.timedelta
    duration: datetime.timedelta


class LeaseView(NamedTuple):
    """What a process knows of a lease.

    Attributes:
        version: 0 when there is no object.
        record: None when there is no object, or it cannot be read.
        seen_at: Own monotonic clock when this version was first seen.
    """

    version: int
    record: LeaseRecord | None
    seen_at: datetime.timedelta


class Held(NamedTuple):
    """A lease that this process holds.

    Attributes:
        version: Fencing token; grows with each write of the lease.
        until: Own monotonic clock from which the lease is not held.
    """

    version: int
    until: datetime.timedelta


class Action(enum.Enum):
    """What to do about a lease."""

    CREATE = "create"
    WRITE = "write"
    WAIT = "wait"


def decide(view: LeaseView, holder: str, now: datetime.timedelta) -> Action:
    """Return what a process that wants the lease does next."""
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
    """Return the view after a read whose answer came at `now`."""
    version = stored.version if stored else 0
    if view is not None and view.version == version:
        return view
    record = decode_record(stored.value) if stored else None
    return LeaseView(version, record, now)


def held_by(view: LeaseView, holder: str) -> Held | None:
    """Return what a process holds according to a view."""
    if view.record is None or view.record.holder != holder:
        return None
    end = view.record.sent_at + view.record.duration - HOLD_MARGIN
    return Held(view.version, end)


def encode_record(record: LeaseRecord) -> bytes:
    """Return the value of a lease object."""
    return msgspec.json.encode(
        {
            "holder": record.holder,
            "sent_at_us": record.sent_at // _US,
            "duration_us": record.duration // _US,
        }
    )


class StoredRecord(msgspec.Struct):
    """The JSON form of a lease record."""

    holder: str
    sent_at_us: int
    duration_us: Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION // _US)]


def decode_record(value: bytes) -> LeaseRecord | None:
    """Read the value of a lease object; None when it is malformed."""
    try:
        stored = msgspec.json.decode(value, type=StoredRecord)
        return LeaseRecord(
            stored.holder, stored.sent_at_us * _US, stored.duration_us * _US
        )
    except (msgspec.DecodeError, OverflowError):
        return None


class LeaseService:
    """Tries to hold one lease for as long as it runs."""

    def __init__(
        self,
        store: port.ObjectStore,
        clock: clock_lib.Clock,
        name: str,
        holder: str,
        generator: random.Random,
    ) -> None:
        """Create a service that does not hold the lease."""
        self.store = store
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
            # Processes that start together must not all call at once.
            first_delay=generator.uniform(0, 1) * RENEW_INTERVAL,
        )

    def start(self) -> None:
        """Start to take and renew the lease."""
        self.task.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop and release the lease, so that another need not wait."""
        self.task.stop(limit)
        self.release()

    def held(self) -> Held | None:
        """Return the lease if this process holds it now.

        The clock is read on each call, so a process that was paused past
        the end learns this before it acts.
        """
        last = self.last_held
        if last is None or self.clock.monotonic() >= last.until:
            return None
        return last

    def holds(self) -> bool:
        """Return whether this process holds the lease now."""
        return self.held() is not None

    def run_once(self) -> None:
        """Take or renew the lease if that is possible now."""
        with self.lock:
            if self.released:
                return
            was_held = self.last_held is not None
            self.try_to_hold()
            if self.last_held is not None and not self.holds():
                self.last_held = None
            self.report(was_held)

    def try_to_hold(self) -> None:
        """Read if needed, then write if the lease is free or held."""
        # The version of a lease that is held is known from its last write.
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
            self.accept(observe(self.view, result.unwrap(), now))
            return True
        if result.failure().kind is port.FailureKind.MISSING:
            self.accept(observe(self.view, None, now))
            return True
        return False

    def write(
        self,
        action: Action,
        version: int,
        holder: str,
        now: datetime.timedelta,
    ) -> None:
        """Write the lease; a failure is settled by reading back.

        A write whose answer was lost may take effect even later, so a
        conflict may also be with an own earlier write.
        """
        value = encode_record(LeaseRecord(holder, now, DURATION))
        if action is Action.CREATE:
            result = self.store.create(self.object_name, value)
        else:
            result = self.store.update(self.object_name, value, version)
        if returns.pipeline.is_successful(result):
            done = self.clock.monotonic()
            self.accept(observe(self.view, result.unwrap(), done))
        elif result.failure().kind in (
            port.FailureKind.UNCERTAIN,
            port.FailureKind.CONFLICT,
            port.FailureKind.MISSING,
        ):
            self.refresh()

    def accept(self, view: LeaseView) -> None:
        """Take over a view and what it says of the holder."""
        self.view = view
        self.last_held = held_by(view, self.holder)

    def release(self) -> None:
        """Give up the lease; it is not held from the first moment on.

        The object stays, because a deleted and recreated object might start
        its versions, which are fencing tokens, anew.
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

    def report(self, was_held: bool) -> None:
        """Log a change of the holder."""
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
) -> LeaseService:
    """Create a service for a lease; restarts count as other holders.

    A restarted process has another monotonic clock and does not know what
    its predecessor was about to do.
    """
    holder = f"{instance}/{uuid.uuid4().hex}"
    return LeaseService(
        store, clock, name, holder, generator or random.Random()
    )
