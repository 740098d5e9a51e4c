"""Responses to chat requests in the chat completions format."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
from typing import Any
from typing import Final
from typing import NamedTuple

import msgspec
from werkzeug import wrappers

from verbenafall_core import outcomes
from verbenafall_gateway.client_http import answers
from verbenafall_gateway.client_http import chat_clients
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import flow_events
from verbenafall_gateway.delivery import request_flow

EVENT_STREAM_TYPE: Final = "text/event-stream"
DONE_EVENT: Final = b"data: [DONE]\n\n"
EMPTY_TEXT: Final = b'""'
HTTP_OK: Final = 200
CLIENT_CLOSED: Final = outcomes.Refusal(
    outcomes.Outcome.RAN,
    outcomes.Reason.CANCELLED,
    "the client closed its connection before the answer was complete",
    request_flow.DEFAULT_RETRY_AFTER,
)


class ChatAnswer(NamedTuple):
    """Fields that all parts of a chat answer share.

    Attributes:
        include_usage: Whether a stream ends with an event with token counts.
    """

    request_id: str
    model: str
    created: datetime.datetime
    include_usage: bool = False


def non_streaming_response(
    answer: ChatAnswer,
    flow: flow_events.Flow,
    client: chat_clients.NonStreamingClient,
) -> wrappers.Response:
    """Wait for the complete answer and return it as one response.

    Nothing is sent before the answer is complete, so a closed connection is
    noticed only by checks: here at the first token, and periodically by the
    flow. Closing the flow then cancels the attempt at the engine.
    """
    parts = client.parts
    for event in flow:
        if isinstance(event, flow_events.Delta):
            client.try_write(event.data)
            if client.is_disconnected():
                return cancel_for_disconnected_client(
                    answer, flow, CLIENT_CLOSED
                )
        elif isinstance(event, flow_events.ClientDisconnected):
            return cancel_for_disconnected_client(
                answer, flow, disconnect_refusal(bool(parts))
            )
        elif isinstance(event, outcomes.Refusal):
            return answers.refusal_response(event, answer.request_id)
        elif isinstance(event, attempt_events.Complete):
            if event.status != HTTP_OK:
                return answers.refusal_response(
                    endpoint_refusal(event, "".join(parts)), answer.request_id
                )
            body = completion_body(answer, "".join(parts), event)
            return answers.json_response(body, HTTP_OK, answer.request_id)
    raise RuntimeError("the request's flow ended without a final event")


def stream_response(
    answer: ChatAnswer, flow: flow_events.Flow
) -> wrappers.Response:
    """Return the response with an event stream.

    The status is sent only after the first event of the flow, so that a request
    refused before its first token gets an error status.
    """
    first = next(flow)
    if isinstance(first, flow_events.ClientDisconnected):
        return cancel_for_disconnected_client(
            answer, flow, disconnect_refusal(answered=False)
        )
    if isinstance(first, outcomes.Refusal):
        return answers.refusal_response(first, answer.request_id)
    if isinstance(first, attempt_events.Complete) and first.status != HTTP_OK:
        return answers.refusal_response(
            endpoint_refusal(first), answer.request_id
        )
    response = wrappers.Response(
        stream_events(answer, first, flow), content_type=EVENT_STREAM_TYPE
    )
    response.headers[answers.REQUEST_ID_HEADER] = answer.request_id
    response.headers["Cache-Control"] = "no-cache"
    return response


def cancel_for_disconnected_client(
    answer: ChatAnswer, flow: flow_events.Flow, refusal: outcomes.Refusal
) -> wrappers.Response:
    """Cancel the attempt; return a response for the log and the metrics."""
    flow.close()
    return answers.refusal_response(refusal, answer.request_id)


def disconnect_refusal(answered: bool) -> outcomes.Refusal:
    """Return the refusal for a disconnected client.

    Args:
        answered: Whether a token was received, which shows that the engine ran.
    """
    if answered:
        return CLIENT_CLOSED
    return CLIENT_CLOSED._replace(outcome=outcomes.Outcome.UNKNOWN)


def stream_events(
    answer: ChatAnswer,
    first: flow_events.FlowEvent,
    flow: flow_events.Flow,
) -> Iterator[bytes]:
    """Yield the events of a stream; [DONE] follows only a complete answer."""
    yield encode_event(chunk_body(answer, {"role": "assistant"}, None))
    encode = token_encoder(answer)
    event: flow_events.FlowEvent | None = first
    while event is not None:
        if isinstance(event, flow_events.Delta):
            yield encode(event.data)
        elif isinstance(event, outcomes.Refusal):
            yield encode_event(answers.refusal_body(event))
        elif isinstance(event, attempt_events.Complete):
            yield from final_events(answer, event)
        event = next(flow, None)


def final_events(
    answer: ChatAnswer, complete: attempt_events.Complete
) -> Iterator[bytes]:
    """Yield the last events: an error, or finish reason, usage and [DONE]."""
    if complete.status != HTTP_OK:
        yield encode_event(answers.refusal_body(endpoint_refusal(complete)))
        return
    reason = complete.finish_reason or "stop"
    yield encode_event(chunk_body(answer, {}, reason))
    if answer.include_usage and complete.usage is not None:
        last = chunk_body(answer, {}, None) | {"choices": []}
        yield encode_event(last | {"usage": usage_body(complete.usage)})
    yield DONE_EVENT


def endpoint_refusal(
    complete: attempt_events.Complete, detail: str = ""
) -> outcomes.Refusal:
    """Return the refusal for an error status of an engine.

    A status from 400 to 499 is reported as an error in the client's request.
    """
    reason = outcomes.Reason.ENDPOINT_REFUSED
    if 400 <= complete.status < 500:
        reason = outcomes.Reason.BAD_REQUEST
    message = f"the engine answered with status {complete.status}"
    return outcomes.Refusal(
        outcomes.Outcome.RAN,
        reason,
        f"{message}: {detail}" if detail else message,
        request_flow.DEFAULT_RETRY_AFTER,
    )


def token_encoder(answer: ChatAnswer) -> Callable[[bytes], bytes]:
    """Return a function that encodes a token as an event of the stream.

    The events differ only in their text, so the rest is encoded once.
    """
    template = encode_event(chunk_body(answer, {"content": ""}, None))
    prefix, _, suffix = template.rpartition(EMPTY_TEXT)

    def encode(data: bytes) -> bytes:
        text = msgspec.json.encode(decode_token(data))
        return b"%b%b%b" % (prefix, text, suffix)

    return encode


def decode_token(data: bytes) -> str:
    """Decode a token; invalid UTF-8 is replaced."""
    return data.decode("utf-8", "replace")


def encode_event(body: dict[str, Any]) -> bytes:
    """Encode a body as a server-sent event."""
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def chunk_body(
    answer: ChatAnswer, delta: dict[str, str], finish_reason: str | None
) -> dict[str, Any]:
    """Return the body of one event in a stream."""
    return {
        "id": answer.request_id,
        "object": "chat.completion.chunk",
        "created": int(answer.created.timestamp()),
        "model": answer.model,
        "choices": [
            {"index": 0, "delta": delta, "finish_reason": finish_reason}
        ],
    }


def usage_body(usage: attempt_events.Usage) -> dict[str, int]:
    """Return the token counts in the chat completions format."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    }


def completion_body(
    answer: ChatAnswer, text: str, complete: attempt_events.Complete
) -> dict[str, Any]:
    """Return the body of an answer that is not streamed."""
    body: dict[str, Any] = {
        "id": answer.request_id,
        "object": "chat.completion",
        "created": int(answer.created.timestamp()),
        "model": answer.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": complete.finish_reason or "stop",
            }
        ],
    }
    if complete.usage is not None:
        body["usage"] = usage_body(complete.usage)
    return body
