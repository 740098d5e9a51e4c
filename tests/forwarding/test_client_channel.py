"""Tests how a client connection ends after a partial answer."""

import asyncio

import pytest

from forwarding import forwarding_fakes as fakes
from verbenafall_gateway.forwarding import client_channel
from verbenafall_gateway.forwarding import forwarder


class RecordingTransport:
    """Records the written bytes and how the connection is closed."""

    def __init__(self):
        self.written = b""
        self.ends = []

    def set_write_buffer_limits(self, high):
        del high

    def write(self, data):
        self.written += data

    def close(self):
        self.ends.append("close")

    def abort(self):
        self.ends.append("abort")


@pytest.fixture
def channel():
    loop = asyncio.new_event_loop()

    async def serve(client, request):
        """Send no answer."""

    found = client_channel.ClientChannel(
        loop, serve, lambda: forwarder.DEFAULT_LIMITS, set()
    )
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
