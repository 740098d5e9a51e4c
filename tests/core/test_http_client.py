"""HTTP calls whose response does not end."""

import contextlib
import datetime
import socket
import threading

import pytest
import returns.pipeline

from verbenafall_core import http_client

ENDLESS = [
    ("header lines", b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 500),
    ("one header line", b"HTTP/1.1 200 OK\r\na: ", b"x" * 4096),
    ("interim answers", b"", b"HTTP/1.1 103 X\r\na: b\r\n\r\n" * 100),
    ("body", b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
]
LIMIT = datetime.timedelta(seconds=10)


@contextlib.contextmanager
def server(start, rest):
    """Serve one connection with bytes until it is closed."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        connection, _ = listener.accept()
        with contextlib.suppress(OSError), connection:
            connection.recv(65536)
            connection.sendall(start)
            while True:
                connection.sendall(rest)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield f"http://127.0.0.1:{listener.getsockname()[1]}/"
    thread.join(LIMIT.total_seconds())
    listener.close()
    assert not thread.is_alive()


class TestEndlessResponse:
    @pytest.mark.parametrize(
        ("start", "rest"),
        [item[1:] for item in ENDLESS],
        ids=[item[0] for item in ENDLESS],
    )
    def test_call_fails_before_its_time_limit(self, start, rest):
        with server(start, rest) as url:
            result = http_client.create_http_client().call(
                http_client.HttpRequest("GET", url, (), b"", LIMIT, True)
            )
        assert not returns.pipeline.is_successful(result)
        assert "timed out" not in result.failure().message

    def test_header_lines_are_bounded(self):
        lines = http_client.HeaderLines()
        line = b"a: b\r\n"
        while lines.add(line):
            assert lines.size <= http_client.MAX_HEADER_BYTES
        assert sum(map(len, lines.lines)) <= http_client.MAX_HEADER_BYTES
