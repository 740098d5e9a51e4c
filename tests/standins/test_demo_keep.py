"""Tests how the demonstration waits while it keeps serving."""

import contextlib
import signal
import types

import pytest

from core import signal_tests
from verbenafall_core import stop_requests
from verbenafall_standins.demo import __main__ as demo


class Gateway:
    """A gateway whose address is read just before the wait."""

    def __init__(self, on_read):
        self.on_read = on_read

    @property
    def client(self):
        self.on_read()
        return "127.0.0.1:1"


def create_fleet(on_read):
    plan = types.SimpleNamespace(gateways=[Gateway(on_read)])
    return types.SimpleNamespace(plan=plan)


class TestKeepServing:
    @pytest.mark.timeout(10)
    @pytest.mark.parametrize("number", stop_requests.STOP_SIGNALS)
    def test_ends_on_a_signal_that_interrupts_no_call(self, number, capsys):
        """Guards against a demonstration that does not stop on Ctrl-C."""
        with (
            signal_tests.restored_handlers(*stop_requests.STOP_SIGNALS),
            contextlib.ExitStack() as stack,
        ):
            signal.signal(signal.SIGTERM, signal.default_int_handler)
            send = signal_tests.run_while_blocked(
                lambda: signal_tests.send_to_own_thread(number)
            )
            demo.keep_serving(create_fleet(lambda: stack.enter_context(send)))
        output = capsys.readouterr()
        assert "curl http://127.0.0.1:1/" in output.out
        assert output.err == "stopping\n"
