"""Tests of the port to a rank against a stand-in engine on a socket."""

import datetime

import pytest
import returns.pipeline

from platform_adapter import standin_engine
from verbenafall_core import addresses
from verbenafall_core import http_client
from verbenafall_core.expert_maps import rank_state
from verbenafall_platform import rank_engine

Kind = rank_state.OrderKind
Answer = rank_state.OrderAnswer
LIMIT = datetime.timedelta(seconds=2)


@pytest.fixture
def engine():
    found = standin_engine.create_standin_engine()
    yield found
    found.close()


@pytest.fixture
def port(engine):
    address = addresses.Address(*engine.server.server_address[:2])
    return rank_engine.PlatformRank(http_client.create_http_client(), address)


def order(kind, term=5, epoch=1, version=7, step=3):
    return rank_state.RankOrder(kind, term, epoch, version, step, (((0,),),))


ORDERS = [
    ("prepare", [order(Kind.PREPARE)], Answer.ACCEPTED),
    ("arm unprepared", [order(Kind.ARM)], Answer.CONFLICT),
    ("arm", [order(Kind.PREPARE), order(Kind.ARM)], Answer.ACCEPTED),
    ("hold", [order(Kind.HOLD)], Answer.ACCEPTED),
    ("hold of a started pass", [order(Kind.HOLD, step=0)], Answer.CONFLICT),
    ("release", [order(Kind.HOLD), order(Kind.RELEASE)], Answer.ACCEPTED),
    ("another epoch", [order(Kind.HOLD, epoch=2)], Answer.CONFLICT),
    (
        "lower term",
        [order(Kind.DISARM, term=6), order(Kind.HOLD, term=5)],
        Answer.FENCED,
    ),
]


class TestOrders:
    @pytest.mark.parametrize(
        ("orders", "last"),
        [case[1:] for case in ORDERS],
        ids=[case[0] for case in ORDERS],
    )
    def test_answer(self, port, orders, last):
        assert [port.send_order(item, LIMIT) for item in orders][-1] is last

    def test_state_after_orders(self, port):
        for kind in (Kind.PREPARE, Kind.HOLD, Kind.ARM):
            port.send_order(order(kind), LIMIT)
        report = port.read_report().unwrap()
        assert (report.prepared, report.held) == (7, 3)
        assert report.armed == rank_state.Armed(7, 3)

    def test_order_without_response_may_have_taken_effect(self, engine, port):
        engine.unanswered = 1
        assert port.send_order(order(Kind.HOLD), LIMIT) is Answer.UNANSWERED
        assert port.read_report().unwrap().held == 3


class TestReads:
    def test_counts_and_experts(self, port):
        assert port.read_counts().unwrap().counts == (1, 2, 3, 4)
        assert port.read_experts().unwrap() == ((0, 1), (2,))

    @pytest.mark.parametrize(
        "read", ["read_report", "read_counts", "read_experts"]
    )
    def test_unreadable_response_is_a_failure(self, engine, port, read):
        engine.unreadable = True
        result = getattr(port, read)()
        assert not returns.pipeline.is_successful(result)

    def test_unreachable_engine(self, engine, port):
        engine.close()
        assert not returns.pipeline.is_successful(port.read_report())
        assert port.send_order(order(Kind.HOLD), LIMIT) is Answer.UNANSWERED
