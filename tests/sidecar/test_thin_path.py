"""A dispatch over a real link to an HTTP endpoint, and the reply."""

import datetime
import http.server
import json
import queue
import random
import threading

import pytest

from sidecar import helpers
from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import http_client
from verbenafall_core import link_loop
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import metrics
from verbenafall_core import outcomes
from verbenafall_core.claims import service as claim_service
from verbenafall_sidecar.delivery import attempt_registry
from verbenafall_sidecar.delivery import dispatcher as dispatcher_lib
from verbenafall_sidecar.delivery import transfers
from verbenafall_sidecar.endpoint import engine_http
from verbenafall_sidecar.endpoint import service_http
from verbenafall_standins.fakes import memory_store

WAIT_SECONDS = 10
STOP = datetime.timedelta(seconds=5)
TOKENS = ["Hola", " ", "mundo"]


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self.path != "/v1/chat/completions":
            self.reply(201, b"echo:" + body)
        elif b"bad" in body:
            self.reply(422, b'{"error": {"message": "too many tokens"}}')
        else:
            self.stream(json.loads(body))

    def reply(self, status, body):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def stream(self, body):
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Connection", "close")
        self.end_headers()
        first = body.get("resume", {}).get("index", 0)
        for index in range(first, len(TOKENS)):
            self.event(
                {
                    "choices": [{"delta": {"content": TOKENS[index]}}],
                    "token_index": index,
                }
            )
        if body.get("broken"):
            return
        self.event({"choices": [{"delta": {}, "finish_reason": "stop"}]})
        self.wfile.write(b"data: [DONE]\n\n")

    def event(self, value):
        self.wfile.write(b"data: " + json.dumps(value).encode() + b"\n\n")

    def log_message(self, *arguments):
        pass


@pytest.fixture
def url():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


def create_loop(name, role, router):
    hello = messages.Hello(1, name, role, "dc", "")
    return link_loop.create_link_loop(
        hello,
        lambda: messages.Heartbeat(0, 0, True, False),
        router,
        clock_lib.system_clock(),
    )


@pytest.fixture
def open_link(url):
    started = []

    def connect(kind):
        clock = clock_lib.system_clock()
        loop = transfers.create_transfer_loop(clock)
        if kind == "engine":
            endpoint = engine_http.create_http_engine(
                url, loop, http_client.create_http_client()
            )
        else:
            endpoint = service_http.create_http_plain_service(url, loop)
        store = memory_store.create_memory_store()
        dispatcher = dispatcher_lib.create_dispatcher(
            dispatcher_lib.Configuration("svc", "ep", 10, kind == "engine"),
            endpoint,
            claim_service.create_claim_service(store, clock),
            helpers.FakeView(helpers.FakeBundles(), "svc", 2),
            attempt_registry.create_attempt_registry(),
            lambda _link, _snapshot: None,
            clock,
            metrics.NullMetrics(),
            random.Random(1),
        )
        served = link_router.create_link_router()
        served.subscribe(messages.Dispatch, dispatcher.on_dispatch)
        served.subscribe(messages.Cancel, dispatcher.on_cancel)
        served.subscribe_close(dispatcher.on_link_closed)
        server = create_loop("sidecar", "sidecar", served)
        received, opened = queue.Queue(), queue.Queue()
        router = link_router.create_link_router()
        router.subscribe_open(opened.put)
        for message_kind in messages.KINDS.values():
            router.subscribe(message_kind, lambda _l, m: received.put(m))
        client = create_loop("gateway", "gateway", router)
        address = server.listen(addresses.Address("127.0.0.1", 0))
        for service in (loop, dispatcher, server, client):
            service.start()
            started.append(service)
        client.set_targets({address})
        return opened.get(timeout=WAIT_SECONDS), received

    yield connect
    for service in reversed(started):
        service.stop(STOP)


def collect(received):
    """Return the messages about an attempt up to its last one."""
    last = (messages.End, messages.Failed, messages.Refused)
    found = []
    while not found or not isinstance(found[-1], last):
        message = received.get(timeout=WAIT_SECONDS)
        if not isinstance(message, messages.Heartbeat):
            found.append(message)
    return found


CHAT = helpers.DISPATCH._replace(path="/v1/chat/completions")


class TestDispatchOverLink:
    @pytest.mark.parametrize("resume_index", [0, 2])
    def test_chat_sends_one_chunk_for_each_token(self, open_link, resume_index):
        link, received = open_link("engine")
        link.send(CHAT._replace(resume_index=resume_index))
        accepted, *chunks, end = collect(received)
        assert isinstance(accepted, messages.Accepted)
        assert [(c.sequence, c.data.decode()) for c in chunks] == list(
            enumerate(TOKENS)
        )[resume_index:]
        assert (end.status, end.finish_reason) == (200, "stop")
        assert end.chunk_count == len(chunks)
        assert end.byte_count == sum(len(c.data) for c in chunks)

    def test_truncated_chat_stream_is_a_failure(self, open_link):
        # A body without a Content-Length that ends when the engine crashes
        # looks complete to libcurl. It must not be forwarded as complete.
        link, received = open_link("engine")
        link.send(CHAT._replace(body=b'{"broken": true}'))
        failed = collect(received)[-1]
        assert isinstance(failed, messages.Failed)
        assert failed.chunks_sent == len(TOKENS)

    def test_bad_request_of_an_engine_over_http(self, open_link):
        # Guards against an error body that is read as an event stream or sent
        # as a token.
        link, received = open_link("engine")
        link.send(CHAT._replace(body=b'{"bad": true}'))
        accepted, refused = collect(received)
        assert isinstance(accepted, messages.Accepted)
        assert (refused.reason, refused.outcome, refused.detail) == (
            outcomes.Reason.BAD_REQUEST,
            helpers.NOT_RUN,
            "too many tokens",
        )

    @pytest.mark.parametrize(
        "dispatch", [helpers.DISPATCH, helpers.NON_IDEMPOTENT]
    )
    def test_plain_call_returns_the_response(self, open_link, dispatch):
        link, received = open_link("service")
        link.send(dispatch)
        _, chunk, end = collect(received)
        assert chunk.data == b"echo:{}"
        assert (end.status, end.chunk_count, end.byte_count) == (201, 1, 7)

    def test_chat_body_that_is_not_json_is_refused_as_not_run(self, open_link):
        link, received = open_link("engine")
        link.send(CHAT._replace(body=b"no json"))
        refused = collect(received)[-1]
        assert refused.outcome is helpers.NOT_RUN
