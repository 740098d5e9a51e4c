"""Gateways tell each other what they know, over real links."""

import pytest

from forwarding import forwarding_fakes as fakes


@pytest.fixture
def pair():
    """Two linked gateways; the second one has a store that tells nothing."""
    first = fakes.RunningForwarder(
        fakes.configuration(1, fakes.route()), [fakes.good, fakes.good], "g1"
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
        # Only the first one's store tells, and with a later revision.
        for _ in range(5):
            first.list_endpoint("e0", first.backends[0], draining=True)
        fakes.wait_until(lambda: len(directory.usable("s")) == 1)

    def test_open_requests_count_for_both(self, pair):
        first, second = pair
        peers = second.forwarder.peers
        fakes.wait_until(lambda: "g1" in peers.by_peer)
        first.loop.call_soon_threadsafe(
            first.forwarder.peers.note_own, {"e0": 3}
        )
        now = second.loop.time
        fakes.wait_until(lambda: peers.load_of("e0", now()) == 3)
        assert peers.gateways() == peers.live_gateways() == 2

    def test_counts_of_a_gateway_that_is_gone_are_forgotten(self, pair):
        first, second = pair
        peers = second.forwarder.peers
        fakes.wait_until(lambda: "g1" in peers.by_peer)
        first.close()
        fakes.wait_until(lambda: "g1" not in peers.by_peer)
        # It may still be there, and counts for the repeats.
        assert (peers.gateways(), peers.live_gateways()) == (2, 1)
