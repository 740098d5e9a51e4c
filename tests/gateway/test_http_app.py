"""Client application: status and body of errors and answers."""

import datetime
import json
from typing import NamedTuple

import pytest
from werkzeug import test as werkzeug_test

from gateway import gateway_fakes as fakes
from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_core.claims import model as claims_model
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.client_http import validation

CHAT = "/v1/chat/completions"
SEARCH = "/services/mostrador-app/search"
RESERVE = "/services/mostrador-app/reservations"
GOOD = {
    "model": "quote-model",
    "messages": [{"role": "user", "content": "hello"}],
}
NOT_RUN, UNKNOWN, RAN = outcomes.Outcome
Reason = outcomes.Reason


class Row(NamedTuple):
    name: str
    path: str
    body: object
    headers: dict
    status: int
    code: str
    method: str = "POST"


def chat_row(name, **changes):
    return Row(name, CHAT, {**GOOD, **changes}, {}, 400, "bad_request")


def header_row(name, header, value, code, path=RESERVE):
    return Row(name, path, "x", {header: value}, 400, code)


FAULTS = [
    Row("bad_json", CHAT, "{", {}, 400, "bad_json"),
    Row("not_utf8", CHAT, b'{"model": "\xff"}', {}, 400, "bad_json"),
    Row("nan", CHAT, '{"model": NaN}', {}, 400, "bad_json"),
    Row("deep", CHAT, "[" * 100_000, {}, 400, "bad_json"),
    Row("digits", CHAT, "9" * 10_000, {}, 400, "bad_json"),
    Row("empty", CHAT, "", {}, 400, "bad_json"),
    Row("list", CHAT, "[]", {}, 400, "bad_request"),
    chat_row("no_model", model=None),
    chat_row("messages_empty", messages=[]),
    chat_row("message_no_object", messages=["hello"]),
    chat_row("message_no_role", messages=[{"content": "hello"}]),
    chat_row("content_number", messages=[{"role": "user", "content": 1}]),
    chat_row("stream_text", stream="yes"),
    chat_row("stream_options_list", stream_options=[]),
    chat_row("usage_text", stream_options={"include_usage": "yes"}),
    chat_row("two_answers", n=2),
    chat_row("no_tokens", max_tokens=0),
    chat_row("resume", resume={"index": 1, "text": "a"}),
    Row(
        "unknown_model", CHAT, {**GOOD, "model": "x"}, {}, 404, "unknown_model"
    ),
    Row(
        "unknown_service", "/services/x/search", "", {}, 404, "unknown_service"
    ),
    Row(
        "model_as_records",
        "/services/asistente-llm/x",
        "",
        {},
        404,
        "unknown_service",
    ),
    Row(
        "no_credential",
        CHAT,
        GOOD,
        {"Authorization": ""},
        401,
        "missing_credential",
    ),
    Row(
        "unknown_credential",
        CHAT,
        GOOD,
        {"Authorization": "Bearer x"},
        401,
        "unknown_credential",
    ),
    Row(
        "service_not_allowed",
        CHAT,
        GOOD,
        {"Authorization": "Bearer credential-two"},
        403,
        "service_not_allowed",
    ),
    Row(
        "too_large",
        CHAT,
        b" " * (validation.MAX_BODY_BYTES + 1),
        {},
        413,
        "body_too_large",
    ),
    header_row("empty_key", "Idempotency-Key", "", "bad_idempotency_key"),
    header_row("long_key", "Idempotency-Key", "k" * 129, "bad_idempotency_key"),
    header_row("key_not_ascii", "Idempotency-Key", "é", "bad_idempotency_key"),
    header_row("chat_key", "Idempotency-Key", "é", "bad_idempotency_key", CHAT),
    header_row("no_key", "X-Other", "1", "missing_idempotency_key"),
    header_row("deadline_text", "X-Deadline-Ms", "1s", "bad_deadline", SEARCH),
    header_row("deadline_zero", "X-Deadline-Ms", "0", "bad_deadline", SEARCH),
    header_row(
        "deadline_digits", "X-Deadline-Ms", "9" * 5000, "bad_deadline", SEARCH
    ),
    header_row("deadline_sign", "X-Deadline-Ms", "-5", "bad_deadline", SEARCH),
    Row("dots", f"{SEARCH}/%2e%2e/reservations", "", {}, 400, "bad_path"),
    Row("path", "/v2/chat", "", {}, 404, "unknown_path"),
    Row("method", CHAT, "", {}, 405, "bad_method", "GET"),
    Row("odd_method", SEARCH, "", {}, 405, "bad_method", "TRACE"),
]


def call(gateway, path, body="", headers=None, method="POST"):
    if not isinstance(body, str | bytes):
        body = json.dumps(body)
    client = werkzeug_test.Client(gateway.app)
    return client.open(
        path,
        method=method,
        data=body,
        headers={
            "Authorization": f"Bearer {fakes.CREDENTIAL}",
            **(headers or {}),
        },
    )


def create(service, script, claims=None):
    gateway = fakes.create_gateway(claims=claims)
    link = fakes.ScriptedLink(gateway.router, "e-1", service, script)
    return gateway, link


def answer_record(message):
    return fakes.answer(
        message,
        ['{"id"', ": 4}"],
        status=201,
        headers=(("Content-Type", "application/json"), ("X-Own", "1")),
        finish="",
    )


def refuse(reason, outcome=NOT_RUN):
    return lambda message: [fakes.refused(message, reason, outcome, 1500)]


# Reason and outcome from the sidecar, status, whether a retry may succeed.
REFUSALS = [
    (Reason.OVERLOADED, NOT_RUN, 503, True),
    (Reason.DEADLINE, NOT_RUN, 504, True),
    (Reason.CLAIM_HELD, UNKNOWN, 409, True),
    (Reason.CLAIM_MISMATCH, NOT_RUN, 422, False),
    (Reason.CLAIM_UNCONFIRMED, UNKNOWN, 409, False),
    (Reason.KEY_SEALED, NOT_RUN, 409, False),
    (Reason.STORE_UNAVAILABLE, NOT_RUN, 503, True),
]

# Result of sealing a key, status, outcome.
SEAL_RESULTS = [
    (claims_model.Sealed(), 200, "not_run"),
    (claims_model.Held("a"), 200, "unknown"),
    (claims_model.Replay(claims_model.StoredAnswer(201, (), b"")), 200, "ran"),
    (claims_model.Unavailable("down"), 503, "unknown"),
]


class TestFaults:
    @pytest.mark.parametrize("row", FAULTS, ids=[row.name for row in FAULTS])
    def test_invalid_requests_get_a_4xx_with_a_message(self, row):
        """Guards against invalid requests that reach an endpoint."""
        gateway = fakes.create_gateway()
        response = call(gateway, row.path, row.body, row.headers, row.method)
        error = response.json["error"]
        assert (response.status_code, error["code"]) == (row.status, row.code)
        assert error["outcome"] == "not_run"
        assert len(error["message"]) > 10
        assert response.headers["X-Request-Id"].startswith("req-")

    def test_every_refusal_reason_has_a_status(self):
        """Guards against a refusal that causes an internal error."""
        for reason in Reason:
            gateway, _ = create("mostrador-app", refuse(reason))
            assert call(gateway, SEARCH).status_code >= 400
            assert call(gateway, SEARCH).json["error"]["code"] == reason


class TestRecords:
    def test_answer_and_request_pass_unchanged(self):
        """Guards against lost query, body, status or headers."""
        gateway, link = create("mostrador-app", answer_record)
        response = call(
            gateway,
            f"{RESERVE}/a%2Fb?x=1&y=%20",
            "body",
            {"Idempotency-Key": "k", "X-Deadline-Ms": "5000"},
        )
        assert (response.status_code, response.json) == (201, {"id": 4})
        assert response.headers["X-Own"] == "1"
        (sent,) = link.of_kind(messages.Dispatch)
        assert sent.path == "/reservations/a%2Fb?x=1&y=%20"
        assert (sent.method, sent.body) == ("POST", b"body")
        assert (sent.idempotent, sent.idempotency_key) == (False, "k")
        assert 4000 < sent.remaining_ms < 5000
        names = {name.lower() for name, _ in sent.headers}
        assert "authorization" not in names
        assert "x-deadline-ms" not in names

    def test_rules_decide_what_may_be_repeated(self):
        """Guards against repeating a call that must run only once."""
        gateway, link = create("mostrador-app", answer_record)
        call(gateway, SEARCH)
        call(gateway, RESERVE, method="GET")
        sent = link.of_kind(messages.Dispatch)
        assert [item.idempotent for item in sent] == [True, True]

    @pytest.mark.parametrize(
        ("reason", "outcome", "status", "retryable"), REFUSALS
    )
    def test_refusals(self, reason, outcome, status, retryable):
        """Guards against a wrong outcome or a missing retry time."""
        gateway, _ = create("mostrador-app", refuse(reason, outcome))
        response = call(gateway, RESERVE, headers={"Idempotency-Key": "k"})
        error = response.json["error"]
        assert response.status_code == status
        assert (error["outcome"], error["code"]) == (outcome, reason)
        assert error.get("retry_after_ms") == (1500 if retryable else None)
        assert response.headers.get("Retry-After") == (
            "2" if retryable else None
        )


class TestOutcomeQuery:
    @pytest.mark.parametrize(("result", "status", "outcome"), SEAL_RESULTS)
    def test_seals_the_key(self, result, status, outcome):
        """Guards against not_run for a key whose request may have run."""
        claims = fakes.FakeClaims(result)
        gateway = fakes.create_gateway(claims=claims)
        response = call(gateway, "/v1/outcomes/a/b%20c", method="GET")
        body = response.json
        assert response.status_code == status
        assert body.get("error", body)["outcome"] == outcome
        assert [item[:2] for item in claims.settled] == [("desk", "a/b c")]

    def test_refusal_of_a_sealed_key_advises_a_new_key(self):
        """Guards against clients that retry with a sealed key indefinitely."""
        gateway, _ = create("mostrador-app", refuse(Reason.KEY_SEALED))
        headers = {"Idempotency-Key": "k"}
        error = call(gateway, RESERVE, headers=headers).json["error"]
        assert "use a new key" in error["message"]

    def test_refusal_after_a_store_restored_states_the_prefix(self):
        """Guards against clients that cannot make a key that runs."""

        def refuse_key(message):
            refused = fakes.refused(message, Reason.CLAIM_UNCONFIRMED, UNKNOWN)
            return [refused._replace(detail="keys begin with 'era-2.'")]

        gateway, _ = create("mostrador-app", refuse_key)
        headers = {"Idempotency-Key": "k"}
        error = call(gateway, RESERVE, headers=headers).json["error"]
        assert error["code"] == "claim_unconfirmed"
        assert error["message"] == "keys begin with 'era-2.'"

    @pytest.mark.parametrize("phase", list(service_state.Phase)[::2])
    def test_refused_query_has_the_outcome_unknown(self, phase):
        """Guards against a not_run that is meant for the query, not its key."""
        gateway = fakes.create_gateway()
        gateway.state.enter(phase)
        response = call(
            gateway, "/v1/outcomes/k", "", {"Authorization": "Bearer x"}, "GET"
        )
        assert response.status_code in (401, 503)
        assert response.json["error"]["outcome"] == "unknown"

    def test_open_request_is_unknown(self):
        """Guards against sealing the key of a request that is open here."""
        found = []

        def query_outcome(message):
            found.append(call(gateway, "/v1/outcomes/k", method="GET").json)
            return answer_record(message)

        gateway, _ = create("mostrador-app", query_outcome)
        call(gateway, RESERVE, headers={"Idempotency-Key": "k"})
        assert found == [{"outcome": "unknown"}]
        assert gateway.claims.settled == []


class TestChatAnswers:
    def test_engine_gets_a_stream_request_for_a_non_streaming_answer(self):
        """Guards against non-streaming answers that cannot be resumed."""
        gateway, link = create("asistente-llm", lambda m: fakes.answer(m, "ab"))
        body = {**GOOD, "temperature": 0.5}
        response = call(gateway, CHAT, body)
        assert response.json["choices"][0]["message"]["content"] == "ab"
        (sent,) = link.of_kind(messages.Dispatch)
        assert json.loads(sent.body) == {**body, "stream": True}

    @pytest.mark.parametrize("prompt_tokens", [0, 7])
    @pytest.mark.parametrize("broken", [False, True])
    @pytest.mark.parametrize("options", [None, {}, {"include_usage": True}])
    def test_usage_counts_the_complete_answer(
        self, prompt_tokens, broken, options
    ):
        """Guards against counts of the last attempt only, or unknown counts.

        If the endpoint does not report the prompt's tokens, there is no usage.
        """
        tokens = ["a", "b", "c"]

        def reply(message):
            if isinstance(message, messages.Cancel):
                return []
            complete = fakes.answer(
                message, tokens, prompt_tokens=prompt_tokens
            )
            if not broken or message.resume_index:
                return complete
            return [*complete[:3], fakes.failed(message, outcomes.Outcome.RAN)]

        gateway, _ = create("asistente-llm", reply)
        fakes.ScriptedLink(gateway.router, "e-2", "asistente-llm", reply)
        expected = {
            "prompt_tokens": 7,
            "completion_tokens": 3,
            "total_tokens": 10,
        }
        plain = call(gateway, CHAT, GOOD).json
        assert plain.get("usage") == (expected if prompt_tokens else None)
        body = {**GOOD, "stream": True, "stream_options": options}
        response = call(gateway, CHAT, body)
        events = response.get_data(as_text=True).strip().split("\n\n")
        assert events[-1] == "data: [DONE]"
        last = json.loads(events[-2].removeprefix("data: "))
        if options and prompt_tokens:
            assert (last["choices"], last["usage"]) == ([], expected)
        else:
            assert last["choices"][0]["finish_reason"] == "stop"
            assert "usage" not in last

    @pytest.mark.parametrize("stream", [True, False])
    def test_refusal_before_the_first_token_has_an_error_status(self, stream):
        """Guards against a refusal inside an event stream with status 200."""
        gateway, _ = create("asistente-llm", refuse(Reason.OVERLOADED))
        response = call(gateway, CHAT, {**GOOD, "stream": stream})
        assert response.status_code == 503
        assert response.json["error"]["outcome"] == "not_run"

    @pytest.mark.parametrize("stream", [True, False])
    def test_bad_request_of_the_engine(self, stream):
        """Guards against an engine's error text sent as an answer."""

        def refuse_with_detail(message):
            refused = fakes.refused(message, Reason.BAD_REQUEST)
            return [refused._replace(detail="too many tokens")]

        gateway, link = create("asistente-llm", refuse_with_detail)
        response = call(gateway, CHAT, {**GOOD, "stream": stream})
        error = response.json["error"]
        assert response.status_code == 400
        assert (error["outcome"], error["code"]) == ("not_run", "bad_request")
        assert "too many tokens" in error["message"]
        assert len(link.of_kind(messages.Dispatch)) == 1

    @pytest.mark.parametrize("status", [400, 500])
    def test_broken_stream_ends_with_an_error_and_without_done(self, status):
        """Guards against a truncated stream that looks complete."""
        gateway, _ = create(
            "asistente-llm", lambda m: fakes.answer(m, "a", status)
        )
        response = call(gateway, CHAT, {**GOOD, "stream": True})
        events = response.get_data(as_text=True).strip().split("\n\n")
        assert "[DONE]" not in events[-1]
        error = json.loads(events[-1].removeprefix("data: "))["error"]
        assert error["outcome"] == "ran"


class TestNewWork:
    @pytest.mark.parametrize(
        ("team_limit", "max_open", "status"), [(1, 200, 429), (200, 1, 503)]
    )
    def test_limits(self, team_limit, max_open, status):
        """Guards against requests over a limit and slots that stay in use."""
        gateway = fakes.create_gateway(max_open=max_open)
        fakes.ScriptedLink(
            gateway.router,
            "e-1",
            "asistente-llm",
            lambda m: fakes.answer(m, "ab"),
        )
        team = fakes.TEAM._replace(max_in_flight=team_limit)
        gateway.bundles.bundle = fakes.BUNDLE._replace(teams=(team,))
        body = {**GOOD, "stream": True}
        open_one = call(gateway, CHAT, body)
        refused = call(gateway, CHAT, body)
        assert refused.status_code == status
        assert refused.json["error"]["outcome"] == "not_run"
        assert refused.headers["Retry-After"]
        open_one.close()
        assert call(gateway, CHAT, body).status_code == 200

    def test_unconfirmed_bundle(self):
        """Guards against work under a bundle that may be outdated."""
        gateway = fakes.create_gateway()
        gateway.bundles.reason = "bundle_unconfirmed"
        response = call(gateway, CHAT, GOOD)
        ready = call(gateway, "/-/ready", method="GET")
        assert response.status_code == ready.status_code == 503
        assert response.json["error"]["code"] == "bundle_unconfirmed"
        assert ready.json["reason"] == "bundle_unconfirmed"

    def test_phases_of_a_planned_stop(self):
        """Guards against refusals before the load balancer notices the stop."""
        gateway, _ = create("asistente-llm", lambda m: fakes.answer(m, "ab"))
        gateway.state.enter(service_state.Phase.LEAVING)
        assert call(gateway, "/-/ready", method="GET").status_code == 503
        assert call(gateway, CHAT, GOOD).status_code == 200
        gateway.state.enter(service_state.Phase.REFUSING)
        refused = call(gateway, CHAT, GOOD)
        assert refused.status_code == 503
        assert refused.json["error"]["outcome"] == "not_run"
        assert refused.headers["Connection"] == "close"
        assert gateway.state.heartbeat().draining

    def test_default_deadline_is_that_of_the_service(self):
        """Guards against requests without any deadline."""
        gateway, link = create("mostrador-app", answer_record)
        call(gateway, SEARCH)
        (sent,) = link.of_kind(messages.Dispatch)
        limit = datetime.timedelta(milliseconds=sent.remaining_ms)
        assert limit <= fakes.RECORDS_SERVICE.deadline
        assert limit > fakes.RECORDS_SERVICE.deadline * 0.9
