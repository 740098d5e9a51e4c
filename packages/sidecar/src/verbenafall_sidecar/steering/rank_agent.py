"""Reads the own engine and brings it into the state that a leader orders."""

from collections.abc import Callable
import datetime
import threading
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

# Counts are fresh and free on the own machine; each reading costs about a
# millisecond of processor time. The leader of a large group asks for fewer.
COUNT_INTERVAL: Final = datetime.timedelta(milliseconds=100)
NO_COUNTS: Final = datetime.timedelta()
REPORT_INTERVAL: Final = datetime.timedelta(milliseconds=500)
# Reading of the report while an order is open.
ORDER_POLL: Final = datetime.timedelta(milliseconds=15)
# Reading of the report until an armed rank has switched.
ARMED_POLL: Final = datetime.timedelta(milliseconds=50)
# How long an engine may take to answer an order. The own one takes a few
# milliseconds, and while an order is open the group may be held.
OWN_ORDER_LIMIT: Final = datetime.timedelta(milliseconds=40)
DIRECT_ORDER_LIMIT: Final = datetime.timedelta(milliseconds=150)
# An accepted order that shows no effect is given again after this time.
ORDER_REPEAT: Final = datetime.timedelta(milliseconds=120)
# A leader that has been silent for this time is not followed any more. While
# it is silent it may hold the group, and no pass begins.
LEADER_SILENCE: Final = datetime.timedelta(milliseconds=900)
# A state that does not change is told again after this time.
NEWS_REPEAT: Final = datetime.timedelta(milliseconds=800)
_NEVER: Final = datetime.timedelta(days=-1)


class RankNews(NamedTuple):
    """What the leader is told of a rank.

    Attributes:
        experts: Experts in use by set, empty when not known.
    """

    report: rank_state.RankReport
    term: int
    cleared_term: int
    impossible_version: int
    experts: tuple[tuple[int, ...], ...]


class RankListener(Protocol):
    """The leader of the group, or the link to it."""

    def on_news(self, news: RankNews) -> None:
        """Take a change of the rank's state."""

    def on_counts(self, epoch: int, counts: tuple[int, ...]) -> None:
        """Take increments of the counts."""


class RankAgent:
    """Serves one rank on a thread of its own.

    Attributes:
        term: Highest term that is known; orders of lower ones are refused.
        last_led: When the leader was last heard.
    """

    def __init__(
        self,
        port: rank_port.RankPort,
        clock: clock_lib.Clock,
        listener: Callable[[], RankListener | None],
        order_limit: datetime.timedelta,
    ) -> None:
        """Create an agent that is not yet running."""
        self.order_limit = order_limit
        self.count_interval = NO_COUNTS
        self.port = port
        self.clock = clock
        self.listener = listener
        self.condition = threading.Condition()
        self.stopped = False
        self.term = 0
        self.last_led = clock.monotonic()
        self.wanted: rank_state.RankOrder | None = None
        self.given_at = _NEVER
        self.report: rank_state.RankReport | None = None
        self.report_due = _NEVER
        self.counts_due = _NEVER
        self.counts: tuple[int, ...] = ()
        self.experts: tuple[tuple[int, ...], ...] = ()
        self.experts_of: tuple[int, int] | None = None
        self.cleared_term = 0
        self.impossible_version = 0
        self.answering = True
        self.last_news: RankNews | None = None
        self.news_at = _NEVER
        self.thread = threading.Thread(
            target=self.run, name="rank-agent", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop after the call that is running."""
        with self.condition:
            self.stopped = True
            self.condition.notify()
        self.thread.join(limit.total_seconds())

    # Called by the links and by a leader in this process.

    def note_leader(
        self, term: int, count_interval: datetime.timedelta | None = None
    ) -> bool:
        """Take a leader's word; return whether its term is the highest.

        Args:
            term: The leader's term.
            count_interval: How often it wants the counts, None for as before.
        """
        with self.condition:
            if term < self.term:
                return False
            if term > self.term:
                self.term = term
                self.wanted = None
                self.last_news = None
            self.last_led = self.clock.monotonic()
            if count_interval is not None:
                self.count_interval = count_interval
            self.condition.notify()
            return True

    def is_led(self) -> bool:
        """Return whether a leader was heard lately."""
        return self.clock.monotonic() - self.last_led < LEADER_SILENCE

    def tell_again(self) -> None:
        """Send all that is known to a leader that has just appeared."""
        with self.condition:
            self.last_news = None
            self.counts = ()
            self.condition.notify()

    def accept(
        self, order: rank_state.RankOrder, given_elsewhere: bool = False
    ) -> bool:
        """Take an order; return whether its term is high enough.

        Args:
            order: The order.
            given_elsewhere: Another process gives it as well. It is given
                here only when it shows no effect in time.
        """
        if not self.note_leader(order.term):
            event_log.emit(
                event_catalogue.ORDER_REFUSED,
                kind=order.kind,
                term=order.term,
                known_term=self.term,
                reason="term",
            )
            return False
        with self.condition:
            if order != self.wanted:
                self.wanted = order
                self.given_at = (
                    self.clock.monotonic() if given_elsewhere else _NEVER
                )
                self.report_due = _NEVER
            self.condition.notify()
        return True

    # The agent's thread.

    def run(self) -> None:
        """Serve the rank until stopped."""
        while True:
            with self.condition:
                if self.stopped:
                    return
            self.run_once()
            with self.condition:
                if self.stopped:
                    return
                wait = self.next_due() - self.clock.monotonic()
                if wait > datetime.timedelta():
                    self.condition.wait(wait.total_seconds())

    def next_due(self) -> datetime.timedelta:
        """Return when the next reading is due."""
        return min(self.report_due, self.counts_due)

    def run_once(self) -> None:
        """Read what is due, and give the order that is open."""
        now = self.clock.monotonic()
        if now >= self.report_due:
            self.read_report(now)
            self.pursue()
            if self.wanted is not None:
                self.report_due = self.clock.monotonic() + ORDER_POLL
        if now >= self.counts_due:
            self.counts_due = now + (self.count_interval or REPORT_INTERVAL)
            if self.count_interval and self.listener() and self.is_led():
                self.read_counts()

    def read_report(self, now: datetime.timedelta) -> None:
        """Read the engine's report and pass on what changed."""
        self.report_due = now + REPORT_INTERVAL
        if self.report is not None and self.report.armed is not None:
            self.report_due = now + ARMED_POLL
        result = self.port.read_report()
        if not returns.pipeline.is_successful(result):
            if self.answering:
                event_log.emit(
                    event_catalogue.ENGINE_LOST, error=result.failure().message
                )
            self.answering = False
            return
        report = result.unwrap()
        if not self.answering:
            event_log.emit(event_catalogue.ENGINE_REGAINED, epoch=report.epoch)
            self.answering = True
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
        self.tell_news()

    def read_own_experts(self, report: rank_state.RankReport) -> None:
        """Read the experts in use when the map is another."""
        key = (report.epoch, report.map_version)
        if self.experts_of == key:
            return
        result = self.port.read_experts()
        if returns.pipeline.is_successful(result):
            self.experts = result.unwrap()
            self.experts_of = key

    def tell_news(self) -> None:
        """Tell the leader what it does not know."""
        listener = self.listener()
        report = self.report
        if listener is None or report is None:
            return
        self.read_own_experts(report)
        news = RankNews(
            report,
            self.term,
            self.cleared_term,
            self.impossible_version,
            self.experts,
        )
        last = self.last_news
        now = self.clock.monotonic()
        if last == news and now - self.news_at < NEWS_REPEAT:
            return
        self.news_at = now
        self.last_news = news
        if last is not None and last.experts == news.experts:
            news = news._replace(experts=())
        listener.on_news(news)

    def pursue(self) -> None:
        """Give the open order unless the rank is in its state."""
        with self.condition:
            order = self.wanted
        report = self.report
        if order is None or report is None:
            return
        fulfilment = rank_state.order_status(order, report)
        if fulfilment is not rank_state.OrderStatus.OPEN:
            self.finish(order)
            if (
                fulfilment is rank_state.OrderStatus.IMPOSSIBLE
                and order.kind is rank_state.OrderKind.PREPARE
            ):
                self.note_impossible(order, "state")
            return
        now = self.clock.monotonic()
        if now - self.given_at < ORDER_REPEAT:
            return
        self.given_at = now
        self.give(order)

    def give(self, order: rank_state.RankOrder) -> None:
        """Give an order to the engine and take its answer."""
        answer = self.port.send_order(order, self.order_limit)
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
                self.finish(order)
        elif (
            answer
            in (
                rank_state.OrderAnswer.CONFLICT,
                rank_state.OrderAnswer.INVALID,
            )
            and order.kind is rank_state.OrderKind.PREPARE
        ):
            self.note_impossible(order, answer)
            self.finish(order)
        elif answer is rank_state.OrderAnswer.FENCED:
            event_log.emit(
                event_catalogue.ORDER_REFUSED,
                kind=order.kind,
                term=order.term,
                known_term=self.term,
                reason="fenced",
            )
            self.finish(order)
        elif answer is rank_state.OrderAnswer.UNANSWERED:
            self.given_at = _NEVER
        # What the order has changed is told at once.
        self.read_report(self.clock.monotonic())

    def note_impossible(self, order: rank_state.RankOrder, reason: str) -> None:
        """Tell the leader that a map cannot be prepared."""
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
        self.tell_news()

    def finish(self, order: rank_state.RankOrder) -> None:
        """Forget an order that needs no more work."""
        with self.condition:
            if self.wanted is order:
                self.wanted = None

    def read_counts(self) -> None:
        """Pass the increments of the counts on."""
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
    order_limit: datetime.timedelta = OWN_ORDER_LIMIT,
) -> RankAgent:
    """Create an agent that is not yet running.

    It tells counts when a leader asks for them.

    Args:
        port: Calls to the engine.
        clock: The clock.
        listener: Returns whom to tell, None for nobody.
        order_limit: How long the engine may take to answer an order.
    """
    return RankAgent(port, clock, listener, order_limit)
