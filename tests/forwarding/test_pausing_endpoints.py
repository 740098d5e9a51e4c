"""Endpoints that answer 503 with Retry-After: they want nothing for a time."""

import contextlib
import threading

import pytest

from forwarding import forwarding_fakes as fakes
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import channel_pool

NOT_RUN = "X-Not-Run: 1\r\n"
REQUESTS = 20
# Requests that an endpoint of the forwarder's tests may have at a time.
PLACES = 6


def answer_busy(pause="3", status=503, head=NOT_RUN):
    """Return a script that turns requests away, with a Retry-After."""
    extra = head + f"Retry-After: {pause}\r\n"

    def script(endpoint, connection, request):
        del endpoint
        connection.sendall(fakes.answer(request, status, extra=extra))
        return True

    return script


def send(runner, count, first=0, time_left_ms=4000):
    """Send requests one after the other; return the answers."""
    answers = []
    with runner.connect() as client:
        for number in range(first, first + count):
            client.sendall(
                fakes.request_bytes(
                    attempt=f"r{number}", X_Time_Left_Ms=time_left_ms
                )
            )
            answers.append(fakes.read_answer(client))
    return answers


def start(scripts, **route):
    return contextlib.closing(
        fakes.RunningForwarder(
            fakes.configuration(1, fakes.route(**route)), scripts
        )
    )


# Test id, script, whether the endpoint gets requests after the first one.
SCRIPTS = [
    ("whole seconds", answer_busy("3"), False),
    ("fraction", answer_busy("2.5"), False),
    ("very long", answer_busy("1000000"), False),
    ("failure", answer_busy("3", head=""), False),
    ("429", answer_busy("3", 429), True),
    ("zero", answer_busy("0"), True),
    ("negative", answer_busy("-1"), True),
    ("no number", answer_busy("soon"), True),
    ("empty", answer_busy(""), True),
    ("not finite", answer_busy("inf"), True),
    ("nan", answer_busy("nan"), True),
    ("400 digits", answer_busy("9" * 400), True),
    ("twice", answer_busy("3\r\nRetry-After: 3"), True),
]


class TestPause:
    @pytest.mark.parametrize(
        ("script", "asked_again"),
        [case[1:] for case in SCRIPTS],
        ids=[case[0] for case in SCRIPTS],
    )
    def test_endpoint_that_pauses_gets_no_requests(self, script, asked_again):
        with start([script]) as runner:
            answers = send(runner, REQUESTS, time_left_ms=900)
            received = len(runner.backends[0].requests)
        assert {answer.status for answer in answers} == {503}
        if asked_again:
            assert received >= REQUESTS
        else:
            assert received == 1

    def test_endpoint_is_used_again_when_its_pause_ends(self):
        with start([answer_busy("0.7")]) as runner:
            backend = runner.backends[0]
            send(runner, 1, time_left_ms=600)
            backend.script = fakes.answer_ok
            (answer,) = send(runner, 1, first=1)
        assert answer.status == 200
        assert len(backend.requests) == 2

    def test_other_endpoints_get_the_requests(self):
        with start([answer_busy(), fakes.answer_ok]) as runner:
            answers = send(runner, REQUESTS)
            pausing, sound = runner.backends
        assert {answer.status for answer in answers} == {200}
        assert len(pausing.requests) <= 1
        assert len(sound.requests) == REQUESTS

    def test_requests_under_way_do_not_bring_further_ones(self):
        """Many requests are placed before the first answer arrives."""
        asked = threading.Barrier(PLACES)

        def script(endpoint, connection, request):
            asked.wait(fakes.WAIT_SECONDS)
            return answer_busy()(endpoint, connection, request)

        with start([script], max_attempts=1) as runner:
            clients = [runner.connect() for _ in range(PLACES + 2)]
            for number, client in enumerate(clients):
                client.sendall(fakes.request_bytes(attempt=f"r{number}"))
            answers = [fakes.read_answer(client) for client in clients]
            for client in clients:
                client.close()
            # Two requests had to queue.
            assert len(runner.backends[0].requests) == PLACES
        assert {answer.status for answer in answers} == {503}

    def test_request_that_was_placed_before_the_pause_goes_elsewhere(
        self, monkeypatch
    ):
        """The first endpoint pauses while the connection is being opened."""
        acquire = channel_pool.ChannelPool.acquire

        async def acquire_slowly(pool, endpoint, fresh):
            admission = runner.forwarder.admission
            if not admission.pauses.pauses:
                admission.pauses.record(endpoint, 3.0, runner.loop.time())
            return await acquire(pool, endpoint, fresh)

        with start([fakes.answer_ok, fakes.answer_ok]) as runner:
            monkeypatch.setattr(
                channel_pool.ChannelPool, "acquire", acquire_slowly
            )
            (answer,) = send(runner, 1)
            (paused,) = runner.forwarder.admission.pauses.pauses
            received = {
                f"e{number}": len(backend.requests)
                for number, backend in enumerate(runner.backends)
            }
        assert answer.status == 200
        assert received.pop(paused) == 0
        assert list(received.values()) == [1]

    def test_request_does_not_walk_through_all_that_pause(self):
        with start([answer_busy()] * 5, max_attempts=5) as runner:
            send(runner, 1, time_left_ms=900)
            received = sum(len(item.requests) for item in runner.backends)
        assert received == 2


class TestMovedLoad:
    def test_other_endpoint_gets_no_more_requests_than_it_has_places(self):
        """One that got more would turn requests away as well."""
        lock = threading.Lock()
        counts = {"open": 0, "most": 0}
        full = threading.Event()

        def script(endpoint, connection, request):
            with lock:
                counts["open"] += 1
                counts["most"] = max(counts["most"], counts["open"])
                if counts["open"] == PLACES:
                    full.set()
            full.wait(fakes.WAIT_SECONDS)
            with lock:
                counts["open"] -= 1
            return fakes.answer_ok(endpoint, connection, request)

        with start([answer_busy("30"), script]) as runner:
            pauses = runner.forwarder.admission.pauses
            endpoint = runner.forwarder.directory.listed["e0"].value
            pauses.record(endpoint, 30.0, runner.loop.time())
            clients = [runner.connect() for _ in range(PLACES + 3)]
            for number, client in enumerate(clients):
                client.sendall(fakes.request_bytes(attempt=f"r{number}"))
            answers = [fakes.read_answer(client) for client in clients]
            for client in clients:
                client.close()
        assert counts["most"] == PLACES
        assert {answer.status for answer in answers} == {200}


class TestRefusal:
    def test_request_that_cannot_wait_is_refused_at_once(self):
        with start([answer_busy("3")]) as runner:
            send(runner, 1, time_left_ms=900)
            (answer,) = send(runner, 1, first=1, time_left_ms=900)
        assert answer.status == 503
        assert 2.0 < float(answer.headers["retry-after"]) <= 3.75

    def test_refusals_spread_the_returns_over_time(self):
        with start([answer_busy("3")]) as runner:
            answers = send(runner, REQUESTS, time_left_ms=900)
        later = {answer.headers["retry-after"] for answer in answers[1:]}
        assert len(later) > REQUESTS // 2

    def test_queued_requests_that_cannot_wait_are_refused_at_once(self):
        answered = threading.Event()

        def script(endpoint, connection, request):
            answered.wait(fakes.WAIT_SECONDS)
            return answer_busy("30")(endpoint, connection, request)

        with start([script]) as runner:
            clients = [runner.connect() for _ in range(PLACES + 2)]
            for number, client in enumerate(clients):
                client.sendall(fakes.request_bytes(attempt=f"r{number}"))
            queues = runner.forwarder.admission.queues
            fakes.wait_until(lambda: len(queues.get("s", ())) == 2)
            answered.set()
            answers = [fakes.read_answer(client) for client in clients]
            for client in clients:
                client.close()
        assert {answer.status for answer in answers} == {503}
        assert all(
            float(answer.headers["retry-after"]) > 20 for answer in answers
        )

    def test_stream_under_way_goes_on_to_its_end(self):
        goes_on = threading.Event()

        def script(endpoint, connection, request):
            if request.attempt == "busy":
                return answer_busy()(endpoint, connection, request)
            connection.sendall(
                fakes.stream_head(request) + fakes.chunk(fakes.event(1))
            )
            goes_on.wait(fakes.WAIT_SECONDS)
            connection.sendall(fakes.chunk(fakes.event(2)) + b"0\r\n\r\n")
            return True

        with (
            start([script], kind=model.RequestKind.STREAM) as runner,
            runner.connect() as client,
            runner.connect() as other,
        ):
            client.sendall(fakes.request_bytes(attempt="r1"))
            backend = runner.backends[0]
            fakes.wait_until(lambda: backend.requests)
            other.sendall(fakes.request_bytes(attempt="busy"))
            assert fakes.read_answer(other).status == 503
            goes_on.set()
            answer = fakes.read_answer(client)
        assert answer.complete
        assert answer.body.count(b"data:") == 2
