"""Splits a stream of server-sent events into whole events."""

from typing import NamedTuple


class StreamEvent(NamedTuple):
    """A whole event with its empty line; id None when it has none."""

    id: str | None
    data: bytes


class EventSplitter:
    """Holds back the bytes of an event until its empty line."""

    def __init__(self) -> None:
        """Create a splitter at the start of a stream."""
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are now complete."""
        self.rest += data
        events: list[StreamEvent] = []
        while True:
            end = find_end(self.rest)
            if end < 0:
                return events
            block, self.rest = self.rest[:end], self.rest[end:]
            events.append(StreamEvent(find_id(block), block))


def find_end(data: bytes) -> int:
    """Return the length of the first whole event, -1 when there is none."""
    plain = data.find(b"\n\n")
    carriage = data.find(b"\r\n\r\n")
    if plain < 0 and carriage < 0:
        return -1
    if carriage < 0 or 0 <= plain < carriage:
        return plain + 2
    return carriage + 4


def find_id(block: bytes) -> str | None:
    """Return the id of an event, None when it has none."""
    found = None
    for line in block.splitlines():
        if line.startswith(b"id:"):
            found = line[3:].strip().decode("latin-1")
    return found


def is_later(event_id: str | None, last_id: str | None) -> bool:
    """Return whether an event comes after the last one that was passed on.

    Ids that are no numbers cannot be compared and count as later.
    """
    if event_id is None or last_id is None:
        return True
    if not (event_id.isdigit() and last_id.isdigit()):
        return True
    return int(event_id) > int(last_id)
