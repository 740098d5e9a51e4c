"""Identifiers of requests and attempts."""

import uuid


def new_request_id() -> str:
    """Return a random, unique request id."""
    return f"req-{uuid.uuid4().hex}"


def attempt_id(request_id: str, number: int) -> str:
    """Return the id of a request's attempt; the first attempt is number 1."""
    return f"{request_id}.{number}"
