"""The client's connection: how answers in part end."""

import asyncio

import pytest

from forwarding import forwarding_fakes as fakes
from verbenafall_gateway.forwarding import client_channel
from verbenafall_gateway.forwarding import forwarder


class RecordingTransport:
    """Keeps what is written and how the connection ends."""

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
        """Answer nothing."""

    found = client_channel.ClientChannel(
        loop, serve, lambda: forwarder.DEFAULT_LIMITS, set()
    )
    found.connection_made(RecordingTransport())
    yield found
    loop.close()


class TestCut:
    def test_what_was_written_of_a_stream_still_arrives(self, channel):
        """abort() would drop what waits for a client that reads slowly."""
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
