"""Tests that run the fault matrix, and tests of its verdicts."""

import pytest

from faults import matrix
import known_red

Fault = matrix.Fault
RESTORE = Fault.RESTORE
# Seeds beyond that of the whole matrix; they vary what a restore loses.
RESTORE_SEEDS = (2, 3, 4)
INJECTION = matrix.Injection("step", Fault.KILL)
CELL = matrix.Cell("flow", (INJECTION,), 1)


def create_flow(report, exclusion_reason=lambda _step, _fault: None):
    return matrix.Flow(
        "flow", ("step",), lambda _cell: report, exclusion_reason
    )


class TestMatrix:
    # The flow with the most fault pairs takes most of the matrix's run time.
    @pytest.mark.timeout(300)
    @pytest.mark.parametrize("flow", matrix.find_flows(), ids=lambda f: f.name)
    def test_no_cell_is_red(self, flow):
        """Guards against a property that a fault at some step violates."""
        summary = matrix.run_all((flow,), seed=1)
        known_red_text = known_red.read_text()
        assert matrix.find_unlisted(summary, known_red_text) == []
        assert summary.steps_without_cells == []


class TestRestore:
    @pytest.mark.parametrize("flow", matrix.find_flows(), ids=lambda f: f.name)
    @pytest.mark.parametrize("seed", RESTORE_SEEDS)
    def test_store_restored_at_any_step(self, flow, seed):
        """Guards against flows that rely on what a restore has lost."""
        cells = [
            matrix.Cell(flow.name, (matrix.Injection(step, RESTORE),), seed)
            for step in flow.steps
            if flow.exclusion_reason(step, RESTORE) is None
        ]
        known_red_text = known_red.read_text().split()
        red = [
            verdict
            for cell in cells
            if cell.name not in known_red_text
            and (verdict := matrix.judge(cell, flow.run(cell))).reason
        ]
        assert red == []


class TestRules:
    @pytest.mark.parametrize(
        ("report", "state"),
        [
            (matrix.Report(frozenset({INJECTION}), ()), matrix.State.HELD),
            (matrix.Report(frozenset({INJECTION}), ("x",)), matrix.State.RED),
            (matrix.Report(frozenset(), ()), matrix.State.RED),
        ],
    )
    def test_verdict(self, report, state):
        """Guards against cells that count as held without their fault."""
        assert matrix.judge(CELL, report).state is state

    def test_step_without_cells(self):
        """Guards against steps at which no fault is ever injected."""
        report = matrix.Report(frozenset(), ())
        flow = create_flow(report, lambda _step, _fault: "no")
        summary = matrix.run_all((flow,), 1)
        assert summary.steps_without_cells == ["flow:step"]

    def test_only_listed_cells_are_accepted(self):
        """Guards against a known-red list that hides unlisted red cells."""
        report = matrix.Report(frozenset(), ("x",))
        summary = matrix.run_all((create_flow(report),), 1)
        unlisted = matrix.find_unlisted(summary, "flow:step/kill seed 1: x")
        assert len(summary.red()) == len(Fault)
        assert len(unlisted) == len(Fault) - 1
