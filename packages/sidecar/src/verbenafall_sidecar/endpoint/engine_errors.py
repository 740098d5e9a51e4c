"""Interprets error responses of engines."""

from typing import Final
from typing import TypedDict

from verbenafall_core import json_documents

STATUS_OK: Final = 200
STATUS_TOO_MANY_REQUESTS: Final = 429
FIRST_CLIENT_ERROR: Final = 400
FIRST_SERVER_ERROR: Final = 500
MAX_MESSAGE_CHARACTERS: Final = 500
# A character has at most 4 bytes in UTF-8.
MAX_MESSAGE_BYTES: Final = 4 * MAX_MESSAGE_CHARACTERS


class ErrorFields(TypedDict, total=False):
    """Error object inside an error body."""

    message: str


class ErrorBody(TypedDict, total=False):
    """Error body; engines differ in which of the fields they send."""

    error: ErrorFields | str
    message: str


def is_bad_request(status: int) -> bool:
    """Return whether other engines would reject the request as well."""
    return (
        FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR
        and status != STATUS_TOO_MANY_REQUESTS
    )


def read_message(body: bytes) -> str:
    """Return the message of an error body as one line, truncated."""
    text = find_message(body) or body[:MAX_MESSAGE_BYTES].decode(
        "utf-8", "replace"
    )
    return " ".join(text[:MAX_MESSAGE_CHARACTERS].split())


def find_message(body: bytes) -> str:
    """Return the message of a JSON error body, or an empty string."""
    try:
        fields = json_documents.decode(body, ErrorBody)
    except json_documents.JsonError:
        return ""
    error = fields.get("error", "")
    if isinstance(error, str):
        return error or fields.get("message", "")
    return error.get("message", "")
