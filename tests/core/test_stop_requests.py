"""Signals that ask a process to stop."""

import signal
import sys

import pytest

from verbenafall_core import stop_requests


@pytest.fixture
def installed():
    before = {n: signal.getsignal(n) for n in stop_requests.STOP_SIGNALS}
    requests = stop_requests.create_stop_requests()
    requests.install()
    yield requests
    for number, handler in before.items():
        signal.signal(number, handler)


class TestStopRequests:
    @pytest.mark.parametrize("number", stop_requests.STOP_SIGNALS)
    def test_signal_before_the_wait(self, installed, number):
        """Guards against a stop signal lost while the process starts."""
        signal.raise_signal(number)
        installed.wait()

    @pytest.mark.timeout(10)
    def test_signals_at_every_step_of_the_wait(self, installed):
        """Guards against a handler that deadlocks with the interrupted wait().

        The process would then ignore this signal and all later ones.
        """
        steps = []

        def interrupt(_frame, event, _argument):
            if event == "line":
                steps.append(event)
                signal.raise_signal(signal.SIGTERM)
            return interrupt

        sys.settrace(interrupt)
        try:
            installed.wait()
        finally:
            sys.settrace(None)
        assert steps
