"""Two rank groups of one service, whose sidecars are linked with each other."""

import datetime
import random
import threading
import types

import pytest
import returns.result

from steering import rank_fleet
from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core import messages
from verbenafall_core import metrics
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import store_era
from verbenafall_sidecar.steering import group_leader
from verbenafall_sidecar.steering import group_term
from verbenafall_sidecar.steering import leadership as leadership_lib
from verbenafall_sidecar.steering import rank_agent
from verbenafall_sidecar.steering import rank_messages
from verbenafall_sidecar.steering import steering as steering_lib

OWN, OTHER = "g0-0", "g0-1"
SERVICE = "s"
OWN_HOST, SAME_HOST, OTHER_HOST = "10.0.0.1", "10.0.0.2", "10.0.0.3"
LINK_PORT = 7000
TERM = 20


def report(group, rank=0):
    return rank_state.RankReport(
        group=group,
        rank=rank,
        size=8,
        epoch=1,
        open=True,
        step=5,
        map_version=0,
        prepared=0,
        armed=None,
        held=None,
        slowdown=1.0,
    )


def update(group, rank=1, term=0):
    return rank_agent.RankUpdate(report(group, rank), term, 0, 0, ())


class FakeLink:
    """Records what is sent on a link."""

    def __init__(self, host=OTHER_HOST, outgoing=True):
        self.address = addresses.Address(host, LINK_PORT)
        self.outgoing = outgoing
        self.peer = types.SimpleNamespace(role="sidecar")
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True

    def taken(self, kind):
        found = [item for item in self.sent if isinstance(item, kind)]
        self.sent.clear()
        return found


class FakeLinks:
    """Accepts targets; batches nothing."""

    def set_targets(self, wanted):
        self.targets = wanted

    def batch_sends(self):
        return threading.RLock()


class EnginePort:
    """The port to an engine of a group, without orders."""

    def __init__(self, group):
        self.group = group
        self.orders = []

    def read_report(self):
        return returns.result.Success(report(self.group, 3))

    def read_experts(self):
        return returns.result.Success(((0, 1),))

    def send_order(self, order, limit):
        del limit
        self.orders.append(order)
        return rank_state.OrderAnswer.ACCEPTED


def settings():
    return types.SimpleNamespace(
        name="side-1",
        service=SERVICE,
        data_centre="dc",
        engine=addresses.Address(OWN_HOST, 8000),
        link_listen=addresses.Address(OWN_HOST, LINK_PORT),
        link_rate=1e8,
    )


def ports(rank_at):
    return types.SimpleNamespace(
        endpoints=None,
        gateways=None,
        configurations=types.SimpleNamespace(
            read_all=lambda: returns.result.Failure("none")
        ),
        store=None,
        era=store_era.create_store_era(),
        rank_at=rank_at,
    )


@pytest.fixture
def steering():
    """A sidecar of OWN that is not started."""
    found = steering_lib.create_steering(
        settings(),
        ports(lambda _address: EnginePort(OWN)),
        rank_fleet.ManualClock(),
        metrics.NullMetrics(),
        random.Random(1),
    )
    found.agent.report = report(OWN)
    return found


@pytest.fixture
def clock():
    return rank_fleet.ManualClock()


@pytest.fixture
def stepped_down():
    return []


@pytest.fixture
def leadership(clock, stepped_down):
    """A leadership of OWN that is not started."""
    dependencies = leadership_lib.Dependencies(
        settings=settings(),
        ports=ports(
            lambda address: EnginePort(
                OTHER if address.host == OTHER_HOST else OWN
            )
        ),
        agent=types.SimpleNamespace(report=report(OWN)),
        links=FakeLinks(),
        clock=clock,
        metrics=metrics.NullMetrics(),
        generator=random.Random(1),
        lock=threading.RLock(),
        step_down=stepped_down.append,
    )
    claim = group_term.Claim(f"{SERVICE}.{OWN}", "holder", TERM)
    return leadership_lib.create_leadership(claim, dependencies)


class TestSidecar:
    @pytest.mark.parametrize(("group", "expected"), [(OWN, TERM), (OTHER, 0)])
    def test_follows_only_a_leader_of_its_own_group(
        self, steering, group, expected
    ):
        steering.on_leading(FakeLink(), messages.Leading(group, TERM, 100))
        assert steering.agent.term == expected

    def test_tells_its_group_to_a_leader_of_another_one(self, steering):
        link = FakeLink()
        steering.on_leading(link, messages.Leading(OTHER, TERM, 100))
        assert [item.group for item in link.taken(messages.RankStatus)] == [OWN]

    def test_follows_nobody_before_it_knows_its_group(self, steering):
        steering.agent.report = None
        steering.on_leading(FakeLink(), messages.Leading(OTHER, TERM, 100))
        assert steering.agent.term == 0

    @pytest.mark.parametrize(("group", "accepted"), [(OWN, 1), (OTHER, 0)])
    def test_executes_only_orders_of_its_own_group(
        self, steering, group, accepted
    ):
        order = rank_state.RankOrder(
            rank_state.OrderKind.HOLD, TERM, 1, 0, 9, ()
        )
        steering.on_order(
            FakeLink(), rank_messages.encode_order(group, order, 0, None)
        )
        assert (steering.agent.current_order is not None) == bool(accepted)

    def test_leadership_ends_when_its_engine_changes_groups(
        self, steering, monkeypatch
    ):
        resigned = []
        steering.leadership = types.SimpleNamespace(
            group=OTHER,
            term=TERM,
            run_due_tasks=lambda now: None,
        )
        monkeypatch.setattr(steering, "resign", lambda: resigned.append(1))
        steering.check()
        assert resigned


class TestLeader:
    def test_update_of_another_group_changes_nothing(
        self, leadership, stepped_down
    ):
        """Guards against two groups whose leaders replace each other."""
        leader = leadership.leader
        now = datetime.timedelta(seconds=1)
        for term in (0, TERM + 1):
            leader.handle_input(
                group_leader.UpdateReceived(FakeLink(), update(OTHER, 1, term)),
                now,
            )
        assert leader.members == {}
        assert stepped_down == []
        leader.handle_input(
            group_leader.UpdateReceived(FakeLink(), update(OWN)), now
        )
        assert list(leader.members) == [1]

    @pytest.mark.parametrize(("group", "expected"), [(OWN, 1), (OTHER, 0)])
    def test_counts_of_another_group_are_dropped(
        self, leadership, group, expected
    ):
        link = FakeLink()
        leadership.add_link(link)
        leadership.handle_counts(
            link, messages.RankDemand(group, 1, 2, 1, b"\x10")
        )
        assert leadership.leader.inputs.qsize() == expected

    def test_sidecar_of_another_group_is_announced_to_rarely(
        self, leadership, clock
    ):
        link = FakeLink()
        leadership.add_link(link)
        leadership.handle_status(
            link, rank_messages.encode_update(update(OTHER))
        )
        link.sent.clear()
        leadership.announce_leader(clock.monotonic())
        assert link.taken(messages.Leading) == []
        clock.time += leadership_lib.OTHER_GROUP_RETRY_INTERVAL
        leadership.announce_leader(clock.monotonic())
        assert len(link.taken(messages.Leading)) == 1

    def test_engine_of_another_group_is_not_read_on(self, leadership, clock):
        entries = tuple(
            collection.Item(
                host,
                5,
                endpoints.Endpoint(
                    host,
                    SERVICE,
                    addresses.Address(host, 8000),
                    "dc",
                    4,
                    False,
                ),
            )
            for host in (OWN_HOST, SAME_HOST, OTHER_HOST)
        )
        leadership.on_batch(collection.Batch(5, entries, ()), True, False)
        leadership.update_direct_peers(clock.monotonic())
        clock.time += leadership_lib.DIRECT_ORDER_DELAY
        leadership.update_direct_peers(clock.monotonic())
        assert {item.host for item in leadership.direct_peers} == {
            SAME_HOST,
            OTHER_HOST,
        }
        for peer in leadership.direct_peers.values():
            peer.agent.stop(datetime.timedelta(seconds=5))
            peer.agent.read_report(clock.monotonic())
        leadership.update_direct_peers(clock.monotonic())
        leadership.update_direct_peers(clock.monotonic())
        assert {item.host for item in leadership.direct_peers} == {SAME_HOST}
        clock.time += leadership_lib.OTHER_GROUP_RETRY_INTERVAL
        leadership.update_direct_peers(clock.monotonic())
        clock.time += leadership_lib.DIRECT_ORDER_DELAY
        leadership.update_direct_peers(clock.monotonic())
        assert OTHER_HOST in {item.host for item in leadership.direct_peers}
        for peer in leadership.direct_peers.values():
            peer.close()

    def test_gateways_get_a_name_that_is_unique_among_services(
        self, leadership, clock
    ):
        link = FakeLink()
        link.peer = types.SimpleNamespace(role="gateway")
        leadership.add_link(link)
        leadership.send_slowdowns(clock.monotonic())
        sent = link.taken(messages.RankSlowdowns)
        assert [item.group for item in sent] == [f"{SERVICE}.{OWN}"]
