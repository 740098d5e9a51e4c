"""HTTP server: framing, limits and slow clients, over raw sockets."""

import contextlib
import datetime
import json
import socket
import types

import pytest

from gateway import gateway_fakes as fakes
from verbenafall_core import clock as clock_lib
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.client_http import http_server
from verbenafall_gateway.delivery import activity as activity_lib

HOST = "Host: a\r\n"
GET = "GET /-/ready HTTP/1.1\r\n"
POST = "POST /v1/chat/completions HTTP/1.1\r\n"
AUTH = f"Authorization: Bearer {fakes.CREDENTIAL}\r\n"

# Name, head of the request, body, expected status.
REQUESTS = [
    ("good", GET + HOST, "", 200),
    ("empty_body", POST + HOST + AUTH, "", 400),
    (
        "length_and_encoding",
        POST + HOST + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "0\r\n\r\n",
        400,
    ),
    (
        "repeated_length",
        POST + HOST + "Content-Length: 3\r\nContent-Length: 4\r\n",
        "abcd",
        400,
    ),
    ("signed_length", POST + HOST + "Content-Length: +3\r\n", "abc", 400),
    (
        "length_with_underscore",
        POST + HOST + "Content-Length: 1_0\r\n",
        "abc",
        400,
    ),
    ("spaced_name", POST + HOST + "Content-Length : 3\r\n", "abc", 400),
    ("folded", GET + HOST + "X-A: 1\r\n b\r\n", "", 400),
    (
        "two_encodings",
        POST + HOST + "Transfer-Encoding: gzip, chunked\r\n",
        "",
        400,
    ),
    (
        "encoding_in_http_1_0",
        POST.replace("1.1", "1.0") + HOST + "Transfer-Encoding: chunked\r\n",
        "0\r\n\r\n",
        400,
    ),
    ("repeated_credential", GET + HOST + AUTH + AUTH, "", 400),
    (
        "over_read_limit",
        POST + HOST + AUTH + "Content-Length: 9999999\r\n",
        "",
        413,
    ),
    (
        "over_body_limit",
        POST + HOST + AUTH + "Content-Length: 1048577\r\n",
        "x" * 1048577,
        413,
    ),
    (
        "over_body_limit_chunked",
        POST + HOST + AUTH + "Transfer-Encoding: chunked\r\n",
        f"100001\r\n{'x' * 0x100001}\r\n0\r\n\r\n",
        413,
    ),
    (
        "bad_chunk",
        POST + HOST + AUTH + "Transfer-Encoding: chunked\r\n",
        "zz\r\n",
        400,
    ),
]


class JumpingClock(clock_lib.SystemClock):
    """Advances by six seconds at each reading."""

    def __init__(self):
        self.seconds = 0

    def monotonic(self):
        self.seconds += 6
        return datetime.timedelta(seconds=self.seconds)


@contextlib.contextmanager
def serving(clock=None):
    gateway = fakes.create_gateway()
    server = http_server.create_http_server(
        fakes.ANY_PORT,
        gateway.app,
        2,
        clock or clock_lib.system_clock(),
        gateway.activity,
    )
    server.start()
    try:
        yield server.address(), gateway
    finally:
        server.stop(datetime.timedelta(seconds=2))


def exchange(address, data):
    """Send bytes; return status and body once the connection is closed."""
    with socket.create_connection(address, 10) as sock:
        sock.sendall(data)
        answer = b""
        while part := sock.recv(65536):
            answer += part
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


class SlowSocket:
    """Accepts a limited number of bytes per call."""

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.received = b""

    def send(self, data):
        part = bytes(data[: self.max_bytes])
        self.received += part
        return len(part)


# Whether the body is chunked, its parts, and the bytes that the client gets.
PARTS = {
    "plain": (False, [b"abc", b"de"], b"abcde"),
    "chunked": (True, [b"abc", b"x" * 17], b"3\r\nabc\r\n11\r\n%b\r\n"),
    "an empty part does not end a chunked body": (True, [b""], b""),
}


class TestWrite:
    @pytest.mark.parametrize("max_bytes", [1, 4, 1000])
    @pytest.mark.parametrize("label", PARTS)
    def test_parts_are_sent_completely(self, label, max_bytes):
        """Guards against truncated answers when the socket buffer is full."""
        chunked, parts, expected = PARTS[label]
        request = http_server.GatewayRequest.__new__(http_server.GatewayRequest)
        request.chunked_write = chunked
        request.conn = types.SimpleNamespace(socket=SlowSocket(max_bytes))
        for part in parts:
            request.write(part)
        if label == "chunked":
            expected %= b"x" * 17
        assert request.conn.socket.received == expected


class TestHttpServer:
    @pytest.mark.parametrize(
        ("head", "body", "status"),
        [row[1:] for row in REQUESTS],
        ids=[row[0] for row in REQUESTS],
    )
    def test_statuses(self, head, body, status):
        """Guards against request smuggling and refusals without an outcome."""
        with serving() as (address, _):
            request = f"{head}Connection: close\r\n\r\n{body}".encode()
            found, answer = exchange(address, request)
        assert found == status
        if status != 200:
            assert json.loads(answer)["error"]["outcome"] == "not_run"

    def test_slow_body_is_refused(self):
        """Guards against clients that occupy a thread by sending slowly."""
        with serving(JumpingClock()) as (address, _):
            head = f"{POST}{HOST}{AUTH}Content-Length: 50\r\n\r\n"
            found, answer = exchange(address, f"{head}abc".encode())
        assert found == 408
        assert json.loads(answer)["error"]["outcome"] == "not_run"

    def test_connection_is_kept_for_further_requests(self):
        """Guards against a new connection for each request."""
        with serving() as (address, _):
            two = f"{GET}{HOST}\r\n{GET}{HOST}Connection: close\r\n\r\n"
            _, body = exchange(address, two.encode())
        assert body.count(b'"ready": true') == 2

    def test_refusals_of_a_stopping_gateway_close_the_connection(self):
        """Guards against clients that keep using a stopping gateway."""
        with serving() as (address, gateway):
            gateway.state.enter(service_state.Phase.REFUSING)
            request = f"{POST}{HOST}{AUTH}Content-Length: 2\r\n\r\n{{}}"
            found, _ = exchange(address, request.encode())
        assert found == 503

    def test_counts_open_requests(self):
        """Guards against a stop that cuts off open requests."""
        activity = activity_lib.create_activity()
        activity.record_start()
        assert activity.wait_idle(datetime.timedelta()) == 1
        activity.record_end()
        assert activity.wait_idle(datetime.timedelta(seconds=1)) == 0
