"""Tests retries, resumed streams and the reported outcome of requests."""

import datetime
import threading
from typing import NamedTuple

import pytest

from gateway import gateway_fakes as fakes
from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_core.claims import model as claims_model
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import flow_events
from verbenafall_gateway.delivery import request_progress
from verbenafall_standins.fakes import manual_clock

NOT_RUN, UNKNOWN, RAN = outcomes.Outcome
Reason = outcomes.Reason
TOKENS = ["a ", "b ", "c ", "d"]
TEXT = "".join(TOKENS)
LINK_CLOSED = fakes.Close("reset")
HELD_CLAIM = claims_model.Held("req-1.1")
STORE_DOWN = claims_model.Unavailable("down")


def create_request(idempotent, resumable=True):
    return request_progress.FlowRequest(
        request_id="req-1",
        service="s",
        team="desk",
        priority=1,
        deadline=datetime.timedelta(seconds=10),
        idempotent=idempotent,
        idempotency_key="" if idempotent else "key-1",
        method="POST",
        path="/p",
        headers=(),
        body=b"{}",
        affinity="",
        resumable=resumable,
    )


class Script:
    """Answers each dispatch of a request with the next step."""

    def __init__(self, steps):
        self.steps = list(steps)
        self.seen = []
        self.cancels = []
        self.after_cancel = []

    def __call__(self, message):
        if isinstance(message, messages.Cancel):
            self.cancels.append(message.attempt_id)
            return [reply(message) for reply in self.after_cancel]
        self.seen.append(message)
        return self.steps.pop(0)(message)


def ok(message):
    return fakes.answer(message, TOKENS)


def overloaded(message):
    return [fakes.refused(message, Reason.OVERLOADED, wait=700)]


def link_lost(_message):
    return [LINK_CLOSED]


def not_sent(_message):
    return None


def fail(message):
    return [fakes.failed(message, UNKNOWN)]


def claim_held(message):
    return [fakes.refused(message, Reason.CLAIM_HELD, UNKNOWN)]


def store_unavailable(message):
    return [fakes.refused(message, Reason.STORE_UNAVAILABLE)]


def tokens_then(*following):
    def step(message):
        start = message.resume_index
        first = fakes.chunk(message, start, TOKENS[start])
        return [first, *(part(message) for part in following)]

    return step


def close(_message):
    return LINK_CLOSED


def end_with(count, size):
    return lambda message: messages.End(
        *fakes.ids(message), count, size, 200, (), "stop"
    )


def gap(message):
    return fakes.chunk(message, message.resume_index + 2, "c ")


def repeat(message):
    return fakes.chunk(message, message.resume_index, "a ")


def other_request(message):
    other = message._replace(attempt_id="req-2.1")
    return fakes.chunk(other, message.resume_index + 1, "OTHER")


def old_attempt(message):
    other = message._replace(attempt_id="req-1.1")
    return fakes.chunk(other, message.resume_index + 1, "OLD")


def rest(message):
    """Complete an answer whose first token has been sent."""
    start = message.resume_index + 1
    later = message._replace(resume_index=start)
    *chunks, end = fakes.answer(later, TOKENS)
    return [
        *chunks[1:],
        end._replace(
            chunk_count=end.chunk_count + 1,
            byte_count=end.byte_count + len(TOKENS[start - 1]),
        ),
    ]


def tokens_then_rest(*following):
    first_part = tokens_then(*following)
    return lambda message: first_part(message) + rest(message)


INTERRUPTED = tokens_then(close)


class Row(NamedTuple):
    name: str
    idempotent: bool
    steps: list
    text: str
    end: object
    resumed_at: list
    settled: int = 0
    settle: object = claims_model.Voided()


ROWS = [
    Row("plain", True, [ok], TEXT, 200, [0]),
    Row("refused_then_retried", True, [overloaded, ok], TEXT, 200, [0, 0]),
    Row("non_idempotent_refused", False, [overloaded, ok], TEXT, 200, [0, 0]),
    Row("not_sent", False, [not_sent, ok], TEXT, 200, [0, 0]),
    Row(
        "never_sent",
        False,
        [not_sent] * 4,
        "",
        (NOT_RUN, "no_endpoint"),
        [0] * 4,
    ),
    Row("lost_before_answer", True, [link_lost, ok], TEXT, 200, [0, 0]),
    Row(
        "non_idempotent_voided",
        False,
        [link_lost, ok],
        TEXT,
        200,
        [0, 0],
        settled=1,
    ),
    Row(
        "non_idempotent_held",
        False,
        [link_lost],
        "",
        (UNKNOWN, "link_lost"),
        [0],
        settled=1,
        settle=HELD_CLAIM,
    ),
    Row(
        "non_idempotent_store_down",
        False,
        [link_lost],
        "",
        (UNKNOWN, "link_lost"),
        [0],
        settled=1,
        settle=STORE_DOWN,
    ),
    Row(
        "non_idempotent_answered",
        False,
        [INTERRUPTED],
        "a ",
        (RAN, "link_lost"),
        [0],
    ),
    Row(
        "non_idempotent_failed",
        False,
        [fail],
        "",
        (UNKNOWN, "endpoint_failed"),
        [0],
    ),
    Row("claim_held", False, [claim_held], "", (UNKNOWN, "claim_held"), [0]),
    Row(
        "store_down",
        False,
        [store_unavailable],
        "",
        (NOT_RUN, "store_unavailable"),
        [0],
    ),
    Row("resumed_at_token", True, [INTERRUPTED, ok], TEXT, 200, [0, 1]),
    Row(
        "resumed_twice",
        True,
        [INTERRUPTED, INTERRUPTED, ok],
        TEXT,
        200,
        [0, 1, 2],
    ),
    Row(
        "retries_used_up",
        True,
        [INTERRUPTED] * 3,
        "a b c ",
        (RAN, "link_lost"),
        [0, 1, 2],
    ),
    Row(
        "ran_then_refused",
        True,
        [INTERRUPTED, overloaded, overloaded],
        "a ",
        (RAN, "overloaded"),
        [0, 1, 1],
    ),
    Row("gap_resumed", True, [tokens_then(gap), ok], TEXT, 200, [0, 1]),
    Row("repeat", True, [tokens_then_rest(repeat)], TEXT, 200, [0]),
    Row(
        "other_request", True, [tokens_then_rest(other_request)], TEXT, 200, [0]
    ),
    Row(
        "late_chunk",
        True,
        [INTERRUPTED, tokens_then_rest(old_attempt)],
        TEXT,
        200,
        [0, 1],
    ),
    Row(
        "short_end_resumed",
        True,
        [tokens_then(end_with(4, 7)), ok],
        TEXT,
        200,
        [0, 1],
    ),
    Row(
        "non_idempotent_short_end",
        False,
        [tokens_then(end_with(2, 2))],
        "a ",
        (RAN, "endpoint_failed"),
        [0],
    ),
]


def run(gateway, request):
    parts, last = [], None
    for event in gateway.flow.run(request):
        last = event
        if isinstance(event, flow_events.Delta):
            parts.append(event.data.decode())
    if isinstance(last, attempt_events.Complete):
        return "".join(parts), last.status
    return "".join(parts), (last.outcome, last.reason)


def create(steps, settle=None, clock=None, count=4):
    clock = clock or manual_clock.create_manual_clock()
    gateway = fakes.create_gateway(clock, fakes.FakeClaims(settle))
    script = Script(steps)
    links = [
        fakes.ScriptedLink(gateway.router, f"e-{number}", "s", script)
        for number in range(count)
    ]
    return gateway, script, links


class TestRequestFlow:
    @pytest.mark.parametrize("row", ROWS, ids=[row.name for row in ROWS])
    def test_outcomes(self, row):
        """Guards against repeated work, wrong refusals and mixed answers."""
        gateway, script, links = create(row.steps, row.settle)
        for _ in range(20):
            gateway.flow.budget.record_request()
        assert run(gateway, create_request(row.idempotent)) == (
            row.text,
            row.end,
        )
        assert [item.resume_index for item in script.seen] == row.resumed_at
        assert [item.attempt_id for item in script.seen] == [
            f"req-1.{number + 1}" for number in range(len(script.seen))
        ]
        assert len(gateway.claims.settled) == row.settled
        assert all(
            item.resume_text == "".join(TOKENS[: item.resume_index])
            for item in script.seen
        )
        assert gateway.flow.attempts.attempts == {}
        assert gateway.view.busy_addresses() == frozenset()
        assert gateway.flow.open_keys == {}
        used_links = [link for link in links if link.of_kind(messages.Dispatch)]
        assert len(used_links) == len(script.seen)

    def test_request_that_crashes_endpoints_crashes_two_at_most(self):
        """It comes again under other ids."""
        gateway, script, _ = create([fail] * 12, count=12)
        for number in range(4):
            request = create_request(True)._replace(request_id=f"req-{number}")
            run(gateway, request)
        assert len(script.seen) <= 2

    def test_settles_with_the_attempt_that_was_lost(self):
        """Guards against a void that does not cover the lost attempt."""
        gateway, _, _ = create([overloaded, link_lost, ok])
        run(gateway, create_request(False))
        assert gateway.claims.settled == [("desk", "key-1", "req-1.2")]

    def test_hanging_store_does_not_delay_the_answer(self):
        """Guards against a final answer after the deadline."""
        clock = manual_clock.create_manual_clock()
        release = threading.Event()

        def link_lost_late(_message):
            clock.advance(datetime.timedelta(seconds=9.9))
            return [LINK_CLOSED]

        gateway, _, _ = create([link_lost_late], clock=clock)
        gateway.claims.settle = lambda *_: release.wait(30)
        result = run(gateway, create_request(False))
        release.set()
        assert result == ("", (UNKNOWN, Reason.LINK_LOST))

    def test_retry_after_of_the_sidecar_reaches_the_client(self):
        """Guards against dropping the sidecar's retry delay."""
        gateway, _, _ = create([overloaded], count=1)
        *_, last = gateway.flow.run(create_request(True))
        assert last.retry_after == datetime.timedelta(milliseconds=700)
        assert last.outcome is NOT_RUN

    def test_retries_of_refusals_stop_with_the_budget(self):
        """Guards against retries that multiply an overload."""
        gateway, script, _ = create([overloaded] * 4, count=2)
        run(gateway, create_request(True))
        run(gateway, create_request(True))
        assert len(script.seen) == 3

    @pytest.mark.parametrize("seconds_each", [0, 0.01])
    @pytest.mark.parametrize(
        ("step", "idempotent", "resumable"),
        [
            (overloaded, True, True),
            (overloaded, False, False),
            (link_lost, True, True),
            (link_lost, True, False),
            (link_lost, False, False),
            (fail, True, True),
            (fail, False, False),
            (tokens_then(close), True, False),
        ],
    )
    def test_total_failure_is_not_multiplied(
        self, step, idempotent, resumable, seconds_each
    ):
        """Guards against retries that multiply the load of an outage."""
        clock = manual_clock.create_manual_clock()
        count = 300
        gateway, script, links = create([step] * count * 3, clock=clock)
        for _ in range(count):
            for link in links:
                gateway.router.on_open(link)
            clock.advance(datetime.timedelta(seconds=seconds_each))
            request = create_request(idempotent, resumable)._replace(
                deadline=clock.monotonic() + datetime.timedelta(seconds=10)
            )
            run(gateway, request)
        fixed_budget = 1 + count * seconds_each
        assert count <= len(script.seen) <= count * 1.1 + fixed_budget

    def test_resume_needs_no_budget(self):
        """Guards against streams that are truncated during an outage."""
        gateway, script, _ = create([INTERRUPTED, INTERRUPTED, ok])
        while gateway.flow.budget.try_acquire():
            pass
        assert run(gateway, create_request(True)) == (TEXT, 200)
        assert len(script.seen) == 3

    def test_restart_discards_parts_of_an_answer(self):
        """Guards against a records answer mixed from two attempts."""
        gateway, _, _ = create([tokens_then(close), ok])
        request = create_request(True, resumable=False)
        event_types = [type(event) for event in gateway.flow.run(request)]
        assert event_types.index(flow_events.Restarted) == 1

    @pytest.mark.parametrize(
        ("after_cancel", "outcome"),
        [
            ([], UNKNOWN),
            ([lambda m: messages.CancelConfirmed(*m, NOT_RUN)], NOT_RUN),
            ([lambda m: messages.CancelConfirmed(*m, RAN)], RAN),
            ([lambda m: messages.Chunk(*m, 0, b"a")], RAN),
        ],
    )
    def test_deadline(self, after_cancel, outcome):
        """Guards against not_run for work that may have started."""
        clock = manual_clock.create_manual_clock()

        def expire(message):
            clock.advance(datetime.timedelta(seconds=11))
            return [messages.Accepted(*fakes.ids(message), 0)]

        gateway, script, _ = create([expire], clock=clock)
        script.after_cancel = after_cancel
        result = run(gateway, create_request(True))
        assert result == ("", (outcome, Reason.DEADLINE))
        assert script.cancels == ["req-1.1"]

    def test_deadline_before_dispatch_is_not_run(self):
        """Guards against work that starts after its deadline."""
        clock = manual_clock.create_manual_clock()
        gateway, script, _ = create([], clock=clock)
        clock.advance(datetime.timedelta(seconds=10))
        result = run(gateway, create_request(True))
        assert result == ("", (NOT_RUN, Reason.DEADLINE))
        assert script.seen == []

    def test_closing_the_flow_cancels_the_attempt(self):
        """Guards against generating tokens for a disconnected client."""
        gateway, script, _ = create([tokens_then()])
        flow = gateway.flow.run(create_request(True))
        next(flow)
        assert gateway.view.busy_addresses()
        flow.close()
        assert script.cancels == ["req-1.1"]
        assert not gateway.view.busy_addresses()

    def test_messages_on_another_link_are_dropped(self):
        """Guards against chunks from an endpoint without this attempt."""

        def reply_on_other_link(message):
            return [messages.Accepted(*fakes.ids(message), 0)]

        gateway, script, links = create([reply_on_other_link])
        misrouted = messages.Chunk("req-1", "req-1.1", 0, b"OTHER")
        gateway.router.subscribe(
            messages.Accepted,
            lambda link, _message: (
                [
                    gateway.router.on_message(other, misrouted)
                    for other in links
                    if other is not link
                ]
                and gateway.router.on_message(
                    link, fakes.failed(script.seen[0], UNKNOWN, Reason.DEADLINE)
                )
            ),
        )
        result = run(gateway, create_request(True))
        assert result == ("", (UNKNOWN, Reason.DEADLINE))


def accepted(message):
    return [messages.Accepted(*fakes.ids(message), 0)]


# Steps of the first attempt, whether the request is idempotent, its end.
ABANDONED = [
    ("accepted", accepted, True, ("", (UNKNOWN, Reason.DRAINING))),
    ("non-idempotent", accepted, False, ("", (UNKNOWN, Reason.DRAINING))),
    ("tokens", tokens_then(), True, (TOKENS[0], (RAN, Reason.DRAINING))),
]


class TestAbandon:
    @pytest.mark.parametrize(
        ("step", "idempotent", "end"),
        [case[1:] for case in ABANDONED],
        ids=[case[0] for case in ABANDONED],
    )
    def test_open_request_ends_without_a_retry(self, step, idempotent, end):
        """Guards against requests that outlast a planned stop."""
        gateway, script, _ = create([])

        def abandon_after(message):
            yield from step(message)
            gateway.flow.abandon()

        script.steps.append(abandon_after)
        assert run(gateway, create_request(idempotent)) == end
        assert script.cancels == ["req-1.1"]
        assert gateway.flow.attempts.attempts == {}

    def test_no_attempt_starts_afterwards(self):
        gateway, script, _ = create([])
        gateway.flow.abandon()
        result = run(gateway, create_request(True))
        assert result == ("", (NOT_RUN, Reason.DRAINING))
        assert script.seen == []
