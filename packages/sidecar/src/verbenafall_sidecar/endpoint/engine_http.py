"""Model engine over HTTP."""

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
from verbenafall_core import messages
from verbenafall_sidecar.delivery import transfers
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import engine_port
from verbenafall_sidecar.endpoint import http_forwarding
from verbenafall_sidecar.endpoint import http_probe

MAX_EVENT_BYTES: Final = 1024 * 1024
CANCEL_LIMIT: Final = datetime.timedelta(seconds=2)
STREAM_END: Final = "[DONE]"
STATUS_OK: Final = 200
EVENT_MARKS: Final = (b"\n\n", b"\r\n\r\n")


class Delta(TypedDict, total=False):
    """New part of a message."""

    content: str | None


class Choice(TypedDict, total=False):
    """One choice of a stream event."""

    delta: Delta
    finish_reason: str | None


class UsageFields(TypedDict, total=False):
    """Token counts of an answer."""

    prompt_tokens: int | None


class ChatEvent(TypedDict, total=False):
    """The fields of a stream event that are used here."""

    choices: list[Choice]
    token_index: int
    usage: UsageFields | None


class Token(NamedTuple):
    """Text of one token, with its number in the answer."""

    number: int
    text: str


class Finish(NamedTuple):
    """Why the model stopped."""

    reason: str


class Usage(NamedTuple):
    """Tokens of the prompt, as the engine counts them."""

    prompt_tokens: int


class StreamEnd(NamedTuple):
    """The engine has sent everything."""


class Malformed(NamedTuple):
    """An event that is not in the expected form."""

    message: str


StreamItem = Token | Finish | Usage | StreamEnd | Malformed


class CompleteEvents(Iterator[bytes]):
    """Hands over the bytes of complete events, and ends until there are more.

    Attributes:
        data: Bytes to hand over next.
    """

    data = b""

    def __next__(self) -> bytes:
        """Return all bytes, once."""
        if not self.data:
            raise StopIteration
        data, self.data = self.data, b""
        return data


class EventSplitter:
    """Splits a body into server-sent events as it arrives."""

    def __init__(self) -> None:
        """Create a splitter at the start of a body."""
        self.buffer = b""
        self.complete = CompleteEvents()
        # One client for the whole body; it reads its source anew each time.
        self.client = sseclient.SSEClient(self.complete)

    def feed(self, data: bytes) -> list[str]:
        """Return the data of the events that are complete.

        Raises:
            ValueError: An event is too long or is not UTF-8.
        """
        self.buffer += data
        end = max(end_of_last(self.buffer, mark) for mark in EVENT_MARKS)
        self.complete.data = self.buffer[:end]
        self.buffer = self.buffer[end:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return [event.data for event in self.client.events()]


def end_of_last(data: bytes, mark: bytes) -> int:
    """Return the position behind the last mark, 0 when there is none."""
    position = data.rfind(mark)
    return position + len(mark) if position >= 0 else 0


def parse_event(data: str) -> StreamItem | None:
    """Return what an event says, or None when it says nothing of use."""
    if data == STREAM_END:
        return StreamEnd()
    try:
        event = msgspec.json.decode(data, type=ChatEvent)
    except (msgspec.DecodeError, UnicodeError) as error:
        return Malformed(f"bad event: {error}")
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
    """Return the count of the prompt's tokens, if there is a usable one."""
    count = fields.get("prompt_tokens") or 0
    return Usage(count) if count > 0 else None


class ChatSink:
    """Turns an event stream into chunks, one for each token."""

    def __init__(self, sink: endpoint_port.CallSink, first_index: int) -> None:
        """Create a sink that expects the token of first_index next."""
        self.sink = sink
        self.next_index = first_index
        self.splitter = EventSplitter()
        self.plain = b""
        self.finish_reason = ""
        self.prompt_tokens = 0
        self.ended = False
        self.problem = ""

    def on_data(self, status: int, data: bytes) -> bool:
        """Take a part of the body."""
        if status != STATUS_OK:
            self.plain += data
            return len(self.plain) <= MAX_EVENT_BYTES
        try:
            events = self.splitter.feed(data)
        except ValueError as error:
            self.problem = str(error)
            return False
        for event in events:
            self.take(parse_event(event))
        return not self.problem

    def take(self, item: StreamItem | None) -> None:
        """Handle one item of the stream."""
        if item is None or self.problem:
            return
        if isinstance(item, Malformed):
            self.problem = item.message
        elif isinstance(item, StreamEnd):
            self.ended = True
        elif isinstance(item, Finish):
            self.finish_reason = item.reason
        elif isinstance(item, Usage):
            self.prompt_tokens = item.prompt_tokens
        elif item.number != self.next_index or self.finish_reason:
            self.problem = f"token {item.number} follows {self.next_index - 1}"
        else:
            self.next_index += 1
            self.sink.on_chunk(item.text.encode())

    def on_done(self, result: transfers.TransferResult) -> None:
        """Hand over the end or the failure."""
        if self.problem:
            self.fail(True, self.problem)
        elif not returns.pipeline.is_successful(result):
            failure = result.failure()
            self.fail(failure.sent, failure.message)
        else:
            self.finish(result.unwrap())

    def finish(self, head: transfers.TransferHead) -> None:
        """Hand over an answer that libcurl took for complete."""
        headers = http_forwarding.response_headers(head.headers)
        if head.status != STATUS_OK:
            end = endpoint_port.CallEnd(head.status, headers, self.plain, "")
            self.sink.on_end(end)
        elif not self.ended or not self.finish_reason:
            # A body without a length also ends when the engine dies.
            self.fail(True, "the stream ended early")
        else:
            end = endpoint_port.CallEnd(
                head.status,
                headers,
                b"",
                self.finish_reason,
                self.prompt_tokens,
            )
            self.sink.on_end(end)

    def fail(self, sent: bool, message: str) -> None:
        """Hand over a failure."""
        self.sink.on_failure(endpoint_port.CallFailure(sent, message))


class IgnoredAnswer:
    """Discards an answer."""

    def on_data(self, _status: int, _data: bytes) -> bool:
        """Discard."""
        return True

    def on_done(self, _result: transfers.TransferResult) -> None:
        """Discard."""


class ChatCall:
    """A running chat; a cancel also tells the engine."""

    def __init__(
        self, engine: "HttpEngine", transfer: transfers.Transfer, run_id: str
    ) -> None:
        """Create a handle to a running chat."""
        self.engine = engine
        self.transfer = transfer
        self.run_id = run_id

    def cancel(self) -> None:
        """End the stream and free the engine's slot."""
        self.transfer.cancel()
        self.engine.cancel_run(self.run_id)


class HttpEngine:
    """A model engine at a URL."""

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

    def begin(
        self,
        dispatch: messages.Dispatch,
        limit: datetime.timedelta,
        sink: endpoint_port.CallSink,
    ) -> endpoint_port.Call:
        """Begin a chat; the run is named by the attempt id."""
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
        return ChatCall(self, self.loop.begin(request, chat_sink), run_id)

    def cancel_run(self, run_id: str) -> None:
        """Ask the engine to give up a run; does not wait for the answer."""
        body = json.dumps({"request_id": run_id}).encode()
        request = self.json_request("POST", "/v1/cancel", body, CANCEL_LIMIT)
        self.loop.begin(request, IgnoredAnswer())

    def read_load(self, limit: datetime.timedelta) -> engine_port.LoadResult:
        """Return the engine's load report; blocks."""
        result = self.client.call(
            self.json_request("GET", "/v1/load", b"", limit)
        )
        if not returns.pipeline.is_successful(result):
            return fail(result.failure().message)
        answer = result.unwrap()
        if answer.status != STATUS_OK:
            return fail(f"status {answer.status}")
        try:
            fields = msgspec.json.decode(answer.body, type=dict[str, Any])
            load = msgspec.convert(
                [fields.get(name) for name in engine_port.EngineLoad._fields],
                engine_port.EngineLoad,
            )
        except msgspec.DecodeError as error:
            return fail(f"bad load report: {error}")
        return returns.result.Success(load)

    def json_request(
        self, method: str, path: str, body: bytes, limit: datetime.timedelta
    ) -> http_client.HttpRequest:
        """Return a request with a JSON body."""
        headers = (("Content-Type", "application/json"),)
        return http_client.HttpRequest(
            method,
            self.url + path,
            headers,
            body,
            limit,
            single_use_connection=False,
        )

    def probe(self) -> endpoint_port.CallFailure | None:
        """Connect to the engine."""
        return http_probe.connect(self.url)


def build_chat_body(dispatch: messages.Dispatch) -> bytes:
    """Return the body for the engine, always as a stream.

    Raises:
        ValueError: The dispatch's body is no JSON object.
    """
    body = json.loads(dispatch.body)
    if not isinstance(body, dict):
        raise ValueError("the body is no JSON object")
    body["stream"] = True
    # The client's own options concern the gateway's stream.
    body["stream_options"] = {"include_usage": True}
    body["priority"] = dispatch.priority
    if dispatch.resume_index:
        body["resume"] = {
            "index": dispatch.resume_index,
            "text": dispatch.resume_text,
        }
    return json.dumps(body).encode()


def fail(message: str) -> engine_port.LoadResult:
    """Return a failed load report."""
    return returns.result.Failure(engine_port.EngineFailure(message))


def create_http_engine(
    url: str,
    loop: transfers.TransferLoop,
    client: http_client.HttpClient,
) -> HttpEngine:
    """Create the adapter; the loop must be running before calls."""
    return HttpEngine(url, loop, client)
