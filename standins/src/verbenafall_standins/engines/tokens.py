"""Text and experts of each token, as pure functions of prompt and index."""

from collections.abc import Sequence
import hashlib
from typing import Any
from typing import Final

_WORDS: Final = (
    "valve", "crane", "quote", "rental", "lift", "pump", "letter", "parent",
    "trip", "form", "signed", "meter", "gauge", "stock", "price", "week",
)  # fmt: skip
EXPERTS_PER_TOKEN: Final = 2


def prompt_text(messages: Sequence[dict[str, Any]]) -> str:
    """Return the prompt for a list of chat messages."""
    return "\n".join(
        f"{message.get('role', '')}: {message.get('content', '')}"
        for message in messages
    )


def prompt_digest(prompt: str) -> bytes:
    """Return the digest that determines all tokens of a prompt's answer."""
    return hashlib.sha256(prompt.encode()).digest()


def token_text(digest: bytes, index: int) -> str:
    """Return the text of one token of a prompt's answer."""
    random_bytes = _pseudo_random_bytes(digest, index)
    return f" {_WORDS[random_bytes[0] % len(_WORDS)]}{random_bytes[1]}"


def answer_text(digest: bytes, count: int) -> str:
    """Return the text of the first count tokens of a prompt's answer."""
    return "".join(token_text(digest, index) for index in range(count))


def token_experts(digest: bytes, index: int, experts: int) -> list[int]:
    """Return the experts that a token is routed to.

    Three quarters of the choices are one of four neighbouring experts that the
    prompt determines, so that the load is uneven and changes with the mix of
    prompts. The others are uniform.
    """
    random_bytes = _pseudo_random_bytes(digest, index)
    first_preferred = digest[0] * experts // 256
    chosen = []
    for number in range(EXPERTS_PER_TOKEN):
        value = random_bytes[2 + number]
        if value < 192:
            chosen.append((first_preferred + value % 4) % experts)
        else:
            chosen.append(random_bytes[4 + number] % experts)
    return chosen


def _pseudo_random_bytes(digest: bytes, index: int) -> bytes:
    return hashlib.blake2b(
        digest + index.to_bytes(8, "big"), digest_size=8
    ).digest()
