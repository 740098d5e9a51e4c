"""Tests agents and leader together on a model of the engines."""

import datetime
import time

import pytest

from steering import rank_fleet
from verbenafall_core import clock as clock_lib
from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state
from verbenafall_sidecar.steering import group_leader
from verbenafall_sidecar.steering import rank_agent


@pytest.fixture
def fleet():
    return rank_fleet.Fleet()


class TestSwitch:
    def test_skewed_demand_leads_to_a_new_map(self, fleet):
        fleet.run_until(lambda: rank_fleet.lowest_map_version(fleet) > 0)
        assert all(rank.held is None for rank in fleet.group.ranks)

    @pytest.mark.parametrize("rank", range(rank_fleet.SIZE))
    def test_unanswered_orders_are_repeated(self, fleet, rank):
        fleet.run_until(
            lambda: fleet.leader.switch.phase is pass_switch.Phase.PREPARE
        )
        fleet.ports[rank].unanswered_orders = 3
        fleet.run_until(lambda: rank_fleet.lowest_map_version(fleet) > 0)

    def test_unanswered_order_is_repeated_at_once(self, fleet):
        """The group is held, and all streams pause, until the order is done."""
        fleet.run_until(
            lambda: fleet.leader.switch.phase is pass_switch.Phase.HOLD
        )
        fleet.ports[3].unanswered_orders = 1
        fleet.run_until(lambda: fleet.ports[3].unanswered_orders == 0)
        assert fleet.group.ranks[3].armed is None
        fleet.step()
        assert fleet.group.ranks[3].armed is not None

    def test_local_engine_gets_the_short_timeout(self, fleet):
        fleet.run_until(lambda: rank_fleet.lowest_map_version(fleet) > 0)
        timeouts = {item for port in fleet.ports for item in port.timeouts}
        assert timeouts == {rank_agent.LOCAL_ORDER_TIMEOUT}

    def test_switch_succeeds_after_a_new_epoch_ended_one(self, fleet):
        fleet.run_until(
            lambda: fleet.leader.switch.phase is pass_switch.Phase.PREPARE
        )
        fleet.group.form_new_epoch()
        fleet.run_until(lambda: rank_fleet.lowest_map_version(fleet) > 0)


class TestHoldByGateway:
    def test_agent_does_not_send_a_delegated_hold(self, fleet):
        fleet.gateway = fleet.group.ranks[0].handle_order
        fleet.run_until(lambda: rank_fleet.lowest_map_version(fleet) > 0)
        kinds = [order.kind for order in fleet.ports[0].submitted_orders]
        assert rank_state.OrderKind.HOLD not in kinds
        assert {order.kind for order in fleet.delegated_holds} == {
            rank_state.OrderKind.HOLD
        }

    def test_agent_sends_a_delegated_hold_without_effect(self, fleet):
        fleet.gateway = lambda order: None
        fleet.run_until(lambda: rank_fleet.lowest_map_version(fleet) > 0)
        kinds = [order.kind for order in fleet.ports[0].submitted_orders]
        assert rank_state.OrderKind.HOLD in kinds

    def test_late_hold_of_a_gateway_is_released(self, fleet):
        """A paused gateway sends its hold after the switch has ended."""
        late = []
        fleet.gateway = late.append
        fleet.run_until(lambda: rank_fleet.lowest_map_version(fleet) > 0)
        rank = fleet.group.ranks[0]
        rank.handle_order(late[0]._replace(step=fleet.group.step + 1))
        fleet.run_until(lambda: rank.held is None, steps=200)


class TestHoldWithoutOwner:
    def test_next_leader_releases_the_group(self, fleet):
        """The first leader disappears while it holds the group."""
        fleet.run_until(lambda: fleet.group.ranks[0].held is not None)
        fleet.leader = None
        for _ in range(50):
            fleet.step()
        fleet.start_leader(2)
        fleet.run_until(lambda: fleet.group.ranks[0].held is None)
        before = fleet.group.step
        fleet.run_until(lambda: fleet.group.step > before + 3)

    def test_unchanged_states_are_repeated(self, fleet):
        """The state of a held group does not change.

        Leaders discard states that are too old. Without repeats, the next
        leader took the group for incomplete and left it held.
        """
        fleet.run_until(lambda: fleet.group.ranks[0].held is not None)
        fleet.leader = None
        fleet.frozen = {0}
        fleet.ports[0].reachable = False
        fleet.step()
        fleet.start_leader(2)
        for _ in range(250):
            fleet.step()
        assert fleet.group.ranks[0].held is not None
        fleet.frozen = set()
        fleet.ports[0].reachable = True
        fleet.run_until(lambda: fleet.group.ranks[0].held is None, steps=60)

    def test_hold_from_a_late_order_is_released(self, fleet):
        fleet.run_until(lambda: rank_fleet.lowest_map_version(fleet) > 0)
        rank = fleet.group.ranks[2]
        rank.held = fleet.group.step + 1
        fleet.run_until(lambda: rank.held is None, steps=200)

    @pytest.mark.parametrize(
        "phase",
        [
            pass_switch.Phase.PREPARE,
            pass_switch.Phase.HOLD,
            pass_switch.Phase.ARM,
            pass_switch.Phase.RELEASE,
            pass_switch.Phase.SETTLE,
        ],
    )
    @pytest.mark.parametrize("rank", range(1, rank_fleet.SIZE))
    def test_hold_from_a_late_order_during_a_switch(self, fleet, phase, rank):
        """An earlier leader held the group on another rank."""
        fleet.run_until(lambda: fleet.leader.switch.phase is phase)
        fleet.group.ranks[rank].held = fleet.group.step + 1
        before = fleet.group.step
        fleet.run_until(lambda: fleet.group.step > before + 3, steps=400)
        fleet.run_until(lambda: rank_fleet.lowest_map_version(fleet) > 0)


class RecordingListener:
    """Keeps the updates that a leader receives."""

    def __init__(self):
        self.updates = []

    def on_update(self, update):
        self.updates.append(update)


class TestExpertsOfARank:
    """Guards against a leader that never learns the experts of a rank.

    Without them it does not know the current map, and chooses no map.
    """

    def test_leader_accepted_during_a_call_receives_them(self, fleet):
        first, second = RecordingListener(), RecordingListener()
        current = [first]
        port = fleet.ports[1]
        agent = rank_agent.create_rank_agent(
            port, fleet.clock, lambda: current[0]
        )
        read_experts = port.read_experts

        def read_experts_and_accept_the_second():
            agent.accept_leader(2)
            current[0] = second
            agent.resend_all()
            return read_experts()

        port.read_experts = read_experts_and_accept_the_second
        agent.accept_leader(1)
        agent.run_once()
        port.read_experts = read_experts
        fleet.clock.time += rank_agent.REPORT_INTERVAL
        fleet.group.start_pass()
        agent.run_once()
        assert [update.experts for update in second.updates] == [port.experts]

    def test_new_leader_receives_the_state_at_once(self, fleet):
        listener = RecordingListener()
        agent = rank_agent.create_rank_agent(
            fleet.ports[1], fleet.clock, lambda: listener
        )
        agent.accept_leader(1)
        agent.run_once()
        listener.updates.clear()
        agent.resend_all()
        agent.run_once()
        assert [update.experts for update in listener.updates] == [
            fleet.ports[1].experts
        ]

    def test_they_stay_when_another_connection_to_the_rank_ends(self, fleet):
        """The leader called the engine until the link to its sidecar opened.

        The last update from that call may come after the first one over the
        link, which is the only one with the experts.
        """
        fleet.run_until(lambda: len(fleet.leader.members) == rank_fleet.SIZE)
        now = fleet.clock.monotonic()
        update = fleet.agents[1].last_update
        link, direct = object(), object()
        for peer, experts in (
            (direct, update.experts),
            (link, update.experts),
            (direct, ()),
        ):
            fleet.leader.handle_update(
                group_leader.UpdateReceived(
                    peer, update._replace(experts=experts)
                ),
                now,
            )
        fleet.leader.handle_input(group_leader.PeerLost(direct), now)
        fleet.leader.handle_update(
            group_leader.UpdateReceived(link, update._replace(experts=())), now
        )
        assert fleet.leader.members[1].experts == update.experts


class TestTerms:
    def test_lower_term_is_refused(self, fleet):
        agent = fleet.agents[0]
        agent.accept_leader(5)
        order = rank_state.RankOrder(rank_state.OrderKind.HOLD, 4, 1, 0, 9, ())
        assert not agent.accept(order)
        assert agent.current_order is None

    def test_leader_steps_down_on_a_higher_term(self, fleet):
        fleet.step()
        update = fleet.agents[1].last_update._replace(term=9)
        fleet.leader.handle_update(
            group_leader.UpdateReceived(None, update), fleet.clock.monotonic()
        )
        assert fleet.stepped_down == [9]

    @pytest.mark.parametrize("rank", range(rank_fleet.SIZE))
    def test_store_restored_leader_of_a_refused_term_steps_down(
        self, fleet, rank
    ):
        """An engine knows a higher term, but no sidecar does."""
        fleet.group.ranks[rank].fence = 9
        fleet.run_until(lambda: fleet.stepped_down, steps=200)
        refused = len(fleet.ports[rank].submitted_orders)
        for _ in range(500):
            fleet.step()
        assert len(fleet.ports[rank].submitted_orders) == refused

    def test_refused_order_does_not_lower_a_known_term(self, fleet):
        agent = fleet.agents[2]
        fleet.group.ranks[2].fence = 9

        def learn_term(port, order):
            agent.accept_leader(7)
            return port.rank.handle_order(order)

        fleet.ports[2].on_order = learn_term
        fleet.run_until(lambda: agent.term > 1)
        assert agent.term == 7

    def test_rank_with_a_new_number_is_listed_once(self, fleet):
        for _ in range(60):
            fleet.step()
        peer = fleet.leader.members[1].peer
        update = fleet.agents[1].last_update
        moved = update._replace(report=update.report._replace(rank=7))
        fleet.leader.handle_update(
            group_leader.UpdateReceived(peer, moved), fleet.clock.monotonic()
        )
        assert [
            rank
            for rank, member in fleet.leader.members.items()
            if member.peer is peer
        ] == [7]


# Whether the group is open, seconds without a leader, whether there is one.
SILENCES = [
    (True, 0.4, True),
    (True, 0.8, True),
    (True, 1.0, False),
    (False, 0.4, True),
    (False, 0.6, False),
]


class TestUnexpectedError:
    def test_agent_reads_on(self, fleet):
        port = fleet.ports[1]
        agent = rank_agent.create_rank_agent(
            port, clock_lib.system_clock(), lambda: None
        )
        readings = []

        def fail_first():
            readings.append(1)
            raise ZeroDivisionError

        port.read_report = fail_first
        agent.start()
        for _ in range(500):
            if len(readings) > 1:
                break
            time.sleep(0.01)
        alive = agent.thread.is_alive()
        agent.stop(datetime.timedelta(seconds=5))
        assert alive
        assert len(readings) > 1


class TestLeaderTimeout:
    @pytest.mark.parametrize(("is_open", "seconds", "expected"), SILENCES)
    def test_forming_group_waits_less(self, fleet, is_open, seconds, expected):
        agent = fleet.agents[1]
        agent.run_once()
        agent.accept_leader(1)
        agent.report = agent.report._replace(open=is_open)
        fleet.clock.time += datetime.timedelta(seconds=seconds)
        assert agent.has_leader() is expected


class TestRequiredGain:
    @pytest.mark.parametrize(
        ("seconds", "gain"), [(0.0, 0.1), (1.0, 0.2), (2.4, 0.34)]
    )
    def test_gain_grows_with_the_time_of_copying(self, seconds, gain):
        copy_time = datetime.timedelta(seconds=seconds)
        assert group_leader.required_gain(copy_time) == pytest.approx(gain)
