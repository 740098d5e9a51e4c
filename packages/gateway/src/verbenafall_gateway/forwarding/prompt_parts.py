"""Parts of a prompt that requests share; no I/O."""

from collections.abc import Iterable
from collections.abc import Sequence
import hashlib
from typing import Final

# Longer ids are replaced by a hash, which takes less memory.
MAX_ID_LENGTH: Final = 64
HASH_PREFIX: Final = "hash:"
HASH_BYTES: Final = 16
# Maximum number of parts in a log line.
MAX_LOGGED_PARTS: Final = 16


def parse_shared_parts(text: str | None) -> tuple[str, ...]:
    """Return the ids of the parts that other requests may have as well.

    Their number is limited only by the limit of a request's head: any of them
    may crash endpoints.

    Args:
        text: Comma-separated `id:tokens`, the last of which is the request's
            own; None if the request states no parts.
    """
    if text is None:
        return ()
    items = text.split(",")[:-1]
    ids = (item.partition(":")[0].strip() for item in items)
    return tuple(dict.fromkeys(shorten(part) for part in ids if part))


def shorten(part: str) -> str:
    """Return an id, or its hash if it is long.

    The hash contains a colon, which no id does.
    """
    if len(part) <= MAX_ID_LENGTH:
        return part
    digest = hashlib.blake2b(part.encode(), digest_size=HASH_BYTES)
    return HASH_PREFIX + digest.hexdigest()


def join_values(values: Iterable[str]) -> str | None:
    """Return a header that may come in several lines as one; None if absent."""
    return ",".join(values) or None


def format_parts(parts: Sequence[str]) -> str:
    """Return parts for a log line; of many, the number and the last ones."""
    left_out = len(parts) - MAX_LOGGED_PARTS
    shown = ",".join(parts[-MAX_LOGGED_PARTS:])
    return f"{left_out} more,{shown}" if left_out > 0 else shown
