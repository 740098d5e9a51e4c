"""Rolls a signed bundle out: writes the store and waits for the fleet.

A store call without an answer is settled by reading the head again, since
the next move follows from the head alone.
"""

from collections.abc import Callable
import datetime
import enum
from typing import Final
from typing import NamedTuple
from typing import Protocol

import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import messages
from verbenafall_core.bundles import model
from verbenafall_core.bundles import records
from verbenafall_core.bundles import roll_plan
from verbenafall_core.instance_list import port as instance_port
from verbenafall_core.object_store import port

ROUND_PAUSE: Final = datetime.timedelta(milliseconds=250)
# A notice can be lost, and polls of a large fleet are up to a minute apart.
# Each notice costs the store one read for each gateway.
NOTICE_INTERVAL: Final = datetime.timedelta(seconds=2)
MAX_TAKEN: Final = 64
MAX_NAMES_SHOWN: Final = 8


class RolloutStatus(enum.StrEnum):
    """How a roll-out ended.

    ACCEPTED: The version is accepted; the message says whether it was seen
        in force everywhere.
    LOST: Another version won or the number cannot be used.
    TOO_LARGE: The store cannot hold the bundle.
    REJECTED: A process refused the version; it stays pending.
    NOT_PREPARED: Not every live process had it in time; it stays pending.
    STORE_FAILED: The store did not answer in time.
    """

    ACCEPTED = "accepted"
    LOST = "lost"
    TOO_LARGE = "too_large"
    REJECTED = "rejected"
    NOT_PREPARED = "not_prepared"
    STORE_FAILED = "store_failed"


class RollResult(NamedTuple):
    """End of a roll-out and one line for the operator."""

    status: RolloutStatus
    message: str


class FleetView(NamedTuple):
    """The fleet as the operator sees it.

    Attributes:
        instances: The instance list; None when it could not be read.
        statuses: States of the processes that answered.
        problems: Why parts of the fleet could not be read.
    """

    instances: tuple[instance_port.Instance, ...] | None
    statuses: tuple[messages.StatusReply, ...]
    problems: tuple[str, ...]


class Fleet(Protocol):
    """Access to the running processes."""

    def read(self) -> FleetView:
        """Read the instance list and the states of the processes."""

    def notify(self) -> None:
        """Make the gateways read the bundle head now."""


class _HeadState(NamedTuple):
    """A head and its object version, 0 when there is no object."""

    head: records.Head
    object_version: int


_Ended = RollResult | None


class Roll:
    """One roll-out of one signed bundle."""

    def __init__(
        self,
        store: port.ObjectStore,
        fleet: Fleet,
        clock: clock_lib.Clock,
        pause: Callable[[datetime.timedelta], None],
        progress: Callable[[str], None],
        signed: model.SignedBundle,
        limit: datetime.timedelta,
    ) -> None:
        """Create a roll-out that has not begun."""
        self.store = store
        self.fleet = fleet
        self.clock = clock
        self.pause = pause
        self.progress = progress
        self.signed = signed
        self.version = signed.version
        self.deadline = clock.monotonic() + limit
        self.next_notice = clock.monotonic()
        self.last_problem = ""
        self.last_line = ""

    def run(self) -> RollResult:
        """Run until the version is accepted or has failed."""
        ended = self.retry(self.put_text)
        if ended is not None:
            return ended
        return self.retry(self.advance) or self.time_out()

    def retry(self, attempt: Callable[[], _Ended | bool]) -> _Ended:
        """Repeat an attempt until it ends, is done (True) or time is up."""
        while True:
            outcome = attempt()
            if isinstance(outcome, RollResult):
                return outcome
            if outcome:
                return None
            if self.clock.monotonic() >= self.deadline:
                return self.time_out()
            self.pause(ROUND_PAUSE)

    def time_out(self) -> RollResult:
        """Return the result for a roll-out that ran out of time."""
        if self.last_problem:
            return RollResult(RolloutStatus.STORE_FAILED, self.last_problem)
        return RollResult(
            RolloutStatus.NOT_PREPARED,
            f"version {self.version} stays pending; {self.last_line}."
            " Run the same command again to go on",
        )

    def put_text(self) -> RollResult | bool:
        """Create the object of the version, or find it there."""
        name = records.bundle_name(self.version)
        value = records.encode_bundle(self.signed)
        if len(value) > port.MAX_VALUE_BYTES:
            return RollResult(
                RolloutStatus.TOO_LARGE,
                f"the compressed bundle has {len(value)} bytes; the store"
                f" takes {port.MAX_VALUE_BYTES}",
            )
        created = self.store.create(name, value)
        if isinstance(created, returns.result.Success):
            self.report(f"version {self.version} is in the store")
            return True
        self.last_problem = created.failure().message
        if created.failure().kind not in (
            port.FailureKind.CONFLICT,
            port.FailureKind.UNCERTAIN,
        ):
            return False
        return self.settle_text(name)

    def settle_text(self, name: str) -> RollResult | bool:
        """Read back whose text the store has."""
        read = self.store.read(name)
        if not isinstance(read, returns.result.Success):
            self.last_problem = read.failure().message
            return False
        self.last_problem = ""
        stored = records.decode_bundle(self.version, read.unwrap().value)
        if stored.value_or(None) == self.signed:
            self.report(f"version {self.version} is in the store")
            return True
        return RollResult(
            RolloutStatus.LOST,
            f"version {self.version} is taken by another operator's text;"
            " sign the bundle with a higher version",
        )

    def advance(self) -> RollResult | bool:
        """Read the head and make the next move."""
        state = self.read_head()
        if state is None:
            return False
        taken = self.read_taken(state.head)
        if taken is None:
            return False
        self.last_problem = ""
        move = roll_plan.choose_move(state.head, self.version, taken)
        match move:
            case roll_plan.AlreadyAccepted():
                return self.await_in_force()
            case roll_plan.Lost(message):
                return RollResult(RolloutStatus.LOST, message)
            case roll_plan.SetPending(head):
                self.write_head(head, state.object_version)
                return False
            case roll_plan.AwaitPrepared():
                return self.await_prepared(state)

    def await_in_force(self) -> RollResult | bool:
        """Wait until every live process runs the accepted version.

        The version stays accepted in any case, so the end of the time is no
        failure of the roll-out; the message then names who is behind.
        """
        accepted = f"version {self.version} is accepted"
        view = self.fleet.read()
        behind = roll_plan.find_behind(
            self.version, view.instances or (), view.statuses
        )
        if view.instances is not None and not behind:
            return RollResult(
                RolloutStatus.ACCEPTED, f"{accepted} and in force everywhere"
            )
        missing = shorten(behind or view.problems)
        self.report(f"accepted, not yet seen in force: {missing}")
        if self.clock.monotonic() < self.deadline:
            self.repeat_notice()
            return False
        return RollResult(
            RolloutStatus.ACCEPTED, f"{accepted}; not seen in force: {missing}"
        )

    def read_head(self) -> _HeadState | None:
        """Return the head; None when it cannot be read now."""
        read = self.store.read(records.HEAD_NAME)
        if isinstance(read, returns.result.Success):
            stored = read.unwrap()
            head = records.decode_head(stored.value)
            if isinstance(head, returns.result.Success):
                return _HeadState(head.unwrap(), stored.version)
            self.last_problem = head.failure()
            return None
        if read.failure().kind is port.FailureKind.MISSING:
            return _HeadState(records.Head(0, 0), 0)
        self.last_problem = read.failure().message
        return None

    def read_taken(self, head: records.Head) -> frozenset[int] | None:
        """Return the taken versions below this one; None on a failure."""
        if head.pending:
            return frozenset()
        taken = set()
        first = head.accepted + 1
        for version in range(first, min(self.version, first + MAX_TAKEN)):
            read = self.store.read(records.bundle_name(version))
            if isinstance(read, returns.result.Success):
                taken.add(version)
            elif read.failure().kind is not port.FailureKind.MISSING:
                self.last_problem = read.failure().message
                return None
        return frozenset(taken)

    def write_head(self, head: records.Head, object_version: int) -> None:
        """Write the head if it is unchanged; the next read tells."""
        value = records.encode_head(head)
        if object_version:
            written = self.store.update(
                records.HEAD_NAME, value, object_version
            )
        else:
            written = self.store.create(records.HEAD_NAME, value)
        if isinstance(written, returns.result.Success):
            self.report(
                f"head: accepted {head.accepted}, pending {head.pending}"
            )
        else:
            self.report(f"head not written: {written.failure().message}")
        self.notify()

    def notify(self) -> None:
        """Make the gateways read the head now."""
        self.fleet.notify()
        self.next_notice = self.clock.monotonic() + NOTICE_INTERVAL

    def repeat_notice(self) -> None:
        """Notify the gateways again while processes are behind."""
        if self.clock.monotonic() >= self.next_notice:
            self.notify()

    def await_prepared(self, state: _HeadState) -> RollResult | bool:
        """Accept the version once every live process has it."""
        view = self.fleet.read()
        if view.instances is None:
            self.report("; ".join(view.problems))
            return False
        found = roll_plan.assess(self.version, view.instances, view.statuses)
        if found.rejected:
            return RollResult(
                RolloutStatus.REJECTED,
                f"version {self.version} was rejected by"
                f" {shorten(found.rejected)}; roll a higher version",
            )
        if not found.prepared or found.waiting:
            self.report_waiting(found, view.problems)
            self.repeat_notice()
            return False
        self.report(f"prepared by all {len(found.prepared)} live processes")
        head = records.Head(self.version, 0)
        self.write_head(head, state.object_version)
        return False

    def report_waiting(
        self, found: roll_plan.Preparation, problems: tuple[str, ...]
    ) -> None:
        """Report the processes that are not prepared."""
        total = len(found.prepared) + len(found.waiting)
        line = f"prepared by {len(found.prepared)} of {total}"
        if found.waiting:
            line += f", waiting for {shorten(found.waiting)}"
        if problems:
            line += f" ({shorten(problems)})"
        self.report(line)

    def report(self, line: str) -> None:
        """Show a line of progress unless it repeats the last one."""
        if line != self.last_line:
            self.progress(line)
        self.last_line = line


def shorten(lines: tuple[str, ...]) -> str:
    """Join the first lines and count the others."""
    shown = ", ".join(lines[:MAX_NAMES_SHOWN])
    more = len(lines) - MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def create_rollout(
    store: port.ObjectStore,
    fleet: Fleet,
    clock: clock_lib.Clock,
    pause: Callable[[datetime.timedelta], None],
    progress: Callable[[str], None],
    signed: model.SignedBundle,
    limit: datetime.timedelta,
) -> Roll:
    """Create a roll-out of a checked bundle that has not begun.

    Args:
        store: Holds the head and the texts.
        fleet: The running processes.
        clock: Source of time.
        pause: Waits for a while.
        progress: Takes lines for the operator.
        signed: The bundle; its text was checked by the caller.
        limit: Time until the roll-out is given up.
    """
    return Roll(store, fleet, clock, pause, progress, signed, limit)
