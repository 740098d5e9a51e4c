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
