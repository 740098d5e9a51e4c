"""Fault matrix: every fault at every step of every flow.

To add a flow, create a module flow_<subject>.py in this directory with a tuple
FLOWS of Flow. Its run function executes one cell and reports which faults were
injected and which checks failed. A cell whose fault was not injected is red,
because it tests nothing.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import enum
import importlib
import itertools
import pathlib
import random
from typing import NamedTuple

FLOW_DIRECTORY = pathlib.Path(__file__).parent
SECOND_STEP_NOT_REACHED = "the first fault ends the flow before the second step"


class Fault(enum.StrEnum):
    """Kind of fault that is injected at a step.

    PAUSE lasts longer than the lease or deadline concerned. From the step on,
    CUT_OUT loses everything that the acting process sends, and CUT_IN
    everything that it receives. LOST_ANSWER loses the answer of a call that
    took effect. STORE_DOWN lasts until the end of the flow unless the flow
    sets another duration. RESTORE undoes some of the latest changes of the
    store and begins its next era.
    """

    KILL = "kill"
    PAUSE = "pause"
    CUT_OUT = "cut_out"
    CUT_IN = "cut_in"
    DELAY = "delay"
    DUPLICATE = "duplicate"
    REORDER = "reorder"
    LOST_ANSWER = "lost_answer"
    SLOW = "slow"
    STORE_DOWN = "store_down"
    RESTORE = "restore"


class Injection(NamedTuple):
    """A fault to inject at a step."""

    step: str
    fault: Fault


class Cell(NamedTuple):
    """One run of a flow with one fault, or with a pair of faults."""

    flow: str
    injections: tuple[Injection, ...]
    seed: int

    @property
    def name(self) -> str:
        """Return the name under which KNOWN-RED.txt lists the cell."""
        parts = (f"{item.step}/{item.fault}" for item in self.injections)
        return f"{self.flow}:{'+'.join(parts)}"

    def create_generator(self) -> random.Random:
        """Return a random generator seeded by the cell's seed and name."""
        return random.Random(f"{self.seed}/{self.name}")


class Report(NamedTuple):
    """Result of one run.

    Attributes:
        injected: The faults that were injected.
        violations: One line for each failed check.
    """

    injected: frozenset[Injection]
    violations: tuple[str, ...]


class Flow(NamedTuple):
    """A sequence of steps and the function that runs and checks it.

    Attributes:
        run: Runs one cell in a new fixture.
        exclusion_reason: Returns why a fault does not apply to a step, or None
            if it applies.
        pairs: Whether all pairs of applicable faults are also run.
    """

    name: str
    steps: tuple[str, ...]
    run: Callable[[Cell], Report]
    exclusion_reason: Callable[[str, Fault], str | None]
    pairs: bool = False


class State(enum.StrEnum):
    """Verdict on a cell.

    HELD: The faults were injected and every check passed.
    RED: A check failed, or the only fault was not injected.
    NOT_APPLICABLE: The fault does not apply to the step, or a fault of
        a pair was not reached.
    """

    HELD = "held"
    RED = "red"
    NOT_APPLICABLE = "not applicable"


class Verdict(NamedTuple):
    """A cell with its verdict; the reason is empty for a held cell."""

    cell: Cell
    state: State
    reason: str


class Summary(NamedTuple):
    """Verdicts on all cells, and steps to which no fault applies."""

    seed: int
    verdicts: list[Verdict]
    steps_without_cells: list[str]

    def count(self, flow: str, state: State) -> int:
        """Return how many cells of a flow have the given state."""
        return sum(
            verdict.cell.flow == flow and verdict.state is state
            for verdict in self.verdicts
        )

    def red(self) -> list[Verdict]:
        """Return the red cells."""
        return [v for v in self.verdicts if v.state is State.RED]


def find_flows() -> tuple[Flow, ...]:
    """Return the flows of all flow_*.py modules."""
    found: list[Flow] = []
    for path in sorted(FLOW_DIRECTORY.glob("flow_*.py")):
        found += importlib.import_module(f"faults.{path.stem}").FLOWS
    names = [flow.name for flow in found]
    if len(set(names)) != len(names):
        raise ValueError(f"duplicate flow names: {names}")
    return tuple(found)


def run_all(flows: tuple[Flow, ...], seed: int) -> Summary:
    """Run all cells of the flows."""
    verdicts: list[Verdict] = []
    steps_without_cells: list[str] = []
    for flow in flows:
        flow_verdicts = list(run_flow(flow, seed))
        verdicts += flow_verdicts
        tested = {
            verdict.cell.injections[0].step
            for verdict in flow_verdicts
            if verdict.state is not State.NOT_APPLICABLE
        }
        steps_without_cells += [
            f"{flow.name}:{s}" for s in flow.steps if s not in tested
        ]
    return Summary(seed, verdicts, steps_without_cells)


def run_flow(flow: Flow, seed: int) -> Iterator[Verdict]:
    """Run a flow with each applicable fault, then with the pairs."""
    applicable = []
    for step, fault in itertools.product(flow.steps, Fault):
        injection = Injection(step, fault)
        cell = Cell(flow.name, (injection,), seed)
        reason = flow.exclusion_reason(step, fault)
        if reason is not None:
            yield Verdict(cell, State.NOT_APPLICABLE, reason)
            continue
        applicable.append(injection)
        yield judge(cell, flow.run(cell))
    if not flow.pairs:
        return
    for pair in itertools.permutations(applicable, 2):
        first, second = pair
        if flow.steps.index(first.step) <= flow.steps.index(second.step):
            cell = Cell(flow.name, pair, seed)
            yield judge(cell, flow.run(cell))


def judge(cell: Cell, report: Report) -> Verdict:
    """Return the verdict on the report of a cell."""
    if report.violations:
        return Verdict(cell, State.RED, "; ".join(report.violations))
    missing = [i for i in cell.injections if i not in report.injected]
    if not missing:
        return Verdict(cell, State.HELD, "")
    if len(cell.injections) > 1:
        return Verdict(cell, State.NOT_APPLICABLE, SECOND_STEP_NOT_REACHED)
    return Verdict(cell, State.RED, "the fault was not injected")


def find_unlisted(summary: Summary, known_red_text: str) -> list[Verdict]:
    """Return the red cells whose names are not words of the given text."""
    listed = set(known_red_text.split())
    return [v for v in summary.red() if v.cell.name not in listed]


def describe(summary: Summary, known_red_text: str) -> list[str]:
    """Return the lines of the printed report."""
    row = "{:<26}{:>8}{:>8}{:>6}{:>16}"
    lines = [row.format("flow", "cells", "held", "red", "not applicable")]
    flows = list(dict.fromkeys(v.cell.flow for v in summary.verdicts))
    for flow in flows:
        held, red, skipped = (summary.count(flow, state) for state in State)
        total = held + red + skipped
        lines.append(row.format(flow, total, held, red, skipped))
    reasons = collections.Counter(
        verdict.reason
        for verdict in summary.verdicts
        if verdict.state is State.NOT_APPLICABLE
    )
    lines += [f"not applicable {n}: {why}" for why, n in reasons.most_common()]
    unlisted = find_unlisted(summary, known_red_text)
    for verdict in summary.red():
        kind = "red" if verdict in unlisted else "known red"
        lines.append(f"{kind} {verdict.cell.name}: {verdict.reason}")
    lines += [f"step without cells {s}" for s in summary.steps_without_cells]
    lines.append(f"seed {summary.seed}")
    return lines
