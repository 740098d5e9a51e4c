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
        kept = sum(len(name) + len(value) for name, value in lines.headers)
        assert kept <= http_client.MAX_HEADER_BYTES


INTERIM = b"HTTP/1.1 103 X\r\n%b\r\n\r\nHTTP/1.1 200 OK\r\n"
BODY = b"Content-Length: 2\r\n\r\nok"
# Test id, bytes of the response, whether it is an answer.
RESPONSES = [
    ("plain", b"HTTP/1.1 200 OK\r\n" + BODY, True),
    ("old version", b"HTTP/1.0 200 OK\r\n" + BODY, True),
    ("after interim", INTERIM % b"a: b" + BODY, True),
    ("status 000", b"HTTP/1.1 000 X\r\n" + BODY, False),
    ("status 700", b"HTTP/1.1 700 X\r\n" + BODY, False),
    ("switch", b"HTTP/1.1 101 X\r\n\r\nok", False),
    ("other version", b"HTTP/2.0 200 OK\r\n" + BODY, False),
    ("blank in a name", b"HTTP/1.1 200 OK\r\na b: c\r\n" + BODY, False),
    ("blank after a name", b"HTTP/1.1 200 OK\r\na : c\r\n" + BODY, False),
    ("control in a name", b"HTTP/1.1 200 OK\r\na\x01: c\r\n" + BODY, False),
    ("control in a value", b"HTTP/1.1 200 OK\r\na: \x01\r\n" + BODY, False),
    ("no name", b"HTTP/1.1 200 OK\r\n: c\r\n" + BODY, False),
    ("in an interim head", INTERIM % b"a b: c" + BODY, False),
    ("body of none", b"HTTP/1.1 204 X\r\n" + BODY, False),
    ("no HTTP", b"this is no answer\r\n\r\n", False),
    (
        "in a trailer",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nok\r\n0\r\na b: c\r\n\r\n",
        False,
    ),
]  # fmt: skip


class TestHeads:
    """Guards against heads that are no answer, read as one.

    Some were even taken as a sign that the request was never sent.
    """

    @pytest.mark.parametrize(
        ("data", "valid"),
        [item[1:] for item in RESPONSES],
        ids=[item[0] for item in RESPONSES],
    )
    def test_only_answers_are_returned(self, data, valid):
        listener = socket.create_server(("127.0.0.1", 0))

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(data)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
        result = http_client.create_http_client().call(
            http_client.HttpRequest("GET", url, (), b"", LIMIT, True)
        )
        thread.join(LIMIT.total_seconds())
        listener.close()
        if valid:
            assert result.unwrap().body == b"ok"
        else:
            assert result.failure().sent
