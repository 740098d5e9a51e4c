"""Splits a byte stream into server-sent events."""

from typing import Final
from typing import NamedTuple

MAX_EVENT_BYTES: Final = 256 * 1024


class EventTooLongError(Exception):
    """An event does not end within MAX_EVENT_BYTES."""


class StreamEvent(NamedTuple):
    """A complete event.

    Attributes:
        id: Value of its `id` field, None if it has none.
        data: Its bytes, including the empty line at the end.
    """

    id: str | None
    data: bytes


class EventSplitter:
    """Buffers bytes until the empty line that ends an event.

    Attributes:
        rest: Bytes of the event that is not complete yet.
    """

    def __init__(self) -> None:
        """Create a splitter at the start of a stream."""
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises:
            EventTooLongError: The event that is not complete is too long.
        """
        self.rest += data
        events: list[StreamEvent] = []
        while True:
            end = find_end(self.rest)
            if end < 0:
                break
            block, self.rest = self.rest[:end], self.rest[end:]
            events.append(StreamEvent(find_id(block), block))
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events


def find_end(data: bytes) -> int:
    """Return the length of the first complete event, -1 if there is none."""
    plain = data.find(b"\n\n")
    carriage = data.find(b"\r\n\r\n")
    if plain < 0 and carriage < 0:
        return -1
    if carriage < 0 or 0 <= plain < carriage:
        return plain + 2
    return carriage + 4


def find_id(block: bytes) -> str | None:
    """Return the id of an event, None if it has none."""
    found = None
    for line in block.splitlines():
        if line.startswith(b"id:"):
            found = line[3:].strip().decode("latin-1")
    return found


def is_later(event_id: str | None, last_id: str | None) -> bool:
    """Return whether an event comes after the last one that was sent.

    Only decimal ids can be compared; any other id counts as later.
    """
    if event_id is None or last_id is None:
        return True
    if not (event_id.isdigit() and last_id.isdigit()):
        return True
    return int(event_id) > int(last_id)
