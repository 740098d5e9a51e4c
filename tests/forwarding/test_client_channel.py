"""How a client connection ends and how much it may send ahead."""

import asyncio

import pytest

from forwarding import forwarding_fakes as fakes
from verbenafall_gateway.forwarding import client_channel
from verbenafall_gateway.forwarding import forwarder
from verbenafall_gateway.forwarding import http_messages


class RecordingTransport:
    """Records the written bytes and how the connection is closed."""

    def __init__(self):
        self.written = b""
        self.ends = []
        self.reading = True

    def set_write_buffer_limits(self, high):
        del high

    def write(self, data):
        self.written += data

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def close(self):
        self.ends.append("close")

    def abort(self):
        self.ends.append("abort")


@pytest.fixture
def channel():
    loop = asyncio.new_event_loop()

    async def serve(client, request):
        """Send no answer."""

    handled = []

    def handle(client, request):
        handled.append((client, request))
        return serve(client, request)

    found = client_channel.ClientChannel(
        loop, handle, lambda: forwarder.DEFAULT_LIMITS, set()
    )
    found.handled = handled
    found.connection_made(RecordingTransport())
    yield found
    loop.close()


class TestAbort:
    def test_written_part_of_a_stream_is_still_delivered(self, channel):
        """A reset would discard data that a slow client has not read yet."""
        channel.send_head(200, (), chunked=True)
        channel.send_body(fakes.event(0))
        channel.abort()
        assert channel.transport.ends == ["close"]
        assert client_channel.http_messages.LAST_CHUNK not in (
            channel.transport.written
        )

    def test_answer_without_chunks_is_reset(self, channel):
        channel.abort()
        assert channel.transport.ends == ["abort"]


class TestPipelining:
    def test_reading_pauses_until_the_requests_are_answered(self, channel):
        request = (
            b"POST / HTTP/1.1\r\ncontent-length: 9000\r\n\r\n" + 9000 * b"x"
        )
        number = 0
        while channel.transport.reading:
            channel.data_received(request)
            number += 1
            assert number < 1000
        held = sum(len(item.body) for item in channel.requests)
        assert held <= client_channel.MAX_PIPELINED_BYTES + len(request)
        while channel.task is not None:
            channel.loop.run_until_complete(channel.task)
            channel.start_next()
        assert channel.requests == []
        assert channel.transport.reading

    def test_rest_of_a_long_body_is_read_after_the_answer(self, channel):
        """It is not complete, so that no request is queued."""
        channel.data_received(b"GET / HTTP/1.1\r\n\r\n")
        size = 2 * client_channel.MAX_PIPELINED_BYTES
        head = f"POST / HTTP/1.1\r\ncontent-length: {size}\r\n\r\n"
        channel.data_received(head.encode() + (size - 1) * b"x")
        assert not channel.transport.reading
        channel.loop.run_until_complete(channel.task)
        channel.start_next()
        assert channel.transport.reading


CHUNKED_HEAD = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
# Bytes of a chunked request that belong neither to its head nor to its body.
ENDLESS = [
    ("chunk extension", b"1;a=", b"x" * 4096),
    ("trailers", b"0\r\n", b"a: b\r\n" * 500),
    ("one trailer", b"0\r\na: ", b"x" * 4096),
]


class TestEndlessRequest:
    @pytest.mark.parametrize(
        ("start", "rest"),
        [item[1:] for item in ENDLESS],
        ids=[item[0] for item in ENDLESS],
    )
    def test_is_rejected_within_the_limit_of_a_head(self, channel, start, rest):
        channel.data_received(CHUNKED_HEAD + start)
        limit = forwarder.DEFAULT_LIMITS.header_bytes
        for _ in range(limit // len(rest) + 1):
            channel.data_received(rest)
        assert channel.transport.written.startswith(b"HTTP/1.1 431 ")

    def test_body_in_small_chunks_is_read(self, channel):
        channel.data_received(CHUNKED_HEAD)
        for _ in range(forwarder.DEFAULT_LIMITS.header_bytes):
            channel.data_received(b"1\r\nx\r\n")
        assert channel.transport.written == b""


class TestHeaders:
    """Guards the bytes of header values, which an engine compares."""

    @pytest.mark.parametrize("value", ["\u00e0", "\u00c5", "\u0445", "a b"])
    def test_value_reaches_the_endpoint_unchanged(self, channel, value):
        data = f"GET /a/x HTTP/1.1\r\nHost: h\r\nX-Model: \t{value} \r\n\r\n"
        channel.data_received(data.encode())
        channel.loop.run_until_complete(asyncio.sleep(0))
        ((_, request),) = channel.handled
        sent = http_messages.format_request(
            request.method, request.target, request.headers, request.body
        )
        assert f"x-model: {value}\r\n".encode() in sent
