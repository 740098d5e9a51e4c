"""Transfers: a non-idempotent request is sent at most once."""

import datetime
import queue
import socket
import threading

import pytest
import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import http_client
from verbenafall_sidecar.delivery import transfers

WAIT_SECONDS = 10
LIMIT = datetime.timedelta(seconds=10)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClosingServer:
    """Responds once on each connection and closes it on the next request.

    The closed request counts as received, as with an endpoint that crashes
    after it has processed a request but before it has responded.
    """

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}/"
        self.requests = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                if self.receive(connection):
                    connection.sendall(RESPONSE)
                    self.receive(connection)

    def receive(self, connection):
        data = connection.recv(65536)
        if data:
            self.requests.append(data.split(b" ", 1)[0])
        return data

    def close(self):
        self.listener.close()


class Sink:
    def __init__(self):
        self.body = b""
        self.done = queue.Queue()

    def on_data(self, _status, data):
        self.body += data
        return True

    def on_done(self, result):
        self.done.put(result)

    def wait(self):
        return self.done.get(timeout=WAIT_SECONDS)


@pytest.fixture
def loop():
    created = transfers.create_transfer_loop(clock_lib.system_clock())
    created.start()
    yield created
    created.stop(LIMIT)


@pytest.fixture
def server():
    created = ClosingServer()
    yield created
    created.close()


def call(loop, url, single_use):
    sink = Sink()
    request = http_client.HttpRequest("POST", url, (), b"x", LIMIT, single_use)
    loop.start_transfer(request, sink)
    return sink.wait()


class TestRepeat:
    @pytest.mark.parametrize(
        ("single_use", "received"),
        # On a reused connection libcurl sends the second request twice: once
        # on the reused one, which the server closes after it has read the
        # request, and again on a new one.
        [(True, 2), (False, 3)],
    )
    def test_requests_that_reach_the_server(
        self, loop, server, single_use, received
    ):
        results = [call(loop, server.url, single_use) for _ in range(2)]
        assert all(map(returns.pipeline.is_successful, results))
        assert len(server.requests) == received


class TestEnd:
    @pytest.mark.parametrize(
        ("response", "sent"),
        [
            (b"", True),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", True),
            (None, False),
        ],
        ids=["closed", "truncated", "refused"],
    )
    def test_failure_states_whether_the_request_was_sent(
        self, loop, response, sent
    ):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            if response is None:
                listener.close()
            else:
                threading.Thread(
                    target=self.respond_once,
                    args=(listener, response),
                    daemon=True,
                ).start()
            result = call(loop, f"http://127.0.0.1:{port}/", True)
        assert result.failure().sent == sent

    def respond_once(self, listener, response):
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(response)

    def test_cancel_ends_the_transfer(self, loop):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            sink = Sink()
            url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
            request = http_client.HttpRequest("GET", url, (), b"", LIMIT, True)
            transfer = loop.start_transfer(request, sink)
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                transfer.cancel()
                assert sink.wait().failure().sent

    def test_exception_in_a_sink_does_not_stop_the_loop(self, loop, server):
        class BadSink(Sink):
            def on_data(self, _status, data):
                raise RuntimeError("test")

        sink = BadSink()
        request = http_client.HttpRequest(
            "GET", server.url, (), b"", LIMIT, True
        )
        loop.start_transfer(request, sink)
        assert not returns.pipeline.is_successful(sink.wait())
        assert returns.pipeline.is_successful(call(loop, server.url, True))
