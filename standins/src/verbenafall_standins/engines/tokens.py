"""Token text and expert choice, pure functions of prompt and index."""

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
    """Return the text that the model reads for a list of messages."""
    return "\n".join(
        f"{message.get('role', '')}: {message.get('content', '')}"
        for message in messages
    )


def prompt_digest(prompt: str) -> bytes:
    """Return the digest from which all tokens of a prompt follow."""
    return hashlib.sha256(prompt.encode()).digest()


def token_text(digest: bytes, index: int) -> str:
    """Return one token of the answer to a prompt."""
    drawn = _draw(digest, index)
    return f" {_WORDS[drawn[0] % len(_WORDS)]}{drawn[1]}"


def answer_text(digest: bytes, count: int) -> str:
    """Return the first tokens of the answer to a prompt."""
    return "".join(token_text(digest, index) for index in range(count))


def token_experts(digest: bytes, index: int, experts: int) -> list[int]:
    """Return the experts that a token is routed to.

    Three quarters of a prompt's tokens go to experts near one that the
    prompt determines, so that the load is uneven and drifts with the mix of
    prompts.
    """
    drawn = _draw(digest, index)
    home = digest[0] * experts // 256
    chosen = []
    for number in range(EXPERTS_PER_TOKEN):
        value = drawn[2 + number]
        if value < 192:
            chosen.append((home + value % 4) % experts)
        else:
            chosen.append(drawn[4 + number] % experts)
    return chosen


def _draw(digest: bytes, index: int) -> bytes:
    return hashlib.blake2b(
        digest + index.to_bytes(8, "big"), digest_size=8
    ).digest()
