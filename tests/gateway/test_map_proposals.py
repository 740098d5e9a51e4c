"""Candidate maps from the load that sidecars report."""

import datetime

import pytest

from verbenafall_core import messages
from verbenafall_core.bundles import model
from verbenafall_gateway.operator_commands import map_proposals

GROUP = model.GroupSpec(
    "g",
    "s",
    2,
    4,
    (model.MapSpec(1, (0, 0, 1, 1)), model.MapSpec(2, (1, 1, 0, 0))),
    1.0,
    1.0,
    datetime.timedelta(),
    1,
)


def status(name, map_version, load):
    report = messages.GroupStatus("g", 1, "stable", map_version, 9, load)
    return messages.StatusReply(
        0, name, "sidecar", "d", "s", 1, 0, (), True, "", False, (report,)
    )


CASES = [
    # Loads of each sidecar, swaps, (reason, skew, moved) of each proposal.
    ([(6, 6, 0, 0)], 1, [("balanced", 1.0, 2), ("adapted", 1.0, 2)]),
    ([(6, 0, 0, 0), (0, 6, 0, 0)], 0, [("balanced", 1, 2), ("adapted", 2, 0)]),
    ([(0, 0, 0, 0)], 1, []),
    ([(1, 2)], 1, []),
    ([], 1, []),
]


class TestPropose:
    @pytest.mark.parametrize(("loads", "swaps", "expected"), CASES)
    def test_candidates(self, loads, swaps, expected):
        """Guards against proposals from the load of one engine only."""
        statuses = [status(str(n), 1, load) for n, load in enumerate(loads)]
        found = map_proposals.propose((GROUP,), statuses, swaps)
        assert [(p.reason, p.skew, p.moved) for p in found] == expected

    def test_versions_are_unused_and_moves_count_from_the_map_in_use(self):
        found = map_proposals.propose(
            (GROUP,), [status("a", 2, (6, 6, 0, 0))], 1
        )
        assert [p.map.version for p in found] == [3, 4]
        assert found[1].moved == 2
        assert '"map":{"version":4' in map_proposals.format_proposal(found[1])
