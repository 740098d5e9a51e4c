"""Bytes on an endpoint's connection that belong to no open request."""

import asyncio
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from verbenafall_gateway.forwarding import endpoint_channel

ID_HEADER = "x-request-id"
MAX_IDLE = 2.0


class Transport:
    """Records whether the connection was aborted."""

    def __init__(self):
        self.aborted = False

    def write(self, data):
        del data

    def abort(self):
        self.aborted = True

    def is_closing(self):
        return self.aborted

    def pause_reading(self):
        """Keep delivering; the answers here are short."""

    def resume_reading(self):
        """Keep delivering."""


@pytest.fixture(scope="module")
def loop():
    found = asyncio.new_event_loop()
    yield found
    found.close()


def create_channel(loop):
    found = endpoint_channel.EndpointChannel(loop, ID_HEADER)
    found.connection_made(Transport())
    return found


def answer(request_id, body, framing="length", status="200 OK"):
    head = f"HTTP/1.1 {status}\r\n"
    if request_id:
        head += f"{ID_HEADER}: {request_id}\r\n"
    if framing == "length":
        return f"{head}content-length: {len(body)}\r\n\r\n{body}".encode()
    if framing == "chunked":
        chunk = f"{len(body):x}\r\n{body}\r\n0\r\n\r\n"
        return f"{head}transfer-encoding: chunked\r\n\r\n{chunk}".encode()
    return f"{head}\r\n{body}".encode()


def read(channel):
    """Return the body and how the answer ended."""
    body = b"".join(
        part.data
        for part in channel.parts
        if isinstance(part, endpoint_channel.Body)
    )
    return body, type(channel.parts[-1]).__name__ if channel.parts else ""


# A second answer to the request with the id "first", as an endpoint may send.
EXTRAS = [
    answer("first", "of the first"),
    answer("first", "of the first", "chunked"),
    answer("first", "of the first", "close"),
    answer("", "of the first"),
    answer("", "of the first", "chunked"),
    answer("", "", status="204 No Content"),
    answer("", "", status="304 Not Modified"),
    answer("first", "", status="503 Service Unavailable"),
    b"HTTP/1.1 100 Continue\r\n\r\n" + answer("", "of the first"),
    b"no answer at all",
]


class TestSecondAnswer:
    @hypothesis.given(
        extra=strategies.sampled_from(EXTRAS),
        framing=strategies.sampled_from(["length", "chunked"]),
        data=strategies.data(),
    )
    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    def test_reaches_no_later_request(self, loop, extra, framing, data):
        """It comes in any number of pieces, before or after the next request.

        The pieces that come together with the first answer are `early`.
        """
        early = data.draw(strategies.integers(0, len(extra)), "early")
        cuts = data.draw(
            strategies.lists(strategies.integers(early, len(extra)), max_size=3)
        )
        channel = create_channel(loop)
        channel.send(b"", "first", expects_body=True)
        channel.data_received(answer("first", "one", framing) + extra[:early])
        assert read(channel) == (b"one", "End")
        if not channel.can_be_reused(loop.time(), MAX_IDLE):
            return
        channel.send(b"", "second", expects_body=True)
        edges = sorted([early, *cuts, len(extra)])
        for start, end in itertools.pairwise(edges):
            if not channel.transport.aborted:
                channel.data_received(extra[start:end])
        if not channel.transport.aborted:
            channel.data_received(answer("second", "two", framing))
        body, end = read(channel)
        assert body in (b"", b"two")
        assert end in ("Broken", "End", "")
        assert end != "End" or body == b"two"

    @pytest.mark.parametrize("extra", EXTRAS)
    @pytest.mark.parametrize("size", [1, 5, None])
    def test_on_an_idle_connection_prevents_reuse(self, loop, extra, size):
        channel = create_channel(loop)
        channel.send(b"", "first", expects_body=True)
        channel.data_received(answer("first", "one"))
        channel.data_received(extra[:size])
        assert not channel.can_be_reused(loop.time(), MAX_IDLE)


class TestEnd:
    @pytest.mark.parametrize(
        ("framing", "end"),
        [("length", "Broken"), ("chunked", "Broken"), ("close", "Broken")],
    )
    def test_reset_is_no_end(self, loop, framing, end):
        channel = create_channel(loop)
        channel.send(b"", "first", expects_body=True)
        channel.data_received(answer("first", "one two", framing)[:-8])
        channel.connection_lost(ConnectionResetError())
        assert read(channel)[1] == end

    @pytest.mark.parametrize(
        ("framing", "end"),
        [("length", "Broken"), ("chunked", "Broken"), ("close", "End")],
    )
    def test_close_ends_an_answer_without_length(self, loop, framing, end):
        channel = create_channel(loop)
        channel.send(b"", "first", expects_body=True)
        channel.data_received(answer("first", "one two", framing)[:-3])
        channel.eof_received()
        channel.connection_lost(None)
        assert read(channel)[1] == end


OWN_HEAD = f"HTTP/1.1 200 OK\r\n{ID_HEADER}: own\r\n".encode()
OTHER_HEAD = f"HTTP/1.1 200 OK\r\n{ID_HEADER}: other\r\n".encode()
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
FILLER = b"x" * 4096
# Bytes that come first, and then again and again, without an end.
ENDLESS = [
    ("header lines", OWN_HEAD, b"a: " + FILLER + b"\r\n"),
    ("one header line", OWN_HEAD + b"a: ", FILLER),
    ("one header name", OWN_HEAD, FILLER),
    ("reason phrase", b"HTTP/1.1 200 ", FILLER),
    ("interim answers", b"", b"HTTP/1.1 102 X\r\na: b\r\n\r\n" * 100),
    ("headers of an interim answer", b"HTTP/1.1 103 X\r\n", b"a: b\r\n" * 500),
    ("chunk extension", OWN_HEAD + CHUNKED + b"1;a=", FILLER),
    ("trailers", OWN_HEAD + CHUNKED + b"0\r\n", b"a: b\r\n" * 500),
    ("one trailer", OWN_HEAD + CHUNKED + b"0\r\na: ", FILLER),
    ("body of another answer", OTHER_HEAD + b"\r\n", FILLER),
    ("other chunks", OTHER_HEAD + CHUNKED, b"1000\r\n%b\r\n" % FILLER),
    ("other answers", b"", OTHER_HEAD + b"content-length: 0\r\n\r\n"),
    ("no answer", FILLER, FILLER),
]  # fmt: skip
# More than any bound on what is no part of an answer.
FED_BYTES = 8 * 1024 * 1024


class TestEndlessBytes:
    @pytest.mark.parametrize(
        ("start", "rest"),
        [item[1:] for item in ENDLESS],
        ids=[item[0] for item in ENDLESS],
    )
    def test_connection_ends_within_the_bound(self, loop, start, rest):
        channel = create_channel(loop)
        channel.send(b"", "own", expects_body=True)
        channel.data_received(start)
        fed = 0
        while not channel.transport.aborted and fed < FED_BYTES:
            channel.data_received(rest)
            fed += len(rest)
        assert fed <= endpoint_channel.MAX_SKIPPED_BYTES + len(rest)
        assert isinstance(channel.parts[-1], endpoint_channel.Broken)
        assert not channel.can_be_reused(loop.time(), MAX_IDLE)

    def test_head_of_the_longest_size_is_read(self, loop):
        channel = create_channel(loop)
        channel.send(b"", "own", expects_body=True)
        line = b"a: " + b"x" * (endpoint_channel.MAX_OVERHEAD_BYTES // 2)
        channel.data_received(OWN_HEAD + line)
        channel.data_received(b"\r\ncontent-length: 2\r\n\r\n")
        channel.data_received(b"ok")
        assert read(channel) == (b"ok", "End")

    @pytest.mark.parametrize("size", [1, 7, 100])
    def test_unread_body_in_small_chunks_is_bounded_by_memory(self, loop, size):
        """Each chunk was kept as an object of its own."""
        channel = create_channel(loop)
        paused = []
        channel.transport.pause_reading = lambda: paused.append(True)
        channel.send(b"", "own", expects_body=True)
        channel.data_received(OWN_HEAD + CHUNKED)
        chunk = b"%x\r\n%b\r\n" % (size, b"\n" * size)
        reads = 0
        while not paused:
            channel.data_received(chunk)
            reads += 1
        limit = endpoint_channel.READ_AHEAD_BYTES
        assert reads * endpoint_channel.PART_BYTES <= limit + 1024
        before = len(channel.parts)
        channel.data_received(chunk * 1000)
        assert len(channel.parts) == before + 1

    def test_long_body_in_small_chunks_is_read(self, loop):
        channel = create_channel(loop)
        channel.send(b"", "own", expects_body=True)
        channel.data_received(OWN_HEAD + CHUNKED)
        count = endpoint_channel.MAX_SKIPPED_BYTES // 3
        for _ in range(count):
            channel.data_received(b"1\r\nx\r\n")
        channel.data_received(b"0\r\n\r\n")
        body, end = read(channel)
        assert (len(body), end) == (count, "End")
