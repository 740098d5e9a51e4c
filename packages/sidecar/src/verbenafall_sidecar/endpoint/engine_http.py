"""Adapter for model engines over HTTP; responses are event streams."""

from collections.abc import Iterator
import datetime
import json
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypedDict

import msgspec
import returns.pipeline
import returns.result
import sseclient

from verbenafall_core import http_client
from verbenafall_core import json_documents
from verbenafall_core import messages
from verbenafall_sidecar.delivery import transfers
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import engine_port
from verbenafall_sidecar.endpoint import http_forwarding
from verbenafall_sidecar.endpoint import http_probe

MAX_EVENT_BYTES: Final = 1024 * 1024
CANCEL_TIMEOUT: Final = datetime.timedelta(seconds=2)
STREAM_END: Final = "[DONE]"
STATUS_OK: Final = 200
EVENT_SEPARATORS: Final = (b"\n\n", b"\r\n\r\n")


class Delta(TypedDict, total=False):
    """Text added to the message by one event."""

    content: str | None


class Choice(TypedDict, total=False):
    """One choice (alternative completion) in a stream event."""

    delta: Delta
    finish_reason: str | None


class UsageFields(TypedDict, total=False):
    """Token counts of a request."""

    prompt_tokens: int | None


class ChatEvent(TypedDict, total=False):
    """The fields of a stream event that the sidecar reads."""

    choices: list[Choice]
    token_index: int
    usage: UsageFields | None


class Token(NamedTuple):
    """Text of one token, with its index in the completion."""

    token_index: int
    text: str


class Finish(NamedTuple):
    """Reason why the model stopped."""

    reason: str


class Usage(NamedTuple):
    """Number of prompt tokens, as counted by the engine."""

    prompt_tokens: int


class StreamEnd(NamedTuple):
    """Marker that the engine has sent the entire stream."""


class MalformedEvent(NamedTuple):
    """An event that could not be decoded."""

    message: str


StreamItem = Token | Finish | Usage | StreamEnd | MalformedEvent


class CompleteEvents(Iterator[bytes]):
    """Source of an SSEClient that yields what has arrived so far.

    It stops when there is no data and can be iterated again afterwards.

    Attributes:
        data: Bytes of complete events that have not been read.
    """

    data = b""

    def __next__(self) -> bytes:
        """Return the bytes that have not been read."""
        if not self.data:
            raise StopIteration
        data, self.data = self.data, b""
        return data


class EventSplitter:
    """Splits a body into server-sent events as it arrives.

    Attributes:
        buffer: Bytes of the event that is not complete yet.
        searched: Length of the part of `buffer` that was searched for its end.
    """

    def __init__(self) -> None:
        """Create a splitter for one body."""
        self.buffer = bytearray()
        self.searched = 0
        self.complete_events = CompleteEvents()
        # One client for the entire body; events() reads its source again on
        # each call.
        self.client = sseclient.SSEClient(self.complete_events)

    def feed(self, data: bytes) -> list[str]:
        """Add data and return the data fields of the completed events.

        Raises:
            ValueError: An event is too long or is not UTF-8.
        """
        self.buffer += data
        # A separator may be split between two pieces.
        start = max(0, self.searched - max(map(len, EVENT_SEPARATORS)) + 1)
        end = max(
            find_last_end(self.buffer, separator, start)
            for separator in EVENT_SEPARATORS
        )
        self.complete_events.data = bytes(self.buffer[:end])
        del self.buffer[:end]
        self.searched = len(self.buffer)
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return [event.data for event in self.client.events()]


def find_last_end(data: bytearray, separator: bytes, start: int) -> int:
    """Return the index after the last separator, or 0 if there is none.

    Args:
        data: Bytes to search.
        separator: What ends an event.
        start: Position from which on to search.
    """
    position = data.rfind(separator, start)
    return position + len(separator) if position >= 0 else 0


def parse_event(data: str) -> StreamItem | None:
    """Parse an event; return None if it has nothing that the sidecar uses."""
    if data == STREAM_END:
        return StreamEnd()
    try:
        event = json_documents.decode(data, ChatEvent)
    except json_documents.JsonError as error:
        return MalformedEvent(f"malformed event: {error}")
    choices = event.get("choices") or []
    if not choices:
        return read_usage(event.get("usage") or {})
    reason = choices[0].get("finish_reason")
    if reason:
        return Finish(reason)
    if "token_index" not in event:
        return None
    text = choices[0].get("delta", {}).get("content") or ""
    return Token(event["token_index"], text)


def read_usage(fields: UsageFields) -> Usage | None:
    """Return the number of prompt tokens if it is reported and positive."""
    count = fields.get("prompt_tokens") or 0
    return Usage(count) if count > 0 else None


class ChatSink:
    """Converts an event stream to chunks, one for each token."""

    def __init__(self, sink: endpoint_port.CallSink, first_index: int) -> None:
        """Create a sink; first_index is the index of the first token."""
        self.sink = sink
        self.next_index = first_index
        self.splitter = EventSplitter()
        self.error_body = b""
        self.finish_reason = ""
        self.prompt_tokens = 0
        self.done_received = False
        self.stream_error = ""

    def on_data(self, status: int, data: bytes) -> bool:
        """Receive a part of the body: events, or an error body."""
        if status != STATUS_OK:
            self.error_body += data
            return len(self.error_body) <= MAX_EVENT_BYTES
        try:
            events = self.splitter.feed(data)
        except ValueError as error:
            self.stream_error = str(error)
            return False
        for event in events:
            self.handle_item(parse_event(event))
        return not self.stream_error

    def handle_item(self, item: StreamItem | None) -> None:
        """Update the state, and pass tokens on if they are in order."""
        if item is None or self.stream_error:
            return
        if isinstance(item, MalformedEvent):
            self.stream_error = item.message
        elif isinstance(item, StreamEnd):
            self.done_received = True
        elif isinstance(item, Finish):
            self.finish_reason = item.reason
        elif isinstance(item, Usage):
            self.prompt_tokens = item.prompt_tokens
        elif item.token_index != self.next_index or self.finish_reason:
            self.stream_error = (
                f"token {item.token_index} follows {self.next_index - 1}"
            )
        else:
            self.next_index += 1
            self.sink.on_chunk(item.text.encode())

    def on_done(self, result: transfers.TransferResult) -> None:
        """Report the response, or the first error."""
        if self.stream_error:
            self.report_failure(True, self.stream_error)
        elif not returns.pipeline.is_successful(result):
            failure = result.failure()
            self.report_failure(failure.sent, failure.message)
        else:
            self.handle_response(result.unwrap())

    def handle_response(self, head: transfers.ResponseHead) -> None:
        """Report a response that libcurl considers complete."""
        headers = http_forwarding.response_headers(head.headers)
        if head.status != STATUS_OK:
            response = endpoint_port.CallResponse(
                head.status, headers, self.error_body, ""
            )
            self.sink.on_response(response)
        elif not self.done_received or not self.finish_reason:
            # Without a Content-Length, libcurl cannot tell a complete body
            # from one that ends because the engine crashed.
            self.report_failure(
                True, "the stream ended before its finish reason or [DONE]"
            )
        else:
            response = endpoint_port.CallResponse(
                head.status,
                headers,
                b"",
                self.finish_reason,
                self.prompt_tokens,
            )
            self.sink.on_response(response)

    def report_failure(self, sent: bool, message: str) -> None:
        """Report that there is no complete response."""
        self.sink.on_failure(endpoint_port.CallFailure(sent, message))


class DiscardingSink:
    """Ignores the response."""

    def on_data(self, _status: int, _data: bytes) -> bool:
        """Ignore the data."""
        return True

    def on_done(self, _result: transfers.TransferResult) -> None:
        """Ignore the result."""


class ChatCall:
    """A running chat completion; cancel also notifies the engine."""

    def __init__(
        self, engine: "HttpEngine", transfer: transfers.Transfer, run_id: str
    ) -> None:
        """Create the handle of a transfer and the run behind it."""
        self.engine = engine
        self.transfer = transfer
        self.run_id = run_id

    def cancel(self) -> None:
        """Abort the transfer and cancel the run, to free the engine's slot."""
        self.transfer.cancel()
        self.engine.cancel_run(self.run_id)


class HttpEngine:
    """Client of the model engine at a URL."""

    def __init__(
        self,
        url: str,
        loop: transfers.TransferLoop,
        client: http_client.HttpClient,
    ) -> None:
        """Create the adapter; the loop must be running before calls."""
        self.url = url
        self.loop = loop
        self.client = client

    def start_call(
        self,
        dispatch: messages.Dispatch,
        limit: datetime.timedelta,
        sink: endpoint_port.CallSink,
    ) -> endpoint_port.Call:
        """Start a chat completion; the run id is the attempt id."""
        run_id = dispatch.attempt_id
        headers = http_forwarding.request_headers(dispatch, run_id)
        request = http_client.HttpRequest(
            "POST",
            self.url + dispatch.path,
            headers,
            build_chat_body(dispatch),
            limit,
            single_use_connection=not dispatch.idempotent,
        )
        chat_sink = ChatSink(sink, dispatch.resume_index)
        return ChatCall(
            self, self.loop.start_transfer(request, chat_sink), run_id
        )

    def cancel_run(self, run_id: str) -> None:
        """Ask the engine to cancel a run; does not wait for the response."""
        body = json.dumps({"request_id": run_id}).encode()
        request = self.json_request("POST", "/v1/cancel", body, CANCEL_TIMEOUT)
        self.loop.start_transfer(request, DiscardingSink())

    def read_load(self, limit: datetime.timedelta) -> engine_port.LoadResult:
        """Read the engine's load report; blocks."""
        result = self.client.call(
            self.json_request("GET", "/v1/load", b"", limit)
        )
        if not returns.pipeline.is_successful(result):
            return load_failure(result.failure().message)
        response = result.unwrap()
        if response.status != STATUS_OK:
            return load_failure(f"status {response.status}")
        try:
            fields = json_documents.decode(response.body, dict[str, Any])
            load = msgspec.convert(
                [fields.get(name) for name in engine_port.EngineLoad._fields],
                engine_port.EngineLoad,
            )
        except (json_documents.JsonError, msgspec.ValidationError) as error:
            return load_failure(f"malformed load report: {error}")
        return returns.result.Success(load)

    def json_request(
        self, method: str, path: str, body: bytes, timeout: datetime.timedelta
    ) -> http_client.HttpRequest:
        """Build a request with a JSON body."""
        headers = (("Content-Type", "application/json"),)
        return http_client.HttpRequest(
            method,
            self.url + path,
            headers,
            body,
            timeout,
            single_use_connection=False,
        )

    def probe(self) -> endpoint_port.CallFailure | None:
        """Check that the engine accepts connections."""
        return http_probe.check_connection(self.url)


def build_chat_body(dispatch: messages.Dispatch) -> bytes:
    """Build the body for the engine, which always asks for a stream.

    Raises:
        ValueError: The dispatch's body is not a JSON object.
    """
    body = json.loads(dispatch.body)
    if not isinstance(body, dict):
        raise ValueError("the body is not a JSON object")
    body["stream"] = True
    # The client's stream options apply to the stream from the gateway.
    body["stream_options"] = {"include_usage": True}
    body["priority"] = dispatch.priority
    if dispatch.resume_index:
        body["resume"] = {
            "index": dispatch.resume_index,
            "text": dispatch.resume_text,
        }
    return json.dumps(body).encode()


def load_failure(message: str) -> engine_port.LoadResult:
    """Build the result for a load report that could not be read."""
    return returns.result.Failure(engine_port.EngineFailure(message))


def create_http_engine(
    url: str,
    loop: transfers.TransferLoop,
    client: http_client.HttpClient,
) -> HttpEngine:
    """Create the adapter; the loop must be running before calls."""
    return HttpEngine(url, loop, client)
