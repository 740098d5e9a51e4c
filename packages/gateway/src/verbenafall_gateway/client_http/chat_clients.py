"""Chat clients to which tokens are delivered, streaming or not."""

from collections.abc import Callable
from typing import Protocol

from verbenafall_gateway.delivery import direct_delivery


class BodyWriter(Protocol):
    """Writes the body of a response whose headers have been sent."""

    def write_nowait(self, chunk: bytes) -> direct_delivery.Handover:
        """Write a part without blocking; an error counts as not written."""

    def flush(self) -> None:
        """Write the rest of a partly written part; may block."""


class NonStreamingClient:
    """Collects the tokens of an answer that is sent when it is complete."""

    shows_loss = False

    def __init__(self, is_gone: Callable[[], bool]) -> None:
        """Create a client without tokens.

        Args:
            is_gone: Returns whether the client has closed its connection.
        """
        self.is_gone = is_gone
        self.parts: list[str] = []

    def take(self, data: bytes) -> direct_delivery.Handover:
        """Append a token to the answer."""
        self.parts.append(data.decode("utf-8", "replace"))
        return direct_delivery.Handover.WHOLE

    def flush(self) -> None:
        """Do nothing; tokens are always stored completely."""


class StreamingClient:
    """Writes each token to the connection as a separate event."""

    shows_loss = True

    def __init__(
        self,
        encode: Callable[[bytes], bytes],
        writer: BodyWriter,
        is_gone: Callable[[], bool],
    ) -> None:
        """Create a client.

        Args:
            encode: Returns the event for a token.
            writer: Writes to the client's connection.
            is_gone: Returns whether the client has closed its connection.
        """
        self.encode = encode
        self.writer = writer
        self.is_gone = is_gone

    def take(self, data: bytes) -> direct_delivery.Handover:
        """Write the event for a token without blocking."""
        return self.writer.write_nowait(self.encode(data))

    def flush(self) -> None:
        """Write the rest of a partly written event; may block."""
        self.writer.flush()
