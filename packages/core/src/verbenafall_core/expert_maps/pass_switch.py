"""Switches a rank group to a new map at the beginning of a pass; pure.

All ranks prepare the map. One rank then holds the group before a pass, all
ranks are armed for that pass, and only when every rank is seen to be armed is
the group released. From the first armed rank on a switch is carried on, by
the next leader if need be, and never taken back: while the group is held no
pass can begin with some ranks switched.
"""

from collections.abc import Callable
from collections.abc import Mapping
import enum
from typing import Final
from typing import NamedTuple

from verbenafall_core.expert_maps import rank_state
from verbenafall_core.expert_maps import replica_map

# Passes between the last begun one and the one that is held. One may begin
# while the order is on its way.
STEPS_AHEAD: Final = 2
# Map versions of a leadership; the next one begins above all of them.
VERSIONS_PER_TERM: Final = 10_000


class Phase(enum.StrEnum):
    """Where a switch stands.

    IDLE: No switch.
    PREPARE: The ranks copy experts.
    HOLD: One rank is told to hold the group.
    ARM: All ranks are armed.
    RELEASE: The held pass may begin.
    SETTLE: The ranks use the map as the pass begins.
    CLEAR: All ranks are disarmed, before a hold without owner is released.
    """

    IDLE = "idle"
    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    RELEASE = "release"
    SETTLE = "settle"
    CLEAR = "clear"


class RankView(NamedTuple):
    """What the leader knows of a rank.

    Attributes:
        cleared_term: Highest term of a DISARM that the engine has accepted.
        impossible_version: Map that the rank could not prepare, or 0.
    """

    report: rank_state.RankReport
    cleared_term: int
    impossible_version: int


class Switch(NamedTuple):
    """A switch while it is under way.

    Attributes:
        epoch: Epoch of the group in which it began.
        holder: Rank whose engine holds the group.
        step: Pass at which the ranks switch, 0 before it is chosen.
    """

    phase: Phase
    term: int
    epoch: int
    version: int
    placement: replica_map.Placement
    holder: int
    step: int


class Plan(NamedTuple):
    """The state of the switch and the orders that the ranks should have."""

    switch: Switch
    orders: Mapping[int, rank_state.RankOrder]


def idle(term: int) -> Switch:
    """Return the state without a switch."""
    return Switch(Phase.IDLE, term, 0, 0, (), 0, 0)


def start_switch(
    term: int,
    epoch: int,
    version: int,
    placement: replica_map.Placement,
    holder: int,
) -> Switch:
    """Return a switch whose map the ranks are to prepare."""
    return Switch(Phase.PREPARE, term, epoch, version, placement, holder, 0)


def is_complete(ranks: Mapping[int, RankView]) -> bool:
    """Return whether every rank of one open epoch is known."""
    if not ranks:
        return False
    reports = [view.report for view in ranks.values()]
    return (
        len({report.epoch for report in reports}) == 1
        and all(report.open for report in reports)
        and len(ranks) == reports[0].size
    )


def advance(switch: Switch, ranks: Mapping[int, RankView]) -> Plan:
    """Return the next state of a switch and the orders that belong to it."""
    if switch.phase is Phase.IDLE:
        return Plan(switch, {})
    if any(view.report.epoch > switch.epoch for view in ranks.values()):
        # A new epoch has nothing prepared, armed or held.
        return Plan(idle(switch.term), {})
    while True:
        following = step_phase(switch, ranks)
        if following == switch:
            return Plan(switch, orders_for(switch, ranks))
        switch = following
        if switch.phase is Phase.IDLE:
            return Plan(switch, {})


def step_phase(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Return the switch in its next phase, or as it is."""
    return _TRANSITIONS[switch.phase](switch, ranks)


def stay_idle(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Return the switch as it is."""
    del ranks
    return switch


def finish_prepare(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Go on to the hold when every rank has copied its experts."""
    if any(
        view.impossible_version == switch.version for view in ranks.values()
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
    """Go on to arming when the group is held, or try a later pass."""
    holder = ranks.get(switch.holder)
    if holder is None:
        return switch
    held = holder.report.held
    if held == switch.step:
        return switch._replace(phase=Phase.ARM)
    if held is not None and held > holder.report.step:
        # An earlier order took effect late; its hold serves as well.
        return switch._replace(step=held)
    if holder.report.step >= switch.step:
        return switch._replace(step=holder.report.step + STEPS_AHEAD)
    return switch


def finish_arm(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Release the group when every rank is armed."""
    if is_complete(ranks) and all(
        is_armed(switch, view.report) for view in ranks.values()
    ):
        return switch._replace(phase=Phase.RELEASE)
    return switch


def finish_release(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Go on when the group is not held any more."""
    holder = ranks.get(switch.holder)
    if holder is not None and holder.report.held != switch.step:
        return switch._replace(phase=Phase.SETTLE)
    return switch


def finish_settle(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """End when every rank uses the map."""
    if switch.version == 0 or all(
        view.report.map_version == switch.version for view in ranks.values()
    ):
        return idle(switch.term)
    return switch


def finish_clear(switch: Switch, ranks: Mapping[int, RankView]) -> Switch:
    """Release the group when no rank is armed and late orders are void."""
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
    """Return whether a rank is armed for the switch."""
    return report.armed == rank_state.Armed(switch.version, switch.step)


def orders_for(
    switch: Switch, ranks: Mapping[int, RankView]
) -> Mapping[int, rank_state.RankOrder]:
    """Return the orders of a phase by rank."""
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


def recover(term: int, ranks: Mapping[int, RankView]) -> Switch:
    """Return what a leader has to carry on, IDLE if there is nothing.

    Answers holds and armed ranks that an earlier leader left, and holds
    that a late order brought.
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
    begun = Switch(Phase.CLEAR, term, epoch, 0, (), holder, step)
    if len(armed) != 1:
        return begun
    target = next(iter(armed))
    if target.step != step:
        return begun
    if all(
        target.version in (view.report.prepared, view.report.map_version)
        for view in ranks.values()
    ):
        return begun._replace(phase=Phase.ARM, version=target.version)
    return begun


def next_version(term: int, last: int) -> int:
    """Return a map version above all that other leaders may have used."""
    return max(term * VERSIONS_PER_TERM, last) + 1
