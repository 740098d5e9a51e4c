"""Chat clients to which tokens are delivered, streaming or not."""

from collections.abc import Callable
from typing import Protocol

from verbenafall_gateway.delivery import direct_delivery


class BodyWriter(Protocol):
    """Writes the body of a response whose headers have been sent."""

    def write_nowait(self, chunk: bytes) -> direct_delivery.WriteResult:
        """Write a part without blocking; an error counts as not written."""

    def flush(self) -> None:
        """Write the rest of a partially written part; may block."""


class NonStreamingClient:
    """Collects the tokens of an answer that is sent when it is complete."""

    detects_disconnect = False

    def __init__(self, is_disconnected: Callable[[], bool]) -> None:
        """Create a client without tokens.

        Args:
            is_disconnected: Returns whether the client has closed its
                connection.
        """
        self.is_disconnected = is_disconnected
        self.parts: list[str] = []

    def try_write(self, data: bytes) -> direct_delivery.WriteResult:
        """Append a token to the answer."""
        self.parts.append(data.decode("utf-8", "replace"))
        return direct_delivery.WriteResult.COMPLETE

    def flush(self) -> None:
        """Do nothing; tokens are always stored completely."""


class StreamingClient:
    """Writes each token to the connection as a separate event."""

    detects_disconnect = True

    def __init__(
        self,
        encode: Callable[[bytes], bytes],
        writer: BodyWriter,
        is_disconnected: Callable[[], bool],
    ) -> None:
        """Create a client.

        Args:
            encode: Returns the event for a token.
            writer: Writes to the client's connection.
            is_disconnected: Returns whether the client has closed its
                connection.
        """
        self.encode = encode
        self.writer = writer
        self.is_disconnected = is_disconnected

    def try_write(self, data: bytes) -> direct_delivery.WriteResult:
        """Write the event for a token without blocking."""
        return self.writer.write_nowait(self.encode(data))

    def flush(self) -> None:
        """Write the rest of a partially written event; may block."""
        self.writer.flush()
