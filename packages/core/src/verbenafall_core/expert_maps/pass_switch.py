"""State machine that switches a rank group to a new map; pure.

All ranks prepare the map. One rank then holds the group before a pass, all
ranks are armed for that pass, and the group is released only after every rank
has reported that it is armed. While the group is held, no pass can start with
only some of the ranks switched. Once a rank is armed, the switch is therefore
completed, if necessary by the next leader, and never rolled back.
"""

from collections.abc import Callable
from collections.abc import Mapping
import enum
from typing import Final
from typing import NamedTuple

from verbenafall_core.expert_maps import rank_state
from verbenafall_core.expert_maps import replica_map
from verbenafall_core.object_store import revisions

# Distance of the held pass from the last started one. The next pass may start
# while the order is in transit.
STEPS_AHEAD: Final = 2
# Map versions reserved for each term, so that terms do not share versions.
VERSIONS_PER_TERM: Final = 10_000


class Phase(enum.StrEnum):
    """Phase of a switch.

    IDLE: No switch.
    PREPARE: The ranks copy experts.
    HOLD: One rank is ordered to hold the group.
    ARM: All ranks are ordered to arm.
    RELEASE: The holder is ordered to release the held pass.
    SETTLE: Waiting until all ranks report the new map. Holds of other leaders
        that block the pass are released.
    CLEAR: All ranks are disarmed before the release of a hold that belongs to
        no switch.
    """

    IDLE = "idle"
    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    RELEASE = "release"
    SETTLE = "settle"
    CLEAR = "clear"


class RankView(NamedTuple):
    """State of a rank as known to the leader.

    Attributes:
        report: Last state that the engine reported.
        cleared_term: Term of the last DISARM that the engine answered with
            ACCEPTED or CONFLICT.
        impossible_version: Map that the rank could not prepare, or 0.
    """

    report: rank_state.RankReport
    cleared_term: int
    impossible_version: int


class Switch(NamedTuple):
    """A switch in progress.

    Attributes:
        epoch: Epoch of the group in which the switch started.
        holder: Rank whose engine holds the group.
        step: Pass at which the ranks switch, 0 until it is chosen.
    """

    phase: Phase
    term: int
    epoch: int
    version: int
    placement: replica_map.Placement
    holder: int
    step: int


class Plan(NamedTuple):
    """The state of the switch and the current order for each rank."""

    switch: Switch
    orders: Mapping[int, rank_state.RankOrder]


def idle(term: int) -> Switch:
    """Return the state in which no switch is in progress."""
    return Switch(Phase.IDLE, term, 0, 0, (), 0, 0)


def start_switch(
    term: int,
    epoch: int,
    version: int,
    placement: replica_map.Placement,
    holder: int,
) -> Switch:
    """Return a new switch, in which the ranks first prepare the map."""
    return Switch(Phase.PREPARE, term, epoch, version, placement, holder, 0)


def is_complete(ranks: Mapping[int, RankView]) -> bool:
    """Return whether all ranks are known, in one epoch and open."""
    if not ranks:
        return False
    reports = [view.report for view in ranks.values()]
    return (
        len({report.epoch for report in reports}) == 1
        and all(report.open for report in reports)
        and len(ranks) == reports[0].size
    )


def advance(switch: Switch, ranks: Mapping[int, RankView]) -> Plan:
    """Advance a switch through all phases that are done.

    Returns:
        The new state and its orders; no orders when it is idle.
    """
    if switch.phase is Phase.IDLE:
        return Plan(switch, {})
    if any(view.report.epoch > switch.epoch for view in ranks.values()):
        # A group formed in a new epoch has no rank prepared, armed or held.
        return Plan(idle(switch.term), {})
    while True:
        next_switch = next_state(switch, ranks)
        if next_switch == switch:
            return Plan(switch, orders_for(switch, ranks))
        switch = next_switch
        if switch.phase is Phase.IDLE:
            return Plan(switch, {})


def next_state(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Return the switch after at most one transition."""
    return _TRANSITIONS[switch.phase](switch, ranks)


def stay_idle(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Return the switch unchanged."""
    del ranks
    return switch


def finish_prepare(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Enter HOLD when all ranks are prepared.

    Abandons an impossible map, and any map while a pass is held: the hold is
    not of this switch and must be recovered first.
    """
    if any(
        view.impossible_version == switch.version
        or view.report.held is not None
        for view in ranks.values()
    ):
        return idle(switch.term)
    holder = ranks.get(switch.holder)
    if holder is None or not is_complete(ranks):
        return switch
    if all(view.report.prepared == switch.version for view in ranks.values()):
        step = holder.report.step + STEPS_AHEAD
        return switch._replace(phase=Phase.HOLD, step=step)
    return switch


def finish_hold(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Enter ARM when the group is held; choose a later pass if missed."""
    holder = ranks.get(switch.holder)
    if holder is None:
        return switch
    held = holder.report.held
    if held == switch.step:
        return switch._replace(phase=Phase.ARM)
    if held is not None and held > holder.report.step:
        # An earlier order took effect late; its hold can be used.
        return switch._replace(step=held)
    if holder.report.step >= switch.step:
        return switch._replace(step=holder.report.step + STEPS_AHEAD)
    return switch


def finish_arm(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Enter RELEASE when every rank is armed for the held pass."""
    if is_complete(ranks) and all(
        is_armed(switch, view.report) for view in ranks.values()
    ):
        return switch._replace(phase=Phase.RELEASE)
    return switch


def finish_release(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Enter SETTLE when the holder no longer holds the pass."""
    holder = ranks.get(switch.holder)
    if holder is not None and holder.report.held != switch.step:
        return switch._replace(phase=Phase.SETTLE)
    return switch


def finish_settle(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Return to IDLE when every rank uses the map."""
    if switch.version == 0 or all(
        view.report.map_version == switch.version for view in ranks.values()
    ):
        return idle(switch.term)
    return switch


def finish_clear(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Enter RELEASE when no rank is armed and late orders are fenced off."""
    if is_complete(ranks) and all(
        view.cleared_term >= switch.term and view.report.armed is None
        for view in ranks.values()
    ):
        return switch._replace(phase=Phase.RELEASE)
    return switch


_TRANSITIONS: Final[Mapping[Phase, Callable[..., Switch]]] = {
    Phase.IDLE: stay_idle,
    Phase.PREPARE: finish_prepare,
    Phase.HOLD: finish_hold,
    Phase.ARM: finish_arm,
    Phase.RELEASE: finish_release,
    Phase.SETTLE: finish_settle,
    Phase.CLEAR: finish_clear,
}


def is_armed(switch: Switch, report: rank_state.RankReport) -> bool:
    """Return whether a rank is armed for the map and pass of the switch."""
    return report.armed == rank_state.Armed(switch.version, switch.step)


def orders_for(
    switch: Switch, ranks: Mapping[int, RankView]
) -> Mapping[int, rank_state.RankOrder]:
    """Return the orders of the current phase by rank."""
    if switch.phase is Phase.SETTLE:
        return {
            rank: release_order(switch, view.report.held)
            for rank, view in ranks.items()
            if view.report.held is not None and view.report.held <= switch.step
        }
    kinds = {
        Phase.PREPARE: rank_state.OrderKind.PREPARE,
        Phase.HOLD: rank_state.OrderKind.HOLD,
        Phase.ARM: rank_state.OrderKind.ARM,
        Phase.RELEASE: rank_state.OrderKind.RELEASE,
        Phase.CLEAR: rank_state.OrderKind.DISARM,
    }
    kind = kinds.get(switch.phase)
    if kind is None:
        return {}
    placement = switch.placement if switch.phase is Phase.PREPARE else ()
    order = rank_state.RankOrder(
        kind,
        switch.term,
        switch.epoch,
        switch.version,
        switch.step,
        placement,
    )
    if switch.phase in (Phase.HOLD, Phase.RELEASE):
        return {switch.holder: order}
    return dict.fromkeys(ranks, order)


def release_order(switch: Switch, step: int) -> rank_state.RankOrder:
    """Return the order that releases a pass."""
    return rank_state.RankOrder(
        rank_state.OrderKind.RELEASE,
        switch.term,
        switch.epoch,
        switch.version,
        step,
        (),
    )


def recover(term: int, ranks: Mapping[int, RankView]) -> Switch:
    """Return the switch that a new leader must complete, IDLE if none.

    Handles holds and armed ranks left by an earlier leader, and holds caused
    by an order that took effect late. Resumes at ARM if one target is armed
    for the held pass and every rank has it; otherwise clears.
    """
    if not is_complete(ranks):
        return idle(term)
    held = {
        rank: view.report.held
        for rank, view in ranks.items()
        if view.report.held is not None
    }
    if not held:
        return idle(term)
    holder, step = max(held.items(), key=lambda item: item[1])
    epoch = ranks[holder].report.epoch
    armed = {
        view.report.armed
        for view in ranks.values()
        if view.report.armed is not None
    }
    recovered = Switch(Phase.CLEAR, term, epoch, 0, (), holder, step)
    if len(armed) != 1:
        return recovered
    target = next(iter(armed))
    if target.step != step:
        return recovered
    if all(
        target.version in (view.report.prepared, view.report.map_version)
        for view in ranks.values()
    ):
        return recovered._replace(phase=Phase.ARM, version=target.version)
    return recovered


def next_version(term: int, last: int) -> int:
    """Return a map version above all that earlier terms may have used.

    A term is a store revision. The eras of the versions are as far apart as
    those of the terms, so a version stays exact in JSON. That holds the order
    unless a restore takes back 2**NUMBER_BITS / VERSIONS_PER_TERM changes.
    """
    start_of_era = revisions.create_revision(revisions.era_of(term), 0)
    first = start_of_era + revisions.number_of(term) * VERSIONS_PER_TERM
    return max(first, last) + 1
