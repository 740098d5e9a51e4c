"""Leads a rank group: collects demand, chooses maps and switches them."""

from collections.abc import Callable
from collections.abc import Sequence
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

# Counts arrive every 100 ms.
MAX_INPUT_WAIT: Final = datetime.timedelta(milliseconds=100)
SEARCH_INTERVAL: Final = datetime.timedelta(milliseconds=150)
# A rank without an update for this time counts as missing.
RANK_TIMEOUT: Final = datetime.timedelta(seconds=2)
# Copying takes at most a second; a switch that is still in its PREPARE phase
# after this time is abandoned.
PREPARE_TIMEOUT: Final = datetime.timedelta(seconds=3)
# A new map must lower the imbalance by MIN_GAIN, and by MIN_GAIN_PER_SECOND for
# each second that a rank copies experts, added up over all ranks, as copying
# lengthens passes and has a cost of its own.
MIN_GAIN: Final = 0.10
MIN_GAIN_PER_SECOND: Final = 0.1
# Maximum experts that a rank copies for one map, per set and in total. A map
# with fewer copies is in use sooner.
COPIES_PER_RANK_SET: Final = 1
COPIES_PER_RANK: Final = 2
# Ranks with at least this slowdown get less work; a lower one counts as 1.
MIN_EFFECTIVE_SLOWDOWN: Final = 1.15
# Below this total the counts are too few to choose a map by.
MIN_DEMAND: Final = 1000.0


class RankPeer(Protocol):
    """The connection to a rank, by which the leader sends orders.

    Attributes:
        host: Host of the rank's engine.
    """

    host: str

    def send_order(
        self, order: rank_state.RankOrder, delegated: bool = False
    ) -> bool:
        """Send an order; return whether it was sent or accepted.

        Args:
            order: The order.
            delegated: Whether a gateway was asked to send it as well.
        """


class UpdateReceived(NamedTuple):
    """An update of a rank's state was received from a peer."""

    peer: RankPeer
    update: rank_agent.RankUpdate


class CountsReceived(NamedTuple):
    """Increments of a rank's expert counts were received."""

    epoch: int
    counts: Sequence[int]


class PeerLost(NamedTuple):
    """The connection to a rank was closed."""

    peer: RankPeer


LeaderInput = UpdateReceived | CountsReceived | PeerLost


class Member(NamedTuple):
    """The last known state of a rank and how to reach it."""

    peer: RankPeer
    view: pass_switch.RankView
    experts: tuple[tuple[int, ...], ...]
    last_contact: datetime.timedelta


# Phases in which the group is neither held nor about to be.
UNHELD_PHASES: Final = frozenset(
    {pass_switch.Phase.IDLE, pass_switch.Phase.SETTLE}
)


class GroupLeader:
    """Leads one group for one term, on a thread of its own.

    Attributes:
        finishing: Whether no further switch is started, as this process stops.
        finished: Set when the group is not held any more while finishing.
    """

    def __init__(
        self,
        group: str,
        term: int,
        own_rank: Callable[[], int],
        layout: Callable[[], model.ExpertLayout | None],
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        step_down: Callable[[int], None],
        delegate_hold: Callable[[rank_state.RankOrder], bool],
    ) -> None:
        """Create a leader without ranks; they join by their updates.

        Args:
            group: Name of the group, unique within its service.
            term: Term of this leader, the fencing token of its orders.
            own_rank: Returns the rank of this process's engine, which holds
                the group. It may change when the group is formed again.
            layout: Returns the declared layout, None while it is unknown.
            clock: The clock.
            metrics: Receives the measurements.
            step_down: Called with the term of a newer leader.
            delegate_hold: Asks a gateway to send the hold order to this
                process's engine; returns whether one was asked.
        """
        self.group = group
        self.term = term
        self.own_rank = own_rank
        self.layout = layout
        self.clock = clock
        self.metrics = metrics
        self.step_down = step_down
        self.delegate_hold = delegate_hold
        self.inputs: queue.SimpleQueue[LeaderInput | None] = queue.SimpleQueue()
        self.members: dict[int, Member] = {}
        # What each peer has sent; it leaves out experts that it sent before.
        self.experts: dict[RankPeer, tuple[tuple[int, ...], ...]] = {}
        self.switch = pass_switch.idle(term)
        self.started_at = datetime.timedelta()
        self.last_version = 0
        self.demand: demand_lib.DemandEstimate | None = None
        self.sent: dict[int, rank_state.RankOrder] = {}
        self.search_due = datetime.timedelta()
        self.known_map: tuple[int, int, replica_map.Placement] | None = None
        self.wait_log = event_log.create_condition_log()
        self.stopped = False
        self.finishing = False
        self.finished = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="group-leader", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Make the thread end after its current cycle, without waiting."""
        self.stopped = True
        self.finished.set()
        self.inputs.put(None)

    def finish(self, limit: datetime.timedelta) -> bool:
        """Release the group if it is held, and start no further switch.

        Returns:
            Whether the group was released within the limit.
        """
        self.finishing = True
        self.inputs.put(None)
        return self.finished.wait(limit.total_seconds())

    def put(self, item: LeaderInput) -> None:
        """Queue an input for the leader's thread; call on any thread."""
        self.inputs.put(item)

    def run(self) -> None:
        """Process inputs and run cycles until stopped."""
        while not self.stopped:
            try:
                self.process_inputs()
                if not self.stopped:
                    self.run_cycle(self.clock.monotonic())
            except Exception as error:  # One failure must not end the thread.
                event_log.emit(
                    event_catalogue.LEADER_FAILED,
                    phase=self.switch.phase,
                    error=repr(error),
                    place=traceback.format_exc(limit=-2),
                )

    def process_inputs(self) -> None:
        """Wait for an input, then handle all that are queued."""
        try:
            item = self.inputs.get(timeout=MAX_INPUT_WAIT.total_seconds())
        except queue.Empty:
            return
        while item is not None:
            self.handle_input(item, self.clock.monotonic())
            if self.inputs.empty():
                return
            item = self.inputs.get()

    def handle_input(self, item: LeaderInput, now: datetime.timedelta) -> None:
        """Update the members or the demand by an input."""
        match item:
            case UpdateReceived():
                self.handle_update(item, now)
            case CountsReceived():
                self.handle_counts(item, now)
            case PeerLost():
                self.remove_peer(item.peer)
                self.experts.pop(item.peer, None)

    def handle_update(
        self, item: UpdateReceived, now: datetime.timedelta
    ) -> None:
        """Store a rank's state, or step down when its term is higher.

        An update without experts keeps those that the same peer sent before. A
        rank of another group is not a member, and its term does not compete
        with this one.
        """
        if item.update.experts:
            self.experts[item.peer] = item.update.experts
        if item.update.report.group != self.group:
            self.remove_peer(item.peer)
            return
        if item.update.term > self.term:
            self.step_down(item.update.term)
            return
        report = item.update.report
        known = self.members.get(report.rank)
        experts = self.experts.get(item.peer, ())
        if known is None or known.peer is not item.peer:
            self.remove_peer(item.peer)
            self.sent.pop(report.rank, None)
        self.members[report.rank] = Member(
            item.peer, rank_messages.to_view(item.update), experts, now
        )

    def remove_peer(self, peer: RankPeer) -> None:
        """Remove the rank that was reached by a peer."""
        for rank, member in list(self.members.items()):
            if member.peer is peer:
                del self.members[rank]
                self.sent.pop(rank, None)

    def handle_counts(
        self, item: CountsReceived, now: datetime.timedelta
    ) -> None:
        """Add increments to the demand, if the layout is known."""
        if self.demand is None:
            layout = self.layout()
            if layout is None:
                return
            self.demand = demand_lib.DemandEstimate(layout.sets, layout.experts)
        self.demand.add(item.counts, now)

    def slowdowns(self) -> tuple[tuple[str, float], ...]:
        """Return host and slowdown of each rank; call on any thread."""
        members = dict(self.members)
        return tuple(
            (members[rank].peer.host, members[rank].view.report.slowdown)
            for rank in sorted(members)
        )

    def recent_views(
        self, now: datetime.timedelta
    ) -> dict[int, pass_switch.RankView]:
        """Return the ranks whose last update is recent enough."""
        return {
            rank: member.view
            for rank, member in self.members.items()
            if now - member.last_contact < RANK_TIMEOUT
        }

    def run_cycle(self, now: datetime.timedelta) -> None:
        """Advance the current switch, or start one.

        A hold left by an earlier leader is resolved before the next search.
        """
        views = self.recent_views(now)
        if self.finishing and self.switch.phase is pass_switch.Phase.PREPARE:
            idle = pass_switch.idle(self.term)
            self.record_phase_change(self.switch, idle, now)
            self.set_switch(idle, now)
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
                self.set_switch(recovered, now)
            elif not self.finishing and now >= self.search_due:
                self.search_due = now + SEARCH_INTERVAL
                self.log_wait_reason(self.choose_map(views, now))
        if self.switch.phase is not pass_switch.Phase.IDLE:
            self.advance_switch(views, now)
        if self.finishing and self.switch.phase in UNHELD_PHASES:
            self.finished.set()

    def advance_switch(
        self, views: dict[int, pass_switch.RankView], now: datetime.timedelta
    ) -> None:
        """Advance the switch and send its orders, each one once."""
        before = self.switch
        plan = pass_switch.advance(before, views)
        if (
            plan.switch.phase is pass_switch.Phase.PREPARE
            and now - self.started_at > PREPARE_TIMEOUT
        ):
            plan = pass_switch.Plan(pass_switch.idle(self.term), {})
        if plan.switch != before:
            self.record_phase_change(before, plan.switch, now)
            self.switch = plan.switch
        for rank, order in plan.orders.items():
            member = self.members.get(rank)
            if member is None or self.sent.get(rank) == order:
                continue
            delegated = (
                order.kind is rank_state.OrderKind.HOLD
                and rank == self.own_rank()
                and self.delegate_hold(order)
            )
            if member.peer.send_order(order, delegated):
                self.sent[rank] = order

    def set_switch(
        self, switch: pass_switch.Switch, now: datetime.timedelta
    ) -> None:
        """Make a switch the current one."""
        self.switch = switch
        self.started_at = now
        self.sent.clear()

    def record_phase_change(
        self,
        before: pass_switch.Switch,
        after: pass_switch.Switch,
        now: datetime.timedelta,
    ) -> None:
        """Log a change of phase; record the new map when the switch is done."""
        seconds = (now - self.started_at).total_seconds()
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
            self.metrics.timing("steering.switch", now - self.started_at)
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
        """Return the map that all ranks use.

        Returns:
            None while the ranks use different versions, the experts of a rank
            or the layout are unknown, or the map does not fit the layout.
        """
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

    def log_wait_reason(self, reason: str) -> None:
        """Log the reason why no map is chosen, once per change."""
        self.wait_log.emit(
            event_catalogue.LEADER_WAITS,
            reason or None,
            reason=reason,
            ranks=len(self.members),
        )

    def choose_map(
        self, views: dict[int, pass_switch.RankView], now: datetime.timedelta
    ) -> str:
        """Search for a better map and start the switch to it.

        Returns:
            Why there was no search, empty when there was one.
        """
        if not pass_switch.is_complete(views):
            return "ranks are missing, or the group is not open"
        layout = self.layout()
        placement = self.current_map(views)
        if layout is None or placement is None:
            return "the declared layout or the current map is unknown"
        if self.demand is not None:
            self.demand.decay(now)
        if self.demand is None or self.demand.total() < MIN_DEMAND:
            return "too few counts"
        found = self.search(layout, placement, self.demand, views)
        if found is not None:
            self.start_switch(found, views, now)
        return ""

    def search(
        self,
        layout: model.ExpertLayout,
        placement: replica_map.Placement,
        demand: demand_lib.DemandEstimate,
        views: dict[int, pass_switch.RankView],
    ) -> replica_map.Placement | None:
        """Return a map whose gain is worth its copies, None without one."""
        started = self.clock.monotonic()
        by_set = demand.by_set()
        limits = replica_search.SearchLimits(
            layout.experts_per_rank,
            min(COPIES_PER_RANK_SET, layout.spare),
            COPIES_PER_RANK,
        )
        slowdowns = [
            effective_slowdown(views[rank].report.slowdown)
            for rank in sorted(views)
        ]
        found = replica_search.search(placement, by_set, slowdowns, limits)
        before = replica_map.imbalance(placement, by_set, slowdowns)
        after = replica_map.imbalance(found, by_set, slowdowns)
        copies = replica_map.copies_needed(placement, found)
        self.metrics.gauge("steering.imbalance", before)
        worthwhile = before - after >= required_gain(copies * layout.copy_time)
        event_log.emit(
            event_catalogue.MAP_CHOSEN
            if worthwhile
            else event_catalogue.MAP_KEPT,
            before=before,
            after=after,
            copies=copies,
            slowest=max(slowdowns),
            demand=demand.total(),
            search_seconds=(self.clock.monotonic() - started).total_seconds(),
        )
        return found if worthwhile else None

    def start_switch(
        self,
        found: replica_map.Placement,
        views: dict[int, pass_switch.RankView],
        now: datetime.timedelta,
    ) -> None:
        """Start the switch to a map, under a version not used before."""
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
        self.set_switch(
            pass_switch.start_switch(
                self.term,
                reports[0].epoch,
                self.last_version,
                found,
                holder,
            ),
            now,
        )


def required_gain(copy_time: datetime.timedelta) -> float:
    """Return by how much a new map must lower the imbalance.

    Args:
        copy_time: Time to copy its experts, added up over all ranks.
    """
    return MIN_GAIN + MIN_GAIN_PER_SECOND * copy_time.total_seconds()


def effective_slowdown(slowdown: float) -> float:
    """Return the slowdown, or 1 where it is too small to justify copies."""
    return slowdown if slowdown >= MIN_EFFECTIVE_SLOWDOWN else 1.0
