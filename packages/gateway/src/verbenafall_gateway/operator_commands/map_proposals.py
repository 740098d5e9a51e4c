"""Computes candidate expert maps for the next bundle."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

import msgspec

from verbenafall_core import messages
from verbenafall_core.bundles import model
from verbenafall_core.expert_maps import proposal

DEFAULT_SWAPS: Final = 4


class Proposal(NamedTuple):
    """A candidate map for a group.

    Attributes:
        reason: "balanced" for a map computed from the load alone, "adapted" for
            the map in use with some experts swapped.
        skew: Highest load of a rank divided by the mean, for the observed load.
        moved: Number of experts on another rank than in the map in use.
    """

    group: str
    reason: str
    skew: float
    moved: int
    map: model.MapSpec


def propose(
    groups: Iterable[model.GroupSpec],
    statuses: Sequence[messages.StatusReply],
    swaps: int,
) -> list[Proposal]:
    """Return a balanced and an adapted map for each group with load.

    Args:
        groups: The groups of the bundle.
        statuses: Status of the processes, with the load of each group.
        swaps: Maximum number of expert swaps in an adapted map.
    """
    reports = [report for status in statuses for report in status.groups]
    proposals: list[Proposal] = []
    for group in groups:
        group_reports = [
            report for report in reports if report.group == group.name
        ]
        load = sum_load(group_reports, group.experts)
        if sum(load) > 0:
            proposals.extend(
                propose_for_group(group, group_reports, load, swaps)
            )
    return proposals


def sum_load(
    reports: Iterable[messages.GroupStatus], experts: int
) -> list[float]:
    """Return the tokens per expert, summed over the engines of a group.

    Reports with another number of experts are ignored.
    """
    total = [0.0] * experts
    for report in reports:
        if len(report.expert_load) == experts:
            total = [
                a + b for a, b in zip(total, report.expert_load, strict=True)
            ]
    return total


def propose_for_group(
    group: model.GroupSpec,
    reports: Sequence[messages.GroupStatus],
    load: Sequence[float],
    swaps: int,
) -> list[Proposal]:
    """Return the candidates for one group, with the next two versions."""
    in_use = find_map_in_use(group, reports)
    version = max(item.version for item in group.maps) + 1
    balanced = proposal.propose_map(version, load, group.ranks)
    adapted = proposal.adapt_map(version + 1, in_use, load, group.ranks, swaps)
    return [
        evaluate(group, "balanced", balanced, in_use, load),
        evaluate(group, "adapted", adapted, in_use, load),
    ]


def find_map_in_use(
    group: model.GroupSpec, reports: Iterable[messages.GroupStatus]
) -> model.MapSpec:
    """Return the map that the group uses, or its first if unknown."""
    versions = {report.map_version for report in reports}
    return next(
        (item for item in group.maps if item.version in versions),
        group.maps[0],
    )


def evaluate(
    group: model.GroupSpec,
    reason: str,
    candidate: model.MapSpec,
    in_use: model.MapSpec,
    load: Sequence[float],
) -> Proposal:
    """Return a candidate with its skew and its number of moved experts."""
    totals = [0.0] * group.ranks
    for expert, rank in enumerate(candidate.placement):
        totals[rank] += load[expert]
    skew = max(totals) * group.ranks / sum(totals)
    moved = sum(
        a != b
        for a, b in zip(candidate.placement, in_use.placement, strict=True)
    )
    return Proposal(group.name, reason, skew, moved, candidate)


def format_proposal(item: Proposal) -> str:
    """Return one JSON line; its "map" can be added to the bundle's maps."""
    document = {
        "group": item.group,
        "reason": item.reason,
        "skew": round(item.skew, 3),
        "moved": item.moved,
        "map": item.map._asdict(),
    }
    return msgspec.json.encode(document).decode()
