"""Tests of the pure decision functions of forwarding."""

import datetime
import random
import tracemalloc

import pytest

from forwarding import forwarding_fakes as fakes
from verbenafall_core.routes import model
from verbenafall_core.routes import table
from verbenafall_gateway.forwarding import event_splitter
from verbenafall_gateway.forwarding import http_messages
from verbenafall_gateway.forwarding import placement
from verbenafall_gateway.forwarding import rank_slowdowns
from verbenafall_gateway.forwarding import retry_decision
from verbenafall_gateway.forwarding import service_liveness
from verbenafall_gateway.forwarding import service_share
from verbenafall_gateway.forwarding import stop_decision
from verbenafall_gateway.forwarding import times
from verbenafall_gateway.forwarding import wait_queue

ROUTES = [
    fakes.route(name="root", path_prefix="/"),
    fakes.route(name="a", path_prefix="/a/"),
    fakes.route(name="ab", path_prefix="/a/b/"),
    fakes.route(name="other", path_prefix="/a/", host="o.example"),
]
LOOKUPS = [
    ("app.example", "/a/b/c?x=/a/", "ab"),
    ("APP.example:80", "/a/b", "a"),
    ("app.example", "/ax", "root"),
    ("o.example", "/a/x", "other"),
    ("o.example", "/b/", None),
    ("none.example", "/a/", None),
    ("app.example", "no-slash", None),
]


class TestRoutes:
    @pytest.mark.parametrize(("host", "target", "name"), LOOKUPS)
    def test_longest_prefix(self, host, target, name):
        routes = table.create_route_table(1, ROUTES)
        found = table.find_route(routes, host, target)
        assert (found.name if found else None) == name


def candidate(name, load, nearby=False, suspect=False, slow=False):
    return placement.Candidate(name, load, 4, nearby, suspect, slow)


PLACES = [
    ("lowest load", [candidate("a", 2), candidate("b", 1)], "b"),
    ("nearby among equals", [candidate("a", 1), candidate("b", 1, True)], "b"),
    (
        "suspect last",
        [candidate("a", 0, suspect=True), candidate("b", 3)],
        "b",
    ),
    (
        "suspect if the others are full",
        [candidate("a", 0, suspect=True), candidate("b", 4)],
        "a",
    ),
    ("all are full", [candidate("a", 4), candidate("b", 5)], None),
    (
        "slow is excluded",
        [candidate("a", 0, slow=True), candidate("b", 3)],
        "b",
    ),
    (
        "none if only a slow one has capacity",
        [candidate("a", 0, slow=True), candidate("b", 4)],
        None,
    ),
    (
        "slow if all are slow",
        [candidate("a", 0, slow=True), candidate("b", 1, slow=True)],
        "a",
    ),
    ("no candidate", [], None),
]


# Requests of this gateway and of others by endpoint; the expected endpoint.
OWN_LOADS = [
    ("lower load of others", {"a": (0, 3), "b": (0, 1)}, "b"),
    ("own requests weigh more", {"a": (1, 0), "b": (0, 2)}, "b"),
    ("others count as well", {"a": (1, 0), "b": (0, 4)}, "a"),
    ("full", {"a": (0, 4), "b": (2, 1)}, "b"),
]


class TestOwnRequests:
    @pytest.mark.parametrize(
        ("loads", "name"),
        [case[1:] for case in OWN_LOADS],
        ids=[case[0] for case in OWN_LOADS],
    )
    def test_choice(self, loads, name):
        candidates = [
            placement.Candidate(
                endpoint, own + others, 4, False, False, False, own
            )
            for endpoint, (own, others) in loads.items()
        ]
        chosen = placement.choose(candidates, 1.0, 0.5).candidate
        assert chosen.endpoint_id == name

    def test_gateways_with_stale_counts_do_not_all_choose_one_endpoint(self):
        """Guards against overload of an endpoint that has just become free.

        Ten gateways see it free, and each sends two requests before it
        receives the counts of the others.
        """
        total = {f"e{number}": 2 for number in range(10)} | {"free": 0}
        sent = dict.fromkeys(total, 0)
        for gateway in range(10):
            own = dict.fromkeys(total, 0)
            for number in range(2):
                candidates = [
                    placement.Candidate(
                        name,
                        load + own[name],
                        6,
                        False,
                        False,
                        False,
                        own[name],
                    )
                    for name, load in total.items()
                ]
                draw = (gateway + number / 2) / 10
                chosen = placement.choose(candidates, 1.0, draw).candidate
                own[chosen.endpoint_id] += 1
                sent[chosen.endpoint_id] += 1
        assert sent["free"] == 10


class TestPlacement:
    @pytest.mark.parametrize(
        ("candidates", "name"),
        [case[1:] for case in PLACES],
        ids=[case[0] for case in PLACES],
    )
    def test_choice(self, candidates, name):
        choice = placement.choose(candidates, 1.0, 0.5)
        found = choice.candidate.endpoint_id if choice else None
        assert found == name


def waiting(number, urgency=1, arrived=0.0, on_time=10.0, useful=20.0):
    return wait_queue.QueueEntry(number, urgency, arrived, on_time, useful)


QUEUES = [
    ("empty", [], None),
    (
        "earliest deadline first",
        [waiting(1, on_time=9), waiting(2, on_time=8)],
        2,
    ),
    ("urgent first", [waiting(1, on_time=6), waiting(2, 0)], 2),
    ("late after on time", [waiting(1, 0, on_time=4), waiting(2, 2)], 2),
    (
        "late by arrival",
        [waiting(1, arrived=2, on_time=3), waiting(2, arrived=1, on_time=4)],
        2,
    ),
    ("expired never", [waiting(1, useful=4)], None),
]


class TestWaitQueue:
    @pytest.mark.parametrize(
        ("queue", "number"),
        [case[1:] for case in QUEUES],
        ids=[case[0] for case in QUEUES],
    )
    def test_next(self, queue, number):
        found = wait_queue.pick_next(queue, 5.0)
        assert (found.number if found else None) == number

    def test_burst_keeps_fresh_requests_on_time(self):
        """Guards against a backlog that makes all later requests late.

        The load is twice the capacity for 2 s and 5/6 of it afterwards. At
        least 1.5 times as many requests must be on time as in arrival order.
        """
        arrivals = [number * 0.05 for number in range(40)]
        arrivals += [2 + number * 0.12 for number in range(40)]

        def on_time(pick):
            queue, done, now, left = [], 0, 0.0, list(arrivals)
            while left or queue:
                now = round(now + 0.1, 6)
                while left and left[0] <= now:
                    at = left.pop(0)
                    queue.append(waiting(at, 1, at, at + 0.5, at + 8))
                chosen = pick(queue, now)
                if chosen is not None:
                    queue.remove(chosen)
                    done += chosen.on_time_until > now
            return done

        def in_order(queue, now):
            del now
            return min(queue, key=lambda item: item.arrived, default=None)

        assert on_time(wait_queue.pick_next) > 1.5 * on_time(in_order)

    def test_expected_wait_grows_with_queue_and_gateways(self):
        state = wait_queue.QueueState(9, 20 / 2.0, 1)
        assert wait_queue.expected_wait(state) == pytest.approx(1.0)
        assert wait_queue.expected_wait(
            state._replace(gateways=4)
        ) == pytest.approx(4.0)
        assert wait_queue.expected_wait(state._replace(per_second=0)) == float(
            "inf"
        )


D, U, N, F, B = (
    retry_decision.Delivered(200),
    retry_decision.Unsent("refused"),
    retry_decision.NotRun(503),
    retry_decision.Failed(http_messages.Answer(500, (), b"")),
    retry_decision.Broken("cut"),
)
Action = retry_decision.Action
# Outcome, repeatable, runs, answer started, expected retry and final action.
ENDS = [
    (D, True, 1, True, False, Action.DONE),
    (U, False, 0, False, True, Action.REFUSE),
    (N, False, 0, False, True, Action.REFUSE),
    (N, True, 1, False, True, Action.GIVE_UP),
    (F, True, 1, False, True, Action.RELAY),
    (F, False, 1, False, False, Action.RELAY),
    (B, True, 1, False, True, Action.GIVE_UP),
    (B, False, 1, False, False, Action.GIVE_UP),
    (B, True, 2, True, False, Action.CUT),
    (B, True, 1, True, True, Action.CUT),
    (N, True, 1, True, True, Action.CUT),
]


class TestRetryDecision:
    @pytest.mark.parametrize(
        ("outcome", "repeatable", "runs", "started", "retry", "action"), ENDS
    )
    def test_end(self, outcome, repeatable, runs, started, retry, action):
        progress = retry_decision.Progress(
            repeatable, 2, runs, 1, started, True
        )
        assert retry_decision.should_retry(progress, outcome) is retry
        assert retry_decision.final_action(progress, outcome) is action

    def test_request_that_may_have_run_is_not_refused(self):
        for outcome in (U, N, F, B):
            for runs in (0, 1, 2):
                progress = retry_decision.Progress(
                    True, 2, runs, 1, False, False
                )
                action = retry_decision.final_action(progress, outcome)
                if action is Action.REFUSE:
                    assert runs == 0


MOVES = [
    ("resumable stream", True, True, 1, True, True),
    ("route without resume", False, True, 1, True, False),
    ("not repeatable", True, False, 1, True, False),
    ("maximum number of runs", True, True, 2, True, False),
    ("no other endpoint", True, True, 1, False, False),
]


class TestMoves:
    @pytest.mark.parametrize(
        ("resumable", "repeatable", "runs", "alternatives", "may"),
        [case[1:] for case in MOVES],
        ids=[case[0] for case in MOVES],
    )
    def test_may_move(self, resumable, repeatable, runs, alternatives, may):
        progress = retry_decision.Progress(
            repeatable, 2, runs, 0, True, alternatives
        )
        assert retry_decision.may_move(progress, resumable) is may


class TestServiceLiveness:
    def test_silence_with_open_requests_is_a_stall(self):
        liveness = service_liveness.ServiceLiveness()
        assert not liveness.is_stalled(100.0)
        liveness.record_sent(100.0)
        assert not liveness.is_stalled(100.5)
        assert liveness.is_stalled(100.7)
        liveness.record_progress(100.7)
        assert not liveness.is_stalled(101.0)

    def test_rejections_without_progress_are_a_stall(self):
        liveness = service_liveness.ServiceLiveness()
        liveness.record_sent(0.0)
        for _ in range(service_liveness.STALL_REJECTIONS):
            assert not liveness.is_stalled(0.0)
            liveness.record_rejection()
        assert liveness.is_stalled(0.0)
        liveness.record_idle()
        assert liveness.is_stalled(0.4)
        liveness.record_progress(0.5)
        assert not liveness.is_stalled(0.9)

    def test_only_a_young_stall_is_waited_for(self):
        liveness = service_liveness.ServiceLiveness()
        assert not liveness.is_worth_waiting(1.0)
        liveness.record_sent(1.0)
        assert liveness.is_worth_waiting(3.9)
        assert not liveness.is_worth_waiting(4.1)

    def test_probes_are_spaced_out(self):
        liveness = service_liveness.ServiceLiveness()
        passed = [liveness.may_probe(number * 0.1) for number in range(10)]
        assert 4 <= sum(passed) <= 5

    def test_silence_without_open_requests_is_no_stall(self):
        liveness = service_liveness.ServiceLiveness()
        liveness.record_sent(0.0)
        liveness.record_idle()
        assert not liveness.is_stalled(9.0)

    @pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
    def test_retries_are_spread(self, draw):
        at = service_liveness.retry_delay(draw)
        assert (
            service_liveness.MIN_RETRY_DELAY_SECONDS
            <= at
            <= service_liveness.MAX_RETRY_DELAY_SECONDS
        )


STREAMS = [
    (b"id: 1\ndata: a\n\nid: 2\nda", ["1"], b"id: 2\nda"),
    (b"id:1\r\n\r\nid:2\r\n\r\n", ["1", "2"], b""),
    (b"data: a\n\n: note\n\n", [None, None], b""),
    (b"id: 1", [], b"id: 1"),
]
ORDER = [
    ("2", "1", True),
    ("1", "1", False),
    ("10", "9", True),
    (None, "1", True),
    ("x", "1", True),
    ("1", None, True),
    # Digits that int() does not read, and more than it reads.
    ("\xb2", "1", True),
    ("9" * 5000, "1" * 5000, True),
    ("1" * 5000, "9" * 5000, False),
    ("010", "9", True),
    ("09", "9", False),
]


class TestEvents:
    def test_event_without_an_end_is_not_kept(self):
        splitter = event_splitter.EventSplitter()
        splitter.feed(b"x" * event_splitter.MAX_EVENT_BYTES)
        with pytest.raises(event_splitter.EventTooLongError):
            splitter.feed(b"x")

    def test_unfinished_event_in_small_pieces_is_searched_once(
        self, monkeypatch
    ):
        """Searching all of it at each piece stops the event loop."""
        searched = []
        find = event_splitter.find_last_end

        def count(data, *start):
            searched.append(len(data) - sum(start))
            return find(data, *start)

        monkeypatch.setattr(event_splitter, "find_last_end", count)
        splitter = event_splitter.EventSplitter()
        pieces = 10_000
        for _ in range(pieces):
            splitter.feed(b"x")
        assert sum(searched) <= pieces * event_splitter.MAX_END_BYTES

    def test_search_of_many_events_in_one_piece_ends_at_each(self):
        splitter = event_splitter.EventSplitter()
        events = splitter.feed(b"id: 1\n\n" * 1000 + b"id: 2\r\n\r\n")
        assert [event.id for event in events] == ["1"] * 1000 + ["2"]

    @pytest.mark.parametrize(("data", "ids", "rest"), STREAMS)
    @pytest.mark.parametrize("size", [1, 3, 1000])
    def test_events_are_complete_however_the_data_is_split(
        self, data, ids, rest, size
    ):
        splitter = event_splitter.EventSplitter()
        found = []
        for start in range(0, len(data), size):
            found += splitter.feed(data[start : start + size])
        assert [event.id for event in found] == ids
        assert splitter.rest == rest
        assert b"".join(event.data for event in found) + rest == data

    def test_short_events_take_no_more_memory_than_their_bytes(self):
        """As objects, they took 80 MiB for eight requests."""
        splitter = event_splitter.EventSplitter()
        data = b"\n" * (256 * 1024)
        tracemalloc.start()
        try:
            found = event_splitter.select_new_events(splitter.feed(data), None)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert found.data == data
        assert found.number == len(data) // 2
        assert peak < 8 * len(data)

    @pytest.mark.parametrize("seed", range(30))
    def test_only_events_that_the_client_lacks_are_selected(self, seed):
        generator = random.Random(seed)
        numbers = [generator.randrange(9) for _ in range(20)]
        data = b"".join(b"id: %d\n\n" % number for number in numbers)
        splitter = event_splitter.EventSplitter()
        last = "3"
        sent = b""
        while data:
            size = generator.randrange(1, 40)
            piece, data = data[:size], data[size:]
            found = event_splitter.select_new_events(splitter.feed(piece), last)
            last = found.last_id
            sent += found.data
        expected = []
        for number in numbers:
            if number > (expected[-1] if expected else 3):
                expected.append(number)
        assert sent == b"".join(b"id: %d\n\n" % item for item in expected)

    @pytest.mark.parametrize(("event_id", "last", "later"), ORDER)
    def test_later(self, event_id, last, later):
        assert event_splitter.is_later(event_id, last) is later


class TestTimes:
    @pytest.mark.parametrize(
        ("text", "milliseconds"),
        [("900", 900), ("0", 0), ("", None), ("-1", None), ("1.5", None)],
    )
    def test_parse(self, text, milliseconds):
        found = times.parse_milliseconds(text)
        expected = (
            None
            if milliseconds is None
            else datetime.timedelta(milliseconds=milliseconds)
        )
        assert found == expected

    def test_deadline_is_the_shorter_time_limit(self):
        route = fakes.route(timeout=datetime.timedelta(seconds=2))
        assert times.request_times(10, None, route).deadline == 12
        second = datetime.timedelta(seconds=1)
        assert times.request_times(10, second, route).deadline == 11

    def test_client_timeout_of_streams_is_that_without_events(self):
        """Guards against a queue that holds requests until clients time out."""
        plain = fakes.route(timeout=datetime.timedelta(seconds=8))
        stream = plain._replace(
            kind=model.RequestKind.STREAM,
            latency_target=datetime.timedelta(seconds=0.5),
        )
        gap = datetime.timedelta(seconds=0.4)
        assert times.request_times(10, None, plain).client_timeout_at == 18
        assert times.request_times(10, None, stream).client_timeout_at == 12
        slow_stream = stream._replace(event_gap_target=gap)
        found = times.request_times(10, None, slow_stream)
        assert found.client_timeout_at == pytest.approx(13.2)


class TestShares:
    def test_by_weight(self):
        shares = [model.ServiceShare("a", 90), model.ServiceShare("b", 10)]
        draws = [number / 100 for number in range(100)]
        found = [service_share.pick_service(shares, draw) for draw in draws]
        assert (found.count("a"), found.count("b")) == (90, 10)


class TestRankSlowdowns:
    def test_reports_of_earlier_terms_are_ignored_and_reports_expire(self):
        slowdowns = rank_slowdowns.create_rank_slowdowns()
        slowdowns.record("g", 5, {"10.0.0.1": 2.0}, 0.0)
        slowdowns.record("g", 4, {"10.0.0.1": 1.0}, 0.1)
        assert slowdowns.is_slow("10.0.0.1", 1.0)
        assert not slowdowns.is_slow("10.0.0.2", 1.0)
        assert not slowdowns.is_slow("10.0.0.1", 9.0)

    @pytest.mark.parametrize(
        ("slowdown", "slow", "move"),
        [(1.0, False, False), (1.5, True, False), (3.0, True, True)],
    )
    def test_streams_move_only_from_very_slow_ranks(self, slowdown, slow, move):
        slowdowns = rank_slowdowns.create_rank_slowdowns()
        slowdowns.record("g", 5, {"10.0.0.1": slowdown}, 0.0)
        assert slowdowns.is_slow("10.0.0.1", 1.0) is slow
        assert slowdowns.should_move_streams("10.0.0.1", 1.0) is move
        assert not slowdowns.should_move_streams("10.0.0.1", 9.0)


ESTIMATE = stop_decision.DurationEstimate(2.0, 0.25)

# Test id, time of the stop's end, deadline, whether the request can finish. The
# request starts at 10 s and takes up to 3 s.
STOPS = [
    ("no stop", float("inf"), 100.0, True),
    ("enough time", 13.0, 100.0, True),
    ("too little time", 12.9, 100.0, False),
    ("mean duration only", 12.0, 100.0, False),
    ("deadline before the end", 11.0, 11.0, True),
    ("deadline after the end", 11.0, 11.1, False),
    ("stop is over", 9.0, 100.0, False),
]

# Durations in seconds, and bounds of the longest expected one after them.
MEASURED = [
    ([], 4.0, 4.0),
    ([0.1] * 100, 0.1, 0.2),
    ([1.0, 3.0] * 100, 3.0, 6.5),
    ([2.0] * 100 + [8.0], 4.4, 5.1),
]


class TestStopDecision:
    @pytest.mark.parametrize(
        ("finish_by", "deadline", "expected"),
        [case[1:] for case in STOPS],
        ids=[case[0] for case in STOPS],
    )
    def test_can_finish(self, finish_by, deadline, expected):
        assert (
            stop_decision.can_finish(10.0, finish_by, deadline, ESTIMATE)
            is expected
        )

    @pytest.mark.parametrize(
        ("finish_by", "deadline", "expected"),
        [(13.0, 100.0, False), (11.0, 11.0, True), (11.0, 11.1, False)],
    )
    def test_only_the_deadline_is_certain(self, finish_by, deadline, expected):
        assert (
            stop_decision.can_finish(10.0, finish_by, deadline, None)
            is expected
        )

    @pytest.mark.parametrize(("durations", "low", "high"), MEASURED)
    def test_longest_duration(self, durations, low, high):
        estimate = stop_decision.DEFAULT_ESTIMATE
        for duration in durations:
            estimate = stop_decision.update_estimate(estimate, duration)
        assert low <= stop_decision.longest_duration(estimate) <= high


# Test id, whether the answer has started, runs, how to end it.
ABANDONED = [
    ("queued", False, 0, retry_decision.Action.REFUSE),
    ("sent", False, 1, retry_decision.Action.GIVE_UP),
    ("answer started", True, 1, retry_decision.Action.CUT),
]


class TestAbandoned:
    @pytest.mark.parametrize(
        ("started", "runs", "expected"),
        [case[1:] for case in ABANDONED],
        ids=[case[0] for case in ABANDONED],
    )
    def test_action(self, started, runs, expected):
        progress = retry_decision.Progress(True, 2, runs, 0, started, True)
        assert retry_decision.abandoned_action(progress) is expected
