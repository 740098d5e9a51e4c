"""Endpoints that say in their answers that they leave."""

import contextlib
import socket

import pytest

from forwarding import forwarding_fakes as fakes
from verbenafall_core import endpoints
from verbenafall_core.routes import model

LEAVING = "X-Leaving: 1\r\n"
LATER_REQUESTS = 12


def answer_leaving(status=200, extra=""):
    """Return a script that answers with the header."""

    def script(endpoint, connection, request):
        del endpoint
        connection.sendall(fakes.answer(request, status, extra=LEAVING + extra))
        return True

    return script


def stream_leaving(endpoint, connection, request):
    del endpoint
    head = fakes.stream_head(request).replace(
        b"Transfer-Encoding", LEAVING.encode() + b"Transfer-Encoding"
    )
    connection.sendall(head)
    for number in range(1, 4):
        connection.sendall(fakes.chunk(fakes.event(number)))
    connection.sendall(b"0\r\n\r\n")
    return True


def cut_after_the_head(endpoint, connection, request):
    del endpoint
    data = fakes.answer(request, body=b"x" * 100, extra=LEAVING)
    connection.sendall(data[:-50])
    connection.shutdown(socket.SHUT_RDWR)
    return False


def second_answer(endpoint, connection, request):
    """Send another answer, with the header, after a complete one."""
    del endpoint
    connection.sendall(
        fakes.answer(request) + fakes.answer(request, extra=LEAVING)
    )
    return True


def answer_to_another_request(endpoint, connection, request):
    """Send an answer to another request, with the header, before its own."""
    del endpoint
    other = fakes.EndpointRequest(b"GET / HTTP/1.1\r\nX-Request-Id: o", b"")
    connection.sendall(
        fakes.answer(other, extra=LEAVING) + fakes.answer(request)
    )
    return True


NOT_RUN = "X-Not-Run: 1\r\n"

# Test id, script of the first answer, kind of route, whether the endpoint
# leaves.
ANSWERS = [
    ("success", answer_leaving(), model.RequestKind.IDEMPOTENT, True),
    ("failure", answer_leaving(500), model.RequestKind.IDEMPOTENT, True),
    ("429", answer_leaving(429, NOT_RUN), model.RequestKind.IDEMPOTENT, True),
    ("503", answer_leaving(503, NOT_RUN), model.RequestKind.IDEMPOTENT, True),
    ("421", answer_leaving(421, NOT_RUN), model.RequestKind.IDEMPOTENT, False),
    ("stream", stream_leaving, model.RequestKind.STREAM, True),
    ("cut", cut_after_the_head, model.RequestKind.IDEMPOTENT, True),
    ("second answer", second_answer, model.RequestKind.IDEMPOTENT, False),
    (
        "answer to another request",
        answer_to_another_request,
        model.RequestKind.IDEMPOTENT,
        False,
    ),
]


def send(runner, count):
    with runner.connect() as client:
        for number in range(count):
            client.sendall(fakes.request_bytes(attempt=f"r{number}"))
            fakes.read_answer(client)


def start(scripts, kind=model.RequestKind.IDEMPOTENT):
    return contextlib.closing(
        fakes.RunningForwarder(
            fakes.configuration(1, fakes.route(kind=kind)), scripts
        )
    )


def put_endpoint(runner, name, started_at, draining=False):
    """List the first endpoint under a name, with its start."""
    runner.listed.put(
        name,
        endpoints.Endpoint(
            name,
            "s",
            runner.backends[0].address,
            "dc",
            4,
            draining,
            started_at,
        ),
    )


def usable(runner):
    return {e.id for e in runner.forwarder.directory.usable("s")}


class TestLeavingAnswers:
    @pytest.mark.parametrize(
        ("script", "kind", "leaves"),
        [case[1:] for case in ANSWERS],
        ids=[case[0] for case in ANSWERS],
    )
    def test_endpoint_that_said_it_leaves_gets_no_new_request(
        self, script, kind, leaves
    ):
        with start([script], kind) as runner:
            send(runner, 1)
            backend = runner.backends[0]
            backend.script = fakes.answer_ok
            if script in (second_answer,):
                # The connection that brought it is closed.
                send(runner, 1)
            assert ("e0" in runner.forwarder.directory.stopping) is leaves
            before = len(backend.requests)
            send(runner, LATER_REQUESTS)
            if leaves:
                assert len(backend.requests) == before

    def test_other_endpoints_get_the_requests(self):
        with start([answer_leaving(), fakes.answer_ok]) as runner:
            send(runner, 40)
            leaving, staying = runner.backends
            assert len(leaving.requests) <= 1
            assert len(staying.requests) >= 39

    def test_stream_of_an_endpoint_that_leaves_is_complete(self):
        with start([stream_leaving], model.RequestKind.STREAM) as runner:
            with runner.connect() as client:
                client.sendall(fakes.request_bytes())
                answer = fakes.read_answer(client)
            assert answer.complete
            assert answer.body.count(b"data:") == 3

    def test_request_is_refused_at_once_when_all_endpoints_leave(self):
        with start([answer_leaving()]) as runner:
            send(runner, 1)
            with runner.connect() as client:
                client.sendall(fakes.request_bytes(attempt="r2"))
                answer = fakes.read_answer(client)
        assert answer.status == 503
        assert 0.5 <= float(answer.headers["retry-after"]) <= 1.5


class TestLifeOfTheEndpoint:
    def test_entry_that_is_written_again_does_not_bring_it_back(self):
        with start([answer_leaving()]) as runner:
            put_endpoint(runner, "e0", 10)
            fakes.wait_until(lambda: "e0" in usable(runner))
            send(runner, 1)
            assert usable(runner) == set()
            put_endpoint(runner, "e0", 10)
            put_endpoint(runner, "e1", 10)
            fakes.wait_until(lambda: "e1" in usable(runner))
            assert usable(runner) == {"e1"}

    def test_new_start_under_the_same_id_is_used(self):
        with start([answer_leaving()]) as runner:
            put_endpoint(runner, "e0", 10)
            directory = runner.forwarder.directory
            fakes.wait_until(
                lambda: directory.listed["e0"].value.started_at == 10
            )
            send(runner, 1)
            assert usable(runner) == set()
            put_endpoint(runner, "e0", 11)
            fakes.wait_until(lambda: "e0" in usable(runner))

    def test_endpoint_without_a_start_is_used_once_it_is_listed_anew(self):
        with start([answer_leaving()]) as runner:
            send(runner, 1)
            runner.listed.remove("e0")
            directory = runner.forwarder.directory
            fakes.wait_until(lambda: "e0" not in directory.listed)
            runner.list_endpoint("e0", runner.backends[0])
            fakes.wait_until(lambda: "e0" in usable(runner))
