"""HTTP interface of one engine of a rank group."""

from collections.abc import Iterator
import datetime
import json
import queue
from typing import Any
from typing import Final
import uuid

import werkzeug.exceptions

from verbenafall_core import addresses
from verbenafall_standins import http_serving
from verbenafall_standins.engines import group as group_lib
from verbenafall_standins.engines import ranks as ranks_lib
from verbenafall_standins.engines import runs as runs_lib
from verbenafall_standins.engines import tokens
from verbenafall_standins.engines import weights as weights_lib

DEFAULT_TOKENS: Final = 32
MAX_TOKENS: Final = 8192
# Threads beyond those for open runs, for cancels, orders and state requests.
SPARE_THREADS: Final = 16
EVENT_WAIT_SECONDS: Final = 1.0


class EngineApp:
    """Handles the requests to one engine.

    Attributes:
        leaving: Whether all answers say that the engine leaves.
        paused_until: Until when it turns requests away.
    """

    def __init__(self, group: group_lib.Group, number: int) -> None:
        """Create the application of one engine, given by its number."""
        self.group = group
        self.number = number
        self.max_open_runs = max_open_runs(group.options)
        self.leaving = False
        self.paused_until = group.clock.monotonic()

    @property
    def engine(self) -> group_lib.Engine:
        """Return the current engine; a restart replaces it."""
        return self.group.engines[self.number]

    def handle(self, request: http_serving.Request) -> http_serving.Response:
        """Answer a request; the answer says whether the engine leaves."""
        response = self.route(request)
        if self.leaving:
            response.headers["X-Leaving"] = "1"
        return response

    def route(self, request: http_serving.Request) -> http_serving.Response:
        """Route a request by method and path."""
        if request.path.startswith("/v1/kv/"):
            return self.handle_kv(request)
        match request.method, request.path:
            case "POST", "/v1/chat/completions":
                return self.chat(request)
            case "POST", "/v1/cancel":
                return self.cancel(http_serving.read_json(request))
            case "POST", "/v1/orders":
                return self.order(http_serving.read_json(request))
            case "POST", "/-/faults":
                return self.set_fault(http_serving.read_json(request))
            case "GET", path:
                return self.handle_get(path, request)
        raise werkzeug.exceptions.NotFound

    def handle_get(
        self, path: str, request: http_serving.Request
    ) -> http_serving.Response:
        """Return the state, load, cache events, runs or steps."""
        match path:
            case "/v1/state":
                return http_serving.json_response(self.state())
            case "/v1/load":
                return http_serving.json_response(self.load())
            case "/v1/cache-events":
                after = request.args.get("after", 0, int)
                return http_serving.json_response(self.cache_events(after))
            case "/-/runs":
                return http_serving.json_response(self.run_list())
            case "/-/steps":
                with self.group.changed:
                    steps = {
                        "steps": self.group.step,
                        "mixed": self.group.mixed,
                    }
                return http_serving.json_response(steps)
        raise werkzeug.exceptions.NotFound

    def chat(self, request: http_serving.Request) -> http_serving.Response:
        """Run a chat completion; status 503 if too many runs are open."""
        pause = self.paused_until - self.group.clock.monotonic()
        if pause > datetime.timedelta():
            response = http_serving.json_response({"error": "paused"}, 503)
            response.headers["Retry-After"] = f"{pause.total_seconds():.3f}"
            return response
        body = http_serving.read_json(request)
        run = create_run(request.headers.get("X-Request-Id", ""), body)
        with self.group.changed:
            engine = self.engine
            if len(engine.runs.open_runs()) >= self.max_open_runs:
                raise werkzeug.exceptions.ServiceUnavailable("queue is full")
            engine.runs.submit(run)
            if run.index >= run.last:
                run.end("length")
        formatter = CompletionFormatter(
            run, body, int(self.group.clock.now().timestamp())
        )
        if body.get("stream"):
            return http_serving.Response(
                self.stream(request, formatter),
                content_type="text/event-stream",
            )
        return self.complete_response(request, formatter)

    def events(
        self, request: http_serving.Request, run: runs_lib.Run
    ) -> Iterator[runs_lib.RunEvent]:
        """Yield the events of a run up to its end.

        If the server stops first, the last event says that the run broke.
        """
        while not http_serving.is_stopping(request):
            try:
                run_event = run.events.get(timeout=EVENT_WAIT_SECONDS)
            except queue.Empty:
                continue
            yield run_event
            if run_event.finish_reason or run_event.broken:
                return
        yield runs_lib.RunEvent(run.index, "", "", True)

    def stream(
        self, request: http_serving.Request, formatter: "CompletionFormatter"
    ) -> Iterator[bytes]:
        """Yield the event stream; a broken run breaks the connection."""
        try:
            for run_event in self.events(request, formatter.run):
                if run_event.broken:
                    http_serving.break_connection(request)
                    return
                yield formatter.event(run_event)
            if formatter.include_usage:
                yield formatter.usage_event()
            yield b"data: [DONE]\n\n"
        finally:
            # The client may have closed the stream early.
            with self.group.changed:
                formatter.run.end("abandoned")

    def complete_response(
        self, request: http_serving.Request, formatter: "CompletionFormatter"
    ) -> http_serving.Response:
        """Wait for the end of a run and return its complete answer."""
        texts = []
        for run_event in self.events(request, formatter.run):
            if run_event.broken:
                return http_serving.break_connection(request)
            texts.append(run_event.text)
        return http_serving.json_response(
            formatter.completion("".join(texts), run_event)
        )

    def cancel(self, body: dict[str, Any]) -> http_serving.Response:
        """Cancel a run; report whether it was open and its token count."""
        with self.group.changed:
            run = self.engine.runs.runs_by_id.get(str(body.get("request_id")))
            cancelled = run is not None and not run.ended
            if run is not None:
                run.end("cancelled")
            produced = run.produced if run is not None else 0
        return http_serving.json_response(
            {"cancelled": cancelled, "tokens": produced}
        )

    def order(self, body: dict[str, Any]) -> http_serving.Response:
        """Handle an order; status 409 if refused, 503 if weights are busy."""
        order = decode_order(body, self.group.options)
        refusal = self.group.handle_order(self.engine, order)
        match refusal:
            case ranks_lib.OrderRefusal():
                return http_serving.json_response(refusal._asdict(), 409)
            case weights_lib.WeightsBusy():
                busy = {"error": "weights_busy"} | refusal._asdict()
                return http_serving.json_response(busy, 503)
        return http_serving.json_response(self.state())

    def state(self) -> dict[str, Any]:
        """Return the state of the ranks, their map and orders, and the load."""
        with self.group.changed:
            ranks = self.engine.ranks
            return {
                "group": self.group.options.group,
                "ranks": list(ranks.ranks),
                "map_version": ranks.map_version,
                "prepared": sorted(ranks.placements),
                "armed": ranks.armed and ranks.armed._asdict(),
                "step": self.group.step,
                "epoch": ranks.epoch,
                "in_flight": len(self.engine.runs.open_runs()),
                "slots": self.group.options.slots,
                "rank_step_ms": [
                    round(mean, 3) for mean in self.engine.times.mean_ms
                ],
                "expert_load": list(self.engine.expert_load),
            }

    def load(self) -> dict[str, Any]:
        """Return the delayed load report; all zero before the first load."""
        load = self.group.reported_load(self.engine)
        if load is None:
            now = self.group.clock.monotonic()
            experts = (0,) * self.group.options.experts
            load = group_lib.Load(now, 0, 0, 0, experts)
        report = load._asdict()
        return {"as_of_ms": int(report.pop("at") / group_lib.MS)} | report

    def cache_events(self, after: int) -> list[dict[str, Any]]:
        """Return the delayed cache events after a number, with gaps."""
        return [
            {
                "sequence": event.sequence,
                "kind": event.kind,
                "prefix": event.prefix,
            }
            for event in self.group.reported_events(self.engine, after)
        ]

    def run_list(self) -> list[dict[str, Any]]:
        """Return the recent runs in order of arrival."""
        with self.group.changed:
            return [
                {
                    "request_id": run.request_id,
                    "tokens": run.produced,
                    "ended": run.ended,
                    "finished": run.finished,
                }
                for run in self.engine.runs.history
            ]

    def handle_kv(self, request: http_serving.Request) -> http_serving.Response:
        """Import a KV cache with PUT, else export that of a run."""
        request_id = request.path.removeprefix("/v1/kv/")
        if request.method == "PUT":
            cached = http_serving.read_json(request)
            with self.group.changed:
                now = self.group.clock.monotonic()
                self.engine.runs.cache.load_prompt(
                    str(cached.get("prompt")), now
                )
            return http_serving.Response(status=204)
        with self.group.changed:
            run = self.engine.runs.runs_by_id.get(request_id)
            if run is None:
                raise werkzeug.exceptions.NotFound
            exported = {"prompt": run.prompt, "tokens": run.index}
        return http_serving.Response(
            json.dumps(exported), content_type="application/octet-stream"
        )

    def set_fault(self, body: dict[str, Any]) -> http_serving.Response:
        """Set a fault of this engine; mode "up" ends stalls and delays.

        In mode "leave" its answers say so; in mode "pause" it turns requests
        away for `pause_ms`. A restart ends both.
        """
        engine, delay_ms = self.engine, float(body.get("delay_ms", 0))
        if body.get("mode") in ("leave", "pause", "restart"):
            self.set_statements(
                body["mode"] == "leave", float(body.get("pause_ms", 0))
            )
            if body["mode"] == "restart":
                self.group.restart(self.number)
            return http_serving.json_response(body)
        with self.group.changed:
            match body.get("mode"):
                case "up":
                    engine.stalled.clear()
                    engine.delays_ms = dict.fromkeys(engine.delays_ms, 0.0)
                case "stall":
                    self.stall(int(body.get("rank", -1)), delay_ms)
                case "slow":
                    engine.delays_ms = dict.fromkeys(engine.delays_ms, delay_ms)
                case "break_streams":
                    for run in engine.runs.open_runs():
                        run.end("", broken=True)
                case mode:
                    raise werkzeug.exceptions.BadRequest(f"no mode {mode!r}")
            self.group.changed.notify_all()
        return http_serving.json_response(body)

    def set_statements(self, leaving: bool, pause_ms: float) -> None:
        """Set what the answers say of the engine."""
        self.leaving = leaving
        self.paused_until = self.group.clock.monotonic() + datetime.timedelta(
            milliseconds=pause_ms
        )

    def stall(self, rank: int, delay_ms: float) -> None:
        """Delay each step of a rank, or stop the rank if the delay is 0."""
        if rank not in self.engine.delays_ms:
            raise werkzeug.exceptions.BadRequest(f"no rank {rank} here")
        if delay_ms:
            self.engine.delays_ms[rank] = delay_ms
        else:
            self.engine.stalled.add(rank)


class CompletionFormatter:
    """Formats the answer of a run as in the chat completions API."""

    def __init__(
        self, run: runs_lib.Run, body: dict[str, Any], created: int
    ) -> None:
        """Create a formatter for the answer to a request body."""
        self.run = run
        self.common = {
            "id": f"chatcmpl-{run.request_id}",
            "created": created,
            "model": str(body.get("model", "")),
        }
        options = body.get("stream_options") or {}
        self.include_usage = bool(options.get("include_usage"))

    def event(self, run_event: runs_lib.RunEvent) -> bytes:
        """Return a run event as an event of the stream."""
        choice = {
            "index": 0,
            "delta": {"content": run_event.text} if run_event.text else {},
            "finish_reason": run_event.finish_reason or None,
        }
        event = self.common | {
            "object": "chat.completion.chunk",
            "choices": [choice],
        }
        if run_event.text:
            event["token_index"] = run_event.token_index
        return f"data: {json.dumps(event)}\n\n".encode()

    def usage_event(self) -> bytes:
        """Return the event with the token counts, which has no choices."""
        event = self.common | {
            "object": "chat.completion.chunk",
            "choices": [],
            "usage": self.usage(),
        }
        return f"data: {json.dumps(event)}\n\n".encode()

    def usage(self) -> dict[str, int]:
        """Return the token counts; each word of the prompt is a token."""
        prompt_tokens = len(self.run.prompt.split())
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.run.produced,
            "total_tokens": prompt_tokens + self.run.produced,
        }

    def completion(self, text: str, last: runs_lib.RunEvent) -> dict[str, Any]:
        """Return the complete answer, in the form without a stream."""
        return self.common | {
            "object": "chat.completion",
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": last.finish_reason,
                }
            ],
            "usage": self.usage(),
        }


def create_run(request_id: str, body: dict[str, Any]) -> runs_lib.Run:
    """Create the run of a chat request.

    Raises:
        werkzeug.exceptions.BadRequest: The request is malformed, or its
            resume text is not the start of the answer up to its index.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise werkzeug.exceptions.BadRequest("messages is no list")
    token_limit = body.get("max_completion_tokens") or body.get("max_tokens")
    resume = body.get("resume") or {}
    try:
        last = int(token_limit or DEFAULT_TOKENS)
        index = int(resume.get("index", 0))
        priority = int(body.get("priority", 0))
        prompt = tokens.prompt_text(messages)
    except (AttributeError, TypeError, ValueError) as error:
        raise werkzeug.exceptions.BadRequest(repr(error)) from error
    if not 0 < last <= MAX_TOKENS or not 0 <= index <= MAX_TOKENS:
        raise werkzeug.exceptions.BadRequest(
            f"token numbers are 1 to {MAX_TOKENS}"
        )
    run = runs_lib.Run(
        request_id or uuid.uuid4().hex, priority, prompt, index, last
    )
    if resume.get("text", "") != tokens.answer_text(run.digest, run.index):
        raise werkzeug.exceptions.BadRequest("resume text does not match")
    return run


def decode_order(
    body: dict[str, Any], options: group_lib.GroupOptions
) -> ranks_lib.Order:
    """Decode an order and check its placement.

    Raises:
        werkzeug.exceptions.BadRequest: The order is malformed.
    """
    try:
        order = ranks_lib.Order(
            int(body["epoch"]),
            ranks_lib.OrderKind(body["kind"]),
            int(body["map_version"]),
            tuple(body.get("placement") or ()),
            int(body.get("step") or 0),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise werkzeug.exceptions.BadRequest(repr(error)) from error
    if order.kind is ranks_lib.OrderKind.PREPARE:
        ranks = range(options.engines * options.ranks_per_engine)
        valid = all(rank in ranks for rank in order.placement)
        if len(order.placement) != options.experts or not valid:
            raise werkzeug.exceptions.BadRequest("placement does not fit")
    return order


def max_open_runs(options: group_lib.GroupOptions) -> int:
    """Return the number of open runs above which new ones are refused."""
    return 2 * options.slots


def create_engine_server(
    group: group_lib.Group,
    number: int,
    address: addresses.Address = addresses.Address("127.0.0.1", 0),  # noqa: B008
) -> http_serving.HttpStandin:
    """Bind the server of one engine, with SPARE_THREADS extra threads."""
    threads = max_open_runs(group.options) + SPARE_THREADS
    app = EngineApp(group, number)
    return http_serving.create_standin(app.handle, address, threads)
