"""A map switch at a held pass: one map a pass, and no hold for ever.

The leader is beside rank 0. Holds and releases go to its own engine, and the
faults of the other orders hit rank 1.
"""

from faults import matrix
from steering import rank_fleet
from verbenafall_core.expert_maps import rank_state

Fault = matrix.Fault
UNANSWERED = rank_state.OrderAnswer.UNANSWERED
LEADER, VICTIM = 0, 1
# A hold that a gateway gives for the leader.
GATEWAY_HOLD = "gateway_hold"
STEPS = ("prepare", "hold", GATEWAY_HOLD, "arm", "release")
LEADER_STEPS = ("hold", "release")
# Steps of 20 ms: until others lead, until a stopped sidecar is back, until a
# late order is carried out, and until everything must go on.
LEADERLESS, STOPPED, LATE, SETTLED = 50, 100, 60, 250


class Model:
    """The fleet with one fault."""

    def __init__(self, injections, fences):
        self.injections = injections
        self.injected = set()
        self.number = 0
        self.later = []
        self.held_back = None
        self.silent = {}
        self.fleet = rank_fleet.Fleet(fences)
        for port in self.fleet.ports:
            port.on_order = self.on_order
        if any(item.step == GATEWAY_HOLD for item in injections):
            self.fleet.gateway = self.on_gateway

    def fault_of(self, step):
        for injection in self.injections:
            if injection.step == step and injection not in self.injected:
                self.injected.add(injection)
                return injection.fault
        return None

    def on_order(self, port, order):
        rank = port.rank
        if self.silent.get(rank.number, 0):
            self.silent[rank.number] -= 1
            return UNANSWERED
        step = order.kind.value
        actor = LEADER if step in LEADER_STEPS else VICTIM
        fault = self.fault_of(step) if rank.number == actor else None
        if fault is not None:
            return CALLS[fault](self, port, order)
        answer = rank.handle_order(order)
        if self.held_back is not None and self.held_back[0] is rank:
            rank.handle_order(self.held_back[1])
            self.held_back = None
        return answer

    def on_gateway(self, order):
        rank = self.fleet.group.ranks[LEADER]
        fault = self.fault_of(GATEWAY_HOLD)
        if fault in (Fault.KILL, Fault.CUT_OUT):
            return
        if fault in (Fault.PAUSE, Fault.DELAY, Fault.REORDER, Fault.SLOW):
            wait = 5 if fault is Fault.REORDER else LATE
            self.schedule(wait, lambda: rank.handle_order(order))
            return
        rank.handle_order(order)
        if fault is Fault.DUPLICATE:
            self.schedule(LATE, lambda: rank.handle_order(order))

    def schedule(self, steps, act):
        self.later.append((self.number + steps, act))

    def step(self):
        self.number += 1
        due = [act for at, act in self.later if at <= self.number]
        self.later = [item for item in self.later if item[0] > self.number]
        for act in due:
            act()
        self.fleet.step()

    def stop_sidecar(self, rank, forgets):
        """Stop the sidecar of a rank, and with rank 0 the leader."""
        self.fleet.frozen.add(rank)
        leader = self.fleet.leader
        if rank == LEADER:
            self.fleet.leader = None
            self.schedule(
                LEADERLESS, lambda: self.fleet.start_leader(2, VICTIM)
            )
        self.schedule(STOPPED, lambda: self.go_on(rank, leader, forgets))

    def go_on(self, rank, leader, forgets):
        self.fleet.frozen.discard(rank)
        if forgets:
            port = self.fleet.ports[rank]
            self.fleet.agents[rank] = self.fleet.create_agent(port)
        elif rank == LEADER:
            # It gives orders until it hears of the later term.
            leader.run_cycle(self.fleet.clock.monotonic())


def kill(model, port, order):
    port.rank.handle_order(order)
    model.stop_sidecar(port.rank.number, forgets=True)
    return UNANSWERED


def pause(model, port, order):
    port.rank.handle_order(order)
    model.stop_sidecar(port.rank.number, forgets=False)
    return UNANSWERED


def cut(model, port):
    port.reachable = False
    model.schedule(LATE, lambda: setattr(port, "reachable", True))
    return UNANSWERED


def cut_before(model, port, order):
    del order
    return cut(model, port)


def cut_after(model, port, order):
    port.rank.handle_order(order)
    return cut(model, port)


def delay(model, port, order):
    model.schedule(LATE, lambda: port.rank.handle_order(order))
    return UNANSWERED


def duplicate(model, port, order):
    model.schedule(LATE, lambda: port.rank.handle_order(order))
    return port.rank.handle_order(order)


def reorder(model, port, order):
    model.held_back = (port.rank, order)
    return UNANSWERED


def lose_answer(model, port, order):
    del model
    port.rank.handle_order(order)
    return UNANSWERED


def be_silent(model, port, order):
    del order
    model.silent[port.rank.number] = 3
    return UNANSWERED


CALLS = {
    Fault.KILL: kill,
    Fault.PAUSE: pause,
    Fault.CUT_OUT: cut_before,
    Fault.CUT_IN: cut_after,
    Fault.DELAY: delay,
    Fault.DUPLICATE: duplicate,
    Fault.REORDER: reorder,
    Fault.LOST_ANSWER: lose_answer,
    Fault.SLOW: be_silent,
}


def run(cell: matrix.Cell, fences: bool) -> matrix.Report:
    """Switch maps until the fault is over, then look for a hold that stays."""
    model = Model(cell.injections, fences)
    violations = []
    try:
        for _ in range(1500):
            model.step()
            if model.injected and not model.later:
                break
        first = rank_fleet.lowest_map_version(model.fleet)
        for _ in range(SETTLED):
            model.step()
        group = model.fleet.group
        if max(first, rank_fleet.lowest_map_version(model.fleet)) == 0:
            violations.append("no map came into use")
        before = group.step
        for _ in range(SETTLED):
            model.step()
        if group.step == before:
            violations.append("the group is held for ever")
    except AssertionError as error:
        violations.append(str(error))
    return matrix.Report(frozenset(model.injected), tuple(violations))


def why_not(_step: str, fault: Fault) -> str | None:
    """Name the fault that orders cannot have."""
    if fault is Fault.STORE_DOWN:
        return "no order needs the store"
    return None


FLOWS = tuple(
    matrix.Flow(
        f"rank_switch_{'fenced' if fences else 'unfenced'}",
        STEPS,
        lambda cell, fences=fences: run(cell, fences),
        why_not,
    )
    for fences in (True, False)
)
