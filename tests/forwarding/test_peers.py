"""Tests the exchange of state between gateways over real links."""

import random
import threading

import pytest

from forwarding import forwarding_fakes as fakes
from verbenafall_core import addresses
from verbenafall_core import clock
from verbenafall_core import link_loop
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core.expert_maps import rank_state
from verbenafall_gateway.forwarding import rank_holds


@pytest.fixture
def pair():
    """Two linked gateways; the second starts with an empty store."""
    first = fakes.RunningForwarder(
        fakes.configuration(1, fakes.route()),
        [fakes.answer_ok, fakes.answer_ok],
        "g1",
    )
    second = fakes.RunningForwarder(None, [], "g2")
    for runner in (first, second):
        for other in (first, second):
            name = other.forwarder.settings.name
            runner.gateways.put(name, other.link_address)
    yield first, second
    first.close()
    second.close()


class TestPeers:
    def test_configuration_reaches_a_gateway_without_the_store(self, pair):
        first, second = pair
        state = second.forwarder.configuration
        fakes.wait_until(lambda: state.version() == 1)
        first.configurations.put("main", fakes.configuration(4, fakes.route()))
        fakes.wait_until(lambda: state.version() == 4)
        assert (
            state.configuration == first.forwarder.configuration.configuration
        )

    def test_leaving_endpoint_is_known_to_both(self, pair):
        first, second = pair
        for number, backend in enumerate(first.backends):
            second.list_endpoint(f"e{number}", backend)
        directory = second.forwarder.directory
        fakes.wait_until(lambda: len(directory.usable("s")) == 2)
        links = second.forwarder.links.links
        fakes.wait_until(links.open_links)
        # Only the first gateway's store lists the endpoint as draining. The
        # repetition makes its revision later than that in the second's store.
        for _ in range(5):
            first.list_endpoint("e0", first.backends[0], draining=True)
        fakes.wait_until(lambda: len(directory.usable("s")) == 1)

    def test_endpoint_that_says_it_leaves_is_known_to_both(self, pair):
        first, second = pair
        second.list_endpoint("e0", first.backends[0])
        directories = [runner.forwarder.directory for runner in pair]
        fakes.wait_until(lambda: all("e0" in d.listed for d in directories))
        fakes.wait_until(second.forwarder.links.links.open_links)
        first.loop.call_soon_threadsafe(
            directories[0].mark_stopping, directories[0].listed["e0"].value
        )
        fakes.wait_until(lambda: "e0" in directories[1].stopping)
        assert not list(directories[1].usable("s"))

    def test_gateway_that_starts_learns_which_endpoints_leave(self, pair):
        first, _ = pair
        directory = first.forwarder.directory
        fakes.wait_until(lambda: "e0" in directory.listed)
        first.loop.call_soon_threadsafe(
            directory.mark_stopping, directory.listed["e0"].value
        )
        started = fakes.RunningForwarder(None, [], "g3")
        try:
            started.gateways.put("g1", first.link_address)
            first.gateways.put("g3", started.link_address)
            known = started.forwarder.directory.stopping
            fakes.wait_until(lambda: "e0" in known)
        finally:
            started.close()

    def test_open_requests_count_for_both(self, pair):
        first, second = pair
        peers = second.forwarder.peers
        fakes.wait_until(lambda: "g1" in peers.by_peer)
        first.loop.call_soon_threadsafe(
            first.forwarder.peers.set_own_load, {"e0": 3}
        )
        now = second.loop.time
        fakes.wait_until(lambda: peers.load_of("e0", now()) == 3)
        assert peers.gateways() == peers.live_gateways() == 2

    def test_counts_of_an_unreachable_gateway_are_discarded(self, pair):
        first, second = pair
        peers = second.forwarder.peers
        fakes.wait_until(lambda: "g1" in peers.by_peer)
        first.close()
        fakes.wait_until(lambda: "g1" not in peers.by_peer)
        # It may still be running, so it counts when repeats are shared out.
        assert (peers.gateways(), peers.live_gateways()) == (2, 1)

    def test_store_restored_without_gateway_records(self, pair):
        """Gateways stay linked until each has written its record again."""
        lists = [runner.forwarder.links.links.open_links for runner in pair]
        fakes.wait_until(lambda: all(links() for links in lists))
        # One that has not read the records yet cannot know what is lost.
        recorded = [runner.forwarder.membership for runner in pair]
        fakes.wait_until(
            lambda: all(item.recorded >= {"g1", "g2"} for item in recorded)
        )
        before = [links() for links in lists]
        for runner in pair:
            runner.gateways.restore(fakes.MemoryCollection().copy())
            runner.gateways.put("g3", addresses.Address("127.0.0.1", 9))
        peers = [runner.forwarder.peers for runner in pair]
        fakes.wait_until(lambda: all(item.gateways() == 3 for item in peers))
        assert [links() for links in lists] == before


def hold(step):
    return messages.RankHold("g", "10.0.0.9", 8000, 7, 2, step)


@pytest.fixture
def leader(pair):
    """Links from a leading sidecar to the first gateway."""
    hello = messages.Hello(
        messages.PROTOCOL_VERSION, "s1", "sidecar", "dc", "s"
    )
    links = link_loop.create_link_loop(
        hello,
        lambda: messages.Heartbeat(0, 0, True, False),
        link_router.create_link_router(),
        clock.system_clock(),
        random.Random(1),
    )
    links.start()
    links.set_targets({pair[0].link_address})
    fakes.wait_until(links.open_links)
    yield links
    links.stop(fakes.datetime.timedelta())


class TestRankHolds:
    def test_hold_of_a_leader_reaches_the_engine(self, pair, leader):
        """An exception from one order must not end the sending thread."""
        for step in (-1, 31):
            leader.open_links()[0].send(hold(step))
        fakes.wait_until(lambda: pair[0].orders)
        address, order = pair[0].orders[0]
        assert f"{address}" == "10.0.0.9:8000"
        assert order == rank_state.RankOrder(
            rank_state.OrderKind.HOLD, 7, 2, 0, 31, ()
        )

    def test_holds_do_not_pile_up_for_an_unresponsive_engine(self):
        received = []
        free = threading.Event()

        class SilentRank:
            def send_order(self, order, limit):
                del limit
                received.append(order.step)
                free.wait(fakes.WAIT_SECONDS)
                return rank_state.OrderAnswer.UNANSWERED

        holds = rank_holds.create_rank_holds(lambda _: SilentRank())
        for step in range(10):
            holds.on_hold(None, hold(step))
        free.set()
        fakes.wait_until(lambda: holds.unfinished == 0)
        holds.stop()
        assert received == [0, 1]
