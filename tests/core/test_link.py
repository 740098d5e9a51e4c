"""Links: framing, heartbeats, reconnects, and the guarantees of send()."""

import contextlib
import queue
import socket
import threading
import types

import pytest

from verbenafall_core import addresses
from verbenafall_core import clock
from verbenafall_core import codec
from verbenafall_core import link_loop
from verbenafall_core import link_router
from verbenafall_core import messages

ANY_PORT = addresses.Address("127.0.0.1", 0)
WAIT_SECONDS = 10
CHUNK = messages.Chunk("r", "r.1", 0, b"x")


class Recorder:
    def __init__(self):
        self.opened = queue.Queue()
        self.received = queue.Queue()
        self.closed = queue.Queue()

    def on_open(self, link):
        self.opened.put(link)

    def on_message(self, link, message):
        self.received.put(message)

    def on_close(self, link, reason):
        self.closed.put(reason)


def create_loop(name, recorder):
    hello = messages.Hello(1, name, "gateway", "dc", "")
    return link_loop.create_link_loop(
        hello,
        lambda: messages.Heartbeat(0, 0, False, False),
        recorder,
        clock.system_clock(),
    )


@pytest.fixture
def pair():
    server_events, client_events = Recorder(), Recorder()
    server = create_loop("server", server_events)
    client = create_loop("client", client_events)
    address = server.listen(ANY_PORT)
    server.start()
    client.start()
    client.set_targets({address})
    link = client_events.opened.get(timeout=WAIT_SECONDS)
    yield server_events, client_events, link, address
    client.stop(link_loop.LINK_TIMEOUT)
    server.stop(link_loop.LINK_TIMEOUT)


def next_of(events, kind):
    while True:
        message = events.received.get(timeout=WAIT_SECONDS)
        if isinstance(message, kind):
            return message


class TestLink:
    def test_messages_arrive_in_order(self, pair):
        server_events, _, link, _ = pair
        for number in range(1000):
            assert link.send(CHUNK._replace(sequence=number))
        got = [
            next_of(server_events, messages.Chunk).sequence for _ in range(1000)
        ]
        assert got == list(range(1000))

    def test_heartbeats_are_sent_without_other_messages(self, pair):
        server_events, client_events, _, _ = pair
        next_of(server_events, messages.Heartbeat)
        next_of(client_events, messages.Heartbeat)

    def test_heartbeats_are_sent_among_other_messages(self, pair):
        """Guards against busy links that send no bundle versions."""
        server_events, _, link, _ = pair
        next_of(server_events, messages.Heartbeat)
        found = None
        for _ in range(WAIT_SECONDS * 50):
            link.send(CHUNK)
            found = server_events.received.get(timeout=WAIT_SECONDS)
            if isinstance(found, messages.Heartbeat):
                break
            threading.Event().wait(0.02)
        assert isinstance(found, messages.Heartbeat)

    def test_send_on_a_closed_link_returns_false(self, pair):
        _, client_events, link, _ = pair
        link.close("test")
        client_events.closed.get(timeout=WAIT_SECONDS)
        assert not link.send(CHUNK)

    def test_reconnects_after_a_close(self, pair):
        _, client_events, link, _ = pair
        link.close("test")
        second = client_events.opened.get(timeout=WAIT_SECONDS)
        assert second is not link

    def test_removed_target_is_closed_and_not_connected_again(self, pair):
        # Closing a link while holding the loop's lock deadlocked the caller.
        server_events, client_events, link, _ = pair
        link.loop.set_targets(set())
        reason = client_events.closed.get(timeout=WAIT_SECONDS)
        assert reason == "the peer is no longer a target"
        server_events.closed.get(timeout=WAIT_SECONDS)
        assert link.loop.targets == {}

    def test_broadcast_heartbeat_does_not_wait_for_the_interval(self, pair):
        server_events, _, link, _ = pair
        heartbeat = messages.Heartbeat(7, 0, True, False)
        link.loop.heartbeat = lambda: heartbeat
        link.loop.broadcast_heartbeat()
        assert next_of(server_events, messages.Heartbeat) == heartbeat

    def test_batched_messages_arrive_in_order_without_a_wake_up_each(
        self, pair
    ):
        """Guards against messages that stay queued after a batch."""
        server_events, _, link, _ = pair
        wakes = []
        wake = link.loop.wake
        with link.loop.batch_sends():
            link.loop.wake = lambda: wakes.append(1)
            for number in range(100):
                assert link.send(CHUNK._replace(sequence=number))
            assert not wakes
            link.loop.wake = wake
        got = [
            next_of(server_events, messages.Chunk).sequence for _ in range(100)
        ]
        assert got == list(range(100))

    def test_error_in_a_batch_does_not_delay_later_messages(self, pair):
        """Guards against a thread that no longer wakes the I/O thread."""
        server_events, _, link, _ = pair
        with pytest.raises(ValueError, match="test"), link.loop.batch_sends():
            raise ValueError("test")
        assert link.send(CHUNK)
        assert next_of(server_events, messages.Chunk) == CHUNK

    def test_send_to_a_slow_reader_fails_when_the_queue_is_full(self, pair):
        _, _, link, _ = pair
        blocked = threading.Event()
        link.loop.write = lambda _link: blocked.wait(0)
        large = CHUNK._replace(data=bytes(1024 * 1024))
        results = [link.send(large) for _ in range(20)]
        assert not results[-1]

    @pytest.mark.parametrize(
        "data",
        [
            b"\xc1",
            b"GET / HTTP/1.1\r\n\r\n",
            b"\x92\x07\x01",
            codec.encode(CHUNK),
            codec.encode(messages.Hello(99, "n", "gateway", "d", "")),
        ],
        ids=["reserved", "http", "fields", "no-hello", "version"],
    )
    def test_closes_on_bytes_that_are_not_a_valid_hello(self, pair, data):
        _, _, _, address = pair
        with socket.create_connection(address, timeout=WAIT_SECONDS) as sock:
            sock.sendall(data)
            while sock.recv(4096):
                pass


class TestHeartbeatSchedule:
    def test_all_links_share_one_heartbeat_and_one_wake_up(self):
        """Guards against one encoding and one wake-up for each link."""
        recorder = Recorder()
        loop = create_loop("busy", recorder)
        address = loop.listen(ANY_PORT)
        built = []
        wakes = []
        wake = loop.wake
        loop.heartbeat = lambda: (
            built.append(1) or messages.Heartbeat(0, 0, False, False)
        )
        loop.wake = lambda: (wakes.append(1), wake())
        hello = codec.encode(messages.Hello(1, "g", "gateway", "d", ""))
        with contextlib.ExitStack() as stack:
            socks = [
                stack.enter_context(socket.create_connection(address))
                for _ in range(8)
            ]
            for sock in socks:
                sock.settimeout(WAIT_SECONDS)
                sock.sendall(hello)
            while recorder.opened.qsize() < len(socks):
                loop.run_once(loop.selector.select(1))
            built.clear()
            wakes.clear()
            loop.before_heartbeats = lambda: [
                link.send(CHUNK) for link in loop.open_links()
            ]
            loop.timers_due = loop.heartbeats_due = loop.last_run
            loop.run_once([])
            assert (len(built), len(wakes)) == (1, 1)
            loop.run_once([])
            for sock in socks:
                decoder = codec.create_decoder()
                found = []
                while len(found) < 3:
                    found += decoder.feed(sock.recv(4096))
                kinds = [type(message) for message in found]
                assert kinds[-2:] == [messages.Chunk, messages.Heartbeat]
            loop.close_all("test")

    def test_new_link_gets_a_heartbeat_within_the_interval(self, pair):
        """Guards against a new link that misses the shared schedule."""
        _, _, _, address = pair
        second = create_loop("second", Recorder())
        second.start()
        second.set_targets({address})
        events = second.handler
        events.opened.get(timeout=WAIT_SECONDS)
        limit = 2 * link_loop.HEARTBEAT_INTERVAL.total_seconds()
        assert isinstance(
            events.received.get(timeout=limit), messages.Heartbeat
        )
        second.stop(link_loop.LINK_TIMEOUT)


class TestPause:
    def test_drops_links_after_a_pause_before_reading_old_messages(self):
        # The remaining time of a request that was in the socket buffer during
        # a pause does not account for the pause, so it must not be started.
        recorder = Recorder()
        loop = create_loop("paused", recorder)
        address = loop.listen(ANY_PORT)
        with socket.create_connection(address) as sock:
            sock.sendall(
                codec.encode(messages.Hello(1, "g", "gateway", "d", ""))
            )
            while recorder.opened.empty():
                loop.run_once(loop.selector.select(1))
            sock.sendall(codec.encode(CHUNK))
            loop.last_run -= 2 * link_loop.LINK_TIMEOUT
            loop.run_once(loop.selector.select(1))
        assert recorder.closed.get_nowait() == "this process was paused"
        assert recorder.received.empty()


class FailingOnce(Recorder):
    """Raises an error on the first chunk."""

    def __init__(self):
        super().__init__()
        self.failures = 0

    def on_message(self, link, message):
        if isinstance(message, messages.Chunk) and not self.failures:
            self.failures += 1
            raise RuntimeError("test")
        super().on_message(link, message)


def next_chunk(recorder):
    while True:
        message = recorder.received.get(timeout=WAIT_SECONDS)
        if isinstance(message, messages.Chunk):
            return message


class TestHandlerErrors:
    def test_failed_message_closes_its_link_and_no_other(self):
        """Guards against an error that stops the I/O of all links."""
        server_events = FailingOnce()
        server = create_loop("server", server_events)
        address = server.listen(ANY_PORT)
        server.start()
        clients = [Recorder(), Recorder()]
        loops = [create_loop("client", events) for events in clients]
        for loop in loops:
            loop.start()
            loop.set_targets({address})
        first, second = (
            events.opened.get(timeout=WAIT_SECONDS) for events in clients
        )
        assert first.send(CHUNK)
        clients[0].closed.get(timeout=WAIT_SECONDS)
        assert second.send(CHUNK)
        assert next_chunk(server_events) == CHUNK
        again = clients[0].opened.get(timeout=WAIT_SECONDS)
        assert again.send(CHUNK)
        assert next_chunk(server_events) == CHUNK
        assert clients[1].closed.empty()
        for loop in (*loops, server):
            loop.stop(link_loop.LINK_TIMEOUT)

    def test_error_in_a_pass_does_not_end_the_thread(self, pair):
        """Guards against an I/O thread that ends after a failed heartbeat."""
        server_events, client_events, link, _ = pair
        loop = link.loop
        failed = threading.Event()

        def fail():
            failed.set()
            loop.before_heartbeats = None
            raise OSError(24, "too many open files")

        loop.before_heartbeats = fail
        assert failed.wait(WAIT_SECONDS)
        assert link.send(CHUNK)
        assert next_chunk(server_events) == CHUNK
        assert client_events.closed.empty()


class TestRouterErrors:
    def test_every_subscriber_is_notified_of_a_closed_link(self):
        """Guards against requests that keep waiting on a closed link."""
        router = link_router.create_link_router()
        notified = []

        def fail(_link, _reason):
            raise RuntimeError("test")

        router.subscribe_close(fail)
        router.subscribe_close(
            lambda link, reason: notified.append((link, reason))
        )
        link = types.SimpleNamespace(address="a")
        router.on_close(link, "test")
        assert notified == [(link, "test")]
