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


def set_faults(rig, faults):
    rig.store.plan = lambda call: faults.get(call.operation)


def describe_last_message(rig):
    message = rig.link.last_message()
    kind = type(message).__name__
    if kind == "End":
        return kind, message.status
    return kind, message.outcome, message.reason


def read_claim(rig):
    name = model.object_name("team", "key")
    stored = rig.store.objects.get(name)
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
        rig = helpers.DispatcherHarness()
        set_faults(rig, faults)
        rig.dispatch(NON_IDEMPOTENT)
        assert rig.endpoint.started == (["r.1"] if called else [])
        if not called:
            assert describe_last_message(rig) == (
                "Refused",
                NOT_RUN,
                Reason.STORE_UNAVAILABLE,
            )
            assert rig.dispatcher.in_flight == 0

    def test_claim_with_lost_store_response_is_voided_later(self):
        rig = helpers.DispatcherHarness()
        set_faults(rig, AT_CLAIM[-1][0])
        rig.dispatch(NON_IDEMPOTENT)
        assert read_claim(rig).state == "started"
        set_faults(rig, {})
        rig.claims.resolve()
        assert read_claim(rig).state == "void"
        assert not rig.claims.unresolved

    @pytest.mark.parametrize(
        ("call_end", "faults", "reply", "state"), AFTER_CALL
    )
    def test_end_of_a_call(self, call_end, faults, reply, state):
        rig = helpers.DispatcherHarness()
        rig.dispatch(NON_IDEMPOTENT)
        set_faults(rig, faults)
        if call_end == "answer":
            rig.respond()
        else:
            rig.fail(sent=call_end == "died")
        assert describe_last_message(rig) == reply
        assert read_claim(rig).state == state
        assert not rig.dispatcher.attempts
        assert rig.dispatcher.in_flight == 0

    @pytest.mark.parametrize(("state", "same", "reply"), EXISTING)
    def test_existing_claim(self, state, same, reply):
        rig = helpers.DispatcherHarness()
        digest = model.digest_request(
            NON_IDEMPOTENT.method, NON_IDEMPOTENT.path, NON_IDEMPOTENT.body
        )
        if state == "voided":
            rig.claims.settle("team", "key", "r.1")
        elif state == "sealed":
            rig.claims.seal("team", "key", "q.query")
        else:
            started = rig.claims.start(
                "team", "key", "other.1", digest if same else "other", "ep"
            )
        size = model.MAX_STORED_BODY_BYTES + 1 if state == "large" else 5
        if state in ("done", "large"):
            rig.claims.finish(started, model.StoredAnswer(201, (), b"x" * size))
        rig.dispatch(NON_IDEMPOTENT)
        assert describe_last_message(rig) == reply
        assert rig.endpoint.started == []
        if reply[0] == "End":
            assert rig.link.sent[-2].data == b"xxxxx"

    def test_deadline_is_checked_again_after_the_claim(self):
        rig = helpers.DispatcherHarness()

        def slow_store(_call):
            rig.clock.advance(PAST_DEADLINE)

        rig.store.plan = slow_store
        rig.dispatch(NON_IDEMPOTENT)
        assert rig.endpoint.started == []
        assert describe_last_message(rig) == (
            "Refused",
            NOT_RUN,
            Reason.DEADLINE,
        )
        assert read_claim(rig).state == "void"

    def test_store_outage_does_not_delay_idempotent_work(self):
        rig = helpers.DispatcherHarness()
        set_faults(rig, STORE_DOWN)
        rig.dispatch(DISPATCH)
        rig.respond()
        assert describe_last_message(rig) == ("End", 200)
        assert rig.store.calls == []


class TestAdmission:
    @pytest.mark.parametrize(("change", "state", "reason"), REFUSED)
    def test_refuses_as_not_run(self, change, state, reason):
        rig = helpers.DispatcherHarness()
        rig.dispatcher.draining = state.get("draining", False)
        rig.bundles.confirmed = state.get("confirmed", True)
        rig.dispatcher.set_endpoint_up(state.get("endpoint_up", True))
        rig.dispatch(DISPATCH._replace(**change))
        assert describe_last_message(rig) == ("Refused", NOT_RUN, reason)
        assert rig.endpoint.started == []
        assert len(rig.reports) == 1

    def test_duplicate_of_refused_dispatch_is_not_run(self):
        rig = helpers.DispatcherHarness()
        rig.bundles.confirmed = False
        rig.dispatch(DISPATCH)
        rig.bundles.confirmed = True
        rig.dispatch(DISPATCH)
        assert describe_last_message(rig) == (
            "Refused",
            NOT_RUN,
            Reason.DUPLICATE_ATTEMPT,
        )
        assert rig.endpoint.started == []

    @pytest.mark.parametrize("dispatch", [DISPATCH, NON_IDEMPOTENT])
    @pytest.mark.parametrize("run", [True, False])
    def test_copy_on_the_same_link_neither_runs_nor_ends_it(
        self, dispatch, run
    ):
        """Guards against a copy that makes the gateway drop the attempt."""
        rig = helpers.DispatcherHarness(slots=2)
        rig.dispatch(dispatch, run)
        rig.dispatch(dispatch)
        assert rig.endpoint.started == ["r.1"]
        rig.respond()
        kinds = [type(message).__name__ for message in rig.link.sent]
        assert "Refused" not in kinds
        assert kinds.count("End") == 1

    def test_copy_on_another_link_is_refused_there(self):
        """Guards against two gateways that both use one response."""
        rig = helpers.DispatcherHarness(slots=2)
        rig.dispatch(DISPATCH)
        first, rig.link = rig.link, helpers.FakeLink()
        rig.dispatch(DISPATCH)
        assert describe_last_message(rig) == (
            "Refused",
            UNKNOWN,
            Reason.DUPLICATE_ATTEMPT,
        )
        assert rig.endpoint.started == ["r.1"]
        rig.respond()
        assert type(first.last_message()).__name__ == "End"

    def test_full_queue_refuses_with_retry_after(self):
        rig = helpers.DispatcherHarness(max_queue=2)
        for number in range(4):
            rig.dispatch(DISPATCH._replace(attempt_id=f"r.{number}"))
        assert describe_last_message(rig) == (
            "Refused",
            NOT_RUN,
            Reason.OVERLOADED,
        )
        assert rig.link.last_message().retry_after_ms > 0


class TestQueue:
    def test_calls_are_limited_to_slots_and_freed_slots_are_reused(self):
        rig = helpers.DispatcherHarness(slots=2)
        for number in range(1, 5):
            rig.dispatch(DISPATCH._replace(attempt_id=f"r.{number}"))
        assert rig.endpoint.started == ["r.1", "r.2"]
        rig.respond("r.1")
        rig.fail(True, "r.2")
        assert rig.endpoint.started == ["r.1", "r.2", "r.3", "r.4"]

    @pytest.mark.parametrize("sweep", [True, False])
    def test_deadline_expires_in_the_queue(self, sweep):
        rig = helpers.DispatcherHarness()
        rig.dispatch(DISPATCH._replace(remaining_ms=60_000))
        rig.dispatch(DISPATCH._replace(attempt_id="r.2"))
        rig.clock.advance(PAST_DEADLINE)
        if sweep:
            rig.dispatcher.expire_queued()
        else:
            rig.respond()
        assert describe_last_message(rig) == (
            "Refused",
            NOT_RUN,
            Reason.DEADLINE,
        )
        assert rig.endpoint.started == ["r.1"]

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
        rig = helpers.DispatcherHarness(is_engine=is_engine)
        rig.dispatch(DISPATCH)
        rig.respond(response=helpers.RESPONSE._replace(status=status))
        assert describe_last_message(rig)[0] == kind

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
        rig = helpers.DispatcherHarness(is_engine=True)
        rig.dispatch(dispatch)
        rig.respond(response=endpoint_port.CallResponse(422, (), body, ""))
        assert describe_last_message(rig) == (
            "Refused",
            NOT_RUN,
            Reason.BAD_REQUEST,
        )
        assert rig.link.last_message().detail == detail
        assert not [m for m in rig.link.sent if isinstance(m, messages.Chunk)]
        assert not rig.dispatcher.attempts
        if not dispatch.idempotent:
            assert read_claim(rig).state == "void"


class TestCancel:
    @pytest.mark.parametrize(
        ("phase", "dispatch", "outcome", "called"), CANCELS
    )
    def test_cancel(self, phase, dispatch, outcome, called):
        rig = helpers.DispatcherHarness()
        if phase == "queued":
            rig.dispatch(DISPATCH._replace(attempt_id="r.0"))
        if phase == "before":
            rig.clock.advance(attempt_registry.RETENTION)
        elif phase != "restarted":
            rig.dispatch(dispatch, run=phase != "starting")
        if phase == "ended":
            rig.respond()
        assert rig.cancel() is outcome
        rig.pool.run()
        rig.dispatch(dispatch)
        assert ("r.1" in rig.endpoint.started) == called
        assert rig.endpoint.started.count("r.1") <= 1
        assert rig.cancel() is outcome
        if not called:
            assert rig.link.sent[-2].outcome is outcome

    @pytest.mark.parametrize("dispatch", [DISPATCH, NON_IDEMPOTENT])
    def test_cancel_while_running(self, dispatch):
        # The response to a non-idempotent call is still recorded. No messages
        # are sent about a cancelled attempt.
        rig = helpers.DispatcherHarness()
        rig.dispatch(dispatch)
        rig.cancel()
        sent = len(rig.link.sent)
        assert rig.endpoint.cancelled == (["r.1"] * dispatch.idempotent)
        rig.respond()
        assert len(rig.link.sent) == sent
        if not dispatch.idempotent:
            assert read_claim(rig).state == "done"
        assert rig.dispatcher.in_flight == 0

    def test_cancel_between_claim_and_call(self):
        rig = helpers.DispatcherHarness()
        seen = []

        def cancel_at_claim(_call):
            if not seen:
                seen.append(rig.cancel())

        rig.store.plan = cancel_at_claim
        rig.dispatch(NON_IDEMPOTENT)
        assert seen == [NOT_RUN]
        assert rig.endpoint.started == []
        assert read_claim(rig).state == "void"

    def test_closed_link_cancels_its_attempts(self):
        rig = helpers.DispatcherHarness()
        for number in range(1, 3):
            rig.dispatch(DISPATCH._replace(attempt_id=f"r.{number}"))
        rig.dispatcher.on_link_closed(rig.link, "test")
        assert rig.endpoint.cancelled == ["r.1"]
        rig.fail(True)
        assert rig.endpoint.started == ["r.1"]
        assert not rig.dispatcher.attempts


class TestDrain:
    def test_finishes_open_attempts_and_refuses_new_ones(self):
        rig = helpers.DispatcherHarness()
        rig.dispatch(DISPATCH)
        rig.dispatch(DISPATCH._replace(attempt_id="r.2"))
        rig.dispatcher.start_drain()
        rig.dispatch(DISPATCH._replace(attempt_id="r.3"))
        assert describe_last_message(rig) == (
            "Refused",
            NOT_RUN,
            Reason.DRAINING,
        )
        assert rig.reports[-1].draining
        left = []
        limit = datetime.timedelta(seconds=30)
        waiter = threading.Thread(
            target=lambda: left.append(rig.dispatcher.wait_until_idle(limit))
        )
        waiter.start()
        rig.endpoint.sinks["r.1"].on_chunk(b"token")
        rig.respond("r.1")
        assert waiter.is_alive()
        rig.respond("r.2")
        waiter.join()
        assert left == [0]
        ends = [m for m in rig.link.sent if isinstance(m, messages.End)]
        assert [(e.attempt_id, e.chunk_count) for e in ends] == [
            ("r.1", 2),
            ("r.2", 1),
        ]

    def test_reports_attempts_still_open_at_the_limit(self):
        rig = helpers.DispatcherHarness()
        rig.dispatch(DISPATCH)
        assert rig.dispatcher.wait_until_idle(datetime.timedelta()) == 1


class TestCrash:
    def test_exception_in_the_adapter_frees_the_slot(self):
        rig = helpers.DispatcherHarness()

        def start_call(_dispatch, _limit, _sink):
            raise RuntimeError("test")

        rig.endpoint.start_call = start_call
        rig.dispatch(DISPATCH)
        assert describe_last_message(rig) == (
            "Failed",
            UNKNOWN,
            Reason.ENDPOINT_FAILED,
        )
        assert rig.dispatcher.in_flight == 0

    def test_large_responses_are_split(self):
        rig = helpers.DispatcherHarness()
        rig.dispatch(DISPATCH)
        body = bytes(600 * 1024)
        rig.respond(response=endpoint_port.CallResponse(200, (), body, ""))
        *_, first, second, third, end = rig.link.sent
        assert first.data + second.data + third.data == body
        assert (end.chunk_count, end.byte_count) == (3, len(body))
