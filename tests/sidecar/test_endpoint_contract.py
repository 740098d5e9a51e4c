"""Contract tests of the engine and plain service interfaces.

They run against every adapter.
"""

import datetime
import json
import queue
import uuid

import pytest
import returns.pipeline

import adapters
from sidecar import helpers
from verbenafall_core import http_client
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import engine_http
from verbenafall_sidecar.endpoint import service_http

ENGINE_VARIABLE = "VERBENAFALL_CONTRACT_ENGINE"
SERVICE_VARIABLE = "VERBENAFALL_CONTRACT_PLAIN_SERVICE"
WAIT_SECONDS = 20
LIMIT = datetime.timedelta(seconds=10)
SHORT_LIMIT = datetime.timedelta(milliseconds=200)
TOKENS = 12
# More tokens than the engine produces before the test cancels the call.
LONG_RUN_TOKENS = 8000
MESSAGES = [{"role": "user", "content": "Draft a quote for two mixers"}]

# Resume indexes for a second run of the same request.
RESUMES = [0, 1, TOKENS - 1, TOKENS]

# Invalid fields for a request body; the status of the response.
BAD_BODIES = [
    ({"messages": []}, 400),
    ({"messages": "no list"}, 400),
    ({"max_tokens": -1}, 400),
]

# Method, path, body, whether the call is idempotent.
CALLS = [
    ("GET", "/stock/1?unit=a%20b", b"", True),
    ("POST", "/reservations", b'{"item": 1}', False),
    ("PUT", "/stock/1", bytes(range(256)), True),
    ("DELETE", "/stock/1", b"", True),
]

# Fault mode of the stand-in; number of runs that it records.
BROKEN_CALLS = [("break_before", 0), ("break_after", 1)]


class Sink:
    """Records what an adapter delivers."""

    def __init__(self):
        self.chunks = []
        self.first = queue.Queue()
        self.ends = queue.Queue()

    def on_chunk(self, data):
        self.chunks.append(data)
        self.first.put(data)

    def on_response(self, end):
        self.ends.put(end)

    def on_failure(self, failure):
        self.ends.put(failure)

    def wait(self):
        """Return the response or failure; fail if there is another."""
        end = self.ends.get(timeout=WAIT_SECONDS)
        assert self.ends.empty()
        return end


def chat_dispatch(token_count=TOKENS, index=0, text="", **fields):
    body = {"model": "m", "messages": MESSAGES, "max_tokens": token_count}
    return helpers.DISPATCH._replace(
        request_id=uuid.uuid4().hex,
        attempt_id=uuid.uuid4().hex,
        path="/v1/chat/completions",
        body=json.dumps(body | fields).encode(),
        resume_index=index,
        resume_text=text,
    )


def run(endpoint, dispatch, limit=LIMIT):
    sink = Sink()
    endpoint.adapter.start_call(dispatch, limit, sink)
    return sink.wait(), sink.chunks


def call_standin(endpoint, method, path, body=None):
    client = http_client.create_http_client()
    _, data = adapters.send(client, method, endpoint.url + path, body)
    return json.loads(data)


@pytest.fixture(scope="module", params=adapters.endpoint_kinds(ENGINE_VARIABLE))
def engine(request):
    with adapters.open_engine(request.param) as found:
        yield found


@pytest.fixture(
    scope="module", params=adapters.endpoint_kinds(SERVICE_VARIABLE)
)
def service(request):
    with adapters.open_plain_service(request.param) as found:
        yield found


@pytest.fixture
def standin_service():
    """A plain service stand-in with controllable faults."""
    with adapters.open_plain_service("http") as found:
        yield found


class TestEngineContract:
    def test_each_chunk_is_one_token(self, engine):
        """Guards against chunk counts that differ from token indexes."""
        end, chunks = run(engine, chat_dispatch())
        assert (end.status, end.finish_reason) == (200, "length")
        assert len(chunks) == TOKENS
        assert end.body == b""
        # The stand-in counts words and other engines count tokens, so the exact
        # number depends on the engine.
        assert end.prompt_tokens > 0

    @pytest.mark.parametrize("index", RESUMES)
    def test_resume_returns_the_remaining_tokens(self, engine, index):
        """Guards against tokens that a resume repeats or omits."""
        _, complete = run(engine, chat_dispatch())
        text = b"".join(complete[:index]).decode()
        end, rest = run(engine, chat_dispatch(TOKENS, index, text))
        assert end.status == 200
        assert rest == complete[index:]

    @pytest.mark.parametrize("index", RESUMES)
    def test_resume_does_not_count_as_prompt(self, engine, index):
        """Guards against charging the resumed text as prompt tokens."""
        first, complete = run(engine, chat_dispatch())
        text = b"".join(complete[:index]).decode()
        again, _ = run(engine, chat_dispatch(TOKENS, index, text))
        assert again.prompt_tokens == first.prompt_tokens

    @pytest.mark.parametrize(("fields", "status"), BAD_BODIES)
    def test_bad_request_is_a_response(self, engine, fields, status):
        """Guards against retries of requests that the engine rejects."""
        end, chunks = run(engine, chat_dispatch(**fields))
        assert end.status == status
        assert chunks == []
        assert end.body

    def test_cancel_ends_with_one_failure(self, engine):
        """Guards against a call that continues, or ends twice."""
        sink = Sink()
        call = engine.adapter.start_call(
            chat_dispatch(LONG_RUN_TOKENS), LIMIT, sink
        )
        sink.first.get(timeout=WAIT_SECONDS)
        call.cancel()
        end = sink.wait()
        assert isinstance(end, endpoint_port.CallFailure)
        assert end.sent

    def test_time_limit_ends_with_a_failure(self, engine):
        """Guards against a call that exceeds its time limit."""
        end, _ = run(engine, chat_dispatch(LONG_RUN_TOKENS), SHORT_LIMIT)
        assert isinstance(end, endpoint_port.CallFailure)
        assert end.sent

    def test_load_and_probe(self, engine):
        """Guards against load reports that the adapter cannot read."""
        result = engine.adapter.read_load(LIMIT)
        assert returns.pipeline.is_successful(result)
        assert result.unwrap().in_flight >= 0
        assert engine.adapter.probe() is None

    def test_no_engine(self):
        """Guards against reporting a refused connection as sent."""
        with adapters.open_engine("http") as found:
            url = found.url
        with adapters.transfer_loop() as loop:
            absent = adapters.EndpointUnderTest(
                engine_http.create_http_engine(
                    url, loop, http_client.create_http_client()
                ),
                url,
            )
            assert not run(absent, chat_dispatch())[0].sent
            assert not absent.adapter.probe().sent
            load = absent.adapter.read_load(LIMIT)
            assert not returns.pipeline.is_successful(load)

    def test_broken_stream_is_a_failure(self):
        """Guards against treating a truncated stream as complete."""
        with adapters.open_engine("http") as found:
            sink = Sink()
            found.adapter.start_call(
                chat_dispatch(LONG_RUN_TOKENS), LIMIT, sink
            )
            sink.first.get(timeout=WAIT_SECONDS)
            fault = {"mode": "break_streams"}
            call_standin(found, "POST", "/-/faults", fault)
            end = sink.wait()
        assert isinstance(end, endpoint_port.CallFailure)
        assert end.sent


class TestPlainServiceContract:
    @pytest.mark.parametrize(("method", "path", "body", "idempotent"), CALLS)
    def test_response_is_delivered_complete(
        self, service, method, path, body, idempotent
    ):
        """Guards against a response that is delivered in chunks."""
        key = "" if idempotent else uuid.uuid4().hex
        dispatch = helpers.DISPATCH._replace(
            request_id=uuid.uuid4().hex,
            method=method,
            path=path,
            body=body,
            idempotent=idempotent,
            idempotency_key=key,
        )
        end, chunks = run(service, dispatch)
        assert end.status == 200
        assert chunks == []
        assert end.finish_reason == ""
        if service.url is None:
            return
        response = json.loads(end.body)
        assert response["request_id"] == dispatch.request_id
        assert (response["method"], response["key"]) == (method, key)
        assert response["path"] == path.partition("?")[0]
        assert response["body"] == body.decode("utf-8", "replace")

    def test_probe_is_not_processed_as_a_request(self, service):
        """Guards against probes that the service processes as work."""
        assert service.adapter.probe() is None
        if service.url is not None:
            before = call_standin(service, "GET", "/-/runs")
            service.adapter.probe()
            assert call_standin(service, "GET", "/-/runs") == before

    @pytest.mark.parametrize(("mode", "runs"), BROKEN_CALLS)
    def test_broken_call_may_have_run(self, standin_service, mode, runs):
        """Guards against repeats, and against not-run reports after a run."""
        call_standin(standin_service, "POST", "/-/faults", {"mode": mode})
        end, _ = run(standin_service, helpers.NON_IDEMPOTENT)
        assert isinstance(end, endpoint_port.CallFailure)
        assert end.sent
        found = call_standin(standin_service, "GET", "/-/runs")
        assert len(found) == runs

    def test_cancel_ends_with_one_failure(self, standin_service):
        """Guards against a call that continues, or ends twice."""
        fault = {"mode": "slow", "delay_ms": 1000}
        call_standin(standin_service, "POST", "/-/faults", fault)
        sink = Sink()
        adapter = standin_service.adapter
        call = adapter.start_call(helpers.NON_IDEMPOTENT, LIMIT, sink)
        call.cancel()
        assert isinstance(sink.wait(), endpoint_port.CallFailure)

    def test_no_service(self):
        """Guards against reporting a refused connection as sent."""
        with adapters.open_plain_service("http") as found:
            url = found.url
        with adapters.transfer_loop() as loop:
            absent = adapters.EndpointUnderTest(
                service_http.create_http_plain_service(url, loop), url
            )
            assert not run(absent, helpers.NON_IDEMPOTENT)[0].sent
            assert not absent.adapter.probe().sent
