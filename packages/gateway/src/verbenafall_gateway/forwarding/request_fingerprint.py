"""Recognizes a request that comes again; no I/O."""

import hashlib
from typing import Final

from verbenafall_gateway.forwarding import http_messages

DIGEST_BYTES: Final = 16
# The colon cannot be in the id of a part of a prompt, so no client can name a
# part like a fingerprint.
PREFIX: Final = "request:"


def fingerprint(
    request: http_messages.Request, team: str, prompt_parts: str | None
) -> str:
    """Return what all sends of the same request have in common.

    Host, method, target, team, prompt and body count. Ids of attempts, keys,
    time limits and other headers do not, as they change when it comes again.

    Args:
        request: The request.
        team: Name of the team that sends it, empty if that is not known.
        prompt_parts: Header that describes its prompt, None if it has none.
    """
    host = http_messages.find_header(request.headers, "host") or ""
    fields = (request.method, host, request.target, team, prompt_parts or "")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (*(text.encode() for text in fields), request.body):
        # The length keeps the end of one field apart from the next one.
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return PREFIX + digest.hexdigest()


def is_fingerprint(part: str) -> bool:
    """Return whether a name is that of a request, not of a part."""
    return part.startswith(PREFIX)
