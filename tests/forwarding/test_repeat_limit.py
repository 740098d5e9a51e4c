"""Repeats of several gateways that stop, start and do not know each other."""

import contextlib

import pytest

from forwarding import forwarding_fakes as fakes
from forwarding import test_forwarder
from verbenafall_gateway.forwarding import repeat_allowance

# No repeat leaves a window of this length while a test runs.
LIMITS = repeat_allowance.RepeatLimits(ratio=0.2, extra=50, window=3600.0)
REQUESTS = 60


class Fleet:
    """Gateways in front of the same endpoints."""

    def __init__(self, script, endpoints=3):
        self.backends = [
            fakes.ScriptedEndpoint(script, f"127.0.0.{number + 1}")
            for number in range(endpoints)
        ]
        self.sent = 0

    def start_gateway(self, name):
        runner = fakes.RunningForwarder(
            fakes.configuration(1, fakes.route(max_attempts=3)),
            [],
            name,
            just_started=True,
        )
        runner.forwarder.exchange.allowance.limits = LIMITS
        for number, backend in enumerate(self.backends):
            runner.list_endpoint(f"e{number}", backend)
        directory = runner.forwarder.directory
        fakes.wait_until(lambda: len(directory.listed) == len(self.backends))
        return runner

    def send(self, runner):
        with runner.connect() as client:
            for _ in range(REQUESTS):
                self.sent += 1
                client.sendall(fakes.request_bytes(attempt=f"r{self.sent}"))
                fakes.read_answer(client)

    def repeats(self):
        """Return the arrivals beyond the first of each request."""
        ids = [
            request.attempt
            for backend in self.backends
            for request in backend.requests
        ]
        return len(ids) - len(set(ids))

    def allowed(self):
        return LIMITS.ratio * self.sent + LIMITS.extra

    def close(self):
        for backend in self.backends:
            backend.close()


@pytest.fixture(
    params=[test_forwarder.failure, test_forwarder.no_answer],
    ids=["failed answers", "closed connections"],
)
def fleet(request):
    with contextlib.closing(Fleet(request.param)) as fleet:
        yield fleet


class TestRepeatLimit:
    def test_restarted_gateways_stay_within_the_limit_of_all(self, fleet):
        for _ in range(3):
            gateways = [fleet.start_gateway(f"g{n}") for n in range(2)]
            for runner in gateways:
                fleet.send(runner)
            for runner in gateways:
                runner.close()
        assert fleet.repeats() <= fleet.allowed()

    def test_gateways_without_the_store_stay_within_the_limit(self, fleet):
        gateways = [fleet.start_gateway(f"g{n}") for n in range(4)]
        for runner in gateways:
            fleet.send(runner)
        for runner in gateways:
            runner.close()
        assert fleet.repeats() <= fleet.allowed()
