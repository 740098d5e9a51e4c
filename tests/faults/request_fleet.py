"""A simulated fleet whose links, endpoints and store can have faults.

RequestFlow, the HTTP application, Dispatcher and ClaimService are the real
implementations; links, endpoints and the store are fakes on simulated time.
"""

import datetime
import itertools
import json
from typing import NamedTuple

from werkzeug import test as werkzeug_test

from core import stepping
from faults import matrix
from faults import simulation
from gateway import gateway_fakes
from sidecar import helpers as sidecar_helpers
from verbenafall_core import addresses
from verbenafall_core import messages
from verbenafall_core import metrics
from verbenafall_core import outcomes
from verbenafall_core.claims import service as claim_service
from verbenafall_gateway.client_http import http_server
from verbenafall_gateway.delivery import direct_delivery
from verbenafall_sidecar.delivery import attempt_registry
from verbenafall_sidecar.delivery import dispatcher as dispatcher_lib
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_standins.fakes import memory_store

Fault = matrix.Fault
seconds = simulation.seconds
LATENCY = seconds(0.001)
SERVICE_TIME = seconds(0.02)
LINK_TIMEOUT = seconds(3)
RESTART_DELAY = seconds(1)
OUTAGE_DURATION = seconds(8)
DEADLINE = seconds(10)
# The first exceeds only the link timeout, the second also the request's
# deadline and the outage.
PAUSE_SECONDS = (6, 14)
DELAY_SECONDS = (0.5, 2.8, 12.0)
# Numbers of the latest changes that a restore of the store undoes.
RESTORED_CHANGES = (1, 10)
SLOW_CALL_TIME = seconds(2.5)
SLOW_SERVICE_TIME = seconds(12)
TICK_INTERVAL = seconds(1)
# A sidecar older than this was running when each attempt that may still
# arrive was sent, so it may say that an unknown attempt did not run.
SIDECAR_AGE = attempt_registry.RETENTION + seconds(1)
SIDECARS = ("endpoint-1", "endpoint-2", "endpoint-3")
GATEWAYS = ("gateway-1", "gateway-2")
CHAT = gateway_fakes.CHAT_SERVICE.name
RECORDS = gateway_fakes.RECORDS_SERVICE.name
TOKEN_COUNT = 5

STEP_OF_MESSAGE = {
    messages.Dispatch: "dispatch",
    messages.Cancel: "cancel",
    messages.Accepted: "accepted",
    messages.Chunk: "chunk",
    messages.End: "end",
    messages.CancelConfirmed: "cancel_confirmed",
}
# Steps of the store calls. A sidecar claims a key and records the outcome; a
# gateway reads the claim and voids it.
SIDECAR_STEPS = {"create": "claim", "update": "record"}
GATEWAY_STEPS = {"read": "settle", "create": "void"}


def step_of_message(message) -> str:
    """Return the step of a message, or "" if it has no faults."""
    last = TOKEN_COUNT - 1
    if isinstance(message, messages.Chunk) and message.sequence == last:
        return "last_chunk"
    return STEP_OF_MESSAGE.get(type(message), "")


class Run(NamedTuple):
    """One execution of an attempt at an endpoint."""

    endpoint: str
    attempt_id: str
    key: str


class ClientResponse(NamedTuple):
    """A response as its client received it.

    Attributes:
        status: The HTTP status, or 0 if the client closed the stream early.
        outcome: The outcome in the error, empty without an error.
        done: Whether the response ended normally.
        received_at: When the response ended, in simulated time.
    """

    label: str
    request_id: str
    status: int
    outcome: str
    code: str
    text: str
    done: bool
    received_at: datetime.timedelta


class LinkEnd:
    """One end of a link between a gateway and a sidecar."""

    def __init__(self, fleet, process, peer, address, receive, on_close):
        self.fleet = fleet
        self.process = process
        self.peer = peer
        self.address = address
        self.receive = receive
        self.on_close = on_close
        self.other_end = None
        self.closed = False
        self.cut = False
        self.extra_delay = simulation.ZERO
        self.held_back = []

    def send(self, message):
        if self.closed or not self.process.alive:
            return False
        faults = self.fleet.inject(step_of_message(message), self.process)
        if not self.process.alive:
            return False
        if Fault.CUT_OUT in faults:
            self.fleet.cut(self, self)
        if Fault.CUT_IN in faults:
            self.fleet.cut(self, self.other_end)
        if Fault.DELAY in faults:
            self.extra_delay = seconds(
                self.fleet.generator.choice(DELAY_SECONDS)
            )
        if Fault.REORDER in faults:
            self.held_back.append(message)
            return True
        self.transmit(message, self.extra_delay)
        if Fault.DUPLICATE in faults:
            late = self.fleet.generator.choice((0.0, *DELAY_SECONDS))
            self.transmit(message, self.extra_delay + seconds(late))
        held_back, self.held_back = self.held_back, []
        for late_message in held_back:
            self.transmit(late_message, self.extra_delay)
        return True

    def transmit(self, message, delay):
        if self.cut:
            return
        self.fleet.simulator.schedule(
            LATENCY + delay,
            self.other_end.process,
            lambda: self.other_end.deliver(message),
        )

    def deliver(self, message):
        if self.closed:
            return
        step = step_of_message(message)
        self.fleet.inject(f"{step}_received", self.process)
        if self.process.paused_until > self.fleet.simulator.now():
            self.fleet.simulator.schedule_first(
                self.process, lambda: self.receive(message)
            )
        elif self.process.alive:
            self.receive(message)

    def close(self, reason):
        """Close this end; the other follows, after a timeout if it is cut."""
        if self.closed:
            return
        self.closed = True
        self.on_close(self, reason)
        delay = LINK_TIMEOUT if self.cut else LATENCY
        self.fleet.simulator.schedule(
            delay,
            self.other_end.process,
            lambda: self.other_end.close("closed"),
        )


class Endpoint:
    """A fake engine or records service that outlives its sidecar."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.process = simulation.Process(f"engine of {name}")
        self.cancelled = set()

    def start_call(self, dispatch, limit, sink, sidecar):
        faults = self.fleet.inject("call", sidecar)
        self.fleet.suspend_task(sidecar)
        simulator = self.fleet.simulator
        call = Call(self, dispatch, sink, sidecar)
        if Fault.CUT_OUT in faults:
            call.fail(False)
            return call
        delay = LATENCY
        if Fault.DELAY in faults:
            delay += seconds(self.fleet.generator.choice(DELAY_SECONDS))
        simulator.schedule(limit, sidecar, lambda: call.fail(True))
        simulator.schedule(
            delay, self.process, lambda: self.process_call(call, faults)
        )
        return call

    def process_call(self, call, faults):
        dispatch = call.dispatch
        if dispatch.attempt_id in self.cancelled:
            return
        run = Run(self.name, dispatch.attempt_id, dispatch.idempotency_key)
        self.fleet.runs.append(run)
        if Fault.LOST_ANSWER in faults:
            call.schedule_at_sidecar(SERVICE_TIME, lambda: call.fail(True))
        elif Fault.CUT_IN not in faults:
            slow = Fault.SLOW in faults
            call.start_answer(SLOW_SERVICE_TIME if slow else SERVICE_TIME)

    def bind(self, sidecar):
        return BoundEndpoint(self, sidecar)


class BoundEndpoint(NamedTuple):
    """An endpoint as seen by one process of its sidecar."""

    endpoint: Endpoint
    sidecar: simulation.Process

    def start_call(self, dispatch, limit, sink):
        return self.endpoint.start_call(dispatch, limit, sink, self.sidecar)


class Call:
    """A call from a sidecar to its endpoint."""

    def __init__(self, endpoint, dispatch, sink, sidecar):
        self.endpoint = endpoint
        self.fleet = endpoint.fleet
        self.dispatch = dispatch
        self.sink = sink
        self.sidecar = sidecar
        self.ended = False

    def cancel(self):
        """Cancel the attempt at the endpoint and fail the call."""
        simulator = self.fleet.simulator
        attempt_id = self.dispatch.attempt_id
        simulator.schedule(
            LATENCY,
            self.endpoint.process,
            lambda: self.endpoint.cancelled.add(attempt_id),
        )
        self.schedule_at_sidecar(LATENCY, lambda: self.fail(True))

    def schedule_at_sidecar(self, delay, action):
        self.fleet.simulator.schedule(delay, self.sidecar, action)

    def fail(self, sent):
        if not self.ended:
            self.ended = True
            self.sink.on_failure(endpoint_port.CallFailure(sent, "test"))

    def start_answer(self, service_time):
        if self.dispatch.service == RECORDS:
            end = endpoint_port.CallResponse(
                201, (), records_text(self.dispatch.path).encode(), ""
            )
            self.schedule_at_sidecar(service_time, lambda: self.finish(end))
            return
        self.schedule_at_sidecar(
            service_time, lambda: self.emit_token(self.dispatch.resume_index)
        )

    def finish(self, end):
        faults = self.fleet.inject("answer", self.sidecar)
        if Fault.LOST_ANSWER in faults:
            self.fail(True)
        elif not self.sidecar.alive or self.ended:
            return
        elif self.sidecar.paused_until > self.fleet.simulator.now():
            self.fleet.simulator.schedule_first(
                self.sidecar, lambda: self.finish(end)
            )
        else:
            self.ended = True
            self.sink.on_response(end)

    def emit_token(self, number):
        if self.ended or self.dispatch.attempt_id in self.endpoint.cancelled:
            return
        faults = self.fleet.inject("token", self.sidecar)
        if not self.sidecar.alive:
            return
        if Fault.LOST_ANSWER in faults:
            self.fail(True)
            return
        if number == TOKEN_COUNT:
            self.finish(endpoint_port.CallResponse(200, (), b"", "stop"))
            return
        self.sink.on_chunk(token_text(prompt_of(self.dispatch), number))
        slow = Fault.SLOW in faults
        delay = SLOW_SERVICE_TIME if slow else SERVICE_TIME
        self.schedule_at_sidecar(delay, lambda: self.emit_token(number + 1))


class Store:
    """The shared store as seen by one process, with faults."""

    def __init__(self, fleet, process):
        self.fleet = fleet
        self.process = process

    def call(self, name, *arguments):
        is_sidecar = self.process.name in SIDECARS
        steps = SIDECAR_STEPS if is_sidecar else GATEWAY_STEPS
        faults = self.fleet.inject(steps.get(name), self.process)
        self.fleet.suspend_task(self.process)
        slow_before = False
        if Fault.SLOW in faults:
            slow_before = self.fleet.generator.random() < 0.5
        if slow_before:
            self.fleet.simulator.sleep(SLOW_CALL_TIME)
        result = self.apply(name, arguments, faults)
        if Fault.SLOW in faults and not slow_before:
            self.fleet.simulator.sleep(SLOW_CALL_TIME)
        return result

    def apply(self, name, arguments, faults):
        store = self.fleet.store
        down = self.fleet.store_down_until > self.fleet.simulator.now()
        fault = None
        if down:
            fault = memory_store.Fault.DOWN
        elif Fault.LOST_ANSWER in faults or Fault.CUT_IN in faults:
            fault = memory_store.Fault.LOST_ANSWER
        elif Fault.CUT_OUT in faults:
            fault = memory_store.Fault.LOST_CALL
        elif Fault.DELAY in faults:
            fault = memory_store.Fault.LOST_CALL
            self.schedule_late_call(name, arguments)
        store.plan = lambda _call: fault
        try:
            return getattr(store, name)(*arguments)
        finally:
            store.plan = memory_store.no_faults

    def schedule_late_call(self, name, arguments):
        delay = seconds(self.fleet.generator.choice(DELAY_SECONDS))
        self.fleet.simulator.schedule(
            delay,
            self.fleet.environment,
            lambda: getattr(self.fleet.store, name)(*arguments),
        )

    def read(self, name):
        return self.call("read", name)

    def create(self, name, value):
        return self.call("create", name, value)

    def update(self, name, value, version):
        return self.call("update", name, value, version)


class Sidecar(NamedTuple):
    """A sidecar process with its services."""

    name: str
    service: str
    process: simulation.Process
    dispatcher: dispatcher_lib.Dispatcher
    claims: claim_service.ClaimService


class Gateway(NamedTuple):
    """A gateway process with its services."""

    process: simulation.Process
    components: gateway_fakes.Gateway


class Fleet:
    """The processes, endpoints and store of one cell."""

    def __init__(self, cell: matrix.Cell, service: str) -> None:
        self.cell = cell
        self.service = service
        self.generator = cell.create_generator()
        self.simulator = simulation.Simulator()
        self.store = memory_store.create_memory_store()
        self.store_down_until = simulation.ZERO
        self.environment = simulation.Process("environment")
        self.injected: set[matrix.Injection] = set()
        self.runs: list[Run] = []
        self.responses: list[ClientResponse] = []
        self.disrupted: set[str] = set()
        self.pauses: tuple[float, ...] = PAUSE_SECONDS
        # Faults that belong to the scenario; they do not count as injected.
        self.scenario_faults: list[matrix.Injection] = []
        self.token_count = 0
        self.endpoints = {name: Endpoint(self, name) for name in SIDECARS}
        self.sidecars: dict[str, Sidecar] = {}
        self.gateways: dict[str, Gateway] = {}
        self.create_claims = claim_service.create_claim_service
        self.create_registry = attempt_registry.create_attempt_registry

    def start(self) -> None:
        """Start all processes, connect them and reach SIDECAR_AGE."""
        for name in GATEWAYS:
            self.start_gateway(name)
        for name in SIDECARS:
            self.start_sidecar(name)
        self.simulator.clock.advance(SIDECAR_AGE)

    def new_token(self) -> str:
        self.token_count += 1
        return f"token-{self.token_count}"

    def start_gateway(self, name: str) -> None:
        process = simulation.Process(name)
        claims = self.create_claims(
            Store(self, process), self.simulator.clock, self.new_token
        )
        components = gateway_fakes.create_gateway(self.simulator.clock, claims)
        flow = components.flow
        flow.generator = self.generator
        flow.settling.pool = simulation.SimulatedPool(self.simulator, process)
        add = flow.attempts.add

        def add_simulated(attempt):
            attempt.events = simulation.SimulatedQueue(self.simulator)
            add(attempt)

        flow.attempts.add = add_simulated
        self.gateways[name] = Gateway(process, components)

    def start_sidecar(self, name: str) -> None:
        process = simulation.Process(name)
        claims = self.create_claims(
            Store(self, process), self.simulator.clock, self.new_token
        )
        dispatcher = dispatcher_lib.create_dispatcher(
            dispatcher_lib.Configuration(
                self.service, name, 10, self.service == CHAT
            ),
            self.endpoints[name].bind(process),
            claims,
            sidecar_helpers.FakeView(
                sidecar_helpers.FakeBundles(), self.service, 4
            ),
            self.create_registry(),
            lambda _link, _snapshot: None,
            self.simulator.clock,
            metrics.NullMetrics(),
            self.generator,
        )
        pool = simulation.SimulatedPool(self.simulator, process)
        dispatcher.runner.call_pool = dispatcher.runner.claim_pool = pool
        sidecar = Sidecar(name, self.service, process, dispatcher, claims)
        self.sidecars[name] = sidecar
        self.simulator.schedule(
            TICK_INTERVAL, process, lambda: self.tick(sidecar)
        )
        for gateway in self.gateways.values():
            self.connect(gateway, sidecar)

    def tick(self, sidecar: Sidecar) -> None:
        """Expire queued attempts and resolve claims, then schedule a repeat."""
        sidecar.dispatcher.expire_queued()
        if sidecar.claims.unresolved:
            self.simulator.spawn(sidecar.process, sidecar.claims.resolve)
        self.simulator.schedule(
            TICK_INTERVAL, sidecar.process, lambda: self.tick(sidecar)
        )

    def connect(self, gateway: Gateway, sidecar: Sidecar) -> None:
        """Open a link, unless a process has ended or was replaced."""
        if self.sidecars[sidecar.name] is not sidecar:
            return
        if not (gateway.process.alive and sidecar.process.alive):
            return
        router = gateway.components.router
        address = addresses.Address("127.0.0.1", SIDECARS.index(sidecar.name))
        hello = messages.Hello(
            1, sidecar.name, "sidecar", "cba-norte", sidecar.service
        )

        def close_at_gateway(link_end, reason):
            router.on_close(link_end, reason)
            self.simulator.schedule(
                RESTART_DELAY,
                self.environment,
                lambda: self.connect(gateway, sidecar),
            )

        gateway_end = LinkEnd(
            self,
            gateway.process,
            hello,
            address,
            lambda message: router.on_message(gateway_end, message),
            close_at_gateway,
        )
        sidecar_end = LinkEnd(
            self,
            sidecar.process,
            None,
            None,
            lambda message: self.receive(sidecar, sidecar_end, message),
            sidecar.dispatcher.on_link_closed,
        )
        gateway_end.other_end, sidecar_end.other_end = sidecar_end, gateway_end
        gateway.process.link_ends = [
            *getattr(gateway.process, "link_ends", []),
            gateway_end,
        ]
        sidecar.process.link_ends = [
            *getattr(sidecar.process, "link_ends", []),
            sidecar_end,
        ]
        router.on_open(gateway_end)

    def receive(self, sidecar, link_end, message) -> None:
        if isinstance(message, messages.Dispatch):
            sidecar.dispatcher.on_dispatch(link_end, message)
        elif isinstance(message, messages.Cancel):
            sidecar.dispatcher.on_cancel(link_end, message)

    def inject(self, step, process) -> set[Fault]:
        """Inject the faults of a step the first time it is reached.

        Applies the faults of the process and the store. Returns all faults,
        so that the caller can apply those of its message or call.
        """
        new_injections = {
            item
            for item in self.cell.injections
            if item.step == step and item not in self.injected
        }
        scenario_injections = [
            item for item in self.scenario_faults if item.step == step
        ]
        for item in scenario_injections:
            self.scenario_faults.remove(item)
        faults = {
            item.fault for item in (*new_injections, *scenario_injections)
        }
        self.injected |= new_injections
        if faults & {Fault.KILL, Fault.PAUSE}:
            self.disrupted.add(process.name)
        if Fault.STORE_DOWN in faults:
            self.store_down_until = self.simulator.now() + OUTAGE_DURATION
        if Fault.RESTORE in faults:
            self.store.restore(self.generator.choice(RESTORED_CHANGES))
        if Fault.PAUSE in faults:
            self.pause(process)
        if Fault.KILL in faults:
            self.kill(process)
        return faults

    def suspend_task(self, process) -> None:
        """End the current task of a killed process, or wait out a pause."""
        if not process.alive:
            raise stepping.Killed
        remaining = process.paused_until - self.simulator.now()
        if remaining > simulation.ZERO:
            self.simulator.sleep(remaining)

    def pause(self, process) -> None:
        duration = seconds(self.generator.choice(self.pauses))
        process.paused_until = self.simulator.now() + duration
        for link_end in process.link_ends:
            self.simulator.schedule(
                LINK_TIMEOUT,
                link_end.other_end.process,
                lambda link_end=link_end: link_end.other_end.close("timeout"),
            )

    def kill(self, process) -> None:
        process.kill()
        delay = self.generator.choice((LATENCY, LINK_TIMEOUT))
        for link_end in process.link_ends:
            self.simulator.schedule(
                delay,
                link_end.other_end.process,
                lambda link_end=link_end: link_end.other_end.close("reset"),
            )
        if process.name in SIDECARS:
            self.simulator.schedule(
                RESTART_DELAY,
                self.environment,
                lambda: self.start_sidecar(process.name),
            )

    def cut(self, link_end, direction) -> None:
        """Drop all messages of one direction; both ends time out."""
        direction.cut = True
        for end in (link_end, link_end.other_end):
            self.simulator.schedule(
                LINK_TIMEOUT, end.process, lambda end=end: end.close("timeout")
            )

    def call(self, gateway, label, method, path, body=b"", **options):
        """Send a client request to a gateway and record its response."""
        process = self.gateways[gateway].process
        app = self.gateways[gateway].components.app
        self.simulator.spawn(
            process,
            lambda: self.serve_request(
                app, process, label, method, path, body, options
            ),
        )

    def serve_request(self, app, process, label, method, path, body, options):
        headers = {
            "Authorization": f"Bearer {gateway_fakes.CREDENTIAL}",
            "X-Deadline-Ms": str(int(DEADLINE.total_seconds() * 1000)),
        }
        if options.get("key"):
            headers["Idempotency-Key"] = options["key"]
        builder = werkzeug_test.EnvironBuilder(
            path, method=method, headers=headers, data=body
        )
        environ = builder.get_environ()
        environ["REQUEST_URI"] = path
        started = []

        def start_response(status, response_headers, _info=None):
            started.append((int(status[:3]), dict(response_headers)))

        received_parts = []
        environ[http_server.BODY_WRITER] = DirectBody(
            received_parts, options.get("close_after")
        )
        response_body = app(environ, start_response)
        closed_early = False
        for part in response_body:
            received_parts.append(part)
            if len(received_parts) == options.get("close_after"):
                closed_early = True
                break
        if hasattr(response_body, "close"):
            response_body.close()
        if not process.alive:
            raise stepping.Killed
        status, response_headers = started[0]
        client_response = read_response(
            label,
            response_headers["X-Request-Id"],
            0 if closed_early else status,
            b"".join(received_parts),
            response_headers.get("Content-Type", ""),
            self.simulator.now(),
        )
        self.responses.append(client_response)

    def find_response(self, label: str) -> ClientResponse | None:
        return next(
            (item for item in self.responses if item.label == label), None
        )

    def runs_of(self, request_id: str) -> list[Run]:
        prefix = f"{request_id}."
        return [run for run in self.runs if run.attempt_id.startswith(prefix)]


class DirectBody:
    """Body writer that cycles through all results of a direct write.

    It does not write the part at which the client closes its connection,
    because the request's own thread is the one that detects a lost client.
    """

    def __init__(self, parts, close_after):
        self.parts = parts
        self.close_after = close_after
        self.results = itertools.cycle(direct_delivery.WriteResult)
        self.unsent = b""

    def write_nowait(self, part):
        result = next(self.results)
        closing = len(self.parts) + 1 == self.close_after
        if closing or result is direct_delivery.WriteResult.NOT_WRITTEN:
            return direct_delivery.WriteResult.NOT_WRITTEN
        size = len(part)
        if result is direct_delivery.WriteResult.PARTIAL:
            size //= 2
        self.parts.append(part[:size])
        self.unsent = part[size:]
        return result

    def flush(self):
        self.parts.append(self.unsent)
        self.unsent = b""


def read_response(
    label, request_id, status, body, content_type, now
) -> ClientResponse:
    """Parse a response, which may be an event stream."""
    if "event-stream" in content_type:
        return read_stream(label, request_id, status, body, now)
    try:
        error = json.loads(body).get("error")
    except ValueError:
        error = None
    if error:
        return ClientResponse(
            label,
            request_id,
            status,
            error["outcome"],
            error["code"],
            "",
            False,
            now,
        )
    return ClientResponse(
        label, request_id, status, "", "", body.decode(), True, now
    )


def read_stream(label, request_id, status, body, now) -> ClientResponse:
    text, outcome, code, done = "", "", "", False
    for event in body.decode().split("\n\n"):
        data = event.removeprefix("data: ")
        if data == "[DONE]":
            done = True
        elif data:
            fields = json.loads(data)
            if "error" in fields:
                outcome = fields["error"]["outcome"]
                code = fields["error"]["code"]
            else:
                text += fields["choices"][0]["delta"].get("content", "")
    return ClientResponse(
        label, request_id, status, outcome, code, text, done, now
    )


def token_text(prompt: str, number: int) -> bytes:
    return f"{prompt}{number} ".encode()


def chat_text(prompt: str) -> str:
    return "".join(token_text(prompt, n).decode() for n in range(TOKEN_COUNT))


def records_text(path: str) -> str:
    return f"answer to {path}"


def prompt_of(dispatch) -> str:
    return json.loads(dispatch.body)["messages"][0]["content"]


def chat_body(prompt: str) -> bytes:
    return json.dumps(
        {
            "model": gateway_fakes.CHAT_SERVICE.model,
            "messages": [{"role": "user", "content": prompt}],
            "stream": True,
        }
    ).encode()


def find_false_refusals(fleet: Fleet) -> list[str]:
    """Find requests that ran although their client got not_run (P2)."""
    return [
        f"{response.label} was reported as not_run but ran"
        for response in fleet.responses
        if response.outcome == outcomes.Outcome.NOT_RUN
        and fleet.runs_of(response.request_id)
    ]


def find_late_responses(
    fleet: Fleet, calls: dict[str, tuple[str, datetime.timedelta]]
) -> list[str]:
    """Find calls without a response before their deadline.

    Args:
        fleet: The fleet after its run.
        calls: Gateway and start of each call by label. Calls to a gateway
            that was killed or paused are ignored.
    """
    found = []
    for label, (gateway, started) in calls.items():
        if gateway in fleet.disrupted:
            continue
        response = fleet.find_response(label)
        if response is None:
            found.append(f"{label} got no response")
        elif response.received_at > started + DEADLINE:
            found.append(f"{label} got its response after the deadline")
    return found
