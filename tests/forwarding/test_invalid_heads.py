"""Heads from endpoints in trouble that are no answers."""

import random

import pytest

from forwarding import forwarding_fakes as fakes
from forwarding import test_forwarder
from verbenafall_core.routes import model

ROUTES = {
    "idempotent": fakes.route(),
    "once": fakes.route(kind=model.RequestKind.NON_IDEMPOTENT),
    "stream": fakes.route(kind=model.RequestKind.STREAM, resumable=True),
}
STATUSES = ["000", "001", "099", "101", "600", "700", "999"]
VERSIONS = ["HTTP/2.0", "HTTP/0.9", "HTTP/1.2"]
LINES = ["a b: c", "a : b", "a\x01: b", "a\x7fb: c", "a: \x01", ": b", "a"]
FRAMINGS = ["length", "chunked", "close"]


def head_with(start, line, framing, interim, request):
    """Encode a signed answer whose head is not valid."""
    fields = [
        f"X-Request-Id: {request.attempt}",
        "X-Signature: s",
        *([line] if line else []),
    ]
    body = "id: 0\ndata: t0\n\n"
    if framing == "length":
        fields.append(f"Content-Length: {len(body)}")
    elif framing == "chunked":
        fields.append("Transfer-Encoding: chunked")
        body = f"{len(body):x}\r\n{body}\r\n0\r\n\r\n"
    before = "HTTP/1.1 103 Early\r\nA: b\r\n\r\n" if interim else ""
    lines = [before + start, *fields]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode("latin-1")


def draw_head(generator):
    """Draw a fault of a head, its framing and what precedes it."""
    start, line = "HTTP/1.1 200 OK", ""
    kind = generator.choice(["status", "version", "line"])
    if kind == "status":
        start = f"HTTP/1.1 {generator.choice(STATUSES)} X"
    elif kind == "version":
        start = f"{generator.choice(VERSIONS)} 200 OK"
    else:
        line = generator.choice(LINES)
    return start, line, generator.choice(FRAMINGS), generator.random() < 0.3


class TestInvalidHead:
    """Guards against a head that is no answer, relayed as one."""

    @pytest.mark.parametrize("kind", ROUTES)
    @pytest.mark.parametrize("status", STATUSES)
    def test_status(self, status, kind):
        def script(endpoint, connection, request):
            start = f"HTTP/1.1 {status} X"
            connection.sendall(head_with(start, "", "length", False, request))
            return True

        with test_forwarder.running(script, routes=[ROUTES[kind]]) as runner:
            answer = test_forwarder.call(runner)
            assert answer.status == 502
            assert "x-signature" not in answer.headers

    @pytest.mark.parametrize("seed", range(60))
    def test_drawn_head(self, seed):
        generator = random.Random(seed)
        drawn = draw_head(generator)
        kind = generator.choice(list(ROUTES))

        def script(endpoint, connection, request):
            connection.sendall(head_with(*drawn, request))
            return False

        good = (
            test_forwarder.all_events if kind == "stream" else fakes.answer_ok
        )
        with test_forwarder.running(
            script, good, routes=[ROUTES[kind]]
        ) as runner:
            answer = test_forwarder.call(runner)
            if len(runner.backends[0].requests) and kind == "once":
                assert answer.status == 502
                assert "x-signature" not in answer.headers
            else:
                assert (answer.status, answer.complete) == (200, True)

    @pytest.mark.parametrize(
        "fields",
        [
            "Content-Length: 5\r\n\r\nhello",
            "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        ],
    )
    def test_no_content_with_a_body(self, fields):
        def script(endpoint, connection, request):
            connection.sendall(
                f"HTTP/1.1 204 X\r\nX-Request-Id: {request.attempt}\r\n"
                f"X-Signature: s\r\n{fields}".encode()
            )
            return False

        with test_forwarder.running(script) as runner:
            assert test_forwarder.call(runner).status == 502


class TestEncodedBody:
    """Guards against a body that the client cannot read."""

    @pytest.mark.parametrize(
        ("encoding", "accepted", "relayed"),
        [
            ("gzip", None, False),
            ("gzip", "identity", False),
            ("gzip", "gzip, br", True),
            ("identity", None, True),
        ],
    )
    @pytest.mark.parametrize("status", [200, 500])
    def test_only_as_the_client_asked(
        self, status, encoding, accepted, relayed
    ):
        def script(endpoint, connection, request):
            extra = f"Content-Encoding: {encoding}\r\n"
            connection.sendall(fakes.answer(request, status, b"x", extra))
            return True

        fields = {} if accepted is None else {"Accept_Encoding": accepted}
        with test_forwarder.running(script) as runner:
            data = fakes.request_bytes(**fields)
            answer = test_forwarder.call(runner, data)
            assert answer.status == (status if relayed else 502)
            assert ("x-signature" in answer.headers) is relayed
