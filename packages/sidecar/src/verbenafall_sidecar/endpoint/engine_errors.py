"""Pure reading of an engine's error answers."""

from typing import Final
from typing import TypedDict

import msgspec

OK: Final = 200
TOO_MANY: Final = 429
CLIENT_ERROR: Final = 400
SERVER_ERROR: Final = 500
MAX_CHARACTERS: Final = 500
# A character has at most 4 bytes in UTF-8.
MAX_TEXT_BYTES: Final = 4 * MAX_CHARACTERS


class ErrorFields(TypedDict, total=False):
    """The object in an error body."""

    message: str


class ErrorBody(TypedDict, total=False):
    """The forms of error bodies that engines send."""

    error: ErrorFields | str
    message: str


def is_bad_request(status: int) -> bool:
    """Return whether another engine would refuse the request as well."""
    return CLIENT_ERROR <= status < SERVER_ERROR and status != TOO_MANY


def read_message(body: bytes) -> str:
    """Return the message of an error body in one line, cut to a length."""
    text = find_message(body) or body[:MAX_TEXT_BYTES].decode(
        "utf-8", "replace"
    )
    return " ".join(text[:MAX_CHARACTERS].split())


def find_message(body: bytes) -> str:
    """Return the message of a JSON body, empty for another form."""
    try:
        fields = msgspec.json.decode(body, type=ErrorBody)
    except (msgspec.DecodeError, UnicodeError):
        return ""
    error = fields.get("error", "")
    if isinstance(error, str):
        return error or fields.get("message", "")
    return error.get("message", "")
