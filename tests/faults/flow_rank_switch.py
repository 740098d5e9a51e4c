"""A map switch with held passes: a pass uses one map, and each hold ends.

The leader runs in the sidecar of rank 0 and sends holds and releases to its own
engine, so their faults are injected at rank 0. The faults of the other orders
are injected at rank 1.
"""

from faults import matrix
from steering import rank_fleet
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.object_store import revisions

Fault = matrix.Fault
UNANSWERED = rank_state.OrderAnswer.UNANSWERED
# Ranks. The follower leads after a fault of the leader's sidecar.
LEADER, FOLLOWER = 0, 1
# A hold that a gateway sends on behalf of the leader.
GATEWAY_HOLD = "gateway_hold"
STEPS = ("prepare", "hold", GATEWAY_HOLD, "arm", "release")
LEADER_STEPS = ("hold", "release")
# The store gives out the number of the first leader's term again.
ERA_AFTER_RESTORE, NUMBER_OF_FIRST_TERM = 2, 1
# In ticks of 20 ms: time for which a former leader sends orders, time without a
# leader, downtime of a stopped sidecar, delay of a late order or of a lost
# connection, and limit for the recovery.
FORMER_LEADER_TICKS = 10
LEADERLESS_TICKS, DOWNTIME_TICKS, DELAY_TICKS, RECOVERY_TICKS = 50, 100, 60, 250


class Model:
    """The fleet, and the faults that are injected into its orders."""

    def __init__(self, injections, fences):
        self.injections = injections
        self.injected = set()
        self.tick = 0
        self.scheduled = []
        self.held_back = None
        self.ignored_orders = {}
        # The rank to which gateways send a hold.
        self.held_rank = LEADER
        self.fleet = rank_fleet.Fleet(fences)
        for port in self.fleet.ports:
            port.on_order = self.on_order
        if any(item.step == GATEWAY_HOLD for item in injections):
            self.fleet.gateway = self.on_gateway_hold

    def next_fault(self, step):
        """Return the fault of a step that is reached for the first time."""
        for injection in self.injections:
            if injection.step == step and injection not in self.injected:
                self.injected.add(injection)
                return injection.fault
        return None

    def on_order(self, port, order):
        rank = port.rank
        if self.ignored_orders.get(rank.number, 0):
            self.ignored_orders[rank.number] -= 1
            return UNANSWERED
        step = order.kind.value
        target = LEADER if step in LEADER_STEPS else FOLLOWER
        fault = self.next_fault(step) if rank.number == target else None
        if fault is not None:
            return ORDER_FAULTS[fault](self, port, order)
        answer = rank.handle_order(order)
        if self.held_back is not None and self.held_back[0] is rank:
            rank.handle_order(self.held_back[1])
            self.held_back = None
        return answer

    def on_gateway_hold(self, order):
        rank = self.fleet.group.ranks[self.held_rank]
        fault = self.next_fault(GATEWAY_HOLD)
        if fault is Fault.RESTORE:
            restore(self, self.fleet.ports[LEADER], order)
            return
        if fault in (Fault.KILL, Fault.CUT_OUT):
            return
        if fault in (Fault.PAUSE, Fault.DELAY, Fault.REORDER, Fault.SLOW):
            wait = 5 if fault is Fault.REORDER else DELAY_TICKS
            self.schedule(wait, lambda: rank.handle_order(order))
            return
        rank.handle_order(order)
        if fault is Fault.DUPLICATE:
            self.schedule(DELAY_TICKS, lambda: rank.handle_order(order))

    def schedule(self, ticks, action):
        self.scheduled.append((self.tick + ticks, action))

    def step(self):
        self.tick += 1
        due = [action for at, action in self.scheduled if at <= self.tick]
        self.scheduled = [
            item for item in self.scheduled if item[0] > self.tick
        ]
        for action in due:
            action()
        self.fleet.step()

    def stop_sidecar(self, rank, loses_state):
        """Stop the sidecar of a rank, and the leader if it runs there."""
        self.fleet.frozen.add(rank)
        leader = self.fleet.leader
        if rank == LEADER:
            self.fleet.leader = None
            self.schedule(
                LEADERLESS_TICKS, lambda: self.fleet.start_leader(2, FOLLOWER)
            )
        self.schedule(
            DOWNTIME_TICKS, lambda: self.resume(rank, leader, loses_state)
        )

    def resume(self, rank, leader, loses_state):
        self.fleet.frozen.discard(rank)
        if loses_state:
            port = self.fleet.ports[rank]
            self.fleet.agents[rank] = self.fleet.create_agent(port)
        elif rank == LEADER:
            # The former leader sends orders until it learns of the later term.
            leader.run_cycle(self.fleet.clock.monotonic())


def kill(model, port, order):
    port.rank.handle_order(order)
    model.stop_sidecar(port.rank.number, loses_state=True)
    return UNANSWERED


def pause(model, port, order):
    port.rank.handle_order(order)
    model.stop_sidecar(port.rank.number, loses_state=False)
    return UNANSWERED


def cut(model, port):
    port.reachable = False
    model.schedule(DELAY_TICKS, lambda: setattr(port, "reachable", True))
    return UNANSWERED


def cut_before(model, port, order):
    del order
    return cut(model, port)


def cut_after(model, port, order):
    port.rank.handle_order(order)
    return cut(model, port)


def delay(model, port, order):
    model.schedule(DELAY_TICKS, lambda: port.rank.handle_order(order))
    return UNANSWERED


def duplicate(model, port, order):
    model.schedule(DELAY_TICKS, lambda: port.rank.handle_order(order))
    return port.rank.handle_order(order)


def reorder(model, port, order):
    model.held_back = (port.rank, order)
    return UNANSWERED


def lose_answer(model, port, order):
    del model
    port.rank.handle_order(order)
    return UNANSWERED


def restore(model, port, order):
    """Lose the leader's term; another sidecar takes the next one.

    The former leader sends orders for some time.
    """
    former = model.fleet.leader
    model.held_rank = FOLLOWER
    answer = port.rank.handle_order(order)
    model.fleet.start_leader(
        revisions.create_revision(ERA_AFTER_RESTORE, NUMBER_OF_FIRST_TERM),
        FOLLOWER,
    )
    for tick in range(1, FORMER_LEADER_TICKS + 1):
        model.schedule(
            tick, lambda: former.run_cycle(model.fleet.clock.monotonic())
        )
    return answer


def ignore_orders(model, port, order):
    del order
    model.ignored_orders[port.rank.number] = 3
    return UNANSWERED


ORDER_FAULTS = {
    Fault.KILL: kill,
    Fault.PAUSE: pause,
    Fault.CUT_OUT: cut_before,
    Fault.CUT_IN: cut_after,
    Fault.DELAY: delay,
    Fault.DUPLICATE: duplicate,
    Fault.REORDER: reorder,
    Fault.LOST_ANSWER: lose_answer,
    Fault.SLOW: ignore_orders,
    Fault.RESTORE: restore,
}


def run(cell: matrix.Cell, fences: bool) -> matrix.Report:
    """Switch maps until the fault is over, then check that passes continue."""
    model = Model(cell.injections, fences)
    violations = []
    try:
        for _ in range(1500):
            model.step()
            if model.injected and not model.scheduled:
                break
        first = rank_fleet.lowest_map_version(model.fleet)
        for _ in range(RECOVERY_TICKS):
            model.step()
        group = model.fleet.group
        if max(first, rank_fleet.lowest_map_version(model.fleet)) == 0:
            violations.append("no map came into use")
        before = group.step
        for _ in range(RECOVERY_TICKS):
            model.step()
        if group.step == before:
            violations.append("the group is held for ever")
    except AssertionError as error:
        violations.append(str(error))
    return matrix.Report(frozenset(model.injected), tuple(violations))


def exclusion_reason(_step: str, fault: Fault) -> str | None:
    """Exclude failures of the store."""
    if fault is Fault.STORE_DOWN:
        return "orders do not use the store"
    return None


FLOWS = tuple(
    matrix.Flow(
        f"rank_switch_{'fenced' if fences else 'unfenced'}",
        STEPS,
        lambda cell, fences=fences: run(cell, fences),
        exclusion_reason,
    )
    for fences in (True, False)
)
