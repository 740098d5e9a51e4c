"""Splits a byte stream into server-sent events."""

from collections.abc import Iterable
from collections.abc import Iterator
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


class NewEvents(NamedTuple):
    """The events of a piece of a stream that the client does not have yet.

    Attributes:
        data: Their bytes.
        number: How many they are.
        complete: Whether the piece completed any event, new or not.
        last_id: Id of the last event that the client has then.
    """

    data: bytes
    number: int
    complete: bool
    last_id: str | None


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

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes and return the events that they complete.

        The events are not kept: as objects, short ones take many times the
        memory of their bytes.

        Raises:
            EventTooLongError: The event that is not complete is too long.
        """
        self.rest += data
        # The end of an event may be split between two pieces.
        start = max(0, self.searched - MAX_END_BYTES + 1)
        end = find_last_end(self.rest, start)
        complete = bytes(self.rest[:end])
        del self.rest[:end]
        self.searched = len(self.rest)
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return split_events(complete)


def find_last_end(data: bytearray, start: int) -> int:
    """Return where the last event ends, 0 if none ends after a position."""
    end = 0
    for found in END.finditer(data, start):
        end = found.end()
    return end


def split_events(data: bytes) -> Iterator[StreamEvent]:
    """Yield complete events one after the other."""
    start = 0
    for found in END.finditer(data):
        block = data[start : found.end()]
        yield StreamEvent(find_id(block), block)
        start = found.end()


def select_new_events(
    events: Iterable[StreamEvent], last_id: str | None
) -> NewEvents:
    """Return the events that come after the last one that the client has."""
    data = bytearray()
    number = 0
    complete = False
    for event in events:
        complete = True
        if is_later(event.id, last_id):
            data += event.data
            number += 1
            last_id = event.id or last_id
    return NewEvents(bytes(data), number, complete, last_id)


def find_id(block: bytes) -> str | None:
    """Return the id of an event, None if it has none."""
    found = None
    if b"id:" not in block:
        return found
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
    if not (event_id.isdecimal() and last_id.isdecimal()):
        return True
    return decimal_order(event_id) > decimal_order(last_id)


def decimal_order(digits: str) -> tuple[int, str]:
    """Return what orders decimal numbers of any length."""
    significant = digits.lstrip("0")
    return len(significant), significant
