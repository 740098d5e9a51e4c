"""No pass starts with two maps, under lost or late orders and two leaders."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from steering import rank_model
from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state

SIZE = 3
PLACEMENT = (((0,), (1,), (2,)),)


class Leader:
    """A leader with the reported views and the current switch."""

    def __init__(self, term):
        self.term = term
        self.views = {}
        self.switch = pass_switch.idle(term)
        self.version = 0
        self.orders = {}


class SwitchMachine(stateful.RuleBasedStateMachine):
    """Up to two leaders switch one group through agents that lose orders."""

    def __init__(self):
        super().__init__()
        self.group = rank_model.ModelGroup(SIZE)
        self.term = 1
        self.leaders = [Leader(1)]
        self.agent_terms = [1] * SIZE
        self.wanted = [None] * SIZE
        self.cleared = [0] * SIZE
        self.impossible = [0] * SIZE
        self.late = []
        self.switched = 0

    @stateful.rule()
    def start_pass(self):
        """The next pass starts unless the group is held."""
        before = self.group.maps()
        self.group.start_pass()
        assert len(self.group.maps()) == 1, self.group.maps()
        self.switched += self.group.maps() != before

    @stateful.rule(rank=strategies.integers(0, SIZE - 1))
    def report_state(self, rank):
        """A rank's state reaches the leader whose term its agent knows."""
        for leader in self.leaders:
            if leader.term == self.agent_terms[rank]:
                leader.views[rank] = pass_switch.RankView(
                    self.group.ranks[rank].report(),
                    self.cleared[rank],
                    self.impossible[rank],
                )

    @stateful.rule(rank=strategies.integers(0, SIZE - 1))
    def report_to_old_leader(self, rank):
        """A rank's state reaches a leader that a later one has replaced."""
        leader = self.leaders[0]
        leader.views[rank] = pass_switch.RankView(
            self.group.ranks[rank].report(),
            self.cleared[rank],
            self.impossible[rank],
        )

    @stateful.rule(index=strategies.integers(0, 1))
    def advance_leader(self, index):
        """A leader continues its switch, recovers one, or starts one."""
        leader = self.leaders[index % len(self.leaders)]
        if leader.switch.phase is pass_switch.Phase.IDLE:
            leader.switch = pass_switch.recover(leader.term, leader.views)
        if leader.switch.phase is pass_switch.Phase.IDLE:
            if not pass_switch.is_complete(leader.views):
                return
            leader.version = pass_switch.next_version(
                leader.term, leader.version
            )
            epoch = leader.views[0].report.epoch
            leader.switch = pass_switch.start_switch(
                leader.term, epoch, leader.version, PLACEMENT, 0
            )
        plan = pass_switch.advance(leader.switch, leader.views)
        leader.switch = plan.switch
        for rank, order in plan.orders.items():
            if order.term >= self.agent_terms[rank]:
                self.agent_terms[rank] = order.term
                self.wanted[rank] = order

    @stateful.rule(
        rank=strategies.integers(0, SIZE - 1),
        outcome=strategies.sampled_from(["done", "lost", "late", "unanswered"]),
    )
    def send_order(self, rank, outcome):
        """An agent sends its order unless the rank is in that state."""
        order = self.wanted[rank]
        if order is None:
            return
        engine = self.group.ranks[rank]
        state = rank_state.order_status(order, engine.report())
        if state is not rank_state.OrderStatus.OPEN:
            self.wanted[rank] = None
            if (
                state is rank_state.OrderStatus.IMPOSSIBLE
                and order.kind is rank_state.OrderKind.PREPARE
            ):
                self.impossible[rank] = order.version
            return
        if outcome == "late":
            self.late.append((rank, order))
        if outcome in ("late", "lost"):
            return
        answer = engine.handle_order(order)
        if outcome == "unanswered":
            return
        disarm = order.kind is rank_state.OrderKind.DISARM
        if disarm and answer is not rank_state.OrderAnswer.FENCED:
            self.cleared[rank] = order.term
            self.wanted[rank] = None

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(pick=strategies.integers(0, 7))
    def apply_late(self, pick):
        """A late order takes effect after other orders."""
        rank, order = self.late.pop(pick % len(self.late))
        self.group.ranks[rank].handle_order(order)

    @stateful.rule(rank=strategies.integers(0, SIZE - 1))
    def restart_agent(self, rank):
        """A sidecar restarts and loses its state."""
        self.agent_terms[rank] = 0
        self.wanted[rank] = None
        self.cleared[rank] = 0
        self.impossible[rank] = 0

    @stateful.rule()
    def new_leader(self):
        """Another sidecar becomes leader; the previous one is not notified."""
        self.term += 1
        leader = Leader(self.term)
        self.leaders = [self.leaders[-1], leader]
        for rank in range(SIZE):
            self.agent_terms[rank] = self.term
            self.wanted[rank] = None

    @stateful.rule()
    def crash(self):
        """A rank crashes and the group is formed again."""
        self.group.form_new_epoch()


TestSwitchMachine = SwitchMachine.TestCase
TestSwitchMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60
)
