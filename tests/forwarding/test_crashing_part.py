"""Requests with a part of a prompt that crashes each engine."""

import contextlib

import pytest

from forwarding import forwarding_fakes as fakes
from forwarding import test_forwarder
from verbenafall_core.routes import model

ROUTE = fakes.route(kind=model.RequestKind.STREAM, resumable=True)
DEADLY = "dead1"


def engine(endpoint, connection, request):
    """Crash before the first event of an answer on the deadly part."""
    if DEADLY in request.headers.get("x-prompt-parts", ""):
        endpoint.crash()
        return False
    return test_forwarder.all_events(endpoint, connection, request)


def prompt(number, *parts):
    """Return a request with shared parts and one of its own."""
    items = [*(f"{part}:40" for part in parts), f"own{number}:9"]
    return fakes.request_bytes(
        attempt=f"r{number}", x_prompt_parts=",".join(items)
    )


@contextlib.contextmanager
def running(engines=4):
    with test_forwarder.running(*[engine] * engines, routes=[ROUTE]) as runner:
        yield runner


def crashes(runner):
    return sum(backend.gone.is_set() for backend in runner.backends)


class TestOneGateway:
    def test_request_that_crashed_an_engine_is_not_sent_to_another(self):
        with running() as runner:
            answer = test_forwarder.call(runner, prompt(1, "sound", DEADLY))
            assert crashes(runner) == 1
            assert answer.status == 502

    def test_further_requests_with_the_part_crash_no_engine(self):
        with running() as runner:
            test_forwarder.call(runner, prompt(0, "sound"))
            test_forwarder.call(runner, prompt(1, "sound", DEADLY))
            for number in range(2, 6):
                answer = test_forwarder.call(
                    runner, prompt(number, f"other{number}", DEADLY)
                )
                assert answer.status == 503
                assert float(answer.headers["retry-after"]) > 0
            assert crashes(runner) == 1

    @pytest.mark.parametrize("parts", [("sound",), ("sound", "new"), ()])
    def test_sound_requests_beside_it_are_served(self, parts):
        with running() as runner:
            test_forwarder.call(runner, prompt(0, "sound"))
            test_forwarder.call(runner, prompt(1, "sound", DEADLY))
            answer = test_forwarder.call(runner, prompt(2, *parts))
            assert (answer.status, answer.complete) == (200, True)
