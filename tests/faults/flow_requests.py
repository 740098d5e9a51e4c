"""Requests from client to endpoint: P1, P2 and P3 as clients see them."""

from collections.abc import Callable
import functools
import json

from faults import matrix
from faults import request_fleet
from faults import simulation
from verbenafall_core import outcomes

Fault = matrix.Fault
Fleet = request_fleet.Fleet
seconds = simulation.seconds
RESERVE = f"/services/{request_fleet.RECORDS}/reservations"
SEARCH = f"/services/{request_fleet.RECORDS}/search"
CHAT = "/v1/chat/completions"
OUTCOME = "/v1/outcomes/key-1"
KEY = "key-1"
GATEWAY_1, GATEWAY_2 = request_fleet.GATEWAYS
# Longer than a pause, a deadline and the delay of a record together.
SETTLE_TIME = seconds(60)
NOT_RUN = outcomes.Outcome.NOT_RUN
RAN = outcomes.Outcome.RAN

PROCESS_FAULTS = frozenset(
    {Fault.KILL, Fault.PAUSE, Fault.STORE_DOWN, Fault.RESTORE}
)
MESSAGE_FAULTS = PROCESS_FAULTS | {
    Fault.CUT_OUT,
    Fault.CUT_IN,
    Fault.DELAY,
    Fault.DUPLICATE,
    Fault.REORDER,
}
STORE_FAULTS = PROCESS_FAULTS | {
    Fault.CUT_OUT,
    Fault.CUT_IN,
    Fault.DELAY,
    Fault.LOST_ANSWER,
    Fault.SLOW,
}
FAULTS_BY_STEP = {
    "dispatch": MESSAGE_FAULTS,
    "dispatch_received": PROCESS_FAULTS,
    "accepted": MESSAGE_FAULTS,
    "claim": STORE_FAULTS,
    "call": STORE_FAULTS,
    "token": PROCESS_FAULTS | {Fault.LOST_ANSWER, Fault.SLOW},
    "answer": PROCESS_FAULTS | {Fault.LOST_ANSWER},
    "record": STORE_FAULTS,
    "chunk": MESSAGE_FAULTS,
    "last_chunk": MESSAGE_FAULTS,
    "end": MESSAGE_FAULTS,
    "end_received": PROCESS_FAULTS,
    "settle": STORE_FAULTS - {Fault.DELAY},
    "void": STORE_FAULTS,
    "cancel": MESSAGE_FAULTS,
    "cancel_received": PROCESS_FAULTS,
    "cancel_confirmed": MESSAGE_FAULTS,
}
EXCLUSION_REASONS = {
    Fault.CUT_OUT: "the links are cut at the step that sends",
    Fault.CUT_IN: "the links are cut at the step that sends",
    Fault.DELAY: "the delay is injected at the step that sends",
    Fault.DUPLICATE: "only messages on links are duplicated",
    Fault.REORDER: "only messages on links are reordered",
    Fault.LOST_ANSWER: "the step is not a call with an answer",
    Fault.SLOW: "the step is not a call with an answer; see delay",
}


def exclusion_reason(step: str, fault: Fault) -> str | None:
    """Return why a fault does not apply to a step, or None."""
    return None if fault in FAULTS_BY_STEP[step] else EXCLUSION_REASONS[fault]


def find_second_runs(fleet: Fleet) -> list[str]:
    """Report a key that ran more than once (P1)."""
    count = sum(run.key == KEY for run in fleet.runs)
    return [f"the key ran {count} times"] if count > 1 else []


def find_wrong_answers(fleet: Fleet, text: str) -> list[str]:
    """Check that records calls got their own text and no false "ran" (P3)."""
    found = []
    ran = any(run.key == KEY for run in fleet.runs)
    for response in fleet.responses:
        if response.label == "outcome":
            continue
        if response.done and (response.text != text or not fleet.runs):
            found.append(
                f"{response.label} got another answer: {response.text}"
            )
        if response.outcome == RAN and not (
            ran or fleet.runs_of(response.request_id)
        ):
            found.append(
                f"{response.label} was reported as ran, but nothing ran"
            )
    return found


def find_wrong_outcomes(fleet: Fleet) -> list[str]:
    """Check the outcome query's answer against all runs, also later ones."""
    response = fleet.find_response("outcome")
    if response is None or not response.done:
        return []
    outcome = json.loads(response.text)["outcome"]
    ran = any(run.key == KEY for run in fleet.runs)
    if outcome == NOT_RUN and ran:
        return ["the outcome query said not_run, but the key ran"]
    if outcome == RAN and not ran:
        return ["the outcome query said ran, but nothing ran"]
    return []


def find_leaks(fleet: Fleet) -> list[str]:
    """Report processes that still have open attempts or keys."""
    found = []
    for name, gateway in fleet.gateways.items():
        if gateway.process.alive and gateway.components.flow.attempts.attempts:
            found.append(f"{name} has open attempts")
        if gateway.process.alive and gateway.components.flow.open_keys:
            found.append(f"{name} has open keys")
    for name, sidecar in fleet.sidecars.items():
        if sidecar.dispatcher.attempts:
            found.append(f"{name} has open attempts")
    return found


def reserve(
    fleet: Fleet, waits: tuple[float, ...] = (0.01, 0.5, 4, 11)
) -> list[str]:
    """Repeat a reservation with its key, before or after the first answer."""
    start = fleet.simulator.now()
    fleet.call(GATEWAY_1, "first", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(seconds(fleet.generator.choice(waits)))
    second_start = fleet.simulator.now()
    fleet.call(GATEWAY_2, "second", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(SETTLE_TIME)
    fleet.call(GATEWAY_2, "outcome", "GET", OUTCOME)
    fleet.simulator.run(seconds(5))
    third_start = fleet.simulator.now()
    fleet.call(GATEWAY_2, "third", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(SETTLE_TIME)
    calls = {
        "first": (GATEWAY_1, start),
        "second": (GATEWAY_2, second_start),
        "third": (GATEWAY_2, third_start),
    }
    return [
        *find_second_runs(fleet),
        *find_wrong_answers(fleet, request_fleet.records_text("/reservations")),
        *find_wrong_outcomes(fleet),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_responses(fleet, calls),
        *find_leaks(fleet),
    ]


def pause_at_claim(fleet: Fleet) -> None:
    """Pause the first sidecar at its claim, past the link timeout.

    It resumes before the deadline, so only the claim can keep it from calling
    its endpoint.
    """
    fleet.pauses = (min(request_fleet.PAUSE_SECONDS),)
    fleet.scenario_faults.append(matrix.Injection("claim", Fault.PAUSE))


def reserve_with_retry(fleet: Fleet) -> list[str]:
    """Reserve at a gateway that voids its lost attempt and retries."""
    pause_at_claim(fleet)
    return reserve(fleet, waits=(20,))


def reserve_without_retry(fleet: Fleet) -> list[str]:
    """Reserve at a gateway that voids its lost attempt and cannot retry."""
    pause_at_claim(fleet)
    for gateway in fleet.gateways.values():
        gateway.components.flow.budget.try_acquire = lambda: False
    start = fleet.simulator.now()
    fleet.call(GATEWAY_1, "first", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(SETTLE_TIME)
    return [
        *find_second_runs(fleet),
        *find_wrong_answers(fleet, request_fleet.records_text("/reservations")),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_responses(
            fleet, {"first": (GATEWAY_1, start)}
        ),
        *find_leaks(fleet),
    ]


def query_outcome(fleet: Fleet, wait: float) -> list[str]:
    """Query the outcome of an open reservation at another gateway."""
    start = fleet.simulator.now()
    fleet.call(GATEWAY_1, "first", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(seconds(wait))
    query_start = fleet.simulator.now()
    fleet.call(GATEWAY_2, "outcome", "GET", OUTCOME)
    fleet.simulator.run(SETTLE_TIME)
    calls = {"first": (GATEWAY_1, start), "outcome": (GATEWAY_2, query_start)}
    return [
        *find_second_runs(fleet),
        *find_wrong_answers(fleet, request_fleet.records_text("/reservations")),
        *find_wrong_outcomes(fleet),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_responses(fleet, calls),
        *find_leaks(fleet),
    ]


def search(fleet: Fleet) -> list[str]:
    """Make an idempotent call to a records service."""
    start = fleet.simulator.now()
    fleet.call(GATEWAY_1, "first", "POST", SEARCH, b"x")
    fleet.simulator.run(SETTLE_TIME)
    return [
        *find_wrong_answers(fleet, request_fleet.records_text("/search")),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_responses(
            fleet, {"first": (GATEWAY_1, start)}
        ),
        *find_leaks(fleet),
    ]


def find_broken_streams(fleet: Fleet, prompts: tuple[str, ...]) -> list[str]:
    """Check the text and the end of each stream (P3)."""
    found = []
    for prompt in prompts:
        response = fleet.find_response(prompt)
        if response is None:
            continue
        expected_text = request_fleet.chat_text(prompt)
        if not expected_text.startswith(response.text):
            found.append(f"{prompt} got {response.text!r}")
        if response.done and response.text != expected_text:
            found.append(f"{prompt} ended cleanly after {response.text!r}")
        if response.status and not response.done and not response.outcome:
            found.append(f"{prompt} ended without an error and without an end")
    return found


def stream(fleet: Fleet) -> list[str]:
    """Run two concurrent streams with different texts."""
    start = fleet.simulator.now()
    prompts = ("left", "right")
    for prompt in prompts:
        body = request_fleet.chat_body(prompt)
        fleet.call(GATEWAY_1, prompt, "POST", CHAT, body)
    fleet.simulator.run(SETTLE_TIME)
    calls = dict.fromkeys(prompts, (GATEWAY_1, start))
    return [
        *find_broken_streams(fleet, prompts),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_responses(fleet, calls),
        *find_leaks(fleet),
    ]


def cancel_by_client(fleet: Fleet) -> list[str]:
    """Close a stream at the client after three parts."""
    body = request_fleet.chat_body("left")
    fleet.call(GATEWAY_1, "left", "POST", CHAT, body, close_after=3)
    fleet.simulator.run(SETTLE_TIME)
    return [
        *find_broken_streams(fleet, ("left",)),
        *request_fleet.find_false_refusals(fleet),
        *find_leaks(fleet),
    ]


def cancel_overtakes(fleet: Fleet, path: str, key: str) -> list[str]:
    """Deliver the cancel that is sent at the deadline before its dispatch."""
    start = fleet.simulator.now()
    fleet.scenario_faults.append(matrix.Injection("dispatch", Fault.REORDER))
    fleet.call(GATEWAY_1, "first", "POST", path, b"x", key=key)
    fleet.simulator.run(SETTLE_TIME)
    return [
        *find_second_runs(fleet),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_responses(
            fleet, {"first": (GATEWAY_1, start)}
        ),
        *find_leaks(fleet),
    ]


Scenario = Callable[[Fleet], list[str]]
FleetMutation = Callable[[Fleet], None]


def no_mutation(_fleet: Fleet) -> None:
    """Leave the product unchanged."""


def execute(
    service: str,
    scenario: Scenario,
    cell: matrix.Cell,
    mutate: FleetMutation = no_mutation,
) -> matrix.Report:
    """Run a scenario in a new fleet, optionally with a mutation."""
    fleet = request_fleet.Fleet(cell, service)
    try:
        mutate(fleet)
        fleet.start()
        violations = scenario(fleet)
    finally:
        fleet.simulator.close()
    return matrix.Report(frozenset(fleet.injected), tuple(violations))


class FlowSpec:
    """Parameters of a flow that can also run with a mutation."""

    def __init__(
        self,
        name: str,
        service: str,
        scenario: Scenario,
        steps: tuple[str, ...],
        pairs: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.scenario = scenario
        self.steps = steps
        self.pairs = pairs

    def build(self, mutate: FleetMutation = no_mutation) -> matrix.Flow:
        run = functools.partial(
            execute, self.service, self.scenario, mutate=mutate
        )
        return matrix.Flow(
            self.name, self.steps, run, exclusion_reason, self.pairs
        )


ONCE_STEPS = (
    "dispatch",
    "dispatch_received",
    "accepted",
    "claim",
    "call",
    "answer",
    "record",
    "chunk",
    "end",
    "end_received",
)
CANCEL_STEPS = ("cancel", "cancel_received", "cancel_confirmed")
RECORDS = request_fleet.RECORDS

FLOW_SPECS = (
    FlowSpec("reservation", RECORDS, reserve, ONCE_STEPS, pairs=True),
    FlowSpec(
        "reservation_again",
        RECORDS,
        reserve_with_retry,
        ("settle", "void", "call", "answer", "record", "end"),
    ),
    FlowSpec(
        "reservation_once",
        RECORDS,
        reserve_without_retry,
        ("settle", "void"),
        pairs=True,
    ),
    FlowSpec(
        "search",
        RECORDS,
        search,
        tuple(s for s in ONCE_STEPS if s not in ("claim", "record")),
    ),
    FlowSpec(
        "stream",
        request_fleet.CHAT,
        stream,
        (
            "dispatch",
            "dispatch_received",
            "accepted",
            "call",
            "token",
            "chunk",
            "last_chunk",
            "end",
            "end_received",
        ),
    ),
    FlowSpec(
        "cancel_by_client", request_fleet.CHAT, cancel_by_client, CANCEL_STEPS
    ),
    FlowSpec(
        "cancel_overtakes_search",
        RECORDS,
        lambda fleet: cancel_overtakes(fleet, SEARCH, ""),
        (*CANCEL_STEPS, "dispatch_received"),
    ),
    FlowSpec(
        "cancel_overtakes_reserve",
        RECORDS,
        lambda fleet: cancel_overtakes(fleet, RESERVE, KEY),
        (*CANCEL_STEPS, "dispatch_received"),
        pairs=True,
    ),
    FlowSpec(
        "outcome_before_claim",
        RECORDS,
        lambda fleet: query_outcome(fleet, 0.0005),
        ("dispatch", "dispatch_received", "settle", "void"),
        pairs=True,
    ),
    FlowSpec(
        "outcome_after_claim",
        RECORDS,
        lambda fleet: query_outcome(fleet, 0.005),
        ("dispatch", "claim", "call", "answer", "record", "settle"),
    ),
)

FLOWS = tuple(spec.build() for spec in FLOW_SPECS)
