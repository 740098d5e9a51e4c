"""What callers get when a rank group stalls and comes back."""

import concurrent.futures
import datetime
import threading
import time

import pytest

from forwarding import forwarding_fakes as fakes
from forwarding import test_forwarder
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import exchange
from verbenafall_gateway.forwarding import pass_pace
from verbenafall_gateway.forwarding import service_liveness

CALLERS = 8
# Clients leave a stream without an event after two seconds.
ROUTE = fakes.route(
    kind=model.RequestKind.STREAM,
    resumable=True,
    latency_target=datetime.timedelta(seconds=0.5),
)


def group_of(opened):
    """Return the script of a rank that runs nothing until the group opens."""

    def script(endpoint, connection, request):
        chosen = (
            test_forwarder.all_events
            if opened.is_set()
            else test_forwarder.not_run
        )
        return chosen(endpoint, connection, request)

    return script


def answers_during_a_stall(seconds, callers=CALLERS):
    """Return the answers to callers that come while the group is forming."""
    opened = threading.Event()
    ranks = [group_of(opened)] * 4
    with (
        test_forwarder.running(*ranks, routes=[ROUTE]) as runner,
        concurrent.futures.ThreadPoolExecutor(CALLERS) as pool,
    ):
        runner.forwarder.admission.track_liveness("s")
        calls = [
            pool.submit(test_forwarder.call, runner) for _ in range(callers)
        ]
        time.sleep(seconds)
        opened.set()
        return [item.result() for item in calls]


class TestShortStall:
    def test_callers_that_wait_get_their_whole_answer(self):
        for answer in answers_during_a_stall(0.6):
            assert (answer.status, answer.complete) == (200, True)

    def test_single_caller_that_all_ranks_reject_waits_for_its_answer(self):
        (answer,) = answers_during_a_stall(0.6, callers=1)
        assert (answer.status, answer.complete) == (200, True)

    def test_rejected_probes_do_not_use_up_the_sends_of_a_request(
        self, monkeypatch
    ):
        """The only caller is the probe each time."""
        monkeypatch.setattr(exchange, "MAX_SENDS", 2)
        rejected = []

        def rank(endpoint, connection, request):
            if len(rejected) <= exchange.MAX_SENDS:
                rejected.append(request)
                return test_forwarder.not_run(endpoint, connection, request)
            return test_forwarder.all_events(endpoint, connection, request)

        with test_forwarder.running(*[rank] * 4, routes=[ROUTE]) as runner:
            admission = runner.forwarder.admission
            admission.track_liveness("s")
            liveness = admission.liveness("s")
            liveness.record_sent(runner.loop.time())
            liveness.rejections = service_liveness.STALL_REJECTIONS
            answer = test_forwarder.call(runner)
        assert (answer.status, answer.complete) == (200, True)


class TestLongStall:
    def test_callers_are_refused_with_a_time_to_come_back(self):
        for answer in answers_during_a_stall(2.5):
            assert answer.status == 503
            assert (
                float(answer.headers["retry-after"])
                >= service_liveness.MIN_RETRY_DELAY_SECONDS
            )

    def test_its_end_is_noticed(self, monkeypatch):
        """The request of a caller shows that the group works again."""
        monkeypatch.setattr(service_liveness, "WAIT_SECONDS", 0.0)
        opened = threading.Event()
        rank = group_of(opened)
        with test_forwarder.running(rank, rank, routes=[ROUTE]) as runner:
            admission = runner.forwarder.admission
            admission.track_liveness("s")
            liveness = admission.liveness("s")
            liveness.record_sent(0.0)
            liveness.rejections = service_liveness.STALL_REJECTIONS
            opened.set()
            fakes.wait_until(lambda: test_forwarder.call(runner).status == 200)
            assert not admission.is_stalled("s")


TARGET = 0.12
# Pauses of one window each, in seconds, and the share of the slots afterwards.
WINDOWS = [
    ([], 1.0),
    ([0.05] * 20, 1.0),
    ([0.05] * 7 + [0.3], pass_pace.DECREASE_FACTOR),
    ([0.119] * 8, pass_pace.DECREASE_FACTOR),
    # Too few to judge by, and a stall of the group, which is no slow pass.
    ([0.3] * 7, 1.0),
    ([0.05] * 20 + [1.5] * 20, 1.0),
]


class TestPassPace:
    @pytest.mark.parametrize(("pauses", "share"), WINDOWS)
    def test_share_after_a_window(self, pauses, share):
        pace = pass_pace.PassPace()
        for pause in pauses:
            pace.record_pause(pause, TARGET, 10.0, lambda: 0.1)
        assert pace.share == pytest.approx(share)

    def test_share_recovers(self):
        pace = pass_pace.PassPace()
        pace.restart()
        assert pace.share_for(late=True) < pace.share_for(late=False) < 1
        for number in range(1000):
            pace.record_pause(0.05, TARGET, number * 0.02, lambda: 0.1)
        assert pace.share_for(late=False) == 1

    @pytest.mark.parametrize(
        ("usual", "share"), [(0.1, 0.25), (0.6, 0.75), (0.9, 1.0)]
    )
    def test_room_for_the_usual_load_stays(self, usual, share):
        pace = pass_pace.PassPace()
        for number in range(1000):
            pace.record_pause(0.05, TARGET, number * 0.02, lambda: usual)
        for number in range(1000, 2000):
            pace.record_pause(0.3, TARGET, number * 0.02, lambda: 1.0)
        assert pace.share == pytest.approx(share)
