"""Leads a rank group: collects demand, chooses maps and switches them."""

from collections.abc import Callable
import datetime
import queue
import threading
import traceback
from typing import Final
from typing import NamedTuple
from typing import Protocol

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import metrics as metrics_lib
from verbenafall_core.expert_maps import demand as demand_lib
from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.expert_maps import replica_map
from verbenafall_core.expert_maps import replica_search
from verbenafall_core.routes import model
from verbenafall_sidecar.steering import event_catalogue
from verbenafall_sidecar.steering import rank_agent
from verbenafall_sidecar.steering import rank_messages

# Longest wait of the leader's thread; new counts come every 100 ms.
TICK: Final = datetime.timedelta(milliseconds=100)
SEARCH_INTERVAL: Final = datetime.timedelta(milliseconds=150)
# A rank whose sidecar has been silent for this time is not counted on.
RANK_SILENCE: Final = datetime.timedelta(seconds=2)
# Copying takes a second at most; a switch that stays longer in its first
# phase is given up.
PREPARE_LIMIT: Final = datetime.timedelta(seconds=3)
# A new map must lower the imbalance by this, and by a part for each copy,
# as copies lengthen passes and are paid for.
LEAST_GAIN: Final = 0.10
GAIN_PER_COPY: Final = 0.008
# Experts that a rank copies for one map: in one set, and in all together.
# Fewer copies put a map in use sooner.
COPIES_PER_RANK_SET: Final = 1
COPIES_PER_RANK: Final = 2
# A rank is slow from this pace on; the search then gives it less to do.
SLOW_PACE: Final = 1.15
# Counts below this say too little.
LEAST_DEMAND: Final = 1000.0


class RankPeer(Protocol):
    """A rank that orders can be sent to.

    Attributes:
        host: Host of the rank's engine.
    """

    host: str

    def send_order(
        self, order: rank_state.RankOrder, given_elsewhere: bool = False
    ) -> bool:
        """Send an order; return whether it left."""


class News(NamedTuple):
    """A rank's state arrived."""

    peer: RankPeer
    news: rank_agent.RankNews


class Counts(NamedTuple):
    """Increments of a rank's counts arrived."""

    epoch: int
    chosen: demand_lib.ChosenCounts


class Gone(NamedTuple):
    """A rank can no longer be reached by this peer."""

    peer: RankPeer


Input = News | Counts | Gone


class Member(NamedTuple):
    """A rank of the group."""

    peer: RankPeer
    view: pass_switch.RankView
    experts: tuple[tuple[int, ...], ...]
    heard_at: datetime.timedelta


class GroupLeader:
    """Leads one group under one term, on a thread of its own."""

    def __init__(
        self,
        term: int,
        own_rank: Callable[[], int],
        layout: Callable[[], model.ExpertLayout | None],
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        step_down: Callable[[int], None],
        hold_elsewhere: Callable[[rank_state.RankOrder], bool],
    ) -> None:
        """Create a leader that knows no rank yet.

        Args:
            term: Number of this leadership.
            own_rank: Returns the rank beside this process, which holds the
                group. It may change when the group is formed anew.
            layout: Returns the declared layout, None while it is not known.
            clock: The clock.
            metrics: Where measurements go.
            step_down: Called with a higher term that was heard of.
            hold_elsewhere: Lets a process beside no rank give a hold to the
                own rank's engine; returns whether it was asked.
        """
        self.term = term
        self.own_rank = own_rank
        self.layout = layout
        self.clock = clock
        self.metrics = metrics
        self.step_down = step_down
        self.hold_elsewhere = hold_elsewhere
        self.inputs: queue.SimpleQueue[Input | None] = queue.SimpleQueue()
        self.members: dict[int, Member] = {}
        self.switch = pass_switch.idle(term)
        self.began_at = datetime.timedelta()
        self.last_version = 0
        self.demand: demand_lib.DemandEstimate | None = None
        self.sent: dict[int, rank_state.RankOrder] = {}
        self.search_due = datetime.timedelta()
        self.known_map: tuple[int, int, replica_map.Placement] | None = None
        self.waiting = event_log.create_change_log()
        self.stopped = False
        self.thread = threading.Thread(
            target=self.run, name="group-leader", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop soon."""
        self.stopped = True
        self.inputs.put(None)

    def put(self, item: Input) -> None:
        """Take an input; may be called on any thread."""
        self.inputs.put(item)

    def run(self) -> None:
        """Lead until stopped."""
        while not self.stopped:
            try:
                self.take_inputs()
                if not self.stopped:
                    self.act(self.clock.monotonic())
            except Exception as error:  # The thread must outlive one failure.
                event_log.emit(
                    event_catalogue.LEADER_FAILED,
                    phase=self.switch.phase,
                    error=repr(error),
                    place=traceback.format_exc(limit=-2),
                )

    def take_inputs(self) -> None:
        """Wait for an input, then take all that are there."""
        try:
            item = self.inputs.get(timeout=TICK.total_seconds())
        except queue.Empty:
            return
        while item is not None:
            self.take(item, self.clock.monotonic())
            if self.inputs.empty():
                return
            item = self.inputs.get()

    def take(self, item: Input, now: datetime.timedelta) -> None:
        """Take one input."""
        match item:
            case News():
                self.take_news(item, now)
            case Counts():
                self.take_counts(item, now)
            case Gone():
                self.forget(item.peer)

    def take_news(self, item: News, now: datetime.timedelta) -> None:
        """Take a rank's state."""
        if item.news.term > self.term:
            self.step_down(item.news.term)
            return
        report = item.news.report
        known = self.members.get(report.rank)
        experts = item.news.experts
        if not experts and known is not None:
            experts = known.experts
        if known is None or known.peer is not item.peer:
            self.forget(item.peer)
            self.sent.pop(report.rank, None)
        self.members[report.rank] = Member(
            item.peer, rank_messages.view_of(item.news), experts, now
        )

    def forget(self, peer: RankPeer) -> None:
        """Forget the rank that was reached by a peer."""
        for rank, member in list(self.members.items()):
            if member.peer is peer:
                del self.members[rank]
                self.sent.pop(rank, None)

    def take_counts(self, item: Counts, now: datetime.timedelta) -> None:
        """Add increments to the demand."""
        if self.demand is None:
            layout = self.layout()
            if layout is None:
                return
            self.demand = demand_lib.DemandEstimate(layout.sets, layout.experts)
        counts = demand_lib.restore_counts(
            item.chosen, self.demand.sets * self.demand.experts
        )
        self.demand.add(counts, now)

    def paces(self) -> tuple[tuple[str, float], ...]:
        """Return the host and the pace of each rank; for any thread."""
        members = dict(self.members)
        return tuple(
            (members[rank].peer.host, members[rank].view.report.pace)
            for rank in sorted(members)
        )

    def views(self, now: datetime.timedelta) -> dict[int, pass_switch.RankView]:
        """Return the ranks that were heard of lately."""
        return {
            rank: member.view
            for rank, member in self.members.items()
            if now - member.heard_at < RANK_SILENCE
        }

    def act(self, now: datetime.timedelta) -> None:
        """Carry a switch on, or begin one."""
        views = self.views(now)
        if self.switch.phase is pass_switch.Phase.IDLE:
            recovered = pass_switch.recover(self.term, views)
            if recovered.phase is not pass_switch.Phase.IDLE:
                event_log.emit(
                    event_catalogue.HOLD_RECOVERED,
                    phase=recovered.phase,
                    version=recovered.version,
                    step=recovered.step,
                    holder=recovered.holder,
                )
                self.enter(recovered, now)
            elif now >= self.search_due:
                self.search_due = now + SEARCH_INTERVAL
                self.note_waiting(self.choose_map(views, now))
        if self.switch.phase is not pass_switch.Phase.IDLE:
            self.carry_on(views, now)

    def carry_on(
        self, views: dict[int, pass_switch.RankView], now: datetime.timedelta
    ) -> None:
        """Advance the switch and send the orders that belong to it."""
        before = self.switch
        plan = pass_switch.advance(before, views)
        if (
            plan.switch.phase is pass_switch.Phase.PREPARE
            and now - self.began_at > PREPARE_LIMIT
        ):
            plan = pass_switch.Plan(pass_switch.idle(self.term), {})
        if plan.switch != before:
            self.note_phase(before, plan.switch, now)
            self.switch = plan.switch
        for rank, order in plan.orders.items():
            member = self.members.get(rank)
            if member is None or self.sent.get(rank) == order:
                continue
            elsewhere = (
                order.kind is rank_state.OrderKind.HOLD
                and rank == self.own_rank()
                and self.hold_elsewhere(order)
            )
            if member.peer.send_order(order, elsewhere):
                self.sent[rank] = order

    def enter(
        self, switch: pass_switch.Switch, now: datetime.timedelta
    ) -> None:
        """Begin a switch."""
        self.switch = switch
        self.began_at = now
        self.sent.clear()

    def note_phase(
        self,
        before: pass_switch.Switch,
        after: pass_switch.Switch,
        now: datetime.timedelta,
    ) -> None:
        """Log a change of phase and keep what a finished switch gives."""
        seconds = (now - self.began_at).total_seconds()
        event_log.emit(
            event_catalogue.SWITCH_PHASE,
            phase=after.phase,
            version=before.version,
            step=after.step,
            seconds=seconds,
        )
        if after.phase is not pass_switch.Phase.IDLE:
            return
        if before.phase is pass_switch.Phase.SETTLE and before.placement:
            self.known_map = (before.epoch, before.version, before.placement)
            self.metrics.timing("steering.switch", now - self.began_at)
            event_log.emit(
                event_catalogue.MAP_SWITCHED,
                version=before.version,
                step=before.step,
                seconds=seconds,
            )
        elif before.phase is pass_switch.Phase.PREPARE:
            self.metrics.count("steering.abandoned")
            event_log.emit(
                event_catalogue.SWITCH_ABANDONED,
                version=before.version,
                seconds=seconds,
            )

    def current_map(
        self, views: dict[int, pass_switch.RankView]
    ) -> replica_map.Placement | None:
        """Return the map that all ranks use, None while it is not known."""
        versions = {
            (view.report.epoch, view.report.map_version)
            for view in views.values()
        }
        if len(versions) != 1:
            return None
        key = next(iter(versions))
        if self.known_map is not None and self.known_map[:2] == key:
            return self.known_map[2]
        by_rank = [self.members[rank].experts for rank in sorted(views)]
        if not by_rank or not all(by_rank):
            return None
        placement = tuple(
            tuple(tuple(rank[number]) for rank in by_rank)
            for number in range(len(by_rank[0]))
        )
        layout = self.layout()
        if layout is None or replica_map.find_problem(
            placement, layout.experts, layout.experts_per_rank
        ):
            return None
        self.known_map = (*key, placement)
        return placement

    def note_waiting(self, reason: str) -> None:
        """Log why no map is chosen, when the reason changes."""
        self.waiting.emit(
            event_catalogue.LEADER_WAITS,
            reason or None,
            reason=reason,
            ranks=len(self.members),
        )

    def choose_map(
        self, views: dict[int, pass_switch.RankView], now: datetime.timedelta
    ) -> str:
        """Search a better map and begin to switch to it.

        Returns:
            Why nothing was searched, empty when something was.
        """
        if not pass_switch.is_whole(views):
            return "ranks are missing, or the group is not open"
        layout = self.layout()
        placement = self.current_map(views)
        if layout is None or placement is None:
            return "the declared layout or the present map is not known"
        if self.demand is not None:
            self.demand.decay(now)
        if self.demand is None or self.demand.total() < LEAST_DEMAND:
            return "too few counts"
        found = self.search(layout, placement, self.demand, views)
        if found is not None:
            self.begin_switch(found, views, now)
        return ""

    def search(
        self,
        layout: model.ExpertLayout,
        placement: replica_map.Placement,
        demand: demand_lib.DemandEstimate,
        views: dict[int, pass_switch.RankView],
    ) -> replica_map.Placement | None:
        """Return a map that is worth its copies, None when there is none."""
        began = self.clock.monotonic()
        by_set = demand.by_set()
        limits = replica_search.SearchLimits(
            layout.experts_per_rank,
            min(COPIES_PER_RANK_SET, layout.spare),
            COPIES_PER_RANK,
        )
        pace = [usual_pace(views[rank].report.pace) for rank in sorted(views)]
        found = replica_search.search(placement, by_set, pace, limits)
        before = replica_map.imbalance(placement, by_set, pace)
        after = replica_map.imbalance(found, by_set, pace)
        copies = replica_map.copies_needed(placement, found)
        self.metrics.gauge("steering.imbalance", before)
        worthwhile = before - after >= LEAST_GAIN + GAIN_PER_COPY * copies
        event_log.emit(
            event_catalogue.MAP_CHOSEN
            if worthwhile
            else event_catalogue.MAP_KEPT,
            before=before,
            after=after,
            copies=copies,
            slowest=max(pace),
            demand=demand.total(),
            search_seconds=(self.clock.monotonic() - began).total_seconds(),
        )
        return found if worthwhile else None

    def begin_switch(
        self,
        found: replica_map.Placement,
        views: dict[int, pass_switch.RankView],
        now: datetime.timedelta,
    ) -> None:
        """Let the ranks prepare a map under a version of its own."""
        reports = [view.report for view in views.values()]
        self.last_version = pass_switch.next_version(
            self.term,
            max(
                self.last_version,
                *(report.map_version for report in reports),
                *(report.prepared for report in reports),
            ),
        )
        holder = self.own_rank()
        self.enter(
            pass_switch.begin(
                self.term,
                reports[0].epoch,
                self.last_version,
                found,
                holder,
            ),
            now,
        )


def usual_pace(pace: float) -> float:
    """Return a rank's pace; small differences are not worth a copy."""
    return pace if pace >= SLOW_PACE else 1.0
