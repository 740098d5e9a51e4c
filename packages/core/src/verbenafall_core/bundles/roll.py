"""Rolls out a signed bundle: writes the store and waits for the fleet.

After a store call whose result is uncertain, the head is read again. The
next action depends only on the stored state, so no call is assumed to have
succeeded or failed.
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
from verbenafall_core.object_store import revisions

RETRY_INTERVAL: Final = datetime.timedelta(milliseconds=250)
# Notices are repeated because one can be lost and processes of a large fleet
# poll up to a minute apart. Each notice costs the store one read per gateway.
NOTICE_INTERVAL: Final = datetime.timedelta(seconds=2)
MAX_USED_VERSIONS: Final = 64
MAX_NAMES_SHOWN: Final = 8


class RolloutStatus(enum.StrEnum):
    """Final status of a rollout.

    ACCEPTED: The version is accepted; the message says whether it was seen
        in force at every live process.
    LOST: Another bundle has the version number, a newer version was accepted
        or is pending, or the number skips versions.
    TOO_LARGE: The compressed bundle exceeds the store's size limit.
    REJECTED: The version failed verification at a process; it stays pending.
    NOT_PREPARED: Not every live process prepared the version before the
        deadline; it stays pending.
    STORE_FAILED: Store calls still failed when the deadline passed.
    """

    ACCEPTED = "accepted"
    LOST = "lost"
    TOO_LARGE = "too_large"
    REJECTED = "rejected"
    NOT_PREPARED = "not_prepared"
    STORE_FAILED = "store_failed"


class RolloutResult(NamedTuple):
    """Final status of a rollout and a one-line message for the operator."""

    status: RolloutStatus
    message: str


class FleetView(NamedTuple):
    """The fleet as seen from the operator's machine.

    Attributes:
        instances: The instance list, None when it could not be read.
        statuses: Statuses of the processes that replied.
        problems: Error messages for the parts that could not be read.
    """

    instances: tuple[instance_port.Instance, ...] | None
    statuses: tuple[messages.StatusReply, ...]
    problems: tuple[str, ...]


class Fleet(Protocol):
    """Access to the running processes, as a rollout needs it."""

    def read(self) -> FleetView:
        """Read the instance list and the status of each process."""

    def notify(self) -> None:
        """Make the gateways read the head now, without waiting for a poll."""


class _HeadState(NamedTuple):
    """The head and the version of its object, 0 when there is none yet."""

    head: records.Head
    object_version: int


_MaybeResult = RolloutResult | None


class Rollout:
    """Rollout of one signed bundle.

    Attributes:
        next_notice: Monotonic time of the next repeated notice.
        text_era: Era of the store in which it was last seen to have the text.
        last_problem: Error of the last failed store call, cleared once the
            stored state could be read.
        last_line: Last progress line that was reported.
    """

    def __init__(
        self,
        store: port.ObjectStore,
        fleet: Fleet,
        clock: clock_lib.Clock,
        pause: Callable[[datetime.timedelta], None],
        report_progress: Callable[[str], None],
        signed: model.SignedBundle,
        limit: datetime.timedelta,
    ) -> None:
        """Create a rollout that has not started; its deadline runs already."""
        self.store = store
        self.fleet = fleet
        self.clock = clock
        self.pause = pause
        self.report_progress = report_progress
        self.signed = signed
        self.version = signed.version
        self.deadline = clock.monotonic() + limit
        self.next_notice = clock.monotonic()
        self.text_era = 0
        self.last_problem = ""
        self.last_line = ""

    def run(self) -> RolloutResult:
        """Run until the rollout has succeeded, failed or timed out."""
        ended = self.retry(self.put_text)
        if ended is not None:
            return ended
        return self.retry(self.advance) or self.time_out()

    def retry(self, attempt: Callable[[], _MaybeResult | bool]) -> _MaybeResult:
        """Repeat an attempt until the rollout ends or the attempt is done.

        Args:
            attempt: Returns the result if the rollout has ended, True if the
                attempt is done, and False if it must be repeated.

        Returns:
            The result, or None when the attempt is done.
        """
        while True:
            outcome = attempt()
            if isinstance(outcome, RolloutResult):
                return outcome
            if outcome:
                return None
            if self.clock.monotonic() >= self.deadline:
                return self.time_out()
            self.pause(RETRY_INTERVAL)

    def time_out(self) -> RolloutResult:
        """Return the result of a rollout whose deadline has passed."""
        if self.last_problem:
            return RolloutResult(RolloutStatus.STORE_FAILED, self.last_problem)
        return RolloutResult(
            RolloutStatus.NOT_PREPARED,
            f"version {self.version} stays pending; {self.last_line}."
            " Run the same command again to continue",
        )

    def check_head(self) -> bool:
        """Return whether the head is as new as what the processes have.

        After a restore of the store it is not, until a process has written it
        again. A text created before that could reuse the number of another.
        """
        state = self.read_head()
        if state is None:
            return False
        statuses = self.fleet.read().statuses
        newest = max((max(s.in_force, s.pending) for s in statuses), default=0)
        if newest <= max(state.head):
            self.last_problem = ""
            return True
        self.last_problem = (
            f"processes have version {newest}, but the head in the store does"
            " not; they write it again"
        )
        self.report(self.last_problem)
        self.repeat_notice()
        return False

    def put_text(self) -> RolloutResult | bool:
        """Store the bundle under its version.

        Returns:
            True when the store has this bundle, False to try again, and a
            result when the rollout has failed.
        """
        if not self.check_head():
            return False
        name = records.bundle_name(self.version)
        value = records.encode_bundle(self.signed)
        if len(value) > port.MAX_VALUE_BYTES:
            return RolloutResult(
                RolloutStatus.TOO_LARGE,
                f"the compressed bundle has {len(value)} bytes; the store"
                f" accepts at most {port.MAX_VALUE_BYTES}",
            )
        created = self.store.create(name, value)
        if isinstance(created, returns.result.Success):
            self.text_era = revisions.era_of(created.unwrap().version)
            self.report(f"version {self.version} is in the store")
            return True
        self.last_problem = created.failure().message
        if created.failure().kind not in (
            port.FailureKind.CONFLICT,
            port.FailureKind.UNCERTAIN,
        ):
            return False
        return self.check_stored_text(name)

    def check_stored_text(self, name: str) -> RolloutResult | bool:
        """Compare the stored bundle with this one.

        Called after a create that conflicted or whose result is uncertain.
        Returns the same values as put_text().
        """
        read = self.store.read(name)
        if not isinstance(read, returns.result.Success):
            self.last_problem = read.failure().message
            return False
        self.last_problem = ""
        self.text_era = revisions.era_of(read.unwrap().version)
        stored = records.decode_bundle(self.version, read.unwrap().value)
        if stored.value_or(None) == self.signed:
            self.report(f"version {self.version} is in the store")
            return True
        return RolloutResult(
            RolloutStatus.LOST,
            f"version {self.version} is taken by another operator's text;"
            " sign the bundle with a higher version",
        )

    def advance(self) -> RolloutResult | bool:
        """Read the head and perform the action that follows from it.

        Returns:
            The result when the rollout has ended, else False.
        """
        state = self.read_head()
        if state is None:
            return False
        if revisions.era_of(state.object_version) != self.text_era:
            # A restore of the store may have lost the text.
            stored = self.put_text()
            if stored is not True:
                return stored
        return self.act_on_head(state)

    def act_on_head(self, state: _HeadState) -> RolloutResult | bool:
        """Perform the action that follows from the head.

        Returns the same values as advance().
        """
        used = self.find_used_versions(state.head)
        if used is None:
            return False
        self.last_problem = ""
        action = roll_plan.choose_action(state.head, self.version, used)
        match action:
            case roll_plan.AlreadyAccepted():
                return self.await_in_force()
            case roll_plan.Lost(message):
                return RolloutResult(RolloutStatus.LOST, message)
            case roll_plan.SetPending(head):
                self.write_head(head, state.object_version)
                return False
            case roll_plan.AwaitPrepared():
                return self.await_prepared(state)

    def await_in_force(self) -> RolloutResult | bool:
        """Check whether every live process runs the accepted version.

        The version stays accepted in any case, so passing the deadline is not
        a failure. The message then names the processes that are behind.
        """
        accepted = f"version {self.version} is accepted"
        view = self.fleet.read()
        behind = roll_plan.find_behind(
            self.version, view.instances or (), view.statuses
        )
        if view.instances is not None and not behind:
            return RolloutResult(
                RolloutStatus.ACCEPTED, f"{accepted} and in force everywhere"
            )
        missing = shorten(behind or view.problems)
        self.report(f"accepted, not yet seen in force: {missing}")
        if self.clock.monotonic() < self.deadline:
            self.repeat_notice()
            return False
        return RolloutResult(
            RolloutStatus.ACCEPTED, f"{accepted}; not seen in force: {missing}"
        )

    def read_head(self) -> _HeadState | None:
        """Return the head, None when it could not be read."""
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

    def find_used_versions(self, head: records.Head) -> frozenset[int] | None:
        """Return the used versions between the accepted one and this one.

        Returns:
            Empty while a version is pending, because any higher version may
            then replace it. None when a read failed. At most
            MAX_USED_VERSIONS versions are checked.
        """
        if head.pending:
            return frozenset()
        used = set()
        first = head.accepted + 1
        for version in range(
            first, min(self.version, first + MAX_USED_VERSIONS)
        ):
            read = self.store.read(records.bundle_name(version))
            if isinstance(read, returns.result.Success):
                used.add(version)
            elif read.failure().kind is not port.FailureKind.MISSING:
                self.last_problem = read.failure().message
                return None
        return frozenset(used)

    def write_head(self, head: records.Head, object_version: int) -> None:
        """Write the head if it is unchanged, then notify the gateways.

        Success is not assumed: the next read of the head shows the result.
        """
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
        """Make the gateways read the head and schedule the next notice."""
        self.fleet.notify()
        self.next_notice = self.clock.monotonic() + NOTICE_INTERVAL

    def repeat_notice(self) -> None:
        """Notify the gateways again if NOTICE_INTERVAL has passed."""
        if self.clock.monotonic() >= self.next_notice:
            self.notify()

    def await_prepared(self, state: _HeadState) -> RolloutResult | bool:
        """Accept the version if every live process has prepared it."""
        view = self.fleet.read()
        if view.instances is None:
            self.report("; ".join(view.problems))
            return False
        preparation = roll_plan.assess(
            self.version, view.instances, view.statuses
        )
        if preparation.rejected:
            return RolloutResult(
                RolloutStatus.REJECTED,
                f"version {self.version} was rejected by"
                f" {shorten(preparation.rejected)}; roll out a higher version",
            )
        if not preparation.prepared or preparation.waiting:
            self.report_waiting(preparation, view.problems)
            self.repeat_notice()
            return False
        self.report(
            f"prepared by all {len(preparation.prepared)} live processes"
        )
        head = records.Head(self.version, 0)
        self.write_head(head, state.object_version)
        return False

    def report_waiting(
        self, preparation: roll_plan.Preparation, problems: tuple[str, ...]
    ) -> None:
        """Report how many processes are prepared, and which are not."""
        total = len(preparation.prepared) + len(preparation.waiting)
        line = f"prepared by {len(preparation.prepared)} of {total}"
        if preparation.waiting:
            line += f", waiting for {shorten(preparation.waiting)}"
        if problems:
            line += f" ({shorten(problems)})"
        self.report(line)

    def report(self, line: str) -> None:
        """Report a progress line unless it repeats the last one."""
        if line != self.last_line:
            self.report_progress(line)
        self.last_line = line


def shorten(lines: tuple[str, ...]) -> str:
    """Join the first MAX_NAMES_SHOWN lines and count the others."""
    shown = ", ".join(lines[:MAX_NAMES_SHOWN])
    more = len(lines) - MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def create_rollout(
    store: port.ObjectStore,
    fleet: Fleet,
    clock: clock_lib.Clock,
    pause: Callable[[datetime.timedelta], None],
    report_progress: Callable[[str], None],
    signed: model.SignedBundle,
    limit: datetime.timedelta,
) -> Rollout:
    """Create a rollout that has not started; its deadline runs already.

    Args:
        store: Stores the head and the bundles.
        fleet: The running processes.
        clock: Source of monotonic time.
        pause: Blocks for the given time.
        report_progress: Called with each progress line for the operator.
        signed: The bundle; the caller has validated its text.
        limit: Time after which the rollout stops.
    """
    return Rollout(store, fleet, clock, pause, report_progress, signed, limit)
