"""Checks the header lines that determine where a request's body ends.

cheroot uses the last of several Content-Length headers and accepts one
together with Transfer-Encoding. A proxy in front may interpret such a request
differently, so that part of one client's body is handled as another client's
request (request smuggling).
"""

import collections
from collections.abc import Sequence
from typing import Final

CONTENT_LENGTH: Final = b"content-length"
TRANSFER_ENCODING: Final = b"transfer-encoding"

# If one of these occurred twice, it would be unclear which value applies.
SINGLE_HEADERS: Final = (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    b"host",
    b"authorization",
    b"idempotency-key",
    b"x-deadline-ms",
)


def find_problem(lines: Sequence[bytes]) -> str:
    """Return what is wrong with the header lines, or an empty string.

    Args:
        lines: Header lines up to and including the empty line.
    """
    values: dict[bytes, list[bytes]] = collections.defaultdict(list)
    for line in lines:
        if line[:1] in (b" ", b"\t"):
            return "folded header lines are not accepted"
        name, separator, value = line.partition(b":")
        if not separator:
            continue
        if name != name.strip():
            return "a header name must not have spaces around it"
        values[name.lower()].append(value.strip())
    for single in SINGLE_HEADERS:
        if len(values[single]) > 1:
            return f"header {single.decode()} is repeated"
    return find_length_problem(
        values[CONTENT_LENGTH], values[TRANSFER_ENCODING]
    )


def find_length_problem(
    lengths: Sequence[bytes], encodings: Sequence[bytes]
) -> str:
    """Return what is wrong with the body length, or an empty string."""
    if lengths and encodings:
        return "Content-Length and Transfer-Encoding exclude each other"
    if lengths and not lengths[0].isdigit():
        return "Content-Length must be a whole number"
    if encodings and encodings[0].lower() != b"chunked":
        return "the only accepted Transfer-Encoding is chunked"
    return ""
