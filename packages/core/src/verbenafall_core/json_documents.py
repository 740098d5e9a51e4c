"""Decodes JSON documents of other programs, whole or part by part; no I/O.

One part that cannot be decoded must not cost the reader the others.
"""

import re
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeVar

import msgspec

T = TypeVar("T")

# Strings, which may contain any other of these tokens, and structure.
_TOKEN: Final = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|,', re.DOTALL
)
_KEY: Final = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)
_OPENING: Final = frozenset(b"[{")
_CLOSING: Final = frozenset(b"]}")
# Length of the description of a problem in characters.
MAX_PROBLEM_LENGTH: Final = 200


class JsonError(ValueError):
    """A document is not JSON, or not of the expected type."""


class Undecodable(NamedTuple):
    """Takes the place of a part of a document that cannot be decoded."""

    problem: str


def decode(data: bytes | str, kind: type[T]) -> T:
    """Decode a document.

    Raises:
        JsonError: It is not JSON, not of that type, has a number out of range
            or is nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise JsonError(str(error)[:MAX_PROBLEM_LENGTH]) from error


def split(data: bytes, brackets: bytes) -> list[bytes]:
    """Return the members of an array or object, without decoding them.

    Args:
        data: The array or object.
        brackets: Its opening and closing bracket.

    Raises:
        JsonError: The brackets do not match.
    """
    text = data.strip()
    if text[:1] != brackets[:1] or text[-1:] != brackets[1:]:
        raise JsonError(f"it does not begin and end with {brackets.decode()}")
    depth = 0
    start = 1
    members: list[bytes] = []
    for found in _TOKEN.finditer(text):
        code = text[found.start()]
        if code in _OPENING:
            depth += found.end() - found.start()
        elif code in _CLOSING:
            depth -= found.end() - found.start()
            if depth < 0 or (depth == 0 and found.end() != len(text)):
                raise JsonError("its brackets do not match")
        elif code == ord(",") and depth == 1:
            members.append(text[start : found.start()])
            start = found.end()
    if depth != 0:
        raise JsonError("its brackets do not match")
    last = text[start:-1]
    return [*members, last] if members or last.strip() else []


def split_items(data: bytes) -> list[bytes]:
    """Return the items of an array, without decoding them.

    Raises:
        JsonError: It is no array.
    """
    return split(data, b"[]")


def split_fields(data: bytes) -> dict[str, bytes]:
    """Return the fields of an object by name, without decoding their values.

    Raises:
        JsonError: It is no object, or a name cannot be decoded.
    """
    fields: dict[str, bytes] = {}
    for member in split(data, b"{}"):
        name = _KEY.match(member)
        if name is None:
            raise JsonError("a member has no name")
        fields[decode(name.group(1), str)] = member[name.end() :]
    return fields


def decode_parts(data: bytes, levels: int) -> Any:
    """Decode a document, part by part if it cannot be decoded as a whole.

    Args:
        data: The document.
        levels: Levels of arrays and objects to divide into their parts.

    Returns:
        The document, with Undecodable in place of the parts that cannot be
        decoded or divided.
    """
    try:
        return decode(data, object)
    except JsonError as error:
        problem = Undecodable(str(error))
    if levels == 0:
        return problem
    try:
        if data.lstrip()[:1] == b"[":
            return [
                decode_parts(item, levels - 1) for item in split_items(data)
            ]
        return {
            name: decode_parts(value, levels - 1)
            for name, value in split_fields(data).items()
        }
    except JsonError:
        return problem
