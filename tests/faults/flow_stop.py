"""A planned stop (P7) completes the responses that are open at its start.

The commands run in this process with real signals. The open responses complete
only after the stop has started to wait for them.
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
STOP_LIMIT = datetime.timedelta(seconds=60)
GATEWAY_STEPS = ("signal", "leaving", "waiting")
SIDECAR_STEPS = ("signal", "announcing", "waiting")
ATTEMPTS = ("r.1", "r.2")
# More than all changes of the store in a run.
ALL_CHANGES = 100
EXCLUSION_REASONS = {
    Fault.KILL: "a kill is not a planned stop",
    Fault.PAUSE: "a pause counts towards stop_limit, which limits the wait",
    Fault.CUT_OUT: "covered by the flows with links",
    Fault.CUT_IN: "covered by the flows with links",
    Fault.DELAY: "each response ends after the stop has started to wait",
    Fault.SLOW: "each response ends after the stop has started to wait",
    Fault.REORDER: "the responses are independent of each other",
    Fault.LOST_ANSWER: "covered by the flows with links",
}


class FaultInjector:
    """Injects the fault of a cell at its step."""

    def __init__(self, injection, store):
        self.injection, self.store = injection, store
        self.injected = False

    def inject_at(self, step):
        """Inject the fault if the step is reached for the first time."""
        if self.injected or step != self.injection.step:
            return
        self.injected = True
        if self.injection.fault is Fault.DUPLICATE:
            os.kill(os.getpid(), signal.SIGTERM)
        if self.injection.fault is Fault.STORE_DOWN:
            self.store.plan = lambda _call: memory_store.Fault.DOWN
        if self.injection.fault is Fault.RESTORE:
            self.store.restore(ALL_CHANGES)


class OpenResponses:
    """Responses that complete on their own thread while the stop waits.

    Attributes:
        wait_started: Set when the stop starts to wait.
        connections_closed: Set when the process closes its connections.
    """

    def __init__(self, faults, finish):
        self.faults, self.finish = faults, finish
        self.wait_started = threading.Event()
        self.connections_closed = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        self.wait_started.wait()
        if not self.connections_closed.is_set():
            self.finish()

    def wrap_wait(self, wait):
        """Return a wait function that triggers completion of the responses."""

        def wait_for_responses(limit):
            self.faults.inject_at("waiting")
            self.wait_started.set()
            return wait(limit)

        return wait_for_responses

    def close_connections(self):
        """Close all connections, also those with incomplete responses."""
        self.connections_closed.set()
        self.wait_started.set()
        self.thread.join()


def run_command(command):
    """Run a command, restore the signal handlers, and return its exit code."""
    signals = (signal.SIGTERM, signal.SIGINT)
    previous_handlers = {
        signal_number: signal.getsignal(signal_number)
        for signal_number in signals
    }
    loguru.logger.disable("verbenafall_core")
    try:
        return command()
    finally:
        loguru.logger.enable("verbenafall_core")
        for signal_number, handler in previous_handlers.items():
            signal.signal(signal_number, handler)


def send_stop_signal(faults):
    """Send SIGTERM, and inject the fault of the signal step."""
    os.kill(os.getpid(), signal.SIGTERM)
    faults.inject_at("signal")


class ClientServer:
    """A fake of the gateway's server for client connections."""

    def __init__(self, faults, responses):
        self.faults, self.responses = faults, responses

    def start(self):
        self.responses.thread.start()
        send_stop_signal(self.faults)

    def stop(self, limit):
        self.responses.close_connections()

    def address(self):
        return "127.0.0.1:0"


def run_gateway(cell: matrix.Cell) -> matrix.Report:
    """Stop a gateway while a stream is open."""
    store = memory_store.create_memory_store()
    bundle_helpers.put_bundle(store, bundle_helpers.signed())
    bundle_helpers.put_head(store, 1)
    clock = clock_lib.system_clock()
    faults = FaultInjector(cell.injections[0], store)
    bundles = bundle_service.create_bundle_service(
        store,
        bundle_helpers.PUBLIC_KEYS,
        clock,
        generator=random.Random(1),
    )
    state = service_state.create_service_state(bundles)
    activity = activity_lib.create_activity()
    responses = OpenResponses(faults, activity.record_end)
    activity.record_start()
    phases = []

    def wait_for_readiness(_duration):
        faults.inject_at("leaving")
        phases.append(state.phase)

    drain = gateway_drain.create_drain(state, activity, wait_for_readiness)
    server = ClientServer(faults, responses)
    kernel = kernel_lib.create_kernel(clock)
    kernel.register("bundles", bundles)
    kernel.register("server", server)
    gateway = gateway_lib.Gateway(kernel, drain, server, server)
    with mock.patch.object(
        activity, "wait_idle", responses.wrap_wait(activity.wait_idle)
    ):
        code = run_command(
            lambda: gateway_command.serve(gateway, STOP_LIMIT),
        )
    violations = [f"exit code {code}"] if code else []
    if activity.count:
        violations.append("a response is truncated")
    if phases != [service_state.Phase.LEAVING]:
        violations.append("work is refused before the balancer can react")
    if state.phase is not service_state.Phase.REFUSING:
        violations.append("new work is accepted until the end")
    injected = cell.injections if faults.injected else ()
    return matrix.Report(frozenset(injected), tuple(violations))


class SidecarProcess:
    """A sidecar with two open attempts, one of them claimed."""

    def __init__(self, faults, harness):
        self.faults, self.harness = faults, harness
        self.dispatcher = harness.dispatcher
        self.responses = OpenResponses(faults, self.finish)
        self.announced = []

    def finish(self):
        for attempt_id in ATTEMPTS:
            self.harness.respond(attempt_id)

    def start(self):
        self.harness.dispatch(helpers.DISPATCH)
        self.harness.dispatch(helpers.NON_IDEMPOTENT._replace(attempt_id="r.2"))
        self.responses.thread.start()
        send_stop_signal(self.faults)

    def stop(self):
        sidecar_drain.drain(self.dispatcher, self.announce, STOP_LIMIT)
        self.responses.close_connections()

    def announce(self, snapshot):
        self.faults.inject_at("announcing")
        self.announced.append(snapshot.draining)
        self.harness.dispatch(helpers.DISPATCH._replace(attempt_id="r.3"))


def run_sidecar(cell: matrix.Cell) -> matrix.Report:
    """Stop a sidecar while two attempts are open."""
    harness = helpers.DispatcherHarness(slots=2)
    faults = FaultInjector(cell.injections[0], harness.store)
    process = SidecarProcess(faults, harness)
    dispatcher = harness.dispatcher
    with mock.patch.object(
        dispatcher,
        "wait_until_idle",
        process.responses.wrap_wait(dispatcher.wait_until_idle),
    ):
        code = run_command(lambda: sidecar_command.run(process))
    sent = harness.link.sent
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
        violations.append("the gateways are not notified")
    injected = cell.injections if faults.injected else ()
    return matrix.Report(frozenset(injected), tuple(violations))


def exclusion_reason(_step: str, fault: Fault) -> str | None:
    """Exclude faults that do not apply to the stop of a process."""
    return EXCLUSION_REASONS.get(fault)


FLOWS = (
    matrix.Flow("stop_gateway", GATEWAY_STEPS, run_gateway, exclusion_reason),
    matrix.Flow("stop_sidecar", SIDECAR_STEPS, run_sidecar, exclusion_reason),
)
