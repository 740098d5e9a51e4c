"""Load per expert and step time per rank of a group, as sidecars report it.

The load of this sidecar's engine may be read on any thread. The caller has to
lock access to the loads of members.
"""

import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core import clock as clock_lib
from verbenafall_core import messages
from verbenafall_core.expert_maps import load_history
from verbenafall_core.expert_maps import selection
from verbenafall_sidecar.orders import order_port

# Interval at which a sidecar sends the load of its engine.
SEND_INTERVAL: Final = datetime.timedelta(seconds=5)
# Three send intervals; older step times do not show the rank's current speed.
MAX_STEP_TIME_AGE: Final = 3 * SEND_INTERVAL
# Limits the size of messages: a value takes at most five bytes in msgpack.
MAX_LOAD_VALUE: Final = 2**32 - 1


class MemberLoad(NamedTuple):
    """Load reported by a sidecar.

    Attributes:
        history: Tokens per expert, dated with the time of receipt.
        rank_step_us: Mean step time by rank, in microseconds.
    """

    history: load_history.LoadHistory
    rank_step_us: dict[int, int]


class GroupLoads:
    """Loads of this sidecar's engine and of the group's members.

    Attributes:
        own: Moving average of the load of this sidecar's engine.
        members: Last load reported by each instance.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Create an object without loads."""
        self.clock = clock
        self.own = load_history.empty_history(0)
        self.members: dict[str, MemberLoad] = {}

    def add_own(self, state: order_port.EngineState) -> None:
        """Update the moving average with the load of recent steps, unless 0."""
        if sum(state.expert_load) > 0:
            now = self.clock.monotonic()
            report = load_history.LoadReport(now, state.expert_load)
            self.own = load_history.average(self.own, report)

    def add_load(
        self,
        own: messages.GroupMember,
        state: order_port.EngineState | None,
    ) -> messages.GroupMember:
        """Return this sidecar's state with the load of its engine added."""
        times = state.rank_step_ms if state else ()
        return own._replace(
            expert_load=tuple(map(round_and_limit, self.own.load)),
            rank_step_us=tuple(round_and_limit(1000 * ms) for ms in times),
        )

    def set_member(self, member: messages.GroupMember) -> None:
        """Replace a member's load if the message contains one."""
        if not member.expert_load and not member.rank_step_us:
            return
        now = self.clock.monotonic()
        load = tuple(map(float, member.expert_load))
        times = zip(member.ranks, member.rank_step_us, strict=False)
        self.members[member.instance] = MemberLoad(
            load_history.LoadHistory(now, load), dict(times)
        )

    def total(self, experts: int) -> load_history.GroupLoad:
        """Sum the loads that are at most MAX_LOAD_AGE old; remove older ones.

        Step times are included if they are at most MAX_STEP_TIME_AGE old.
        """
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


def round_and_limit(value: float) -> int:
    """Round a value and limit it to the range that is sent."""
    return max(0, min(MAX_LOAD_VALUE, round(value)))


def age_of(load: MemberLoad, now: datetime.timedelta) -> datetime.timedelta:
    """Return the time since a load was received."""
    return now - (load.history.as_of or now)


def create_group_loads(clock: clock_lib.Clock) -> GroupLoads:
    """Create an object without loads."""
    return GroupLoads(clock)
