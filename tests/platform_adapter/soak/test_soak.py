"""Short seeded runs of the soak, and the seeds that have failed before."""

import random

import pytest

from platform_adapter.soak import records as records_lib
from platform_adapter.soak import run as run_lib
from platform_adapter.soak import schedule

SIZE = run_lib.Size()
# Seeds that failed once, with the cause.
SEEDS = (
    3,  # A stopping gateway cut a stream that it could not finish.
    105,  # A SIGHUP ended a gateway that was exiting.
    108,  # A gateway forwarded a request after its stop had ended.
    121,  # The soak checked an answer before its run was recorded.
)


class TestSchedule:
    def test_same_seed_draws_the_same_faults(self):
        first, second = (
            schedule.draw_faults(random.Random(7), 4, 5, 12.0) for _ in range(2)
        )
        assert first == second

    def test_all_kinds_are_drawn(self):
        drawn = {
            fault.kind
            for seed in range(200)
            for fault in (
                *schedule.draw_faults(random.Random(seed), 4, 5, 12.0),
                *schedule.draw_statements(random.Random(seed), 5, 12.0),
            )
        }
        assert drawn == set(schedule.Kind)


class TestSoak:
    @pytest.mark.system
    @pytest.mark.parametrize("seed", [1, 2])
    def test_part_that_crashes_endpoints(self, seed, tmp_path):
        size = SIZE._replace(deadly=records_lib.DeadlyShares(0.05, 0.0))
        result = run_lib.run_seed(seed, size, tmp_path)
        assert result.findings == []
        assert result.answered > 0

    @pytest.mark.system
    def test_request_that_crashes_endpoints(self, tmp_path):
        size = SIZE._replace(deadly=records_lib.DeadlyShares(0.0, 0.05))
        result = run_lib.run_seed(1, size, tmp_path)
        assert result.findings == []
        assert result.answered > 0

    @pytest.mark.system
    @pytest.mark.parametrize("seed", [1, 2])
    def test_endpoints_that_say_they_leave_or_pause(self, seed, tmp_path):
        size = SIZE._replace(statements=True)
        result = run_lib.run_seed(seed, size, tmp_path)
        assert result.findings == []
        assert result.answered > 0

    @pytest.mark.system
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_promise_is_broken(self, seed, tmp_path):
        result = run_lib.run_seed(seed, SIZE, tmp_path)
        assert result.findings == []
        assert result.answered > 0
