"""Splits a byte stream into server-sent events."""

import re
from typing import Final
from typing import NamedTuple

MAX_EVENT_BYTES: Final = 256 * 1024
END: Final = re.compile(rb"\n\n|\r\n\r\n")
MAX_END_BYTES: Final = 4


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
        searched: Length of the part of `rest` that was searched for its end.
    """

    def __init__(self) -> None:
        """Create a splitter at the start of a stream."""
        self.rest = bytearray()
        self.searched = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises:
            EventTooLongError: The event that is not complete is too long.
        """
        self.rest += data
        events: list[StreamEvent] = []
        start = 0
        # The end of an event may be split between two pieces.
        search_from = max(0, self.searched - MAX_END_BYTES + 1)
        while (end := find_end(self.rest, search_from)) is not None:
            block = bytes(self.rest[start:end])
            events.append(StreamEvent(find_id(block), block))
            start = search_from = end
        del self.rest[:start]
        self.searched = len(self.rest)
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events


def find_end(data: bytearray, start: int) -> int | None:
    """Return where the first event ends that ends after a position."""
    found = END.search(data, start)
    return found.end() if found is not None else None


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
