"""Requests from client to endpoint: P1, P2 and P3 seen from outside."""

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
# Longer than a pause, a deadline and the time for a late record together.
SETTLED = seconds(60)
NOT_RUN = outcomes.Outcome.NOT_RUN
RAN = outcomes.Outcome.RAN

PROCESS_FAULTS = frozenset({Fault.KILL, Fault.PAUSE, Fault.STORE_DOWN})
SENT_FAULTS = PROCESS_FAULTS | {
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
FAULTS_OF_STEP = {
    "dispatch": SENT_FAULTS,
    "dispatch_received": PROCESS_FAULTS,
    "accepted": SENT_FAULTS,
    "claim": STORE_FAULTS,
    "call": STORE_FAULTS,
    "token": PROCESS_FAULTS | {Fault.LOST_ANSWER, Fault.SLOW},
    "answer": PROCESS_FAULTS | {Fault.LOST_ANSWER},
    "record": STORE_FAULTS,
    "chunk": SENT_FAULTS,
    "last_chunk": SENT_FAULTS,
    "end": SENT_FAULTS,
    "end_received": PROCESS_FAULTS,
    "settle": STORE_FAULTS - {Fault.DELAY},
    "void": STORE_FAULTS,
    "cancel": SENT_FAULTS,
    "cancel_received": PROCESS_FAULTS,
    "cancel_confirmed": SENT_FAULTS,
}
WHY_NOT = {
    Fault.CUT_OUT: "the links are cut at the step that sends",
    Fault.CUT_IN: "the links are cut at the step that sends",
    Fault.DELAY: "the delay is injected at the step that sends",
    Fault.DUPLICATE: "only messages on links are duplicated",
    Fault.REORDER: "only messages on links are reordered",
    Fault.LOST_ANSWER: "the step is no call with an answer",
    Fault.SLOW: "the step is no call with an answer; see delay",
}


def why_not(step: str, fault: Fault) -> str | None:
    """Name the faults that a step cannot have."""
    return None if fault in FAULTS_OF_STEP[step] else WHY_NOT[fault]


def find_second_runs(fleet: Fleet) -> list[str]:
    """Check that a key ran at most once (P1)."""
    count = sum(run.key == KEY for run in fleet.runs)
    return [f"the key ran {count} times"] if count > 1 else []


def find_wrong_answers(fleet: Fleet, text: str) -> list[str]:
    """Check the plain answers of records calls (P3, and "ran" is true)."""
    found = []
    ran = any(run.key == KEY for run in fleet.runs)
    for told in fleet.told:
        if told.label == "outcome":
            continue
        if told.done and (told.text != text or not fleet.runs):
            found.append(f"{told.label} got another answer: {told.text}")
        if told.outcome == RAN and not (ran or fleet.runs_of(told.request_id)):
            found.append(f"{told.label} was told ran, but nothing ran")
    return found


def find_wrong_outcomes(fleet: Fleet) -> list[str]:
    """Check what the outcome query said against all runs, later ones too."""
    told = fleet.told_to("outcome")
    if told is None or not told.done:
        return []
    outcome = json.loads(told.text)["outcome"]
    ran = any(run.key == KEY for run in fleet.runs)
    if outcome == NOT_RUN and ran:
        return ["the outcome query said not_run, but the key ran"]
    if outcome == RAN and not ran:
        return ["the outcome query said ran, but nothing ran"]
    return []


def find_leaks(fleet: Fleet) -> list[str]:
    """Check that no process keeps an attempt open."""
    found = []
    for name, gateway in fleet.gateways.items():
        if gateway.process.alive and gateway.parts.flow.attempts.attempts:
            found.append(f"{name} has open attempts")
        if gateway.process.alive and gateway.parts.flow.open_keys:
            found.append(f"{name} holds keys")
    for name, sidecar in fleet.sidecars.items():
        if sidecar.dispatcher.attempts:
            found.append(f"{name} has open attempts")
    return found


def reserve(
    fleet: Fleet, waits: tuple[float, ...] = (0.01, 0.5, 4, 11)
) -> list[str]:
    """A client repeats a reservation by its key, before or after an answer."""
    start = fleet.simulator.now()
    fleet.call(GATEWAY_1, "first", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(seconds(fleet.generator.choice(waits)))
    second = fleet.simulator.now()
    fleet.call(GATEWAY_2, "second", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(SETTLED)
    fleet.call(GATEWAY_2, "outcome", "GET", OUTCOME)
    fleet.simulator.run(seconds(5))
    third = fleet.simulator.now()
    fleet.call(GATEWAY_2, "third", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(SETTLED)
    calls = {
        "first": (GATEWAY_1, start),
        "second": (GATEWAY_2, second),
        "third": (GATEWAY_2, third),
    }
    return [
        *find_second_runs(fleet),
        *find_wrong_answers(fleet, request_fleet.records_text("/reservations")),
        *find_wrong_outcomes(fleet),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_answers(fleet, calls),
        *find_leaks(fleet),
    ]


def pause_at_claim(fleet: Fleet) -> None:
    """Pause the first sidecar at its claim, from before the link's end.

    It goes on before the deadline, so only the claim can stop it.
    """
    fleet.pauses = (min(request_fleet.PAUSES),)
    fleet.scripted.append(matrix.Injection("claim", Fault.PAUSE))


def reserve_again(fleet: Fleet) -> list[str]:
    """The gateway voids its lost attempt and tries another endpoint."""
    pause_at_claim(fleet)
    return reserve(fleet, waits=(20,))


def reserve_once(fleet: Fleet) -> list[str]:
    """The gateway voids its lost attempt and has no budget for another."""
    pause_at_claim(fleet)
    for gateway in fleet.gateways.values():
        gateway.parts.flow.budget.try_acquire = lambda: False
    start = fleet.simulator.now()
    fleet.call(GATEWAY_1, "first", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(SETTLED)
    return [
        *find_second_runs(fleet),
        *find_wrong_answers(fleet, request_fleet.records_text("/reservations")),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_answers(fleet, {"first": (GATEWAY_1, start)}),
        *find_leaks(fleet),
    ]


def query(fleet: Fleet, wait: float) -> list[str]:
    """An outcome query at another gateway while a reservation is open."""
    start = fleet.simulator.now()
    fleet.call(GATEWAY_1, "first", "POST", RESERVE, b"x", key=KEY)
    fleet.simulator.run(seconds(wait))
    asked = fleet.simulator.now()
    fleet.call(GATEWAY_2, "outcome", "GET", OUTCOME)
    fleet.simulator.run(SETTLED)
    calls = {"first": (GATEWAY_1, start), "outcome": (GATEWAY_2, asked)}
    return [
        *find_second_runs(fleet),
        *find_wrong_answers(fleet, request_fleet.records_text("/reservations")),
        *find_wrong_outcomes(fleet),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_answers(fleet, calls),
        *find_leaks(fleet),
    ]


def search(fleet: Fleet) -> list[str]:
    """An idempotent call of a records service."""
    start = fleet.simulator.now()
    fleet.call(GATEWAY_1, "first", "POST", SEARCH, b"x")
    fleet.simulator.run(SETTLED)
    return [
        *find_wrong_answers(fleet, request_fleet.records_text("/search")),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_answers(fleet, {"first": (GATEWAY_1, start)}),
        *find_leaks(fleet),
    ]


def find_broken_streams(fleet: Fleet, prompts: tuple[str, ...]) -> list[str]:
    """Check that a stream is a part of its own answer, and its end (P3)."""
    found = []
    for prompt in prompts:
        told = fleet.told_to(prompt)
        if told is None:
            continue
        whole = request_fleet.chat_text(prompt)
        if not whole.startswith(told.text):
            found.append(f"{prompt} got {told.text!r}")
        if told.done and told.text != whole:
            found.append(f"{prompt} ended cleanly after {told.text!r}")
        if told.status and not told.done and not told.outcome:
            found.append(f"{prompt} ended without an error and without an end")
    return found


def stream(fleet: Fleet) -> list[str]:
    """Two streams at a time, each with a text of its own."""
    start = fleet.simulator.now()
    prompts = ("left", "right")
    for prompt in prompts:
        body = request_fleet.chat_body(prompt)
        fleet.call(GATEWAY_1, prompt, "POST", CHAT, body)
    fleet.simulator.run(SETTLED)
    calls = dict.fromkeys(prompts, (GATEWAY_1, start))
    return [
        *find_broken_streams(fleet, prompts),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_answers(fleet, calls),
        *find_leaks(fleet),
    ]


def cancel(fleet: Fleet) -> list[str]:
    """A client that closes its stream, and a call cancelled at its deadline."""
    body = request_fleet.chat_body("left")
    fleet.call(GATEWAY_1, "left", "POST", CHAT, body, close_after=3)
    fleet.simulator.run(SETTLED)
    return [
        *find_broken_streams(fleet, ("left",)),
        *request_fleet.find_false_refusals(fleet),
        *find_leaks(fleet),
    ]


def cancel_overtakes(fleet: Fleet, path: str, key: str) -> list[str]:
    """A cancel at the deadline that reaches the sidecar before its dispatch."""
    start = fleet.simulator.now()
    fleet.scripted.append(matrix.Injection("dispatch", Fault.REORDER))
    fleet.call(GATEWAY_1, "first", "POST", path, b"x", key=key)
    fleet.simulator.run(SETTLED)
    return [
        *find_second_runs(fleet),
        *request_fleet.find_false_refusals(fleet),
        *request_fleet.find_late_answers(fleet, {"first": (GATEWAY_1, start)}),
        *find_leaks(fleet),
    ]


Scenario = Callable[[Fleet], list[str]]
Change = Callable[[Fleet], None]


def unchanged(_fleet: Fleet) -> None:
    """Leave the mechanisms as they are."""


def execute(
    service: str,
    scenario: Scenario,
    cell: matrix.Cell,
    change: Change = unchanged,
) -> matrix.Report:
    """Run a scenario in a new fleet; a change replaces mechanisms."""
    fleet = request_fleet.Fleet(cell, service)
    try:
        change(fleet)
        fleet.start()
        violations = scenario(fleet)
    finally:
        fleet.simulator.close()
    return matrix.Report(frozenset(fleet.injected), tuple(violations))


class FlowSpec:
    """A flow that tests can also run with a changed mechanism."""

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

    def build(self, change: Change = unchanged) -> matrix.Flow:
        run = functools.partial(
            execute, self.service, self.scenario, change=change
        )
        return matrix.Flow(self.name, self.steps, run, why_not, self.pairs)


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
        reserve_again,
        ("settle", "void", "call", "answer", "record", "end"),
    ),
    FlowSpec(
        "reservation_once",
        RECORDS,
        reserve_once,
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
    FlowSpec("cancel_by_client", request_fleet.CHAT, cancel, CANCEL_STEPS),
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
        lambda fleet: query(fleet, 0.0005),
        ("dispatch", "dispatch_received", "settle", "void"),
        pairs=True,
    ),
    FlowSpec(
        "outcome_after_claim",
        RECORDS,
        lambda fleet: query(fleet, 0.005),
        ("dispatch", "claim", "call", "answer", "record", "settle"),
    ),
)

FLOWS = tuple(scenario.build() for scenario in FLOW_SPECS)
