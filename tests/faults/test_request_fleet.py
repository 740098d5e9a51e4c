"""The simulated fleet works without faults and is deterministic."""

import pytest

from faults import flow_requests
from faults import matrix
from faults import request_fleet

# Flow, and the status and outcome that each client gets without faults.
EXPECTED_RESPONSES = [
    ("reservation", {"first": (201, ""), "third": (201, "")}),
    ("reservation_again", {"first": (201, ""), "second": (201, "")}),
    ("reservation_once", {"first": (502, "not_run")}),
    ("search", {"first": (201, "")}),
    ("stream", {"left": (200, ""), "right": (200, "")}),
    ("cancel_by_client", {"left": (0, "")}),
    ("cancel_overtakes_search", {"first": (504, "not_run")}),
    ("cancel_overtakes_reserve", {"first": (504, "not_run")}),
    ("outcome_before_claim", {"first": (409, "not_run")}),
    ("outcome_after_claim", {"first": (201, "")}),
]


def run_flow(name, *injections):
    """Run a flow; return its violations, responses and runs."""
    spec = next(s for s in flow_requests.FLOW_SPECS if s.name == name)
    cell = matrix.Cell(name, injections, 1)
    fleet = request_fleet.Fleet(cell, spec.service)
    try:
        fleet.start()
        violations = spec.scenario(fleet)
    finally:
        fleet.simulator.close()
    responses = [item._replace(request_id="") for item in fleet.responses]
    return (
        violations,
        responses,
        [(run.endpoint, run.key) for run in fleet.runs],
    )


class TestFleet:
    @pytest.mark.parametrize(("name", "expected"), EXPECTED_RESPONSES)
    def test_without_faults(self, name, expected):
        """Guards against cells that pass because the fleet does no work."""
        violations, responses, _runs = run_flow(name)
        outcomes = {
            item.label: (item.status, item.outcome) for item in responses
        }
        assert violations == []
        assert outcomes | expected == outcomes

    def test_every_flow_is_listed(self):
        """Guards against a flow whose run without faults is not checked."""
        assert [name for name, _ in EXPECTED_RESPONSES] == [
            spec.name for spec in flow_requests.FLOW_SPECS
        ]

    @pytest.mark.parametrize("step", ["dispatch", "call", "end"])
    @pytest.mark.parametrize("fault", [matrix.Fault.KILL, matrix.Fault.DELAY])
    @pytest.mark.parametrize("name", ["reservation", "search", "stream"])
    def test_same_seed_gives_same_run(self, name, step, fault):
        """Guards against red cells that cannot be repeated."""
        injection = matrix.Injection(step, fault)
        assert run_flow(name, injection) == run_flow(name, injection)
