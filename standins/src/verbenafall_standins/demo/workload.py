"""Creates a seeded mix of requests with their expected answers."""

import random
from typing import Final
from typing import NamedTuple

from verbenafall_standins.engines import tokens

REPEATED_KEY_SHARE: Final = 0.3
STREAM_SHARE: Final = 0.8
MIN_TOKENS: Final = 8
MAX_TOKENS: Final = 48

_SUBJECTS: Final = {
    "asistente-llm": (
        "Draft a quote for a survey-grade GPS receiver",
        "Summarise the calibration of receiver",
        "Explain the rental contract of receiver",
    ),
    "drafter": (
        "Draft the consent letter for trip",
        "List the medical questions for trip",
        "Summarise the parents' replies for trip",
    ),
}


class Caller(NamedTuple):
    """A client: the credential of its team and the services it calls."""

    credential: str
    model_service: str
    records_service: str


class ChatRequest(NamedTuple):
    """A chat request with the expected text of its answer."""

    caller: Caller
    prompt: str
    token_count: int
    stream: bool
    expected: str


class RecordsRequest(NamedTuple):
    """A request to a records service.

    Attributes:
        key: Idempotency key, empty for a lookup.
        marker: Text that the answer to this request contains.
    """

    caller: Caller
    method: str
    path: str
    key: str
    marker: str


Request = ChatRequest | RecordsRequest


def create_requests(
    callers: list[Caller], count: int, seed: int
) -> list[Request]:
    """Return the requests of a run, determined by the seed.

    60% are chat requests, 20% lookups and 20% writes.
    """
    generator = random.Random(seed)
    requests: list[Request] = []
    writes: list[RecordsRequest] = []
    for number in range(count):
        caller = generator.choice(callers)
        kind = generator.random()
        if kind < 0.6:
            requests.append(create_chat(caller, number, generator))
        elif kind < 0.8:
            requests.append(create_lookup(caller, number))
        else:
            requests.append(create_write(caller, number, writes, generator))
    return requests


def create_chat(
    caller: Caller, number: int, generator: random.Random
) -> ChatRequest:
    """Return a chat request whose prompt contains its number."""
    subject = generator.choice(_SUBJECTS[caller.model_service])
    prompt = f"{subject} {number}"
    count = generator.randint(MIN_TOKENS, MAX_TOKENS)
    text = tokens.prompt_text([{"role": "user", "content": prompt}])
    expected = tokens.answer_text(tokens.prompt_digest(text), count)
    stream = generator.random() < STREAM_SHARE
    return ChatRequest(caller, prompt, count, stream, expected)


def create_lookup(caller: Caller, number: int) -> RecordsRequest:
    """Return a lookup without an idempotency key; it may run repeatedly."""
    path = f"/stock/{number}"
    return RecordsRequest(caller, "GET", path, "", path)


def create_write(
    caller: Caller,
    number: int,
    earlier: list[RecordsRequest],
    generator: random.Random,
) -> RecordsRequest:
    """Return a new write; a share of REPEATED_KEY_SHARE repeats an old one."""
    if earlier and generator.random() < REPEATED_KEY_SHARE:
        return generator.choice(earlier)
    is_desk = caller.records_service == "mostrador-app"
    path = "/reservations" if is_desk else "/consents"
    key = f"key-{number}"
    request = RecordsRequest(caller, "POST", path, key, f"item {number}")
    earlier.append(request)
    return request
