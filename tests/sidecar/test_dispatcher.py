"""Dispatcher: faults in each phase of an attempt, and what it reports."""

import datetime
import threading

import pytest

from sidecar import helpers
from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_core.claims import model
from verbenafall_core.claims import record
from verbenafall_sidecar.delivery import attempt_registry
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_standins.fakes import memory_store

DISPATCH = helpers.DISPATCH
NON_IDEMPOTENT = helpers.NON_IDEMPOTENT
NOT_RUN, UNKNOWN, RAN = helpers.NOT_RUN, helpers.UNKNOWN, helpers.RAN
Fault = memory_store.Fault
Reason = outcomes.Reason
STORE_DOWN = {"create": Fault.DOWN, "read": Fault.DOWN, "update": Fault.DOWN}
PAST_DEADLINE = datetime.timedelta(seconds=11)


def set_faults(harness, faults):
    harness.store.plan = lambda call: faults.get(call.operation)


def describe_last_message(harness):
    message = harness.link.last_message()
    kind = type(message).__name__
    if kind == "End":
        return kind, message.status
    return kind, message.outcome, message.reason


def read_claim(harness):
    name = model.object_name("team", "key")
    stored = harness.store.objects.get(name)
    return record.decode(stored.value).unwrap() if stored else None


# Store faults during the claim; whether the endpoint is called.
AT_CLAIM = [
    ({}, True),
    ({"create": Fault.LOST_ANSWER}, True),
    (STORE_DOWN, False),
    ({"create": Fault.THROTTLED}, False),
    ({"create": Fault.LOST_CALL}, False),
    ({"create": Fault.LOST_ANSWER, "read": Fault.DOWN}, False),
]

# How the call ends, store faults; the last message, the state of the claim.
AFTER_CALL = [
    ("answer", {}, ("End", 200), "done"),
    ("answer", {"update": Fault.LOST_ANSWER}, ("End", 200), "done"),
    ("answer", STORE_DOWN, ("End", 200), "started"),
    ("unsent", {}, ("Refused", NOT_RUN, Reason.ENDPOINT_REFUSED), "void"),
    (
        "unsent",
        STORE_DOWN,
        ("Refused", NOT_RUN, Reason.ENDPOINT_REFUSED),
        "started",
    ),
    ("died", {}, ("Failed", UNKNOWN, Reason.ENDPOINT_FAILED), "started"),
]

# Claim that exists for the key: its state, whether the digest is the same;
# the last message.
EXISTING = [
    ("done", True, ("End", 201)),
    ("large", True, ("Refused", RAN, Reason.CLAIM_HELD)),
    ("started", True, ("Refused", UNKNOWN, Reason.CLAIM_HELD)),
    ("started", False, ("Refused", NOT_RUN, Reason.CLAIM_MISMATCH)),
    ("done", False, ("Refused", NOT_RUN, Reason.CLAIM_MISMATCH)),
    ("voided", True, ("Refused", UNKNOWN, Reason.CLAIM_HELD)),
    ("sealed", True, ("Refused", NOT_RUN, Reason.KEY_SEALED)),
]

# Changes of the dispatch and of the sidecar's state; reason for the refusal.
REFUSED = [
    ({"service": "other"}, {}, Reason.WRONG_SERVICE),
    ({}, {"draining": True}, Reason.DRAINING),
    ({}, {"endpoint_up": False}, Reason.ENDPOINT_REFUSED),
    ({}, {"confirmed": False}, Reason.BUNDLE_UNCONFIRMED),
    ({"remaining_ms": 0}, {}, Reason.DEADLINE),
    ({"path": "x y"}, {}, Reason.BAD_REQUEST),
    ({"headers": (("a", "b\r\nc: d"),)}, {}, Reason.BAD_REQUEST),
    ({"idempotent": False}, {}, Reason.BAD_REQUEST),
]

# Phase at the time of the cancel, dispatch; the outcome, whether the endpoint
# is called.
CANCELS = [
    # A process that has just started does not know what a previous one ran.
    ("restarted", DISPATCH, UNKNOWN, False),
    ("restarted", NON_IDEMPOTENT, UNKNOWN, False),
    ("before", DISPATCH, NOT_RUN, False),
    ("before", NON_IDEMPOTENT, NOT_RUN, False),
    ("queued", DISPATCH, NOT_RUN, False),
    ("starting", DISPATCH, NOT_RUN, False),
    ("starting", NON_IDEMPOTENT, NOT_RUN, False),
    ("running", DISPATCH, UNKNOWN, True),
    ("running", NON_IDEMPOTENT, UNKNOWN, True),
    ("ended", DISPATCH, RAN, True),
    ("ended", NON_IDEMPOTENT, RAN, True),
]


class TestClaim:
    @pytest.mark.parametrize(("faults", "called"), AT_CLAIM)
    def test_calls_endpoint_only_after_successful_claim(self, faults, called):
        harness = helpers.DispatcherHarness()
        set_faults(harness, faults)
        harness.dispatch(NON_IDEMPOTENT)
        assert harness.endpoint.started == (["r.1"] if called else [])
        if not called:
            assert describe_last_message(harness) == (
                "Refused",
                NOT_RUN,
                Reason.STORE_UNAVAILABLE,
            )
            assert harness.dispatcher.in_flight == 0

    def test_claim_with_lost_store_response_is_voided_later(self):
        harness = helpers.DispatcherHarness()
        set_faults(harness, AT_CLAIM[-1][0])
        harness.dispatch(NON_IDEMPOTENT)
        assert read_claim(harness).state == "started"
        set_faults(harness, {})
        harness.claims.resolve()
        assert read_claim(harness).state == "void"
        assert not harness.claims.unresolved

    @pytest.mark.parametrize(
        ("call_end", "faults", "reply", "state"), AFTER_CALL
    )
    def test_end_of_a_call(self, call_end, faults, reply, state):
        harness = helpers.DispatcherHarness()
        harness.dispatch(NON_IDEMPOTENT)
        set_faults(harness, faults)
        if call_end == "answer":
            harness.respond()
        else:
            harness.fail(sent=call_end == "died")
        assert describe_last_message(harness) == reply
        assert read_claim(harness).state == state
        assert not harness.dispatcher.attempts
        assert harness.dispatcher.in_flight == 0

    @pytest.mark.parametrize(("state", "same", "reply"), EXISTING)
    def test_existing_claim(self, state, same, reply):
        harness = helpers.DispatcherHarness()
        digest = model.digest_request(
            NON_IDEMPOTENT.method, NON_IDEMPOTENT.path, NON_IDEMPOTENT.body
        )
        if state == "voided":
            harness.claims.settle("team", "key", "r.1")
        elif state == "sealed":
            harness.claims.seal("team", "key", "q.query")
        else:
            started = harness.claims.start(
                "team", "key", "other.1", digest if same else "other", "ep"
            )
        size = model.MAX_STORED_BODY_BYTES + 1 if state == "large" else 5
        if state in ("done", "large"):
            harness.claims.finish(
                started, model.StoredAnswer(201, (), b"x" * size)
            )
        harness.dispatch(NON_IDEMPOTENT)
        assert describe_last_message(harness) == reply
        assert harness.endpoint.started == []
        if reply[0] == "End":
            assert harness.link.sent[-2].data == b"xxxxx"

    def test_key_of_a_store_restored_is_unknown(self):
        """Guards against "not run", and against a second run."""
        harness = helpers.DispatcherHarness()
        harness.claims.start("team", "key", "other.1", "digest", "ep")
        harness.store.restore(1)
        harness.dispatch(NON_IDEMPOTENT)
        assert describe_last_message(harness) == (
            "Refused",
            UNKNOWN,
            Reason.CLAIM_UNCONFIRMED,
        )
        assert "'era-2.'" in harness.link.sent[-1].detail
        assert harness.endpoint.started == []

    def test_deadline_is_checked_again_after_the_claim(self):
        harness = helpers.DispatcherHarness()

        def slow_store(_call):
            harness.clock.advance(PAST_DEADLINE)

        harness.store.plan = slow_store
        harness.dispatch(NON_IDEMPOTENT)
        assert harness.endpoint.started == []
        assert describe_last_message(harness) == (
            "Refused",
            NOT_RUN,
            Reason.DEADLINE,
        )
        assert read_claim(harness).state == "void"

    def test_store_outage_does_not_delay_idempotent_work(self):
        harness = helpers.DispatcherHarness()
        set_faults(harness, STORE_DOWN)
        harness.dispatch(DISPATCH)
        harness.respond()
        assert describe_last_message(harness) == ("End", 200)
        assert harness.store.calls == []


class TestAdmission:
    @pytest.mark.parametrize(("change", "state", "reason"), REFUSED)
    def test_refuses_as_not_run(self, change, state, reason):
        harness = helpers.DispatcherHarness()
        harness.dispatcher.draining = state.get("draining", False)
        harness.bundles.confirmed = state.get("confirmed", True)
        harness.dispatcher.set_endpoint_up(state.get("endpoint_up", True))
        harness.dispatch(DISPATCH._replace(**change))
        assert describe_last_message(harness) == ("Refused", NOT_RUN, reason)
        assert harness.endpoint.started == []
        assert len(harness.reports) == 1

    def test_duplicate_of_refused_dispatch_is_not_run(self):
        harness = helpers.DispatcherHarness()
        harness.bundles.confirmed = False
        harness.dispatch(DISPATCH)
        harness.bundles.confirmed = True
        harness.dispatch(DISPATCH)
        assert describe_last_message(harness) == (
            "Refused",
            NOT_RUN,
            Reason.DUPLICATE_ATTEMPT,
        )
        assert harness.endpoint.started == []

    @pytest.mark.parametrize("dispatch", [DISPATCH, NON_IDEMPOTENT])
    @pytest.mark.parametrize("run", [True, False])
    def test_copy_on_the_same_link_neither_runs_nor_ends_it(
        self, dispatch, run
    ):
        """Guards against a copy that makes the gateway drop the attempt."""
        harness = helpers.DispatcherHarness(slots=2)
        harness.dispatch(dispatch, run)
        harness.dispatch(dispatch)
        assert harness.endpoint.started == ["r.1"]
        harness.respond()
        kinds = [type(message).__name__ for message in harness.link.sent]
        assert "Refused" not in kinds
        assert kinds.count("End") == 1

    def test_copy_on_another_link_is_refused_there(self):
        """Guards against two gateways that both use one response."""
        harness = helpers.DispatcherHarness(slots=2)
        harness.dispatch(DISPATCH)
        first, harness.link = harness.link, helpers.FakeLink()
        harness.dispatch(DISPATCH)
        assert describe_last_message(harness) == (
            "Refused",
            UNKNOWN,
            Reason.DUPLICATE_ATTEMPT,
        )
        assert harness.endpoint.started == ["r.1"]
        harness.respond()
        assert type(first.last_message()).__name__ == "End"

    def test_full_queue_refuses_with_retry_after(self):
        harness = helpers.DispatcherHarness(max_queue=2)
        for number in range(4):
            harness.dispatch(DISPATCH._replace(attempt_id=f"r.{number}"))
        assert describe_last_message(harness) == (
            "Refused",
            NOT_RUN,
            Reason.OVERLOADED,
        )
        assert harness.link.last_message().retry_after_ms > 0


class TestQueue:
    def test_calls_are_limited_to_slots_and_freed_slots_are_reused(self):
        harness = helpers.DispatcherHarness(slots=2)
        for number in range(1, 5):
            harness.dispatch(DISPATCH._replace(attempt_id=f"r.{number}"))
        assert harness.endpoint.started == ["r.1", "r.2"]
        harness.respond("r.1")
        harness.fail(True, "r.2")
        assert harness.endpoint.started == ["r.1", "r.2", "r.3", "r.4"]

    @pytest.mark.parametrize("sweep", [True, False])
    def test_deadline_expires_in_the_queue(self, sweep):
        harness = helpers.DispatcherHarness()
        harness.dispatch(DISPATCH._replace(remaining_ms=60_000))
        harness.dispatch(DISPATCH._replace(attempt_id="r.2"))
        harness.clock.advance(PAST_DEADLINE)
        if sweep:
            harness.dispatcher.expire_queued()
        else:
            harness.respond()
        assert describe_last_message(harness) == (
            "Refused",
            NOT_RUN,
            Reason.DEADLINE,
        )
        assert harness.endpoint.started == ["r.1"]

    @pytest.mark.parametrize(
        ("is_engine", "status", "kind"),
        [
            (True, 503, "Failed"),
            (True, 429, "Failed"),
            (True, 302, "Failed"),
            (True, 400, "Refused"),
            (False, 400, "End"),
            (False, 503, "End"),
        ],
    )
    def test_error_status_is_a_response_only_from_a_plain_service(
        self, is_engine, status, kind
    ):
        harness = helpers.DispatcherHarness(is_engine=is_engine)
        harness.dispatch(DISPATCH)
        harness.respond(response=helpers.RESPONSE._replace(status=status))
        assert describe_last_message(harness)[0] == kind

    @pytest.mark.parametrize(
        ("body", "detail"),
        [
            (b'{"error": {"message": "too many tokens"}}', "too many tokens"),
            (b'{"error": "too many tokens"}', "too many tokens"),
            (b'{"message": "too many tokens"}', "too many tokens"),
            (b"too\nmany tokens", "too many tokens"),
            (b'{"error": {"message": 1}}', '{"error": {"message": 1}}'),
            (b"\xff" * 9000, "\ufffd" * 500),
            (b"", ""),
        ],
    )
    @pytest.mark.parametrize("dispatch", [DISPATCH, NON_IDEMPOTENT])
    def test_bad_request_of_an_engine(self, dispatch, body, detail):
        """Guards against an error body of an engine that is sent as a chunk."""
        harness = helpers.DispatcherHarness(is_engine=True)
        harness.dispatch(dispatch)
        harness.respond(response=endpoint_port.CallResponse(422, (), body, ""))
        assert describe_last_message(harness) == (
            "Refused",
            NOT_RUN,
            Reason.BAD_REQUEST,
        )
        assert harness.link.last_message().detail == detail
        assert not [
            m for m in harness.link.sent if isinstance(m, messages.Chunk)
        ]
        assert not harness.dispatcher.attempts
        if not dispatch.idempotent:
            assert read_claim(harness).state == "void"


class TestCancel:
    @pytest.mark.parametrize(
        ("phase", "dispatch", "outcome", "called"), CANCELS
    )
    def test_cancel(self, phase, dispatch, outcome, called):
        harness = helpers.DispatcherHarness()
        if phase == "queued":
            harness.dispatch(DISPATCH._replace(attempt_id="r.0"))
        if phase == "before":
            harness.clock.advance(attempt_registry.RETENTION)
        elif phase != "restarted":
            harness.dispatch(dispatch, run=phase != "starting")
        if phase == "ended":
            harness.respond()
        assert harness.cancel() is outcome
        harness.pool.run()
        harness.dispatch(dispatch)
        assert ("r.1" in harness.endpoint.started) == called
        assert harness.endpoint.started.count("r.1") <= 1
        assert harness.cancel() is outcome
        if not called:
            assert harness.link.sent[-2].outcome is outcome

    @pytest.mark.parametrize("dispatch", [DISPATCH, NON_IDEMPOTENT])
    def test_cancel_while_running(self, dispatch):
        # The response to a non-idempotent call is still recorded. No messages
        # are sent about a cancelled attempt.
        harness = helpers.DispatcherHarness()
        harness.dispatch(dispatch)
        harness.cancel()
        sent = len(harness.link.sent)
        assert harness.endpoint.cancelled == (["r.1"] * dispatch.idempotent)
        harness.respond()
        assert len(harness.link.sent) == sent
        if not dispatch.idempotent:
            assert read_claim(harness).state == "done"
        assert harness.dispatcher.in_flight == 0

    def test_cancel_between_claim_and_call(self):
        harness = helpers.DispatcherHarness()
        seen = []

        def cancel_at_claim(_call):
            if not seen:
                seen.append(harness.cancel())

        harness.store.plan = cancel_at_claim
        harness.dispatch(NON_IDEMPOTENT)
        assert seen == [NOT_RUN]
        assert harness.endpoint.started == []
        assert read_claim(harness).state == "void"

    def test_closed_link_cancels_its_attempts(self):
        harness = helpers.DispatcherHarness()
        for number in range(1, 3):
            harness.dispatch(DISPATCH._replace(attempt_id=f"r.{number}"))
        harness.dispatcher.on_link_closed(harness.link, "test")
        assert harness.endpoint.cancelled == ["r.1"]
        harness.fail(True)
        assert harness.endpoint.started == ["r.1"]
        assert not harness.dispatcher.attempts


class TestDrain:
    def test_finishes_open_attempts_and_refuses_new_ones(self):
        harness = helpers.DispatcherHarness()
        harness.dispatch(DISPATCH)
        harness.dispatch(DISPATCH._replace(attempt_id="r.2"))
        harness.dispatcher.start_drain()
        harness.dispatch(DISPATCH._replace(attempt_id="r.3"))
        assert describe_last_message(harness) == (
            "Refused",
            NOT_RUN,
            Reason.DRAINING,
        )
        assert harness.reports[-1].draining
        left = []
        limit = datetime.timedelta(seconds=30)
        waiter = threading.Thread(
            target=lambda: left.append(
                harness.dispatcher.wait_until_idle(limit)
            )
        )
        waiter.start()
        harness.endpoint.sinks["r.1"].on_chunk(b"token")
        harness.respond("r.1")
        assert waiter.is_alive()
        harness.respond("r.2")
        waiter.join()
        assert left == [0]
        ends = [m for m in harness.link.sent if isinstance(m, messages.End)]
        assert [(e.attempt_id, e.chunk_count) for e in ends] == [
            ("r.1", 2),
            ("r.2", 1),
        ]

    @pytest.mark.parametrize(
        ("dispatch", "cancelled"), [(DISPATCH, ["r.1"]), (NON_IDEMPOTENT, [])]
    )
    def test_abandons_attempts_with_their_outcomes(self, dispatch, cancelled):
        """Guards against unknown outcomes of what has not run."""
        harness = helpers.DispatcherHarness(slots=2)
        harness.dispatch(dispatch)
        for number in (2, 3):
            other = dispatch._replace(
                attempt_id=f"r.{number}", idempotency_key=f"key-{number}"
            )
            harness.dispatch(other, run=False)
        sent = len(harness.link.sent)
        harness.dispatcher.abandon()
        harness.pool.run()
        harness.endpoint.sinks["r.1"].on_chunk(b"late")
        harness.respond("r.1")
        assert [
            (item.attempt_id, item.reason, item.outcome)
            for item in harness.link.sent[sent:]
        ] == [
            ("r.1", Reason.DRAINING, UNKNOWN),
            ("r.2", Reason.DRAINING, NOT_RUN),
            ("r.3", Reason.DRAINING, NOT_RUN),
        ]
        assert harness.endpoint.started == ["r.1"]
        assert harness.endpoint.cancelled == cancelled
        assert harness.dispatcher.in_flight == 0

    def test_reports_attempts_still_open_at_the_limit(self):
        harness = helpers.DispatcherHarness()
        harness.dispatch(DISPATCH)
        assert harness.dispatcher.wait_until_idle(datetime.timedelta()) == 1


class TestCrash:
    def test_exception_in_the_adapter_frees_the_slot(self):
        harness = helpers.DispatcherHarness()

        def start_call(_dispatch, _limit, _sink):
            raise RuntimeError("test")

        harness.endpoint.start_call = start_call
        harness.dispatch(DISPATCH)
        assert describe_last_message(harness) == (
            "Failed",
            UNKNOWN,
            Reason.ENDPOINT_FAILED,
        )
        assert harness.dispatcher.in_flight == 0

    def test_large_responses_are_split(self):
        harness = helpers.DispatcherHarness()
        harness.dispatch(DISPATCH)
        body = bytes(600 * 1024)
        harness.respond(response=endpoint_port.CallResponse(200, (), body, ""))
        *_, first, second, third, end = harness.link.sent
        assert first.data + second.data + third.data == body
        assert (end.chunk_count, end.byte_count) == (3, len(body))


PAUSE = endpoint_port.CallResponse(503, (("Retry-After", "3"),), b"", "")
LEAVING = endpoint_port.CallResponse(200, (("X-Leaving", "1"),), b"done", "")
SECOND = datetime.timedelta(seconds=1)


def dispatch(harness, number, remaining_ms=10_000):
    harness.dispatcher.on_dispatch(
        harness.link,
        DISPATCH._replace(attempt_id=f"r.{number}", remaining_ms=remaining_ms),
    )
    harness.pool.run()


def answer(harness, number, response):
    harness.endpoint.sinks[f"r.{number}"].on_response(response)
    harness.pool.run()


@pytest.fixture(params=[True, False], ids=["engine", "plain service"])
def asked(request):
    """A dispatcher whose endpoint has got its first call."""
    harness = helpers.DispatcherHarness(is_engine=request.param)
    dispatch(harness, 1)
    return harness


class TestClosedEndpoint:
    @pytest.mark.parametrize("response", [PAUSE, LEAVING])
    def test_dispatch_that_cannot_wait_is_refused_at_once(
        self, asked, response
    ):
        answer(asked, 1, response)
        dispatch(asked, 2, remaining_ms=2_000)
        assert asked.endpoint.started == ["r.1"]
        refused = asked.link.last_message()
        assert (refused.outcome, refused.reason) == (
            NOT_RUN,
            Reason.ENDPOINT_REFUSED,
        )
        assert refused.retry_after_ms >= 1_000
        assert asked.dispatcher.snapshot().endpoint_closed

    def test_queued_dispatch_waits_for_the_end_of_a_pause(self, asked):
        dispatch(asked, 2)
        answer(asked, 1, PAUSE)
        asked.clock.advance(2 * SECOND)
        asked.dispatcher.expire_queued()
        asked.pool.run()
        assert asked.endpoint.started == ["r.1"]
        asked.clock.advance(SECOND)
        asked.dispatcher.expire_queued()
        asked.pool.run()
        assert asked.endpoint.started == ["r.1", "r.2"]

    def test_queued_dispatch_that_cannot_wait_is_refused(self, asked):
        dispatch(asked, 2, remaining_ms=2_500)
        answer(asked, 1, PAUSE)
        refusals = [
            message
            for message in asked.link.sent
            if isinstance(message, messages.Refused)
        ]
        assert [item.attempt_id for item in refusals] == ["r.2"]

    def test_another_process_of_the_endpoint_gets_calls(self, asked):
        answer(asked, 1, LEAVING)
        asked.dispatcher.set_endpoint_up(False)
        asked.dispatcher.set_endpoint_up(True)
        dispatch(asked, 2)
        assert asked.endpoint.started == ["r.1", "r.2"]

    @pytest.mark.parametrize(
        ("status", "value"),
        [
            (503, "soon"),
            (503, "-1"),
            (503, "inf"),
            (503, "9" * 400),
            (503, "0"),
            (429, "3"),
        ],
    )
    def test_other_answers_do_not_close_the_endpoint(
        self, asked, status, value
    ):
        headers = (("Retry-After", value),)
        response = endpoint_port.CallResponse(status, headers, b"", "")
        answer(asked, 1, response)
        dispatch(asked, 2)
        assert asked.endpoint.started == ["r.1", "r.2"]

    def test_very_long_pause_is_no_error(self, asked):
        headers = (("Retry-After", "1e300"),)
        answer(asked, 1, endpoint_port.CallResponse(503, headers, b"", ""))
        dispatch(asked, 2)
        assert asked.endpoint.started == ["r.1"]
