"""The fleet of the request flows: runs without faults, and repeats."""

import pytest

from faults import flow_requests
from faults import matrix
from faults import request_fleet

# Flow; status and outcome that each client is told without faults.
TOLD = [
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


def observe(name, *injections):
    """Run a flow; return the findings, what was told and what ran."""
    spec = next(s for s in flow_requests.FLOW_SPECS if s.name == name)
    cell = matrix.Cell(name, injections, 1)
    fleet = request_fleet.Fleet(cell, spec.service)
    try:
        fleet.start()
        found = spec.scenario(fleet)
    finally:
        fleet.simulator.close()
    told = [item._replace(request_id="") for item in fleet.told]
    return found, told, [(run.endpoint, run.key) for run in fleet.runs]


class TestFleet:
    @pytest.mark.parametrize(("name", "expected"), TOLD)
    def test_without_faults(self, name, expected):
        """Guards against cells that hold because nothing works."""
        found, told, _runs = observe(name)
        answers = {item.label: (item.status, item.outcome) for item in told}
        assert found == []
        assert answers | expected == answers

    def test_every_flow_is_listed(self):
        """Guards against a flow whose run without faults is not checked."""
        assert [name for name, _ in TOLD] == [
            spec.name for spec in flow_requests.FLOW_SPECS
        ]

    @pytest.mark.parametrize("step", ["dispatch", "call", "end"])
    @pytest.mark.parametrize("fault", [matrix.Fault.KILL, matrix.Fault.DELAY])
    @pytest.mark.parametrize("name", ["reservation", "search", "stream"])
    def test_a_seed_gives_one_run(self, name, step, fault):
        """Guards against red cells that cannot be repeated."""
        injection = matrix.Injection(step, fault)
        assert observe(name, injection) == observe(name, injection)
