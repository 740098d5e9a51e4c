"""The two kinds of chat clients, as the delivery of tokens sees them."""

from collections.abc import Callable
from typing import Protocol

from verbenafall_gateway.delivery import direct_delivery


class BodyWriter(Protocol):
    """Writes the body of an answer that has begun."""

    def write_nowait(self, chunk: bytes) -> direct_delivery.WriteResult:
        """Write a part without waiting; errors count as left."""

    def flush(self) -> None:
        """Write the rest of a part."""


class PlainClient:
    """Collects the tokens of an answer that is sent when it is complete."""

    detects_disconnect = False

    def __init__(self, is_disconnected: Callable[[], bool]) -> None:
        """Create a client without tokens."""
        self.is_disconnected = is_disconnected
        self.parts: list[str] = []

    def try_write(self, data: bytes) -> direct_delivery.WriteResult:
        """Keep a token."""
        self.parts.append(data.decode("utf-8", "replace"))
        return direct_delivery.WriteResult.COMPLETE

    def flush(self) -> None:
        """Do nothing; tokens are always kept whole."""


class StreamClient:
    """Gets each token as an event of its own."""

    detects_disconnect = True

    def __init__(
        self,
        encode: Callable[[bytes], bytes],
        writer: BodyWriter,
        is_disconnected: Callable[[], bool],
    ) -> None:
        """Create a client.

        Args:
            encode: Returns the event of a token.
            writer: Writes to the client's connection.
            is_disconnected: Tells whether the client has closed its connection.
        """
        self.encode = encode
        self.writer = writer
        self.is_disconnected = is_disconnected

    def try_write(self, data: bytes) -> direct_delivery.WriteResult:
        """Write the event of a token."""
        return self.writer.write_nowait(self.encode(data))

    def flush(self) -> None:
        """Write the rest of an event."""
        self.writer.flush()
