"""Tests which thread delivers a token and what the client receives."""

import contextlib
import datetime
import http.client
import json
import random
import socket
import threading
import time
import types
from typing import NamedTuple

import pytest

from gateway import gateway_fakes as fakes
from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_gateway.client_http import chat
from verbenafall_gateway.client_http import http_server
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import direct_delivery
from verbenafall_gateway.delivery import flow_events
from verbenafall_gateway.delivery import open_attempts
from verbenafall_gateway.delivery import request_progress
from verbenafall_gateway.delivery import stream_assembly

WAIT_SECONDS = 20
# A write that blocks runs into the limits of the test, which then fails.
BLOCKING_TIMEOUT_SECONDS = 3600
LONG = datetime.timedelta(seconds=WAIT_SECONDS)
SHORT = datetime.timedelta(milliseconds=1)
ZERO = datetime.timedelta()
COMPLETE, PARTIAL, NOT_WRITTEN = direct_delivery.WriteResult
RAN = outcomes.Outcome.RAN
Reason = outcomes.Reason
TOKENS = ["a ", "niño ", "c ", "d"]
TEXT = "".join(TOKENS)


class FakeClient:
    """Returns the given write results, then accepts all tokens."""

    def __init__(self, write_results=(), detects_disconnect=True):
        self.write_results = list(write_results)
        self.detects_disconnect = detects_disconnect
        self.disconnected = False
        self.written = []
        self.flushes = 0
        self.threads = set()

    def try_write(self, data):
        write_result = (
            self.write_results.pop(0) if self.write_results else COMPLETE
        )
        if write_result is not NOT_WRITTEN:
            self.threads.add(threading.get_ident())
            self.written.append(data.decode())
        return write_result

    def flush(self):
        self.flushes += 1

    def is_disconnected(self):
        return self.disconnected


def wait_until(condition):
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, "the condition was not met in time"
        time.sleep(0.001)


def chunk(sequence, attempt_id="req-1.1"):
    return messages.Chunk("req-1", attempt_id, sequence, b"%d" % sequence)


def create_attempt():
    return open_attempts.OpenAttempt("req-1.1", "e-1", None)


def create_receiver(client, resume_index=0):
    assembly = stream_assembly.create_assembly("req-1.1", resume_index)
    return direct_delivery.Receiver(assembly, client, [])


def queued_events(attempt):
    received = []
    while (event := attempt.next_event(ZERO)) is not None:
        received.append(event)
    return received


ACCEPTED = messages.Accepted("req-1", "req-1.1", 0)
END = messages.End("req-1", "req-1.1", 1, 1, 200, (), "stop")
FAILED = messages.Failed("req-1", "req-1.1", RAN, Reason.DEADLINE, 0, 0)
REFUSED = messages.Refused(
    "req-1", "req-1.1", Reason.OVERLOADED, outcomes.Outcome.NOT_RUN, 0
)
CANCELLED = messages.CancelConfirmed("req-1", "req-1.1", RAN)
CLOSED = attempt_events.LinkClosed("reset")
PARTIAL_WRITE = attempt_events.PartialWrite()


class Row(NamedTuple):
    """Events on the link thread, starting with an offered receiver.

    Attributes:
        write_results: The client's result for each token.
        written: Tokens written to the client on the link thread.
        queued: Events queued for the request thread.
    """

    name: str
    write_results: list
    events: list
    written: list
    queued: list


ROWS = [
    Row("in order", [], [chunk(0), chunk(1)], ["0", "1"], []),
    Row(
        "full socket, then space",
        [COMPLETE, NOT_WRITTEN],
        [chunk(0), chunk(1), chunk(2)],
        ["0"],
        [chunk(1), chunk(2)],
    ),
    Row(
        "partial send",
        [COMPLETE, PARTIAL],
        [chunk(0), chunk(1), chunk(2)],
        ["0", "1"],
        [PARTIAL_WRITE, chunk(2)],
    ),
    Row("gap", [], [chunk(1), chunk(0)], [], [chunk(1), chunk(0)]),
    Row(
        "repeated chunk",
        [],
        [chunk(0), chunk(0), chunk(1)],
        ["0"],
        [chunk(0), chunk(1)],
    ),
    Row(
        "chunk of an earlier attempt",
        [],
        [chunk(0, "req-1.0"), chunk(0)],
        [],
        [chunk(0, "req-1.0"), chunk(0)],
    ),
    *(
        Row(
            f"{type(event).__name__} between chunks",
            [],
            [chunk(0), event, chunk(1)],
            ["0"],
            [event, chunk(1)],
        )
        for event in (ACCEPTED, END, FAILED, REFUSED, CANCELLED, CLOSED)
    ),
]


class TestOwnership:
    @pytest.mark.parametrize("row", ROWS, ids=[row.name for row in ROWS])
    def test_events_while_a_receiver_is_offered(self, row):
        """Guards against tokens that overtake a queued event."""
        attempt, client = create_attempt(), FakeClient(row.write_results)
        receiver = create_receiver(client)
        assert attempt.offer_receiver(receiver) is None
        for event in row.events:
            attempt.deliver(event)
        assert client.written == row.written
        assert receiver.delivered == row.written
        assert receiver.assembly.next_sequence == len(row.written)
        assert queued_events(attempt) == row.queued

    def test_events_without_a_receiver_are_queued(self):
        """Guards against tokens sent before the answer has started."""
        attempt = create_attempt()
        attempt.deliver(chunk(0))
        assert queued_events(attempt) == [chunk(0)]

    @pytest.mark.parametrize("waiting", [1, 2])
    def test_a_waiting_event_keeps_the_receiver_from_being_offered(
        self, waiting
    ):
        """Guards against two threads that handle events concurrently."""
        attempt, client = create_attempt(), FakeClient()
        receiver = create_receiver(client)
        events = [chunk(number) for number in range(waiting + 1)]
        for event in events[:waiting]:
            attempt.deliver(event)
        assert attempt.next_event(LONG, receiver) == events[0]
        # The request thread counts a token before writing it.
        receiver.assembly = stream_assembly.check_chunk(
            receiver.assembly, events[0]
        ).assembly
        attempt.deliver(events[waiting])
        assert client.written == []
        assert queued_events(attempt) == events[1:]

    @pytest.mark.parametrize("limit", [-LONG, ZERO, SHORT])
    def test_a_receiver_ends_with_the_wait(self, limit):
        """Guards against tokens sent after the deadline response."""
        attempt, client = create_attempt(), FakeClient()
        assert attempt.next_event(limit, create_receiver(client)) is None
        attempt.deliver(chunk(0))
        assert client.written == []
        assert queued_events(attempt) == [chunk(0)]

    @pytest.mark.parametrize("seed", range(5))
    def test_two_threads_hand_each_chunk_over_once(self, seed):
        """Guards against lost, repeated or reordered tokens in a race."""
        generator = random.Random(seed)
        count = 3000
        handling = threading.Lock()
        attempt, client = create_attempt(), FakeClient()
        receiver = create_receiver(client)

        def try_write(data):
            assert handling.acquire(blocking=False)
            client.written.append(int(data))
            write_result = generator.choice(
                [COMPLETE, COMPLETE, COMPLETE, NOT_WRITTEN, PARTIAL]
            )
            if write_result is NOT_WRITTEN:
                client.written.pop()
            handling.release()
            return write_result

        def send():
            for sequence in range(count):
                attempt.deliver(chunk(sequence))
                if sequence % 7 == 0:
                    time.sleep(0)

        client.try_write = try_write
        link_thread = threading.Thread(target=send)
        link_thread.start()
        end = time.monotonic() + WAIT_SECONDS
        while receiver.assembly.next_sequence < count:
            assert time.monotonic() < end
            event = attempt.next_event(SHORT, receiver)
            if event is None or event == PARTIAL_WRITE:
                continue
            assert handling.acquire(blocking=False)
            reaction = attempt_events.react(event, receiver.assembly)
            assert isinstance(reaction, attempt_events.Deliver)
            receiver.assembly = reaction.assembly
            # The next chunk may arrive during the write.
            time.sleep(0)
            client.written.append(int(reaction.data))
            handling.release()
        link_thread.join(WAIT_SECONDS)
        assert client.written == list(range(count))
        assert queued_events(attempt) in ([], [PARTIAL_WRITE])


# Large enough to fill the buffers of an unread connection with a few parts.
PART_BYTES = 50_000


@contextlib.contextmanager
def connected_request(chunked):
    """Yield a request whose headers were sent, and its client's socket."""
    server_socket, client_socket = socket.socketpair()
    with server_socket, client_socket:
        server_socket.settimeout(BLOCKING_TIMEOUT_SECONDS)
        client_socket.settimeout(WAIT_SECONDS)
        request = http_server.GatewayRequest.__new__(http_server.GatewayRequest)
        request.chunked_write = chunked
        request.sent_headers = True
        request.conn = types.SimpleNamespace(socket=server_socket)
        yield request, client_socket
        if request.nowait_socket is not None:
            request.nowait_socket.close()


def create_part(number):
    return bytes([number % 256]) * (PART_BYTES + number)


def fill_socket(request):
    """Write until the socket is full.

    Returns the bytes that the client should receive and the last result.
    """
    expected = b""
    for number in range(1000):
        part = create_part(number)
        write_result = request.write_nowait(part)
        if write_result is not NOT_WRITTEN:
            expected += request.encode_body(part)
        if write_result is not COMPLETE:
            return expected, write_result
    raise AssertionError("the socket did not become full")


def read_in_background(sock, size):
    received = bytearray()

    def read():
        while len(received) < size:
            received.extend(sock.recv(65536))

    thread = threading.Thread(target=read)
    thread.start()
    return received, thread


class TestWriteNowait:
    @pytest.mark.parametrize("chunked", [True, False])
    def test_rest_of_a_partial_send_is_written_first_and_once(self, chunked):
        """Guards against broken framing after a full socket."""
        with connected_request(chunked) as (request, client):
            expected, write_result = fill_socket(request)
            assert write_result is PARTIAL
            assert request.write_nowait(b"next") is NOT_WRITTEN
            expected += request.encode_body(b"one") + request.encode_body(
                b"two"
            )
            received, reader = read_in_background(client, len(expected))
            request.flush()
            request.flush()
            assert request.write_nowait(b"one") is COMPLETE
            request.write(b"two")
            reader.join(WAIT_SECONDS)
            assert bytes(received) == expected

    def test_write_sends_the_rest_without_a_flush_before(self):
        """Guards against writing a part before the rest of another."""
        with connected_request(True) as (request, client):
            expected, _ = fill_socket(request)
            expected += request.encode_body(b"two")
            received, reader = read_in_background(client, len(expected))
            request.write(b"two")
            reader.join(WAIT_SECONDS)
            assert bytes(received) == expected

    def test_nothing_is_written_to_a_full_socket(self):
        """Guards against a link thread that blocks on a slow client."""
        with connected_request(False) as (request, _):
            request.conn.socket.settimeout(0)
            for size in (4096, 1):
                with contextlib.suppress(BlockingIOError):
                    while True:
                        request.conn.socket.send(b"x" * size)
            request.conn.socket.settimeout(BLOCKING_TIMEOUT_SECONDS)
            assert request.write_nowait(b"token") is NOT_WRITTEN
            assert request.unsent == b""

    @pytest.mark.parametrize("end", ["client", "server"])
    def test_closed_connection_raises_only_on_the_request_thread(self, end):
        """Guards against a link thread that dies with one client."""
        with connected_request(True) as (request, client):
            (client if end == "client" else request.conn.socket).close()
            assert request.write_nowait(b"token") is NOT_WRITTEN
            with pytest.raises(OSError, match=r"Broken pipe|Bad file"):
                request.write(b"token")

    def test_nothing_is_written_before_the_headers(self):
        """Guards against a body sent before its status line."""
        with connected_request(True) as (request, client):
            request.sent_headers = False
            assert request.write_nowait(b"token") is NOT_WRITTEN
            client.setblocking(False)
            with pytest.raises(BlockingIOError):
                client.recv(1)

    def test_waiting_writes_keep_their_timeout(self):
        """Guards against a request thread that spins or fails immediately."""
        with connected_request(True) as (request, _):
            request.write_nowait(b"token")
            assert request.conn.socket.gettimeout() == BLOCKING_TIMEOUT_SECONDS


class RunningRequest:
    """A request on its own thread; the test acts as the link thread."""

    def __init__(self, client, seconds=WAIT_SECONDS):
        self.client = client
        self.gateway = fakes.create_gateway()
        self.dispatches = []
        self.cancels = []
        self.links = {}
        self.parts = []
        self.last = None
        for number in range(3):
            name = f"e-{number}"
            link = fakes.ScriptedLink(
                self.gateway.router, name, "s", self.record
            )
            self.links[name] = link
        self.request = request_progress.FlowRequest(
            request_id="req-1",
            service="s",
            team="desk",
            priority=1,
            deadline=self.gateway.flow.clock.monotonic()
            + datetime.timedelta(seconds=seconds),
            idempotent=True,
            idempotency_key="",
            method="POST",
            path="/p",
            headers=(),
            body=b"{}",
            affinity="",
            resumable=True,
        )
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def record(self, message):
        received = self.dispatches
        if isinstance(message, messages.Cancel):
            received = self.cancels
        received.append(message)
        return []

    def run(self):
        flow = self.gateway.flow.run(self.request, self.client)
        for event in flow:
            self.last = event
            if isinstance(event, flow_events.Delta):
                self.parts.append(event.data.decode())
            elif isinstance(event, flow_events.ClientDisconnected):
                flow.close()

    def attempt(self, number):
        """Wait until an attempt of the request is open, and return it."""
        attempt_id = f"req-1.{number}"
        attempts = self.gateway.flow.attempts.attempts
        wait_until(lambda: attempt_id in attempts)
        wait_until(lambda: len(self.dispatches) >= number)
        return attempts[attempt_id]

    def send(self, number, sequence):
        attempt = self.attempt(number)
        dispatch = self.dispatches[number - 1]
        part = fakes.chunk(dispatch, sequence, TOKENS[sequence])
        self.gateway.router.on_message(attempt.link, part)

    def wait_for_receiver(self, number):
        attempt = self.attempt(number)
        wait_until(lambda: attempt.receiver is not None)

    def end(self, number):
        attempt = self.attempt(number)
        dispatch = self.dispatches[number - 1]
        end = fakes.answer(dispatch, TOKENS)[-1]
        self.gateway.router.on_message(attempt.link, end)

    def finish(self):
        self.thread.join(WAIT_SECONDS)
        assert not self.thread.is_alive()
        assert self.gateway.flow.attempts.attempts == {}
        assert self.gateway.view.busy_addresses() == frozenset()


def close_link(running):
    link = running.attempt(1).link
    running.gateway.router.on_close(link, "reset")


def skip_tokens(running):
    running.send(1, 3)


def report_failure(running):
    failed = fakes.failed(running.dispatches[0], RAN)
    running.gateway.router.on_message(running.attempt(1).link, failed)


def end_early(running):
    running.end(1)


def late_chunk(running):
    """Fail the attempt, then deliver a late chunk of it."""
    link = running.attempt(1).link
    report_failure(running)
    running.attempt(2)
    late = fakes.chunk(running.dispatches[0], 2, "LATE")
    running.gateway.router.on_message(link, late)


FAILURES = [close_link, skip_tokens, report_failure, end_early, late_chunk]


class TestFlow:
    @pytest.mark.parametrize("write_result", [COMPLETE, PARTIAL, NOT_WRITTEN])
    def test_answer_is_exact(self, write_result):
        """Guards against tokens lost between the two threads."""
        client = FakeClient([write_result])
        running = RunningRequest(client)
        running.send(1, 0)
        for sequence in (1, 2, 3):
            running.wait_for_receiver(1)
            running.send(1, sequence)
        running.end(1)
        running.finish()
        not_written = TOKENS[1:2] if write_result is NOT_WRITTEN else []
        assert running.parts == TOKENS[:1] + not_written
        assert client.written == TOKENS[1 + len(not_written) :]
        assert client.threads == {threading.get_ident()}
        assert client.flushes == (write_result is PARTIAL)
        assert running.last == attempt_events.Complete(200, (), "stop")

    @pytest.mark.parametrize("fail", FAILURES)
    def test_failure_resumes_at_the_next_token(self, fail):
        """Guards against a resume that ignores directly delivered tokens."""
        client = FakeClient()
        running = RunningRequest(client)
        running.send(1, 0)
        running.wait_for_receiver(1)
        running.send(1, 1)
        fail(running)
        running.wait_for_receiver(2)
        running.send(2, 2)
        running.send(2, 3)
        running.end(2)
        running.finish()
        assert [item.resume_index for item in running.dispatches] == [0, 2]
        assert running.dispatches[1].resume_text == "".join(TOKENS[:2])
        assert running.parts + client.written == TOKENS
        assert running.last == attempt_events.Complete(200, (), "stop")

    def test_deadline_ends_direct_delivery(self):
        """Guards against tokens that follow the deadline response."""
        client = FakeClient()
        running = RunningRequest(client, seconds=1)
        running.send(1, 0)
        running.wait_for_receiver(1)
        attempt = running.attempt(1)
        running.send(1, 1)
        running.finish()
        assert (running.last.outcome, running.last.reason) == (
            RAN,
            Reason.DEADLINE,
        )
        assert [item.attempt_id for item in running.cancels] == ["req-1.1"]
        late = fakes.chunk(running.dispatches[0], 2, TOKENS[2])
        attempt.deliver(late)
        assert client.written == TOKENS[1:2]

    @pytest.mark.parametrize(
        ("detects_disconnect", "before"),
        [(True, 0), (False, 0), (False, 1), (False, 2)],
    )
    def test_disconnect_is_detected_without_a_token(
        self, detects_disconnect, before
    ):
        """Guards against generating tokens for a disconnected client."""
        client = FakeClient(detects_disconnect=detects_disconnect)
        running = RunningRequest(client)
        for sequence in range(before):
            running.send(1, sequence)
            running.wait_for_receiver(1)
        running.attempt(1)
        client.disconnected = True
        running.finish()
        assert isinstance(running.last, flow_events.ClientDisconnected)
        assert [item.attempt_id for item in running.cancels] == ["req-1.1"]

    def test_error_of_a_flush_cancels_the_attempt(self):
        """Guards against generating tokens for a disconnected client."""
        client = FakeClient([PARTIAL])
        failed = threading.Event()

        def flush():
            failed.set()
            raise ConnectionResetError("reset")

        client.flush = flush
        with pytest.MonkeyPatch.context() as patch:
            # The client's error ends the request's thread.
            patch.setattr(threading, "excepthook", lambda _arguments: None)
            running = RunningRequest(client)
            running.send(1, 0)
            running.wait_for_receiver(1)
            running.send(1, 1)
            assert failed.wait(WAIT_SECONDS)
            running.finish()
        assert [item.attempt_id for item in running.cancels] == ["req-1.1"]


class TestTokenEncoder:
    @pytest.mark.parametrize(
        "token", [b"", b"a", "niño".encode(), b'"\\\n\x00', b"\xff\xf0x", b"{}"]
    )
    @pytest.mark.parametrize("model", ["m", '"content":""', 'a"b\\'])
    def test_same_bytes_as_the_complete_encoding(self, token, model):
        """Guards against events that a client library cannot parse."""
        created = datetime.datetime.fromtimestamp(0, datetime.UTC)
        answer = chat.ChatAnswer("req-1", model, created)
        delta = {"content": chat.decode_token(token)}
        complete_event = chat.encode_event(chat.chunk_body(answer, delta, None))
        assert chat.token_encoder(answer)(token) == complete_event


SLOW_TOKENS = [f"{number:0>3000} " for number in range(5000)]


def open_chat(address, stream):
    connection = http.client.HTTPConnection(*address, timeout=WAIT_SECONDS)
    body = {"model": "quote-model", "messages": [{"role": "user"}]}
    body["messages"][0]["content"] = "How much are two mixers?"
    headers = {
        "Authorization": f"Bearer {fakes.CREDENTIAL}",
        "Content-Type": "application/json",
        # Longer than the test waits, as the attempt is always cancelled at
        # its deadline.
        "X-Deadline-Ms": "120000",
    }
    text = json.dumps({**body, "stream": stream})
    connection.request("POST", "/v1/chat/completions", text, headers)
    return connection


def read_events(response):
    events = response.read().decode().strip().split("\n\n")
    return [event.removeprefix("data: ") for event in events]


def text_of(events):
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events]
    return "".join(delta.get("content", "") for delta in deltas)


class TestOverLinks:
    def test_slow_client_does_not_delay_others(self):
        """Guards against a link thread that blocks on a slow client."""
        gateway = fakes.create_gateway()
        dispatches = []

        def answer(message):
            if isinstance(message, messages.Cancel):
                return []
            dispatches.append(message)
            tokens = SLOW_TOKENS if len(dispatches) == 1 else TOKENS
            return fakes.answer(message, tokens)

        with fakes.linked_sidecar(gateway, answer) as address:
            slow = open_chat(address, True)
            slow_response = slow.getresponse()
            # These requests complete while the slow client does not read.
            for _ in range(20):
                other = open_chat(address, True)
                events = read_events(other.getresponse())
                other.close()
                assert events[-1] == "[DONE]"
                assert text_of(events[:-1]) == TEXT
            events = read_events(slow_response)
            slow.close()
        assert events[-1] == "[DONE]"
        assert text_of(events[:-1]) == "".join(SLOW_TOKENS)

    @pytest.mark.parametrize("stream", [True, False])
    def test_disconnect_before_the_first_token(self, stream):
        """Guards against generating tokens for a disconnected client."""
        gateway = fakes.create_gateway()
        dispatched, cancelled = threading.Event(), threading.Event()

        def ignore_dispatch(message):
            is_cancel = isinstance(message, messages.Cancel)
            (cancelled if is_cancel else dispatched).set()
            return []

        with fakes.linked_sidecar(gateway, ignore_dispatch) as address:
            connection = open_chat(address, stream)
            assert dispatched.wait(WAIT_SECONDS)
            connection.close()
            assert cancelled.wait(WAIT_SECONDS)
        assert gateway.app.limits.total == 0
