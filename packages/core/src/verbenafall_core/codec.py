"""Encoding of messages as msgpack arrays of a kind number and the fields.

Two releases run side by side during an upgrade. For compatibility, new fields
are only appended to a kind, with a default, and a decoder ignores additional
fields that it does not know.
"""

from collections.abc import Iterator
from typing import Any
from typing import Final
from typing import NamedTuple

import msgpack
import msgspec

from verbenafall_core import messages

MAX_MESSAGE_BYTES: Final = 2 * 1024 * 1024

_KIND_NUMBERS: Final = {kind: number for number, kind in messages.KINDS.items()}


class CodecError(Exception):
    """The bytes are not a valid message."""


class UnknownKind(NamedTuple):
    """A well-formed message of a kind that this release does not know."""

    number: int


def encode(message: messages.Message) -> bytes:
    """Encode a message as msgpack."""
    packed: bytes = msgpack.packb((_KIND_NUMBERS[type(message)], *message))
    return packed


class Decoder:
    """Decodes a stream of bytes into messages."""

    def __init__(self) -> None:
        """Create a decoder at the start of a stream."""
        self.unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def feed(
        self, data: bytes | memoryview
    ) -> Iterator[messages.Message | UnknownKind]:
        """Add bytes and yield the messages that are complete.

        Raises:
            CodecError: The bytes are not a valid message; the stream cannot be
                decoded any further.
        """
        try:
            self.unpacker.feed(data)
            for item in self.unpacker:
                yield _decode(item)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise CodecError(f"invalid msgpack: {error}") from error
        except msgpack.exceptions.BufferFull as error:
            raise CodecError(
                f"message exceeds {MAX_MESSAGE_BYTES} bytes"
            ) from error


def _decode(item: Any) -> messages.Message | UnknownKind:
    if not isinstance(item, list) or not item or not isinstance(item[0], int):
        raise CodecError("message is not an array that starts with its kind")
    kind = messages.KINDS.get(item[0])
    if kind is None:
        return UnknownKind(item[0])
    known = item[1 : 1 + len(kind._fields)]
    try:
        return msgspec.convert(known, kind)
    except msgspec.ValidationError as error:
        raise CodecError(f"invalid {kind.__name__}: {error}") from error


def create_decoder() -> Decoder:
    """Create a decoder at the start of a stream."""
    return Decoder()
