"""Tests of the engine stand-in over HTTP."""

import contextlib
import http.client
import json

import pytest

import adapters
from verbenafall_core import http_client
from verbenafall_standins import http_serving
from verbenafall_standins import weight_store
from verbenafall_standins.engines import group as group_lib
from verbenafall_standins.engines import http_app

OPTIONS = group_lib.GroupOptions(step_ms=1, experts=8)
PLACEMENT = [7, 6, 5, 4, 3, 2, 1, 0]
MESSAGES = [{"role": "user", "content": "rent a lift for a week"}]
CHAT = "/v1/chat/completions"


class Engine:
    def __init__(self, options):
        self.group = group_lib.create_group(options)
        self.server = http_app.create_engine_server(self.group, 0)
        self.client = http_client.create_http_client()

    def post(self, path, body, headers=()):
        url = self.server.url + path
        status, data = adapters.send(self.client, "POST", url, body, headers)
        return status, data

    def get(self, path):
        _, data = adapters.send(self.client, "GET", self.server.url + path)
        return json.loads(data)

    def stream(self, **fields):
        body = {"messages": MESSAGES, "stream": True} | fields
        status, data = self.post(CHAT, body)
        assert status == 200
        return [line for line in data.decode().split("\n\n") if line]


@contextlib.contextmanager
def running(options):
    engine = Engine(options)
    engine.group.start()
    engine.server.start()
    try:
        yield engine
    finally:
        engine.server.stop()
        engine.group.stop()


@pytest.fixture(scope="module")
def engine():
    with running(OPTIONS) as engine:
        yield engine


def parse(events):
    return [json.loads(event.removeprefix("data: ")) for event in events[:-1]]


def text_of(events):
    return [
        event["choices"][0]["delta"]["content"]
        for event in events
        if "token_index" in event
    ]


class TestChat:
    def test_stream_has_one_numbered_token_per_event(self, engine):
        lines = engine.stream(max_tokens=5)
        events = parse(lines)
        assert lines[-1] == "data: [DONE]"
        assert [event.get("token_index") for event in events] == [
            *range(5),
            None,
        ]
        assert events[-1]["choices"][0]["finish_reason"] == "length"

    def test_usage_is_the_last_event_if_requested(self, engine):
        options = {"include_usage": True}
        last = parse(engine.stream(max_tokens=5, stream_options=options))[-1]
        assert last["choices"] == []
        assert last["usage"]["completion_tokens"] == 5
        plain = engine.post(CHAT, {"messages": MESSAGES, "max_tokens": 5})
        assert json.loads(plain[1])["usage"] == last["usage"]

    @pytest.mark.parametrize("index", [0, 1, 7, 12])
    def test_resumed_stream_continues_the_answer(self, engine, index):
        complete = text_of(parse(engine.stream(max_tokens=12)))
        resume = {"index": index, "text": "".join(complete[:index])}
        rest = text_of(parse(engine.stream(max_tokens=12, resume=resume)))
        assert complete[:index] + rest == complete

    def test_answer_without_stream_equals_the_stream(self, engine):
        status, data = engine.post(CHAT, {"messages": MESSAGES})
        content = json.loads(data)["choices"][0]["message"]["content"]
        assert status == 200
        assert content == "".join(text_of(parse(engine.stream())))

    @pytest.mark.parametrize(
        "body",
        [
            {},
            {"messages": "x"},
            {"messages": ["x"]},
            {"messages": MESSAGES, "max_tokens": "many"},
            {"messages": MESSAGES, "resume": {"index": 1, "text": "other"}},
        ],
    )
    def test_bad_request(self, engine, body):
        assert engine.post(CHAT, body)[0] == 400


def run_of(engine, request_id):
    found = [r for r in engine.get("/-/runs") if r["request_id"] == request_id]
    return found[-1]


@pytest.fixture
def open_stream(engine):
    """Yield the response of a long stream that has started."""
    address = engine.server.address
    connection = http.client.HTTPConnection(*address, timeout=30)
    body = {"messages": MESSAGES, "stream": True, "max_tokens": 8000}
    headers = {"X-Request-Id": "long"}
    connection.request("POST", CHAT, json.dumps(body), headers)
    response = connection.getresponse()
    response.readline()
    yield response
    connection.close()


class TestOpenStreams:
    def test_cancel(self, engine, open_stream):
        assert not run_of(engine, "long")["ended"]
        status, data = engine.post("/v1/cancel", {"request_id": "long"})
        assert (status, json.loads(data)["cancelled"]) == (200, True)
        assert open_stream.read().endswith(b"data: [DONE]\n\n")
        run = run_of(engine, "long")
        # System tests use this list to find runs that were not cancelled.
        assert (run["ended"], run["finished"]) == (True, False)
        assert run["tokens"] == json.loads(data)["tokens"]

    def test_broken_stream_breaks_the_connection(self, engine, open_stream):
        """Guards against a fault that the client sees as a complete stream."""
        engine.post("/-/faults", {"mode": "break_streams"})
        with pytest.raises((http.client.IncompleteRead, ConnectionError)):
            open_stream.read()

    def test_cancel_of_an_unknown_run(self, engine):
        _, data = engine.post("/v1/cancel", {"request_id": "none"})
        assert json.loads(data) == {"cancelled": False, "tokens": 0}

    def test_kv_export_and_import(self, engine, open_stream):
        url = engine.server.url + "/v1/kv/long"
        request = http_client.HttpRequest(
            "GET", url, (), b"", adapters.CALL_TIMEOUT, False
        )
        exported = engine.client.call(request).unwrap()
        put = request._replace(method="PUT", body=exported.body)
        assert exported.status == 200
        assert engine.client.call(put).unwrap().status == 204
        other = request._replace(url=url + "-other")
        assert engine.client.call(other).unwrap().status == 404


class TestOrders:
    def test_switch_through_orders(self, engine):
        order = {"epoch": 1, "map_version": 2, "placement": PLACEMENT}
        status, _ = engine.post("/v1/orders", order | {"kind": "prepare"})
        step = engine.get("/v1/state")["step"] + 50
        release = order | {"kind": "release", "step": step}
        assert (status, engine.post("/v1/orders", release)[0]) == (200, 200)
        while engine.get("/v1/state")["step"] < step:
            pass
        state = engine.get("/v1/state")
        assert (state["map_version"], state["prepared"]) == (2, [1, 2])
        assert engine.get("/-/steps")["mixed"] == 0

    @pytest.mark.parametrize(
        "body",
        [
            {},
            {"epoch": 1, "kind": "jump", "map_version": 2},
            {"epoch": 1, "kind": "prepare", "map_version": 9},
            {"epoch": 1, "kind": "prepare", "map_version": 9}
            | {"placement": [8] * 8},
        ],
    )
    def test_bad_order(self, engine, body):
        assert engine.post("/v1/orders", body)[0] == 400

    def test_weight_store_over_its_rate(self):
        weights = weight_store.create_weight_store(experts_per_second=1e-3)
        with adapters.serving(weights.handle) as url:
            order = {"epoch": 1, "kind": "prepare", "map_version": 2}
            order["placement"] = PLACEMENT
            with running(OPTIONS._replace(weight_store=url)) as engine:
                first = engine.post("/v1/orders", order)
                second = engine.post("/v1/orders", order | {"map_version": 3})
        assert (first[0], second[0]) == (200, 503)
        busy = json.loads(second[1])
        assert busy["error"] == "weights_busy"
        assert busy["retry_after_ms"] > 0


def test_too_many_open_runs_are_refused():
    """Guards against open streams that occupy the threads for cancels."""
    options = OPTIONS._replace(slots=1, step_ms=20)
    app = http_app.EngineApp(group_lib.create_group(options), 0)
    queue = app.engine.runs
    for number in range(app.max_open_runs):
        queue.submit(http_app.create_run(str(number), {"messages": MESSAGES}))
    body = json.dumps({"messages": MESSAGES}).encode()
    environ = {"REQUEST_METHOD": "POST", "PATH_INFO": CHAT}
    request = http_serving.Request.from_values(
        CHAT, data=body, method="POST", environ_overrides=environ
    )
    statuses = []
    application = http_serving.create_application(app.handle)
    application(
        request.environ, lambda status, headers: statuses.append(status)
    )
    assert statuses[0].startswith("503")


class TestRestart:
    def test_restarted_engine_joins_when_ordered(self):
        """Guards against requests that still reach the replaced engine."""
        orders = [("prepare", PLACEMENT), ("release", [])]
        with running(OPTIONS) as engine:
            engine.stream(max_tokens=1)
            engine.post("/-/faults", {"mode": "restart"})
            state = engine.get("/v1/state")
            assert (state["map_version"], state["prepared"]) == (0, [])
            for kind, placement in orders:
                order = {"epoch": 1, "kind": kind, "map_version": 1}
                engine.post("/v1/orders", order | {"placement": placement})
            assert engine.get("/v1/state")["map_version"] == 1
            assert engine.stream(max_tokens=1)[-1] == "data: [DONE]"


class TestStatements:
    """What the engine says of itself in its answers."""

    def head(self, engine, path="/v1/state", method="GET", body=None):
        host = engine.server.url.removeprefix("http://")
        connection = http.client.HTTPConnection(host, timeout=10)
        connection.request(method, path, body)
        response = connection.getresponse()
        response.read()
        connection.close()
        return response.status, dict(response.getheaders())

    def test_engine_that_leaves_says_so_in_all_answers_until_a_restart(self):
        with running(OPTIONS) as engine:
            engine.post("/-/faults", {"mode": "leave"})
            assert self.head(engine)[1]["X-Leaving"] == "1"
            engine.post("/-/faults", {"mode": "restart"})
            assert "X-Leaving" not in self.head(engine)[1]

    def test_engine_that_pauses_turns_requests_away(self):
        with running(OPTIONS) as engine:
            engine.post("/-/faults", {"mode": "pause", "pause_ms": 60_000})
            body = json.dumps({"messages": MESSAGES})
            status, headers = self.head(engine, CHAT, "POST", body)
            assert status == 503
            assert 0 < float(headers["Retry-After"]) <= 60
            engine.post("/-/faults", {"mode": "pause", "pause_ms": 0})
            assert self.head(engine, CHAT, "POST", body)[0] == 200
