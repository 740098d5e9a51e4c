"""Signals that ask a process to stop."""

import queue
import signal
import sys

import pytest

from core import signal_tests
from verbenafall_core import stop_requests

# More than the wakeup socket buffers; 278 one-byte writes fill it on Linux 6.
SIGNAL_FLOOD = 1000


@pytest.fixture
def installed():
    with signal_tests.restored_handlers(
        *stop_requests.STOP_SIGNALS, signal.SIGHUP
    ):
        requests = stop_requests.create_stop_requests()
        requests.install()
        yield requests
    requests.reader.close()
    requests.writer.close()


class TestStopRequests:
    @pytest.mark.parametrize("number", stop_requests.STOP_SIGNALS)
    def test_signal_before_the_wait(self, installed, number):
        """Guards against a stop signal lost while the process starts."""
        signal.raise_signal(number)
        installed.wait()

    @pytest.mark.timeout(10)
    @pytest.mark.parametrize("number", stop_requests.STOP_SIGNALS)
    def test_signal_that_interrupts_no_call(self, installed, number):
        """Guards against a wait that only an interrupted call ends."""
        with signal_tests.run_while_blocked(
            lambda: signal_tests.send_to_own_thread(number)
        ):
            installed.wait()

    @pytest.mark.timeout(10)
    def test_other_signals_are_handled_during_the_wait(self, installed):
        """Guards against a SIGHUP that is handled late or ends the wait."""
        handled = queue.SimpleQueue()
        signal.signal(signal.SIGHUP, lambda number, _frame: handled.put(number))
        events = []

        def send_both():
            signal_tests.send_to_own_thread(signal.SIGHUP)
            events.append(handled.get())
            signal_tests.send_to_own_thread(signal.SIGTERM)

        with signal_tests.run_while_blocked(send_both):
            installed.wait()
            events.append("returned")
        assert events == [signal.SIGHUP, "returned"]

    @pytest.mark.timeout(10)
    def test_more_signals_than_the_socket_buffers(self, installed, capfd):
        """Guards against a blocked or failing write of the C handler."""
        handled = []
        signal.signal(
            signal.SIGHUP, lambda number, _frame: handled.append(number)
        )
        for _ in range(SIGNAL_FLOOD):
            signal.raise_signal(signal.SIGHUP)
        with signal_tests.run_while_blocked(
            lambda: signal_tests.send_to_own_thread(signal.SIGTERM)
        ):
            installed.wait()
        assert len(handled) == SIGNAL_FLOOD
        assert capfd.readouterr().err == ""

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
