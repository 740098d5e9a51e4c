"""Decides whether a head is that of an HTTP/1.x answer; no I/O.

HTTP libraries accept heads that RFC 9110 and RFC 9112 do not allow. All readers
of answers ask here, so that what is no answer is one nowhere.
"""

from collections.abc import Iterable
import re
from typing import Final

VERSIONS: Final = frozenset({"1.0", "1.1"})
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
SWITCHING_PROTOCOLS: Final = 101
NO_CONTENT: Final = 204
# RFC 9110, section 5.6.2.
TOKEN: Final = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# RFC 9110, section 5.5, with the horizontal tab allowed within a value.
CONTROL: Final = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# 18 digits fit into 64 bits.
LENGTH: Final = re.compile(r"[0-9]{1,18}")

# Name and value.
Header = tuple[str, str]


def find_status_fault(version: str, status: int) -> str | None:
    """Return what is wrong with a status line, None if it is valid.

    Args:
        version: HTTP version, as in "1.1".
        status: Status code.
    """
    if version not in VERSIONS:
        return f"HTTP version {version}"
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"status {status:03}"
    if status == SWITCHING_PROTOCOLS:
        return "status 101 without a request for another protocol"
    return None


def find_header_fault(name: str, value: str) -> str | None:
    """Return what is wrong with a header line, None if it is valid."""
    if not TOKEN.fullmatch(name):
        return f"header name {name!r}"
    if CONTROL.search(value):
        return f"control character in header {name}"
    return None


def find_framing_fault(
    version: str, status: int, headers: Iterable[Header]
) -> str | None:
    """Return why it is unclear where the body ends, None if it is clear.

    No request names a transfer coding that the sender would accept, so that
    only `chunked` may be used.

    Args:
        version: HTTP version, as in "1.1".
        status: Status code.
        headers: The headers, with names in lower case.
    """
    codings: list[str] = []
    lengths: list[str] = []
    for name, value in headers:
        if name == "transfer-encoding":
            codings.append(value.strip().lower())
        elif name == "content-length":
            lengths.append(value.strip())
    if codings and (codings != ["chunked"] or version == "1.0"):
        return f"transfer coding {', '.join(codings)}"
    if codings and lengths:
        return "both a length and a transfer coding"
    if (
        any(not LENGTH.fullmatch(item) for item in lengths)
        or len(set(lengths)) > 1
    ):
        return f"length {', '.join(lengths)}"
    has_body = codings or any(int(item) for item in lengths)
    if has_body and (status < 200 or status == NO_CONTENT):
        return f"status {status} with a body"
    return None


def is_encoded(headers: Iterable[Header]) -> bool:
    """Return whether a body is not the content itself but encoded.

    Args:
        headers: The headers, with names in lower case.
    """
    return any(
        name == "content-encoding" and value.strip().lower() != "identity"
        for name, value in headers
    )


def find_fault(
    version: str, status: int, headers: Iterable[Header]
) -> str | None:
    """Return why a head is not that of an answer, None if it is.

    Args:
        version: HTTP version, as in "1.1".
        status: Status code.
        headers: The headers, with names in lower case.
    """
    known = list(headers)
    return (
        find_status_fault(version, status)
        or next(
            (
                fault
                for name, value in known
                if (fault := find_header_fault(name, value)) is not None
            ),
            None,
        )
        or find_framing_fault(version, status, known)
    )
