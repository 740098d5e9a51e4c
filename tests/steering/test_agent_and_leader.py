"""Agent and leader together, step by step, on a model of the engines."""

import pytest

from steering import rank_fleet
from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state
from verbenafall_sidecar.steering import group_leader
from verbenafall_sidecar.steering import rank_agent


@pytest.fixture
def fleet():
    return rank_fleet.Fleet()


class TestSwitch:
    def test_skewed_demand_leads_to_a_new_map(self, fleet):
        fleet.run_until(lambda: rank_fleet.in_use(fleet) > 0)
        assert all(rank.held is None for rank in fleet.group.ranks)

    @pytest.mark.parametrize("rank", range(rank_fleet.SIZE))
    def test_lost_orders_are_given_again(self, fleet, rank):
        fleet.run_until(
            lambda: fleet.leader.switch.phase is pass_switch.Phase.PREPARE
        )
        fleet.ports[rank].lost = 3
        fleet.run_until(lambda: rank_fleet.in_use(fleet) > 0)

    def test_order_without_an_answer_is_given_again_at_once(self, fleet):
        """The group is held meanwhile, and every stream pauses."""
        fleet.run_until(
            lambda: fleet.leader.switch.phase is pass_switch.Phase.HOLD
        )
        fleet.ports[3].lost = 1
        fleet.run_until(lambda: fleet.ports[3].lost == 0)
        assert fleet.group.ranks[3].armed is None
        fleet.step()
        assert fleet.group.ranks[3].armed is not None

    def test_own_engine_has_little_time_to_answer(self, fleet):
        fleet.run_until(lambda: rank_fleet.in_use(fleet) > 0)
        limits = {item for port in fleet.ports for item in port.limits}
        assert limits == {rank_agent.OWN_ORDER_LIMIT}

    def test_new_epoch_ends_a_switch_and_the_next_one_works(self, fleet):
        fleet.run_until(
            lambda: fleet.leader.switch.phase is pass_switch.Phase.PREPARE
        )
        fleet.group.form_new_epoch()
        fleet.run_until(lambda: rank_fleet.in_use(fleet) > 0)


class TestHoldByAGateway:
    def test_own_sidecar_gives_no_hold(self, fleet):
        fleet.gateway = fleet.group.ranks[0].handle_order
        fleet.run_until(lambda: rank_fleet.in_use(fleet) > 0)
        kinds = [order.kind for order in fleet.ports[0].given]
        assert rank_state.OrderKind.HOLD not in kinds
        assert {order.kind for order in fleet.held_elsewhere} == {
            rank_state.OrderKind.HOLD
        }

    def test_own_sidecar_gives_a_hold_that_does_not_show(self, fleet):
        fleet.gateway = lambda order: None
        fleet.run_until(lambda: rank_fleet.in_use(fleet) > 0)
        kinds = [order.kind for order in fleet.ports[0].given]
        assert rank_state.OrderKind.HOLD in kinds

    def test_late_hold_of_a_gateway_is_released(self, fleet):
        """A gateway that was paused; passes have gone on, or a map changed."""
        late = []
        fleet.gateway = late.append
        fleet.run_until(lambda: rank_fleet.in_use(fleet) > 0)
        rank = fleet.group.ranks[0]
        rank.handle_order(late[0]._replace(step=fleet.group.step + 1))
        fleet.run_until(lambda: rank.held is None, steps=200)


class TestHoldWithoutOwner:
    def test_next_leader_carries_on(self, fleet):
        """A leader that is gone while it holds the group."""
        fleet.run_until(lambda: fleet.group.ranks[0].held is not None)
        fleet.leader = None
        for _ in range(50):
            fleet.step()
        fleet.lead(2)
        fleet.run_until(lambda: fleet.group.ranks[0].held is None)
        before = fleet.group.step
        fleet.run_until(lambda: fleet.group.step > before + 3)

    def test_states_that_do_not_change_are_repeated(self, fleet):
        """A held group changes nothing for longer than states are kept.

        Without repeats the next leader took it for incomplete and left it
        held.
        """
        fleet.run_until(lambda: fleet.group.ranks[0].held is not None)
        fleet.leader = None
        fleet.frozen = {0}
        fleet.ports[0].reachable = False
        fleet.step()
        fleet.lead(2)
        for _ in range(250):
            fleet.step()
        assert fleet.group.ranks[0].held is not None
        fleet.frozen = set()
        fleet.ports[0].reachable = True
        fleet.run_until(lambda: fleet.group.ranks[0].held is None, steps=60)

    def test_hold_by_a_late_order_is_released(self, fleet):
        fleet.run_until(lambda: rank_fleet.in_use(fleet) > 0)
        rank = fleet.group.ranks[2]
        rank.held = fleet.group.step + 1
        fleet.run_until(lambda: rank.held is None, steps=200)


class TestTerms:
    def test_lower_term_is_refused(self, fleet):
        agent = fleet.agents[0]
        agent.note_leader(5)
        order = rank_state.RankOrder(rank_state.OrderKind.HOLD, 4, 1, 0, 9, ())
        assert not agent.accept(order)
        assert agent.wanted is None

    def test_leader_steps_down_when_it_hears_of_a_higher_term(self, fleet):
        fleet.step()
        news = fleet.agents[1].last_news._replace(term=9)
        fleet.leader.take_news(
            group_leader.News(None, news), fleet.clock.monotonic()
        )
        assert fleet.stepped_down == [9]

    def test_rank_that_changed_its_number_is_known_once(self, fleet):
        for _ in range(60):
            fleet.step()
        peer = fleet.leader.members[1].peer
        news = fleet.agents[1].last_news
        moved = news._replace(report=news.report._replace(rank=7))
        fleet.leader.take_news(
            group_leader.News(peer, moved), fleet.clock.monotonic()
        )
        assert [
            rank
            for rank, member in fleet.leader.members.items()
            if member.peer is peer
        ] == [7]
