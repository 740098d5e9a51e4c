"""Periodic tasks: calls outside of the interval."""

import datetime
import threading

import pytest

from verbenafall_core import periodic

HOUR = datetime.timedelta(hours=1)
LIMIT = datetime.timedelta(seconds=20)


class TestRunWithin:
    @pytest.fixture
    def calls(self):
        return threading.Semaphore(0)

    @pytest.fixture
    def task(self, calls):
        task = periodic.create_periodic_task("t", HOUR, calls.release)
        yield task
        task.stop(LIMIT)

    def acquire(self, calls):
        assert calls.acquire(timeout=LIMIT.total_seconds())

    def test_next_call_does_not_wait_for_the_interval(self, task, calls):
        task.start()
        self.acquire(calls)
        task.run_within(datetime.timedelta(milliseconds=1))
        self.acquire(calls)

    def test_request_during_a_call_is_kept(self, calls):
        def request_first():
            calls.release()
            if not requested.is_set():
                requested.set()
                task.run_within(datetime.timedelta(milliseconds=1))

        requested = threading.Event()
        task = periodic.create_periodic_task("t", HOUR, request_first)
        task.start()
        self.acquire(calls)
        self.acquire(calls)
        task.stop(LIMIT)

    def test_stop_ends_the_delay(self, task, calls):
        task.start()
        self.acquire(calls)
        task.run_within(HOUR)
        task.stop(LIMIT)
        assert not task.thread.is_alive()
