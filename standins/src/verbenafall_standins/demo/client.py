"""Sends the requests of the demonstration run and checks the answers."""

import enum
import http.client
import itertools
import json
import time
from typing import Any
from typing import Final
from typing import NamedTuple

from verbenafall_core import addresses
from verbenafall_standins.demo import workload

DEADLINE_MS: Final = 20_000
SOCKET_LIMIT_SECONDS: Final = 25.0


class Verdict(enum.StrEnum):
    """Result of a request from the client's view.

    COMPLETE: The complete answer to this request.
    PARTIAL: An incomplete answer that ended without an error.
    FOREIGN: An answer that is not the one to this request.
    NOT_RUN, UNKNOWN, RAN: An error with that outcome.
    BROKEN: No answer, or one that ended early or is malformed.
    """

    COMPLETE = "whole"
    PARTIAL = "partial"
    FOREIGN = "foreign"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"
    BROKEN = "broken"


class Report(NamedTuple):
    """Result of one request.

    Attributes:
        detail: The answer, or the error.
        first_token: Seconds to the first token of a stream, None without one.
        gaps: Seconds between consecutive tokens of a stream.
    """

    verdict: Verdict
    detail: str
    first_token: float | None
    gaps: tuple[float, ...]


def send_request(
    address: addresses.Address, request: workload.Request
) -> Report:
    """Send a request to a gateway and check its answer."""
    connection = http.client.HTTPConnection(
        *address, timeout=SOCKET_LIMIT_SECONDS
    )
    try:
        match request:
            case workload.ChatRequest():
                return send_chat(connection, request)
            case workload.RecordsRequest():
                return send_records(connection, request)
    except (OSError, http.client.HTTPException, ValueError) as error:
        return Report(Verdict.BROKEN, repr(error), None, ())
    finally:
        connection.close()


def common_headers(caller: workload.Caller) -> dict[str, str]:
    """Return the headers that all requests have."""
    return {
        "Authorization": f"Bearer {caller.credential}",
        "X-Deadline-Ms": str(DEADLINE_MS),
        "Content-Type": "application/json",
    }


def send_chat(
    connection: http.client.HTTPConnection, request: workload.ChatRequest
) -> Report:
    """Send a chat request and check its answer, a stream or not."""
    body = {
        "model": request.caller.model_service,
        "messages": [{"role": "user", "content": request.prompt}],
        "max_tokens": request.token_count,
        "stream": request.stream,
    }
    started_at = time.monotonic()
    connection.request(
        "POST",
        "/v1/chat/completions",
        json.dumps(body),
        common_headers(request.caller),
    )
    response = connection.getresponse()
    if response.status != 200:
        return parse_error(response.read())
    if request.stream:
        return read_stream(response, request.expected, started_at)
    answer = json.loads(response.read())
    text = answer["choices"][0]["message"]["content"]
    return Report(compare_text(text, request.expected), text, None, ())


def read_stream(
    response: http.client.HTTPResponse, expected: str, started_at: float
) -> Report:
    """Read an event stream to its end; BROKEN if it ends without [DONE]."""
    texts: list[str] = []
    times: list[float] = []
    done = False
    for line in response:
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: ") :].strip()
        if data == b"[DONE]":
            done = True
            break
        event = json.loads(data)
        if "error" in event:
            return parse_error(data)
        content = event["choices"][0]["delta"].get("content")
        if content:
            texts.append(content)
            times.append(time.monotonic())
    text = "".join(texts)
    verdict = compare_text(text, expected) if done else Verdict.BROKEN
    first_token = times[0] - started_at if times else None
    gaps = tuple(b - a for a, b in itertools.pairwise(times))
    return Report(verdict, text, first_token, gaps)


def send_records(
    connection: http.client.HTTPConnection, request: workload.RecordsRequest
) -> Report:
    """Send a request to a records service and check its answer."""
    headers = common_headers(request.caller)
    body = ""
    if request.key:
        headers["Idempotency-Key"] = request.key
        body = json.dumps({"item": request.marker})
    path = f"/services/{request.caller.records_service}{request.path}"
    connection.request(request.method, path, body, headers)
    response = connection.getresponse()
    data = response.read()
    if response.status != 200:
        return parse_error(data)
    answer = json.loads(data)
    matches = request.marker in (answer["path"] + answer["body"])
    verdict = Verdict.COMPLETE if matches else Verdict.FOREIGN
    return Report(verdict, data.decode(), None, ())


def compare_text(text: str, expected: str) -> Verdict:
    """Compare an answer with the expected text; a prefix is PARTIAL."""
    if text == expected:
        return Verdict.COMPLETE
    return Verdict.PARTIAL if expected.startswith(text) else Verdict.FOREIGN


def parse_error(data: bytes) -> Report:
    """Return the report for an error, with the outcome that it states."""
    error: dict[str, Any] = json.loads(data)["error"]
    detail = f"{error.get('code')}: {error.get('message')}"
    return Report(Verdict(error["outcome"]), detail, None, ())
