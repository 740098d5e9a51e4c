"""Reads a rank's state from its engine and executes the leader's orders."""

from collections.abc import Callable
import datetime
import threading
import traceback
from typing import Final
from typing import NamedTuple
from typing import Protocol

import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core.expert_maps import demand
from verbenafall_core.expert_maps import rank_port
from verbenafall_core.expert_maps import rank_state
from verbenafall_sidecar.steering import event_catalogue

# The engine is on the same machine, so the counts are up to date and cost no
# traffic, only about 1 ms of processor time for each reading. The leader of a
# large group asks for fewer.
COUNT_INTERVAL: Final = datetime.timedelta(milliseconds=100)
NO_COUNTS: Final = datetime.timedelta()
REPORT_INTERVAL: Final = datetime.timedelta(milliseconds=500)
# Interval of reading the report while an order is not yet fulfilled.
ORDER_POLL_INTERVAL: Final = datetime.timedelta(milliseconds=15)
# Interval of reading the report until an armed rank has switched.
ARMED_POLL_INTERVAL: Final = datetime.timedelta(milliseconds=50)
# How long an engine may take to answer an order. An engine on the same machine
# takes a few milliseconds. The group may be held during this time.
LOCAL_ORDER_TIMEOUT: Final = datetime.timedelta(milliseconds=40)
DIRECT_ORDER_TIMEOUT: Final = datetime.timedelta(milliseconds=150)
# An accepted order whose effect does not show is sent again after this time.
ORDER_RETRY_INTERVAL: Final = datetime.timedelta(milliseconds=120)
# A leader without a message for this time counts as failed. It may have left
# the group held, in which case no pass starts until another one leads.
LEADER_TIMEOUT: Final = datetime.timedelta(milliseconds=900)
# The same while the group is not open: no pass can be held or switched, so a
# needless change of leader does no harm, and a missing leader delays the first
# map. Leaders send a message four times a second.
FORMING_LEADER_TIMEOUT: Final = datetime.timedelta(milliseconds=500)
# An unchanged state is sent again after this time.
UPDATE_RESEND_INTERVAL: Final = datetime.timedelta(milliseconds=800)
# Before any time of the monotonic clock.
_LONG_AGO: Final = datetime.timedelta(days=-1)


class RankUpdate(NamedTuple):
    """State of a rank as sent to the leader.

    Attributes:
        term: Highest term that the agent knows.
        cleared_term: Term of the last DISARM that the engine answered with
            ACCEPTED or CONFLICT.
        impossible_version: Map that the rank could not prepare, or 0.
        experts: Experts in use by set, empty when unknown or unchanged.
    """

    report: rank_state.RankReport
    term: int
    cleared_term: int
    impossible_version: int
    experts: tuple[tuple[int, ...], ...]


class RankListener(Protocol):
    """Receives a rank's state and counts for the leader of its group."""

    def on_update(self, update: RankUpdate) -> None:
        """Receive the rank's state, after a change or as a repeat."""

    def on_counts(self, epoch: int, counts: tuple[int, ...]) -> None:
        """Receive the increments of the counts since the last call."""


class RankAgent:
    """Reads and controls one rank, on a thread of its own.

    Attributes:
        term: Highest known term; orders with a lower one are refused.
        last_leader_contact: When the leader last sent a message.
    """

    def __init__(
        self,
        port: rank_port.RankPort,
        clock: clock_lib.Clock,
        listener: Callable[[], RankListener | None],
        order_timeout: datetime.timedelta,
    ) -> None:
        """Create an agent that is not yet running."""
        self.order_timeout = order_timeout
        self.count_interval = NO_COUNTS
        self.port = port
        self.clock = clock
        self.listener = listener
        self.condition = threading.Condition()
        self.stopped = False
        self.term = 0
        self.last_leader_contact = clock.monotonic()
        self.current_order: rank_state.RankOrder | None = None
        self.order_sent_at = _LONG_AGO
        self.report: rank_state.RankReport | None = None
        self.report_due = _LONG_AGO
        self.counts_due = _LONG_AGO
        self.counts: tuple[int, ...] = ()
        self.experts: tuple[tuple[int, ...], ...] = ()
        self.experts_key: tuple[int, int] | None = None
        self.cleared_term = 0
        self.impossible_version = 0
        self.engine_reachable = True
        self.last_update: RankUpdate | None = None
        self.last_update_at = _LONG_AGO
        self.resends = 0
        self.thread = threading.Thread(
            target=self.run, name="rank-agent", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop after the running call; wait for it for at most `limit`."""
        with self.condition:
            self.stopped = True
            self.condition.notify()
        self.thread.join(limit.total_seconds())

    # Called on the threads of the links and of a leader in this process.

    def accept_leader(
        self, term: int, count_interval: datetime.timedelta | None = None
    ) -> bool:
        """Record contact with a leader, unless a higher term is known.

        The first contact under a higher term discards the current order.

        Args:
            term: The leader's term.
            count_interval: How often to report counts, None for no change.

        Returns:
            Whether no higher term is known.
        """
        with self.condition:
            if term < self.term:
                return False
            if term > self.term:
                self.term = term
                self.current_order = None
                self.forget_last_update()
            self.last_leader_contact = self.clock.monotonic()
            if count_interval is not None:
                self.count_interval = count_interval
            self.condition.notify()
            return True

    def has_leader(self) -> bool:
        """Return whether the last contact with a leader is recent enough."""
        report = self.report
        forming = report is not None and not report.open
        return self.clock.monotonic() - self.last_leader_contact < (
            FORMING_LEADER_TIMEOUT if forming else LEADER_TIMEOUT
        )

    def resend_all(self) -> None:
        """Send the complete state at once, to a leader that just started."""
        with self.condition:
            self.forget_last_update()
            self.counts = ()
            self.report_due = self.counts_due = _LONG_AGO
            self.condition.notify()

    def forget_last_update(self) -> None:
        """Make the next update complete; the caller holds the condition."""
        self.last_update = None
        self.resends += 1

    def accept(
        self, order: rank_state.RankOrder, delegated: bool = False
    ) -> bool:
        """Make an order the current one, unless a higher term is known.

        Args:
            order: The order.
            delegated: Whether another process was asked to send it as well.
                The agent then sends it only if no effect shows in time.

        Returns:
            Whether the order was accepted.
        """
        if not self.accept_leader(order.term):
            event_log.emit(
                event_catalogue.ORDER_REFUSED,
                kind=order.kind,
                term=order.term,
                known_term=self.term,
                reason="term",
            )
            return False
        with self.condition:
            if order != self.current_order:
                self.current_order = order
                self.order_sent_at = (
                    self.clock.monotonic() if delegated else _LONG_AGO
                )
                self.report_due = _LONG_AGO
            self.condition.notify()
        return True

    # Called on the agent's own thread.

    def run(self) -> None:
        """Read the engine and execute orders until stopped."""
        while True:
            with self.condition:
                if self.stopped:
                    return
            try:
                self.run_once()
            except Exception as error:  # The thread must survive any error.
                event_log.emit(
                    event_catalogue.AGENT_FAILED,
                    error=repr(error),
                    place=traceback.format_exc(limit=-2),
                )
                now = self.clock.monotonic()
                self.report_due = self.counts_due = now + REPORT_INTERVAL
            with self.condition:
                if self.stopped:
                    return
                wait = self.next_due() - self.clock.monotonic()
                if wait > datetime.timedelta():
                    self.condition.wait(wait.total_seconds())

    def next_due(self) -> datetime.timedelta:
        """Return when the report or the counts are to be read next."""
        return min(self.report_due, self.counts_due)

    def run_once(self) -> None:
        """Read report and counts when due; process the current order."""
        now = self.clock.monotonic()
        if now >= self.report_due:
            self.read_report(now)
            self.process_order()
            if self.current_order is not None:
                self.report_due = self.clock.monotonic() + ORDER_POLL_INTERVAL
        if now >= self.counts_due:
            self.counts_due = now + (self.count_interval or REPORT_INTERVAL)
            if self.count_interval and self.listener() and self.has_leader():
                self.read_counts()

    def read_report(self, now: datetime.timedelta) -> None:
        """Read the engine's report and send an update if it changed."""
        self.report_due = now + REPORT_INTERVAL
        if self.report is not None and self.report.armed is not None:
            self.report_due = now + ARMED_POLL_INTERVAL
        result = self.port.read_report()
        if not returns.pipeline.is_successful(result):
            if self.engine_reachable:
                event_log.emit(
                    event_catalogue.ENGINE_LOST, error=result.failure().message
                )
            self.engine_reachable = False
            return
        report = result.unwrap()
        if not self.engine_reachable:
            event_log.emit(event_catalogue.ENGINE_REGAINED, epoch=report.epoch)
            self.engine_reachable = True
        known = self.report
        if known is None or (known.epoch, known.open) != (
            report.epoch,
            report.open,
        ):
            event_log.emit(
                event_catalogue.RANK_EPOCH,
                group=report.group,
                rank=report.rank,
                epoch=report.epoch,
                open=report.open,
                step=report.step,
            )
        self.report = report
        self.send_update()

    def refresh_experts(self, report: rank_state.RankReport) -> None:
        """Read the experts in use if the epoch or the map version changed."""
        key = (report.epoch, report.map_version)
        if self.experts_key == key:
            return
        result = self.port.read_experts()
        if returns.pipeline.is_successful(result):
            self.experts = result.unwrap()
            self.experts_key = key

    def send_update(self) -> None:
        """Send an update to the leader after a change, and periodically.

        Experts that it already has are left out. A new leader may be accepted
        while the engine is called, and has none of what is sent here.
        """
        resends = self.resends
        listener = self.listener()
        report = self.report
        if listener is None or report is None:
            return
        self.refresh_experts(report)
        update = RankUpdate(
            report,
            self.term,
            self.cleared_term,
            self.impossible_version,
            self.experts,
        )
        last = self.last_update
        now = self.clock.monotonic()
        if (
            last == update
            and now - self.last_update_at < UPDATE_RESEND_INTERVAL
        ):
            return
        with self.condition:
            if self.resends == resends:
                self.last_update_at = now
                self.last_update = update
        if last is not None and last.experts == update.experts:
            update = update._replace(experts=())
        listener.on_update(update)

    def process_order(self) -> None:
        """Send the current order to the engine if it is not yet fulfilled.

        An order that is fulfilled or has become impossible is cleared.
        """
        with self.condition:
            order = self.current_order
        report = self.report
        if order is None or report is None:
            return
        status = rank_state.order_status(order, report)
        if status is not rank_state.OrderStatus.OPEN:
            self.clear_order(order)
            if (
                status is rank_state.OrderStatus.IMPOSSIBLE
                and order.kind is rank_state.OrderKind.PREPARE
            ):
                self.report_impossible(order, "state")
            return
        now = self.clock.monotonic()
        if now - self.order_sent_at < ORDER_RETRY_INTERVAL:
            return
        self.order_sent_at = now
        self.submit_order(order)

    def submit_order(self, order: rank_state.RankOrder) -> None:
        """Send an order to the engine and act on the answer."""
        answer = self.port.send_order(order, self.order_timeout)
        event_log.emit(
            event_catalogue.ORDER_TAKEN,
            kind=order.kind,
            term=order.term,
            version=order.version,
            step=order.step,
            answer=answer,
        )
        if order.kind is rank_state.OrderKind.DISARM:
            if answer in (
                rank_state.OrderAnswer.ACCEPTED,
                rank_state.OrderAnswer.CONFLICT,
            ):
                self.cleared_term = order.term
                self.clear_order(order)
        elif (
            answer
            in (
                rank_state.OrderAnswer.CONFLICT,
                rank_state.OrderAnswer.INVALID,
            )
            and order.kind is rank_state.OrderKind.PREPARE
        ):
            self.report_impossible(order, answer)
            self.clear_order(order)
        elif answer is rank_state.OrderAnswer.FENCED:
            event_log.emit(
                event_catalogue.ORDER_REFUSED,
                kind=order.kind,
                term=order.term,
                known_term=self.term,
                reason="fenced",
            )
            self.clear_order(order)
            # Without contact to the later leader, the sender of the order would
            # keep giving orders that the engine refuses.
            self.raise_term(order.term + 1)
        elif answer is rank_state.OrderAnswer.UNANSWERED:
            self.order_sent_at = _LONG_AGO
        # The leader waits for the effect: read and send it without delay.
        self.read_report(self.clock.monotonic())

    def report_impossible(
        self, order: rank_state.RankOrder, reason: str
    ) -> None:
        """Report to the leader that a map version cannot be prepared."""
        if self.report is not None and self.report.prepared == order.version:
            return
        self.impossible_version = order.version
        event_log.emit(
            event_catalogue.ORDER_REFUSED,
            kind=order.kind,
            term=order.term,
            version=order.version,
            known_term=self.term,
            reason=reason,
        )
        self.send_update()

    def clear_order(self, order: rank_state.RankOrder) -> None:
        """Clear an order unless another one has replaced it."""
        with self.condition:
            if self.current_order is order:
                self.current_order = None

    def raise_term(self, term: int) -> None:
        """Refuse leaders of lower terms; no leader of this one is known."""
        with self.condition:
            if term > self.term:
                self.term = term
                self.current_order = None
                self.last_update = None

    def read_counts(self) -> None:
        """Read the counts; send the increments since the last reading."""
        listener = self.listener()
        result = self.port.read_counts()
        if listener is None or not returns.pipeline.is_successful(result):
            return
        found = result.unwrap()
        known, self.counts = self.counts, found.counts
        if known:
            increments = demand.count_increments(known, found.counts)
            if any(increments):
                listener.on_counts(found.epoch, increments)


def create_rank_agent(
    port: rank_port.RankPort,
    clock: clock_lib.Clock,
    listener: Callable[[], RankListener | None],
    order_timeout: datetime.timedelta = LOCAL_ORDER_TIMEOUT,
) -> RankAgent:
    """Create an agent that is not yet running.

    It reports counts only when a leader asks for them.

    Args:
        port: Port to the engine's rank.
        clock: The clock.
        listener: Returns the receiver of updates, None without a leader.
        order_timeout: How long the engine may take to answer an order.
    """
    return RankAgent(port, clock, listener, order_timeout)
