"""Requests that make endpoints go dark: their connections stay silent."""

import asyncio
import concurrent.futures
import contextlib
import datetime
import random
import threading

import pytest

from forwarding import forwarding_fakes as fakes
from forwarding import test_forwarder
from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import crash_suspects
from verbenafall_gateway.forwarding import endpoint_lives
from verbenafall_gateway.forwarding import request_fingerprint

FIRST_START = 1_700_000_000_000
REPORT_SECONDS = 0.3
MAX_ENGINES_LOST = 2
RECORDS = fakes.route()
ONCE = fakes.route(kind=model.RequestKind.NON_IDEMPOTENT)
IMPATIENT = fakes.route(timeout=datetime.timedelta(seconds=0.6))
STREAM = fakes.route(kind=model.RequestKind.STREAM, resumable=True)


class Engines:
    """Engines that go dark on a deadly request, and start again."""

    def __init__(self):
        self.dark = threading.Event()
        self.over = threading.Event()
        self.went_dark = []
        self.starts = {}

    def script(self, endpoint, connection, request):
        if endpoint in self.went_dark or "deadly" in request.target:
            if endpoint not in self.went_dark:
                self.went_dark.append(endpoint)
            self.dark.set()
            self.over.wait(fakes.WAIT_SECONDS)
            return False
        if "stream" in request.target:
            return self.stream(endpoint, connection, request)
        return fakes.answer_ok(endpoint, connection, request)

    def stream(self, endpoint, connection, request):
        """Go dark after two events, unless the stream continues here."""
        if "last-event-id" in request.headers:
            return test_forwarder.all_events(endpoint, connection, request)
        connection.sendall(fakes.stream_head(request))
        for number in range(2):
            connection.sendall(fakes.chunk(fakes.event(number)))
        self.went_dark.append(endpoint)
        self.dark.set()
        self.over.wait(fakes.WAIT_SECONDS)
        return False

    def list_start(self, runner, name, backend, start):
        """List a start of an engine and wait until the gateway knows it."""
        self.starts[name] = start
        runner.list_endpoint(name, backend, started_at=start)
        listed = runner.forwarder.directory.listed
        fakes.wait_until(
            lambda: name in listed and listed[name].value.started_at == start
        )

    def restart(self, runner, after=REPORT_SECONDS * 1.5):
        """Start the dark engines again, some time after they went dark."""
        threading.Event().wait(after)
        for number, backend in enumerate(runner.backends):
            if backend in self.went_dark:
                # The process that starts is another one at the same address.
                self.went_dark.remove(backend)
                name = f"e{number}"
                self.list_start(runner, name, backend, self.starts[name] + 1)


@contextlib.contextmanager
def running(route, monkeypatch, count=4):
    monkeypatch.setattr(endpoint_lives, "START_REPORT_SECONDS", REPORT_SECONDS)
    engines = Engines()
    with test_forwarder.running(
        *[engines.script] * count, routes=[route]
    ) as runner:
        for number, backend in enumerate(runner.backends):
            engines.list_start(runner, f"e{number}", backend, FIRST_START)
        try:
            yield runner, engines
        finally:
            engines.over.set()


def send(pool, runner, number, target="/a/deadly", **more):
    data = fakes.request_bytes(target, attempt=f"r{number}", **more)
    return pool.submit(test_forwarder.call, runner, data)


class TestDeadlyRequest:
    """Guards against deadly requests that no closed connection gives away."""

    @pytest.mark.parametrize("route", [RECORDS, ONCE, IMPATIENT, STREAM])
    def test_request_that_comes_again_makes_two_engines_dark_at_most(
        self, route, monkeypatch
    ):
        """The request went to one more engine each time it came."""
        lost = 0
        with (
            running(route, monkeypatch) as (runner, engines),
            concurrent.futures.ThreadPoolExecutor() as pool,
        ):
            for number in range(5):
                engines.dark.clear()
                answer = send(pool, runner, number)
                for _ in range(2):
                    if not engines.dark.wait(0.3):
                        break
                    lost += len(engines.went_dark)
                    engines.dark.clear()
                    engines.restart(runner)
                assert answer.result(fakes.WAIT_SECONDS).status != 200
        assert 0 < lost <= MAX_ENGINES_LOST

    @pytest.mark.parametrize("leave_after", [0.0, 0.05])
    def test_request_whose_client_leaves_is_forgotten(
        self, monkeypatch, leave_after
    ):
        """Also while the gateway finds out whether its endpoint crashed."""

        async def check(address):
            await asyncio.sleep(0.2)

        script = test_forwarder.break_after(0)
        with test_forwarder.running(script, routes=[RECORDS]) as runner:
            exchange = runner.forwarder.exchange
            exchange.crash_check.connect = check
            for number in range(3):
                with runner.connect() as client:
                    client.sendall(fakes.request_bytes(attempt=f"r{number}"))
                    threading.Event().wait(leave_after)
            fakes.wait_until(lambda: not exchange.jobs)
            assert not exchange.lives.open

    def test_client_that_leaves_does_not_hide_it(self, monkeypatch):
        """The evidence comes after the attempt has ended."""
        with running(RECORDS, monkeypatch) as (runner, engines):
            with runner.connect() as client:
                client.sendall(fakes.request_bytes("/a/deadly"))
                assert engines.dark.wait(fakes.WAIT_SECONDS)
            jobs = runner.forwarder.exchange.jobs
            fakes.wait_until(lambda: not jobs)
            engines.restart(runner)
            suspects = runner.forwarder.suspects
            fakes.wait_until(lambda: suspects.histories)
            (history,) = suspects.histories.values()
            assert len(history.crashes) == 1


class TestSoundRequests:
    """Guards requests that were at an engine when it went dark."""

    def test_request_at_a_dark_engine_is_served_by_another(self, monkeypatch):
        """It got no answer until its time was over."""
        with (
            running(RECORDS, monkeypatch, count=1) as (runner, engines),
            concurrent.futures.ThreadPoolExecutor() as pool,
        ):
            with runner.connect() as client:
                client.sendall(fakes.request_bytes("/a/deadly"))
                assert engines.dark.wait(fakes.WAIT_SECONDS)
            sound = send(pool, runner, 2, "/a/sound")
            fakes.wait_until(lambda: len(runner.backends[0].requests) == 2)
            other = fakes.ScriptedEndpoint(engines.script, "127.0.0.9")
            engines.list_start(runner, "e9", other, FIRST_START)
            engines.restart(runner)
            assert sound.result(fakes.WAIT_SECONDS).status == 200
            other.close()

    def test_stream_continues_at_another_engine(self, monkeypatch):
        with (
            running(STREAM, monkeypatch) as (runner, engines),
            concurrent.futures.ThreadPoolExecutor() as pool,
        ):
            answer = send(pool, runner, 1, "/a/stream")
            assert engines.dark.wait(fakes.WAIT_SECONDS)
            engines.restart(runner)
            found = answer.result(fakes.WAIT_SECONDS)
            assert found.complete
            assert found.body == b"".join(map(fakes.event, range(5)))

    def test_request_that_reached_the_new_process_goes_on(self, monkeypatch):
        """It was sent before the entry showed the new start.

        Later entries of the same start do not end it either.
        """
        proceed = threading.Event()

        def script(endpoint, connection, request):
            proceed.wait(fakes.WAIT_SECONDS)
            return fakes.answer_ok(endpoint, connection, request)

        monkeypatch.setattr(endpoint_lives, "START_REPORT_SECONDS", 0.5)
        engines = Engines()
        with (
            test_forwarder.running(script, routes=[ONCE]) as runner,
            concurrent.futures.ThreadPoolExecutor() as pool,
        ):
            backend = runner.backends[0]
            engines.list_start(runner, "e0", backend, FIRST_START)
            answer = send(pool, runner, 1, "/a/sound")
            fakes.wait_until(lambda: backend.requests)
            engines.list_start(runner, "e0", backend, FIRST_START + 1)
            threading.Event().wait(0.6)
            engines.list_start(runner, "e9", backend, FIRST_START + 1)
            proceed.set()
            assert answer.result(fakes.WAIT_SECONDS).status == 200
            assert not runner.forwarder.suspects.histories


def endpoint(start=1, name="e1"):
    address = addresses.Address("127.0.0.1", 80)
    return endpoints.Endpoint(name, "s", address, "dc", 4, False, start)


NEVER = crash_suspects.NEVER


class TestLives:
    """Which attempts a later start concerns; times are in seconds."""

    @pytest.mark.parametrize(
        ("sent", "ended", "outlived", "crash", "start", "lost"),
        [
            # Open attempts.
            (0.0, None, None, NEVER, 2, True),
            (0.0, None, None, NEVER, 1, False),
            (0.0, None, None, NEVER, None, False),
            # It may have reached the new process.
            (8.5, None, None, NEVER, 2, False),
            # Attempts that ended without an answer.
            (0.0, 1.0, None, NEVER, 2, True),
            (0.0, 1.0, 3.0, NEVER, 2, False),
            # The answer may come from the new process.
            (0.0, 1.0, 9.0, NEVER, 2, True),
            # The crash was noticed when it happened.
            (0.0, 1.0, None, 3.0, 2, False),
            (0.0, None, None, 3.0, 2, True),
            # An earlier crash does not explain it.
            (4.0, 5.0, None, 3.0, 2, True),
        ],
    )
    def test_attempts_at_a_process_that_ended(
        self, sent, ended, outlived, crash, start, lost
    ):
        lives = endpoint_lives.create_endpoint_lives()
        attempt = endpoint_lives.SentAttempt(endpoint(), ("r",), sent)
        lives.record_sent("k", attempt)
        if ended is not None:
            lives.record_end("k", True, ended)
        if outlived is not None:
            lives.record_answer("e1", outlived)
        found = lives.take_lost(lambda _: start, lambda _: crash, 10.0)
        assert found == ([attempt] if lost else [])
        assert lives.take_lost(lambda _: start, lambda _: crash, 99.0) == []

    @pytest.mark.parametrize("seed", range(20))
    def test_what_is_remembered_is_bounded(self, seed):
        generator = random.Random(seed)
        lives = endpoint_lives.create_endpoint_lives()
        now = 0.0
        for number in range(2000):
            now += generator.expovariate(50)
            name = f"e{generator.randrange(4)}"
            attempt = endpoint_lives.SentAttempt(endpoint(1, name), (), now)
            lives.record_sent(number, attempt)
            lives.record_end(number, generator.random() < 0.9, now + 0.01)
            if generator.random() < 0.01:
                lives.record_answer(name, now)
        assert not lives.open
        for items in lives.ended.values():
            assert len(items) <= endpoint_lives.MAX_ENDED
        for name in list(lives.ended):
            lives.record_answer(name, now + 99.0)
        assert not lives.ended

    def test_each_start_is_reported_once(self):
        lives = endpoint_lives.create_endpoint_lives()
        starts = [1, 1, 2, 2, None, 2, None, 3, 1, 3]
        reports = [
            lives.take_restarted([endpoint(start)] if start else [])
            for start in starts
        ]
        restarts = [number for number, report in enumerate(reports) if report]
        assert restarts == [2, 7]

    def test_number_of_starts_is_bounded(self, monkeypatch):
        monkeypatch.setattr(endpoint_lives, "MAX_STARTS", 3)
        lives = endpoint_lives.create_endpoint_lives()
        for number in range(9):
            found = [endpoint(1, "kept"), endpoint(1, f"e{number}")]
            lives.take_restarted(found)
        assert set(lives.starts) == {"kept", "e7", "e8"}

    def test_parts_that_are_remembered_are_bounded(self, monkeypatch):
        monkeypatch.setattr(endpoint_lives, "MAX_ENDED_PARTS", 50)
        lives = endpoint_lives.create_endpoint_lives()
        for number in range(20):
            found = endpoint(1, f"e{number % 3}")
            parts = tuple(f"p{part}" for part in range(10))
            attempt = endpoint_lives.SentAttempt(found, parts, float(number))
            lives.record_sent(number, attempt)
            lives.record_end(number, True, number + 0.5)
        kept = [item for items in lives.ended.values() for item in items]
        times = sorted(item.attempt.sent_at for item in kept)
        assert times == [15.0, 16.0, 17.0, 18.0, 19.0]

    def test_answer_that_begins_ends_the_watch(self):
        lives = endpoint_lives.create_endpoint_lives()
        lives.record_sent("k", endpoint_lives.SentAttempt(endpoint(), (), 0.0))
        lives.record_end("k", False, 1.0)
        assert lives.take_lost(lambda _: 2, lambda _: NEVER, 9.0) == []


class TestTrials:
    """Guards against a second trial while the first one makes no sound."""

    @pytest.mark.parametrize(
        ("part", "renewed", "verdict"),
        [
            ("r1", False, crash_suspects.Trial),
            ("r1", True, crash_suspects.Blocked),
            # Another suspect is not held back for so long.
            ("r2", True, crash_suspects.Trial),
        ],
    )
    def test_silent_trial_holds_back_the_next(self, part, renewed, verdict):
        suspects = crash_suspects.create_crash_suspects()
        requests = [request_fingerprint.PREFIX + name for name in ("r1", "r2")]
        crash = crash_suspects.Crash("e1", 0.0, 0.2)
        suspects.record_crash("s", requests, crash)
        key = crash_suspects.PartKey("s", requests[0])
        suspects.record_trial(key, 1.0)
        if renewed:
            suspects.renew_trial(key, 4.0)
        found = suspects.judge("s", [request_fingerprint.PREFIX + part], 4.5)
        assert isinstance(found, verdict)

    def test_trial_that_ends_is_not_renewed(self):
        suspects = crash_suspects.create_crash_suspects()
        crash = crash_suspects.Crash("e1", 0.0, 0.2)
        suspects.record_crash("s", ["d"], crash)
        key = crash_suspects.PartKey("s", "d")
        suspects.record_trial(key, 1.0)
        suspects.renew_trial(key, 2.0)
        suspects.record_event("s", ["d"], 2.1)
        assert not suspects.renewed
