"""A request that crashes each engine that begins to run it."""

import concurrent.futures
import contextlib
import datetime
import threading

import pytest

from forwarding import forwarding_fakes as fakes
from forwarding import test_crashing_part
from forwarding import test_forwarder
from verbenafall_core.object_store import store_era
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import crash_suspects
from verbenafall_standins.fakes import memory_store

MAX_ENGINES_LOST = 2
RECORDS = fakes.route(
    timeout=datetime.timedelta(seconds=5),
    latency_target=datetime.timedelta(seconds=3),
)
ONCE = fakes.route(kind=model.RequestKind.NON_IDEMPOTENT)
STREAM = fakes.route(kind=model.RequestKind.STREAM, resumable=True)
TEAMS = {
    "k1": model.Team("team-a", None),
    "k2": model.Team("team-a", None),
    "k3": model.Team("team-b", None),
}


def engine(endpoint, connection, request):
    """Crash on a request that says so in its target or body."""
    if "deadly" in request.target or b"deadly" in request.body:
        endpoint.crash()
        return False
    if "x-prompt-parts" in request.headers:
        return test_forwarder.all_events(endpoint, connection, request)
    return fakes.answer_ok(endpoint, connection, request)


@contextlib.contextmanager
def running(*routes, engines=6, script=engine, teams=None, store=None):
    with test_forwarder.running(
        *[script] * engines,
        routes=routes or [RECORDS],
        teams=teams,
        store=store,
    ) as runner:
        yield runner


def call(runner, number, *args, **more):
    data = fakes.request_bytes(*args, attempt=f"r{number}", **more)
    return test_forwarder.call(runner, data)


crashes = test_crashing_part.crashes

# Test id, route, arguments of the request.
REQUESTS = [
    ("read", RECORDS, {"target": "/a/deadly"}),
    ("read without a body in the answer", RECORDS, {"method": "HEAD"}),
    ("write", RECORDS, {"method": "POST", "body": b"deadly"}),
    (
        "long write",
        RECORDS,
        {"method": "POST", "body": b"x" * 9000 + b"deadly"},
    ),
    ("one attempt only", RECORDS._replace(max_attempts=1), {}),
    ("many attempts", RECORDS._replace(max_attempts=5), {}),
    ("may run once only", ONCE, {"method": "POST", "body": b"deadly"}),
    ("stream", STREAM, {"x_prompt_parts": "own1:9"}),
    ("stream that resumes", STREAM, {"last_event_id": "3"}),
]


class TestOneGateway:
    @pytest.mark.parametrize(
        ("route", "arguments"),
        [case[1:] for case in REQUESTS],
        ids=[case[0] for case in REQUESTS],
    )
    def test_request_that_comes_again_crashes_two_engines_at_most(
        self, route, arguments
    ):
        arguments = {"target": "/a/deadly", **arguments}
        with running(route) as runner:
            for number in range(6):
                call(runner, number, **arguments)
            assert 0 < crashes(runner) <= MAX_ENGINES_LOST

    def test_ids_deadlines_and_keys_do_not_make_another_request(self):
        with running(teams=TEAMS) as runner:
            for number, key in enumerate(["k1", "k2", "k1", "k2"]):
                call(
                    runner,
                    number,
                    "/a/deadly",
                    X_Api_Key=key,
                    X_Time_Left_Ms=f"{900 + number}",
                )
            assert crashes(runner) <= MAX_ENGINES_LOST

    @pytest.mark.parametrize(
        "other",
        [
            {"target": "/a/x"},
            {"target": "/a/deadlz"},
            {"target": "/a/x", "method": "POST", "body": b"b"},
        ],
    )
    def test_other_requests_are_served(self, other):
        with running() as runner:
            for number in range(4):
                call(runner, number, "/a/deadly")
            answer = call(runner, 9, **other)
            assert (answer.status, answer.complete) == (200, True)

    def test_same_request_of_another_team_is_served(self):
        """Only what the first team sends crashes engines."""

        def script(endpoint, connection, request):
            if request.headers["x-team"] == "team-a":
                endpoint.crash()
                return False
            return fakes.answer_ok(endpoint, connection, request)

        with running(script=script, teams=TEAMS) as runner:
            for number in range(4):
                call(runner, number, X_Api_Key="k1")
            assert call(runner, 9, X_Api_Key="k3").status == 200

    def test_parts_of_a_request_that_is_deadly_by_itself_are_served(self):
        with running(STREAM) as runner:
            call(runner, 0, x_prompt_parts="shared:4,own0:9")
            for number in range(1, 5):
                call(
                    runner,
                    number,
                    "/a/deadly",
                    x_prompt_parts="shared:4,own1:9",
                )
            assert crashes(runner) <= MAX_ENGINES_LOST
            answer = call(runner, 9, x_prompt_parts="shared:4,own9:9")
            assert (answer.status, answer.complete) == (200, True)


class TestConcurrentRequests:
    def test_requests_that_end_with_the_engine_are_served(self):
        """The engine runs several requests when one of them crashes it."""
        together = threading.Barrier(4)
        first = []
        lock = threading.Lock()

        def script(endpoint, connection, request):
            with lock:
                if not first:
                    first.append(endpoint)
            if endpoint is first[0] and not endpoint.gone.is_set():
                together.wait(fakes.WAIT_SECONDS)
                if "deadly" not in request.target:
                    return endpoint.gone.wait(fakes.WAIT_SECONDS)
            return engine(endpoint, connection, request)

        with (
            running(script=script, engines=1) as runner,
            concurrent.futures.ThreadPoolExecutor() as pool,
        ):
            targets = ["/a/x1", "/a/x2", "/a/x3", "/a/deadly"]
            answers = [
                pool.submit(call, runner, number, target)
                for number, target in enumerate(targets)
            ]
            # The others come when all requests are at the first engine.
            fakes.wait_until(lambda: len(runner.backends[0].requests) == 4)
            others = [
                fakes.ScriptedEndpoint(engine, f"127.0.0.{number}")
                for number in range(2, 6)
            ]
            for number, other in enumerate(others, 1):
                runner.list_endpoint(f"e{number}", other)
            statuses = [
                item.result(fakes.WAIT_SECONDS).status for item in answers
            ]
            for other in others:
                other.close()
            assert statuses[:3] == [200, 200, 200]
            assert statuses[3] != 200
            lost = sum(item.gone.is_set() for item in others)
            assert crashes(runner) + lost <= MAX_ENGINES_LOST


class TestSeveralGateways:
    def test_request_that_comes_to_all_crashes_two_engines_at_most(self):
        with (
            running() as first,
            test_crashing_part.second_gateway(first) as second,
        ):
            for number in range(6):
                call((first, second)[number % 2], number, "/a/deadly")
            assert crashes(first) <= MAX_ENGINES_LOST

    def test_gateway_without_the_store_and_links_crashes_one_engine(
        self, monkeypatch
    ):
        """Each of several such gateways would crash two."""
        monkeypatch.setattr(
            crash_suspects, "REQUEST_TRIAL_SPACING_SECONDS", 0.0
        )
        with running() as first:
            second = fakes.RunningForwarder(
                fakes.configuration(1, RECORDS), [], "g2", just_started=True
            )
            try:
                for number, backend in enumerate(first.backends):
                    second.list_endpoint(f"e{number}", backend)
                known = second.forwarder.directory.listed
                fakes.wait_until(lambda: len(known) == len(first.backends))
                for number in range(4):
                    call(second, number, "/a/deadly")
            finally:
                second.close()
            assert crashes(first) == 1

    def test_gateway_that_starts_later_hears_of_it(self):
        with running() as first:
            call(first, 1, "/a/deadly")
            before = crashes(first)
            with test_crashing_part.second_gateway(first) as second:
                suspects = second.forwarder.suspects
                fakes.wait_until(lambda: suspects.histories)
                call(second, 2, "/a/deadly")
            assert crashes(first) == before <= MAX_ENGINES_LOST

    def test_request_is_known_after_all_gateways_were_lost(self):
        store = memory_store.create_memory_store()

        def client():
            return memory_store.MemoryStoreClient(
                store, store_era.create_store_era()
            )

        with running(store=client()) as first:
            call(first, 1, "/a/deadly")
            record = first.forwarder.suspect_record
            fakes.wait_until(lambda: record.saved)
        with running(store=client()) as second:
            suspects = second.forwarder.suspects
            fakes.wait_until(lambda: suspects.histories)
            call(second, 2, "/a/deadly")
            assert crashes(first) + crashes(second) <= MAX_ENGINES_LOST
