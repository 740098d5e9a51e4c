"""Gateways, sidecars and endpoints joined by links with faults.

RequestFlow, the HTTP application, Dispatcher and ClaimService are the real
ones; links, endpoints and the store are fakes on simulated time.
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
RESTART_TIME = seconds(1)
OUTAGE = seconds(8)
DEADLINE = seconds(10)
# Past the link's timeout only, and past the deadline and the outage as well.
PAUSES = (6, 14)
DELAYS = (0.5, 2.8, 12.0)
SLOW_CALL = seconds(2.5)
SLOW_ENDPOINT = seconds(12)
TICK = seconds(1)
# A sidecar older than this knows all attempts that may still arrive.
AGE = attempt_registry.RETENTION + seconds(1)
SIDECARS = ("endpoint-1", "endpoint-2", "endpoint-3")
GATEWAYS = ("gateway-1", "gateway-2")
CHAT = gateway_fakes.CHAT_SERVICE.name
RECORDS = gateway_fakes.RECORDS_SERVICE.name
TOKENS = 5

STEP_OF_MESSAGE = {
    messages.Dispatch: "dispatch",
    messages.Cancel: "cancel",
    messages.Accepted: "accepted",
    messages.Chunk: "chunk",
    messages.End: "end",
    messages.CancelConfirmed: "cancel_confirmed",
}
# A sidecar claims and records, a gateway settles.
SIDECAR_STEPS = {"create": "claim", "update": "record"}
GATEWAY_STEPS = {"read": "settle", "create": "void"}


def step_of_message(message) -> str:
    """Return the step of a message, empty for one without faults."""
    last = TOKENS - 1
    if isinstance(message, messages.Chunk) and message.sequence == last:
        return "last_chunk"
    return STEP_OF_MESSAGE.get(type(message), "")


class Run(NamedTuple):
    """A request that an endpoint processed."""

    endpoint: str
    attempt_id: str
    key: str


class Told(NamedTuple):
    """What a client was told.

    Attributes:
        status: 0 when a stream was cut off by the client.
        outcome: Empty for a complete answer.
        done: Whether the answer ended in the regular way.
    """

    label: str
    request_id: str
    status: int
    outcome: str
    code: str
    text: str
    done: bool
    at: datetime.timedelta


class LinkEnd:
    """One end of a link."""

    def __init__(self, fleet, process, peer, address, receive, on_close):
        self.fleet = fleet
        self.process = process
        self.peer = peer
        self.address = address
        self.receive = receive
        self.on_close = on_close
        self.other = None
        self.closed = False
        self.cut = False
        self.extra = simulation.ZERO
        self.held = []

    def send(self, message):
        if self.closed or not self.process.alive:
            return False
        faults = self.fleet.inject(step_of_message(message), self.process)
        if not self.process.alive:
            return False
        if Fault.CUT_OUT in faults:
            self.fleet.cut(self, self)
        if Fault.CUT_IN in faults:
            self.fleet.cut(self, self.other)
        if Fault.DELAY in faults:
            self.extra = seconds(self.fleet.generator.choice(DELAYS))
        if Fault.REORDER in faults:
            self.held.append(message)
            return True
        self.transmit(message, self.extra)
        if Fault.DUPLICATE in faults:
            late = self.fleet.generator.choice((0.0, *DELAYS))
            self.transmit(message, self.extra + seconds(late))
        held, self.held = self.held, []
        for late_message in held:
            self.transmit(late_message, self.extra)
        return True

    def transmit(self, message, delay):
        if self.cut:
            return
        self.fleet.simulator.at(
            LATENCY + delay,
            self.other.process,
            lambda: self.other.deliver(message),
        )

    def deliver(self, message):
        if self.closed:
            return
        step = step_of_message(message)
        self.fleet.inject(f"{step}_received", self.process)
        if self.process.paused_until > self.fleet.simulator.now():
            self.fleet.simulator.at_front(
                self.process, lambda: self.receive(message)
            )
        elif self.process.alive:
            self.receive(message)

    def close(self, reason):
        """Close this end; the other learns of it unless the link is cut."""
        if self.closed:
            return
        self.closed = True
        self.on_close(self, reason)
        delay = LINK_TIMEOUT if self.cut else LATENCY
        self.fleet.simulator.at(
            delay, self.other.process, lambda: self.other.close("closed")
        )


class Endpoint:
    """Runs what it is sent, at any time, and outlives its sidecar."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.process = simulation.Process(f"engine of {name}")
        self.cancelled = set()

    def start_call(self, dispatch, limit, sink, sidecar):
        faults = self.fleet.inject("call", sidecar)
        self.fleet.hold_task(sidecar)
        simulator = self.fleet.simulator
        call = Call(self, dispatch, sink, sidecar)
        if Fault.CUT_OUT in faults:
            call.fail(False)
            return call
        delay = LATENCY
        if Fault.DELAY in faults:
            delay += seconds(self.fleet.generator.choice(DELAYS))
        simulator.at(limit, sidecar, lambda: call.fail(True))
        simulator.at(
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
            call.later(SERVICE_TIME, lambda: call.fail(True))
        elif Fault.CUT_IN not in faults:
            slow = Fault.SLOW in faults
            call.answer(SLOW_ENDPOINT if slow else SERVICE_TIME)

    def bind(self, sidecar):
        return BoundEndpoint(self, sidecar)


class BoundEndpoint(NamedTuple):
    """An endpoint as one incarnation of its sidecar calls it."""

    endpoint: Endpoint
    sidecar: simulation.Process

    def start_call(self, dispatch, limit, sink):
        return self.endpoint.start_call(dispatch, limit, sink, self.sidecar)


class Call:
    """A call of an endpoint by a sidecar."""

    def __init__(self, endpoint, dispatch, sink, sidecar):
        self.endpoint = endpoint
        self.fleet = endpoint.fleet
        self.dispatch = dispatch
        self.sink = sink
        self.sidecar = sidecar
        self.ended = False

    def cancel(self):
        """Tell the engine, and end the call."""
        simulator = self.fleet.simulator
        attempt_id = self.dispatch.attempt_id
        simulator.at(
            LATENCY,
            self.endpoint.process,
            lambda: self.endpoint.cancelled.add(attempt_id),
        )
        self.later(LATENCY, lambda: self.fail(True))

    def later(self, delay, action):
        self.fleet.simulator.at(delay, self.sidecar, action)

    def fail(self, sent):
        if not self.ended:
            self.ended = True
            self.sink.on_failure(endpoint_port.CallFailure(sent, "test"))

    def answer(self, service_time):
        if self.dispatch.service == RECORDS:
            end = endpoint_port.CallResponse(
                201, (), records_text(self.dispatch.path).encode(), ""
            )
            self.later(service_time, lambda: self.finish(end))
            return
        self.later(service_time, lambda: self.token(self.dispatch.resume_index))

    def finish(self, end):
        faults = self.fleet.inject("answer", self.sidecar)
        if Fault.LOST_ANSWER in faults:
            self.fail(True)
        elif not self.sidecar.alive or self.ended:
            return
        elif self.sidecar.paused_until > self.fleet.simulator.now():
            self.fleet.simulator.at_front(
                self.sidecar, lambda: self.finish(end)
            )
        else:
            self.ended = True
            self.sink.on_response(end)

    def token(self, number):
        if self.ended or self.dispatch.attempt_id in self.endpoint.cancelled:
            return
        faults = self.fleet.inject("token", self.sidecar)
        if not self.sidecar.alive:
            return
        if Fault.LOST_ANSWER in faults:
            self.fail(True)
            return
        if number == TOKENS:
            self.finish(endpoint_port.CallResponse(200, (), b"", "stop"))
            return
        self.sink.on_chunk(token_text(prompt_of(self.dispatch), number))
        slow = Fault.SLOW in faults
        delay = SLOW_ENDPOINT if slow else SERVICE_TIME
        self.later(delay, lambda: self.token(number + 1))


class Store:
    """The shared store as one process calls it, with faults."""

    def __init__(self, fleet, process):
        self.fleet = fleet
        self.process = process

    def call(self, name, *arguments):
        is_sidecar = self.process.name in SIDECARS
        steps = SIDECAR_STEPS if is_sidecar else GATEWAY_STEPS
        faults = self.fleet.inject(steps.get(name), self.process)
        self.fleet.hold_task(self.process)
        slow_before = False
        if Fault.SLOW in faults:
            slow_before = self.fleet.generator.random() < 0.5
        if slow_before:
            self.fleet.simulator.sleep(SLOW_CALL)
        result = self.apply(name, arguments, faults)
        if Fault.SLOW in faults and not slow_before:
            self.fleet.simulator.sleep(SLOW_CALL)
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
            self.apply_late(name, arguments)
        store.plan = lambda _call: fault
        try:
            return getattr(store, name)(*arguments)
        finally:
            store.plan = memory_store.no_faults

    def apply_late(self, name, arguments):
        delay = seconds(self.fleet.generator.choice(DELAYS))
        self.fleet.simulator.at(
            delay,
            self.fleet.outside,
            lambda: getattr(self.fleet.store, name)(*arguments),
        )

    def read(self, name):
        return self.call("read", name)

    def create(self, name, value):
        return self.call("create", name, value)

    def update(self, name, value, version):
        return self.call("update", name, value, version)


class Sidecar(NamedTuple):
    """One incarnation of a sidecar."""

    name: str
    service: str
    process: simulation.Process
    dispatcher: dispatcher_lib.Dispatcher
    claims: claim_service.ClaimService


class Gateway(NamedTuple):
    """A gateway process with its services."""

    process: simulation.Process
    parts: gateway_fakes.Gateway


class Fleet:
    """All processes of one cell."""

    def __init__(self, cell: matrix.Cell, service: str) -> None:
        self.cell = cell
        self.service = service
        self.generator = cell.generator()
        self.simulator = simulation.Simulator()
        self.store = memory_store.create_memory_store()
        self.store_down_until = simulation.ZERO
        self.outside = simulation.Process("outside")
        self.injected: set[matrix.Injection] = set()
        self.runs: list[Run] = []
        self.told: list[Told] = []
        self.halted: set[str] = set()
        self.pauses: tuple[float, ...] = PAUSES
        # Part of the scenario itself, not counted as injected.
        self.scripted: list[matrix.Injection] = []
        self.tokens = 0
        self.endpoints = {name: Endpoint(self, name) for name in SIDECARS}
        self.sidecars: dict[str, Sidecar] = {}
        self.gateways: dict[str, Gateway] = {}
        self.create_claims = claim_service.create_claim_service
        self.create_registry = attempt_registry.create_attempt_registry

    def start(self) -> None:
        """Start all processes and let them connect."""
        for name in GATEWAYS:
            self.start_gateway(name)
        for name in SIDECARS:
            self.start_sidecar(name)
        self.simulator.clock.advance(AGE)

    def new_token(self) -> str:
        self.tokens += 1
        return f"token-{self.tokens}"

    def start_gateway(self, name: str) -> None:
        process = simulation.Process(name)
        claims = self.create_claims(
            Store(self, process), self.simulator.clock, self.new_token
        )
        parts = gateway_fakes.create_gateway(self.simulator.clock, claims)
        flow = parts.flow
        flow.generator = self.generator
        flow.settling.pool = simulation.SimulatedPool(self.simulator, process)
        add = flow.attempts.add

        def add_simulated(attempt):
            attempt.events = simulation.SimulatedQueue(self.simulator)
            add(attempt)

        flow.attempts.add = add_simulated
        self.gateways[name] = Gateway(process, parts)

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
        self.simulator.at(TICK, process, lambda: self.tick(sidecar))
        for gateway in self.gateways.values():
            self.connect(gateway, sidecar)

    def tick(self, sidecar: Sidecar) -> None:
        """Do the periodic work of a sidecar."""
        sidecar.dispatcher.expire_queued()
        if sidecar.claims.unresolved:
            self.simulator.spawn(sidecar.process, sidecar.claims.resolve)
        self.simulator.at(TICK, sidecar.process, lambda: self.tick(sidecar))

    def connect(self, gateway: Gateway, sidecar: Sidecar) -> None:
        """Open a link, unless one of the processes is gone."""
        if self.sidecars[sidecar.name] is not sidecar:
            return
        if not (gateway.process.alive and sidecar.process.alive):
            return
        router = gateway.parts.router
        address = addresses.Address("127.0.0.1", SIDECARS.index(sidecar.name))
        hello = messages.Hello(
            1, sidecar.name, "sidecar", "cba-norte", sidecar.service
        )

        def close_at_gateway(side, reason):
            router.on_close(side, reason)
            self.simulator.at(
                RESTART_TIME,
                self.outside,
                lambda: self.connect(gateway, sidecar),
            )

        near = LinkEnd(
            self,
            gateway.process,
            hello,
            address,
            lambda message: router.on_message(near, message),
            close_at_gateway,
        )
        far = LinkEnd(
            self,
            sidecar.process,
            None,
            None,
            lambda message: self.receive(sidecar, far, message),
            sidecar.dispatcher.on_link_closed,
        )
        near.other, far.other = far, near
        gateway.process.sides = [*getattr(gateway.process, "sides", []), near]
        sidecar.process.sides = [*getattr(sidecar.process, "sides", []), far]
        router.on_open(near)

    def receive(self, sidecar, side, message) -> None:
        if isinstance(message, messages.Dispatch):
            sidecar.dispatcher.on_dispatch(side, message)
        elif isinstance(message, messages.Cancel):
            sidecar.dispatcher.on_cancel(side, message)

    def inject(self, step, process) -> set[Fault]:
        """Inject the faults of a step the first time it is reached.

        Faults of the process and the store happen here; those of the message
        or call are returned.
        """
        todo = {
            item
            for item in self.cell.injections
            if item.step == step and item not in self.injected
        }
        script = [item for item in self.scripted if item.step == step]
        for item in script:
            self.scripted.remove(item)
        faults = {item.fault for item in (*todo, *script)}
        self.injected |= todo
        if faults & {Fault.KILL, Fault.PAUSE}:
            self.halted.add(process.name)
        if Fault.STORE_DOWN in faults:
            self.store_down_until = self.simulator.now() + OUTAGE
        if Fault.PAUSE in faults:
            self.pause(process)
        if Fault.KILL in faults:
            self.kill(process)
        return faults

    def hold_task(self, process) -> None:
        """Stop a task whose process was killed or paused at its call."""
        if not process.alive:
            raise stepping.Killed
        rest = process.paused_until - self.simulator.now()
        if rest > simulation.ZERO:
            self.simulator.sleep(rest)

    def pause(self, process) -> None:
        length = seconds(self.generator.choice(self.pauses))
        process.paused_until = self.simulator.now() + length
        for side in process.sides:
            self.simulator.at(
                LINK_TIMEOUT,
                side.other.process,
                lambda side=side: side.other.close("timeout"),
            )

    def kill(self, process) -> None:
        process.kill()
        delay = self.generator.choice((LATENCY, LINK_TIMEOUT))
        for side in process.sides:
            self.simulator.at(
                delay,
                side.other.process,
                lambda side=side: side.other.close("reset"),
            )
        if process.name in SIDECARS:
            self.simulator.at(
                RESTART_TIME,
                self.outside,
                lambda: self.start_sidecar(process.name),
            )

    def cut(self, side, direction) -> None:
        """Lose all messages in a direction; both ends time out."""
        direction.cut = True
        for end in (side, side.other):
            self.simulator.at(
                LINK_TIMEOUT, end.process, lambda end=end: end.close("timeout")
            )

    def call(self, gateway, label, method, path, body=b"", **options):
        """Send a client's request to a gateway; what it is told is noted."""
        process = self.gateways[gateway].process
        app = self.gateways[gateway].parts.app
        self.simulator.spawn(
            process,
            lambda: self.serve(
                app, process, label, method, path, body, options
            ),
        )

    def serve(self, app, process, label, method, path, body, options):
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

        def start_response(status, answer_headers, _info=None):
            started.append((int(status[:3]), dict(answer_headers)))

        parts = []
        environ[http_server.BODY_WRITER] = DirectBody(
            parts, options.get("close_after")
        )
        response = app(environ, start_response)
        closed_early = False
        for part in response:
            parts.append(part)
            if len(parts) == options.get("close_after"):
                closed_early = True
                break
        if hasattr(response, "close"):
            response.close()
        if not process.alive:
            raise stepping.Killed
        status, answer_headers = started[0]
        told = read_answer(
            label,
            answer_headers["X-Request-Id"],
            0 if closed_early else status,
            b"".join(parts),
            answer_headers.get("Content-Type", ""),
            self.simulator.now(),
        )
        self.told.append(told)

    def told_to(self, label: str) -> Told | None:
        return next((t for t in self.told if t.label == label), None)

    def runs_of(self, request_id: str) -> list[Run]:
        prefix = f"{request_id}."
        return [run for run in self.runs if run.attempt_id.startswith(prefix)]


class DirectBody:
    """Takes parts of a body whole, in part and not at all, in turn.

    The part at which the client closes its connection is always left, as a
    lost client shows on the request's own thread.
    """

    def __init__(self, parts, close_after):
        self.parts = parts
        self.close_after = close_after
        self.turns = itertools.cycle(direct_delivery.WriteResult)
        self.unsent = b""

    def write_nowait(self, part):
        handover = next(self.turns)
        closing = len(self.parts) + 1 == self.close_after
        if closing or handover is direct_delivery.WriteResult.NOT_WRITTEN:
            return direct_delivery.WriteResult.NOT_WRITTEN
        size = len(part)
        if handover is direct_delivery.WriteResult.PARTIAL:
            size //= 2
        self.parts.append(part[:size])
        self.unsent = part[size:]
        return handover

    def flush(self):
        self.parts.append(self.unsent)
        self.unsent = b""


def read_answer(label, request_id, status, body, content_type, now) -> Told:
    """Return what an answer tells the client."""
    if "event-stream" in content_type:
        return read_stream(label, request_id, status, body, now)
    try:
        error = json.loads(body).get("error")
    except ValueError:
        error = None
    if error:
        return Told(
            label,
            request_id,
            status,
            error["outcome"],
            error["code"],
            "",
            False,
            now,
        )
    return Told(label, request_id, status, "", "", body.decode(), True, now)


def read_stream(label, request_id, status, body, now) -> Told:
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
    return Told(label, request_id, status, outcome, code, text, done, now)


def token_text(prompt: str, number: int) -> bytes:
    return f"{prompt}{number} ".encode()


def chat_text(prompt: str) -> str:
    return "".join(token_text(prompt, n).decode() for n in range(TOKENS))


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
    """Check that nothing ran for which a client was told not_run (P2)."""
    return [
        f"{told.label} was told not_run but ran"
        for told in fleet.told
        if told.outcome == outcomes.Outcome.NOT_RUN
        and fleet.runs_of(told.request_id)
    ]


def find_late_answers(
    fleet: Fleet, calls: dict[str, tuple[str, datetime.timedelta]]
) -> list[str]:
    """Check that calls got an answer in time.

    Args:
        fleet: The fleet after its run.
        calls: Gateway and start of each call by label. Calls of a gateway
            that was itself killed or paused are not judged.
    """
    found = []
    for label, (gateway, started) in calls.items():
        if gateway in fleet.halted:
            continue
        told = fleet.told_to(label)
        if told is None:
            found.append(f"{label} got no answer")
        elif told.at > started + DEADLINE:
            found.append(f"{label} got its answer after the deadline")
    return found
