"""A planned stop (P7): answers that are open when it begins are completed.

The commands run in this process with real signals; the open answers go on
only once the stop waits for them.
"""

import datetime
import os
import random
import signal
import threading
from unittest import mock

import loguru

import bundle_helpers
from faults import matrix
from sidecar import helpers
from verbenafall_core import clock as clock_lib
from verbenafall_core import kernel as kernel_lib
from verbenafall_core import messages
from verbenafall_core.bundles import service as bundle_service
from verbenafall_gateway import gateway as gateway_lib
from verbenafall_gateway import serve_command as gateway_command
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.delivery import activity as activity_lib
from verbenafall_gateway.delivery import drain as gateway_drain
from verbenafall_sidecar import serve_command as sidecar_command
from verbenafall_sidecar.delivery import drain as sidecar_drain
from verbenafall_standins.fakes import memory_store

Fault = matrix.Fault
LIMIT = datetime.timedelta(seconds=60)
GATEWAY_STEPS = ("signal", "leaving", "waiting")
SIDECAR_STEPS = ("signal", "announcing", "waiting")
ATTEMPTS = ("r.1", "r.2")
NOT_CONCERNED = {
    Fault.KILL: "a kill is no planned stop",
    Fault.PAUSE: "a pause is part of stop_limit, which no answer may exceed",
    Fault.CUT_OUT: "covered by the flows with links",
    Fault.CUT_IN: "covered by the flows with links",
    Fault.DELAY: "each answer here ends after the stop has begun to wait",
    Fault.SLOW: "each answer here ends after the stop has begun to wait",
    Fault.REORDER: "the answers are independent of each other",
    Fault.LOST_ANSWER: "covered by the flows with links",
}


class Faults:
    """Makes the fault of a cell happen at its step."""

    def __init__(self, injection, store):
        self.injection, self.store = injection, store
        self.injected = False

    def at(self, step):
        """Reach a step of the flow."""
        if self.injected or step != self.injection.step:
            return
        self.injected = True
        if self.injection.fault is Fault.DUPLICATE:
            os.kill(os.getpid(), signal.SIGTERM)
        if self.injection.fault is Fault.STORE_DOWN:
            self.store.plan = lambda _call: memory_store.Fault.DOWN


class OpenAnswers:
    """Answers that end on a thread of their own while the stop waits.

    Attributes:
        stopping: Set when the process goes on to end its connections.
    """

    def __init__(self, faults, finish):
        self.faults, self.finish = faults, finish
        self.waiting = threading.Event()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        self.waiting.wait()
        if not self.stopping.is_set():
            self.finish()

    def wrap(self, wait):
        """Return a wait for open answers, during which they end."""

        def begin(limit):
            self.faults.at("waiting")
            self.waiting.set()
            return wait(limit)

        return begin

    def cut(self):
        """End all connections, complete or not."""
        self.stopping.set()
        self.waiting.set()
        self.thread.join()


def run_command(command):
    """Run a command, ask it to stop, and return its exit code."""
    numbers = (signal.SIGTERM, signal.SIGINT)
    before = {number: signal.getsignal(number) for number in numbers}
    loguru.logger.disable("verbenafall_core")
    try:
        return command()
    finally:
        loguru.logger.enable("verbenafall_core")
        for number, handler in before.items():
            signal.signal(number, handler)


def ask_to_stop(faults):
    """Send the signal of the stop, and the second one if it is the fault."""
    os.kill(os.getpid(), signal.SIGTERM)
    faults.at("signal")


class ClientServer:
    """The part of the gateway that ends the clients' connections."""

    def __init__(self, faults, answers):
        self.faults, self.answers = faults, answers

    def start(self):
        self.answers.thread.start()
        ask_to_stop(self.faults)

    def stop(self, limit):
        self.answers.cut()

    def address(self):
        return "127.0.0.1:0"


def run_gateway(cell: matrix.Cell) -> matrix.Report:
    """Stop a gateway while a stream is open."""
    store = memory_store.create_memory_store()
    bundle_helpers.put_bundle(store, bundle_helpers.signed())
    bundle_helpers.put_head(store, 1)
    clock = clock_lib.system_clock()
    faults = Faults(cell.injections[0], store)
    bundles = bundle_service.create_bundle_service(
        store,
        bundle_helpers.PUBLIC_KEYS,
        clock,
        generator=random.Random(1),
    )
    state = service_state.create_service_state(bundles)
    activity = activity_lib.create_activity()
    answers = OpenAnswers(faults, activity.record_end)
    activity.record_start()
    phases = []

    def notice(_duration):
        faults.at("leaving")
        phases.append(state.phase)

    drain = gateway_drain.create_drain(state, activity, notice)
    server = ClientServer(faults, answers)
    kernel = kernel_lib.create_kernel(clock)
    kernel.register("bundles", bundles)
    kernel.register("server", server)
    gateway = gateway_lib.Gateway(kernel, drain, server, server)
    with mock.patch.object(
        activity, "wait_idle", answers.wrap(activity.wait_idle)
    ):
        code = run_command(
            lambda: gateway_command.serve(gateway, LIMIT),
        )
    violations = [f"exit code {code}"] if code else []
    if activity.count:
        violations.append("a response is truncated")
    if phases != [service_state.Phase.LEAVING]:
        violations.append("work is refused before the balancer can notice")
    if state.phase is not service_state.Phase.REFUSING:
        violations.append("new work is taken until the end")
    injected = cell.injections if faults.injected else ()
    return matrix.Report(frozenset(injected), tuple(violations))


class SidecarProcess:
    """A sidecar with two open attempts, one of them claimed."""

    def __init__(self, faults, rig):
        self.faults, self.rig = faults, rig
        self.dispatcher = rig.dispatcher
        self.answers = OpenAnswers(faults, self.finish)
        self.announced = []

    def finish(self):
        for attempt_id in ATTEMPTS:
            self.rig.answer(attempt_id)

    def start(self):
        self.rig.dispatch(helpers.DISPATCH)
        self.rig.dispatch(helpers.NON_IDEMPOTENT._replace(attempt_id="r.2"))
        self.answers.thread.start()
        ask_to_stop(self.faults)

    def stop(self):
        sidecar_drain.drain(self.dispatcher, self.announce, LIMIT)
        self.answers.cut()

    def announce(self, snapshot):
        self.faults.at("announcing")
        self.announced.append(snapshot.draining)
        self.rig.dispatch(helpers.DISPATCH._replace(attempt_id="r.3"))


def run_sidecar(cell: matrix.Cell) -> matrix.Report:
    """Stop a sidecar while two attempts are open."""
    rig = helpers.Rig(slots=2)
    faults = Faults(cell.injections[0], rig.store)
    process = SidecarProcess(faults, rig)
    dispatcher = rig.dispatcher
    with mock.patch.object(
        dispatcher,
        "wait_until_idle",
        process.answers.wrap(dispatcher.wait_until_idle),
    ):
        code = run_command(lambda: sidecar_command.run(process))
    sent = rig.link.sent
    ended = {m.attempt_id for m in sent if isinstance(m, messages.End)}
    refused = {
        (m.attempt_id, m.outcome)
        for m in sent
        if isinstance(m, messages.Refused)
    }
    violations = [f"exit code {code}"] if code else []
    if ended != set(ATTEMPTS):
        violations.append(f"complete answers: {sorted(ended)}")
    if refused != {("r.3", helpers.NOT_RUN)}:
        violations.append(f"refused: {sorted(refused)}")
    if process.announced != [True]:
        violations.append("the gateways are not told")
    injected = cell.injections if faults.injected else ()
    return matrix.Report(frozenset(injected), tuple(violations))


def why_not(_step: str, fault: Fault) -> str | None:
    """Name the faults that do not concern the stop of a process."""
    return NOT_CONCERNED.get(fault)


FLOWS = (
    matrix.Flow("stop_gateway", GATEWAY_STEPS, run_gateway, why_not),
    matrix.Flow("stop_sidecar", SIDECAR_STEPS, run_sidecar, why_not),
)
