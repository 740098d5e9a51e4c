"""Load per expert and step time per rank of a group, as sidecars report it.

The own load may be described on any thread. What members reported needs the
caller's lock.
"""

import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core import clock as clock_lib
from verbenafall_core import messages
from verbenafall_core.expert_maps import load_history
from verbenafall_core.expert_maps import selection
from verbenafall_sidecar.orders import order_port

# How often a sidecar sends the load of its engine.
SEND_INTERVAL: Final = datetime.timedelta(seconds=5)
# Three messages; older step times say nothing of the rank as it is now.
MAX_STEP_TIME_AGE: Final = 3 * SEND_INTERVAL
# Bounds the size of a message: five bytes a value in msgpack.
MAX_LOAD_VALUE: Final = 2**32 - 1


class MemberLoad(NamedTuple):
    """Load that a sidecar reported.

    Attributes:
        history: Tokens per expert, as of the arrival of the report.
        rank_step_us: Mean step time by rank.
    """

    history: load_history.LoadHistory
    rank_step_us: dict[int, int]


class GroupLoads:
    """The load of the own engine, and what the group's sidecars reported."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Create an object without reports."""
        self.clock = clock
        self.own = load_history.empty_history(0)
        self.members: dict[str, MemberLoad] = {}

    def add_own(self, state: order_port.EngineState) -> None:
        """Add the load of the engine's recent steps to the own mean."""
        if sum(state.expert_load) > 0:
            now = self.clock.monotonic()
            report = load_history.LoadReport(now, state.expert_load)
            self.own = load_history.average(self.own, report)

    def describe(
        self,
        own: messages.GroupMember,
        state: order_port.EngineState | None,
    ) -> messages.GroupMember:
        """Return the own message with the load of the own engine."""
        times = state.rank_step_ms if state else ()
        return own._replace(
            expert_load=tuple(map(limit_value, self.own.load)),
            rank_step_us=tuple(limit_value(1000 * ms) for ms in times),
        )

    def keep(self, member: messages.GroupMember) -> None:
        """Keep the load of a message, if it has any."""
        if not member.expert_load and not member.rank_step_us:
            return
        now = self.clock.monotonic()
        load = tuple(map(float, member.expert_load))
        times = zip(member.ranks, member.rank_step_us, strict=False)
        self.members[member.instance] = MemberLoad(
            load_history.LoadHistory(now, load), dict(times)
        )

    def total(self, experts: int) -> load_history.GroupLoad:
        """Return the load of all engines that were heard of lately."""
        now = self.clock.monotonic()
        self.members = {
            instance: load
            for instance, load in self.members.items()
            if age_of(load, now) <= selection.MAX_LOAD_AGE
        }
        loads = list(self.members.values())
        parts = [load.history for load in loads if any(load.history.load)]
        return load_history.GroupLoad(
            load_history.sum_histories(parts, experts),
            {
                rank: us / 1000
                for load in loads
                if age_of(load, now) <= MAX_STEP_TIME_AGE
                for rank, us in load.rank_step_us.items()
            },
        )


def limit_value(value: float) -> int:
    """Return a value as it is sent."""
    return max(0, min(MAX_LOAD_VALUE, round(value)))


def age_of(load: MemberLoad, now: datetime.timedelta) -> datetime.timedelta:
    """Return the time since a load was reported."""
    return now - (load.history.as_of or now)


def create_group_loads(clock: clock_lib.Clock) -> GroupLoads:
    """Create an object without reports."""
    return GroupLoads(clock)
