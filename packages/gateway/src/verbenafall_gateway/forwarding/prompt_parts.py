"""Parts of a prompt that requests share; no I/O."""

from typing import Final

# Longer lists and ids are cut off, so that a client cannot make a gateway keep
# or log any amount of them.
MAX_PARTS: Final = 16
MAX_ID_LENGTH: Final = 64


def parse_shared_parts(text: str | None) -> tuple[str, ...]:
    """Return the ids of the parts that other requests may have as well.

    Args:
        text: Comma-separated `id:tokens`, the last of which is the request's
            own; None if the request states no parts.
    """
    if text is None:
        return ()
    items = text.split(",")[:-1][:MAX_PARTS]
    ids = (item.partition(":")[0].strip()[:MAX_ID_LENGTH] for item in items)
    return tuple(dict.fromkeys(part for part in ids if part))
