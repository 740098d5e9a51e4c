"""Runs the agents and the leader of a model rank group step by step."""

import datetime

import returns.result

from steering import rank_model
from verbenafall_core import metrics
from verbenafall_core.expert_maps import rank_port
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.routes import model
from verbenafall_sidecar.steering import group_leader
from verbenafall_sidecar.steering import rank_agent

SIZE = 4
EXPERTS = 8
LAYOUT = model.ExpertLayout(1, EXPERTS, 3, 2, datetime.timedelta())
TICK = datetime.timedelta(milliseconds=20)


class ManualClock:
    """A clock that moves only when a test sets its time."""

    def __init__(self):
        self.time = datetime.timedelta(seconds=100)

    def monotonic(self):
        return self.time

    def now(self):
        return datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC) + self.time


class ModelPort:
    """The port to one rank of the model group, which can fail."""

    def __init__(self, group, number):
        self.group = group
        self.rank = group.ranks[number]
        self.experts = (
            tuple((number * 2 + offset) % EXPERTS for offset in range(3)),
        )
        self.counts = [0] * EXPERTS
        self.unanswered_orders = 0
        self.on_order = None
        self.timeouts = []
        self.submitted_orders = []
        self.reachable = True

    def read_report(self):
        if not self.reachable:
            return returns.result.Failure(rank_port.RankPortFailure("cut"))
        return returns.result.Success(self.rank.report())

    def read_counts(self):
        return returns.result.Success(
            rank_port.ExpertCounts(
                self.rank.epoch, self.rank.step, tuple(self.counts)
            )
        )

    def read_experts(self):
        return returns.result.Success(self.experts)

    def send_order(self, order, limit):
        self.timeouts.append(limit)
        self.submitted_orders.append(order)
        if self.unanswered_orders:
            self.unanswered_orders -= 1
            return rank_state.OrderAnswer.UNANSWERED
        if not self.reachable:
            return rank_state.OrderAnswer.UNANSWERED
        if self.on_order is not None:
            return self.on_order(self, order)
        return self.rank.handle_order(order)


class Peer:
    """Passes orders of the leader to an agent, and its updates back."""

    def __init__(self, fleet, agent):
        self.fleet = fleet
        self.agent = agent
        self.host = "10.0.0.1"

    def send_order(self, order, delegated=False):
        return self.agent.accept(order, delegated)

    def on_update(self, update):
        if self.fleet.leader is not None:
            self.fleet.leader.handle_update(
                group_leader.UpdateReceived(self, update),
                self.fleet.clock.monotonic(),
            )

    def on_counts(self, epoch, counts):
        if self.fleet.leader is not None:
            self.fleet.leader.handle_counts(
                group_leader.CountsReceived(epoch, counts),
                self.fleet.clock.monotonic(),
            )


class Fleet:
    """Agents and a leader that run only in calls of step()."""

    def __init__(self, fences=True):
        self.clock = ManualClock()
        self.group = rank_model.ModelGroup(SIZE, fences)
        self.ports = [ModelPort(self.group, n) for n in range(SIZE)]
        self.leader = None
        self.gateway = None
        self.delegated_holds = []
        self.stepped_down = []
        self.frozen = set()
        self.agents = [self.create_agent(port) for port in self.ports]
        self.start_leader(1)

    def create_agent(self, port):
        holder = []
        agent = rank_agent.create_rank_agent(
            port, self.clock, lambda: holder[0]
        )
        holder.append(Peer(self, agent))
        return agent

    def start_leader(self, term, own_rank=0):
        self.leader = group_leader.GroupLeader(
            rank_model.GROUP,
            term,
            lambda: own_rank,
            lambda: LAYOUT,
            self.clock,
            metrics.NullMetrics(),
            self.stepped_down.append,
            self.delegate_hold,
        )

    def delegate_hold(self, order):
        """Pass the hold to the test's gateway; return whether there is one."""
        self.delegated_holds.append(order)
        if self.gateway is None:
            return False
        self.gateway(order)
        return True

    def step(self, passes=True):
        """Advance the time by 20 ms and run each agent and the leader once."""
        self.clock.time += TICK
        for number, agent in enumerate(self.agents):
            if number in self.frozen:
                continue
            if self.leader is not None:
                agent.accept_leader(self.leader.term, rank_agent.COUNT_INTERVAL)
            agent.run_once()
        if self.leader is not None:
            self.leader.run_cycle(self.clock.monotonic())
        for port in self.ports:
            port.counts[1] += 400
            port.counts[5] += 100
            port.counts[7] += 50
        if passes and self.clock.time % (4 * TICK) == datetime.timedelta():
            self.group.start_pass()
            assert len(self.group.maps()) == 1, "a pass started with two maps"

    def run_until(self, condition, steps=1500):
        for _ in range(steps):
            if condition():
                return
            self.step()
        raise AssertionError(f"condition not met within {steps} steps")


def lowest_map_version(fleet):
    return min(rank.map_version for rank in fleet.group.ranks)
