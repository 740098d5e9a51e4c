"""Fair sharing between teams by usage that decays over time.

Serving an item charges its cost divided by the team's shares, so that usage
is in proportion to shares while all teams have items. The queue serves the
team with the lowest decayed usage. All usages decay by the same factor, so
their order does not change with time: usages are stored multiplied by a common
scale that grows instead, and heaps stay valid.
"""

import collections
import datetime
import heapq
from typing import Final
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

T = TypeVar("T")

HALF_LIFE: Final = datetime.timedelta(seconds=30)
NEAR_ZERO: Final = 0.01
# Rescaling starts well before 2.0 ** exponent exceeds the range of a float.
MAX_EXPONENT: Final = 500.0
MIN_HEAP: Final = 64


class Queued(NamedTuple, Generic[T]):
    """An item taken from the queue."""

    team: str
    item: T


class Waiting(NamedTuple, Generic[T]):
    """An item in the queue."""

    item: T
    cost: float


class Team(Generic[T]):
    """State of a team whose usage is not near zero or that has items."""

    def __init__(self, name: str) -> None:
        """Create a team without usage."""
        self.name = name
        self.shares = 1
        self.usage = 0.0
        self.stamp = 0
        self.waiting: collections.OrderedDict[str, Waiting[T]] = (
            collections.OrderedDict()
        )


HeapEntry = tuple[float, int, str]


class FairQueue(Generic[T]):
    """Items of many teams; not safe to use from several threads."""

    def __init__(self, now: datetime.timedelta) -> None:
        """Create an empty queue at a reading of the monotonic clock."""
        self.origin = now
        self.teams: dict[str, Team[T]] = {}
        self.team_of: dict[str, str] = {}
        self.active: list[HeapEntry] = []
        self.idle: list[HeapEntry] = []
        self.stamp = 0
        self.active_shares = 0

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self.team_of)

    def push(
        self,
        key: str,
        team_name: str,
        shares: int,
        cost: float,
        item: T,
        now: datetime.timedelta,
    ) -> None:
        """Add an item under a key that is not in the queue."""
        self.forget_idle(now)
        team = self.teams.get(team_name)
        if team is None:
            team = self.teams[team_name] = Team(team_name)
        if team.waiting:
            self.active_shares += shares - team.shares
        else:
            self.active_shares += shares
        team.shares = shares
        team.waiting[key] = Waiting(item, cost)
        self.team_of[key] = team_name
        if len(team.waiting) == 1:
            self.place(team)

    def pop(self, now: datetime.timedelta) -> Queued[T] | None:
        """Remove and return the oldest item of the team that is next."""
        self.forget_idle(now)
        while self.active:
            _, stamp, name = heapq.heappop(self.active)
            team = self.teams.get(name)
            if team is None or team.stamp != stamp:
                continue
            key, waiting = team.waiting.popitem(last=False)
            del self.team_of[key]
            # Reading the scale can change the stored usages.
            scale = self.scale(now)
            team.usage += waiting.cost / team.shares * scale
            self.settle(team)
            return Queued(name, waiting.item)
        return None

    def remove(self, key: str) -> T | None:
        """Remove and return an item without charging its team."""
        name = self.team_of.pop(key, None)
        if name is None:
            return None
        team = self.teams[name]
        waiting = team.waiting.pop(key)
        if not team.waiting:
            self.settle(team)
        return waiting.item

    def count_queued(self, team_name: str) -> int:
        """Return the number of items of a team."""
        team = self.teams.get(team_name)
        return len(team.waiting) if team else 0

    def usage_of(self, team_name: str, now: datetime.timedelta) -> float:
        """Return the decayed usage of a team."""
        scale = self.scale(now)
        team = self.teams.get(team_name)
        return team.usage / scale if team else 0.0

    def scale(self, now: datetime.timedelta) -> float:
        """Return the factor by which a usage of now is stored."""
        exponent = (now - self.origin) / HALF_LIFE
        if exponent > MAX_EXPONENT:
            self.rescale(2.0**-exponent, now)
            return 1.0
        return float(2.0**exponent)

    def rescale(self, factor: float, now: datetime.timedelta) -> None:
        """Move the origin of the scale to now."""
        self.origin = now
        for team in self.teams.values():
            team.usage *= factor
        self.active = [(u * factor, s, t) for u, s, t in self.active]
        self.idle = [(u * factor, s, t) for u, s, t in self.idle]

    def settle(self, team: Team[T]) -> None:
        """Place a team after its items or usage changed."""
        if not team.waiting:
            self.active_shares -= team.shares
        self.place(team)

    def place(self, team: Team[T]) -> None:
        """Put a team on the heap where it belongs, making old entries void."""
        self.stamp += 1
        team.stamp = self.stamp
        heap = self.active if team.waiting else self.idle
        heapq.heappush(heap, (team.usage, team.stamp, team.name))
        if len(heap) > 2 * len(self.teams) + MIN_HEAP:
            self.compact(heap)

    def compact(self, heap: list[HeapEntry]) -> None:
        """Drop void entries, which removed items leave behind."""
        stamps = {team.stamp for team in self.teams.values()}
        heap[:] = [entry for entry in heap if entry[1] in stamps]
        heapq.heapify(heap)

    def forget_idle(self, now: datetime.timedelta) -> None:
        """Drop teams without items whose usage is near zero."""
        limit = NEAR_ZERO * self.scale(now)
        while self.idle:
            usage, stamp, name = self.idle[0]
            team = self.teams.get(name)
            if team is not None and team.stamp == stamp:
                if usage >= limit:
                    return
                del self.teams[name]
            heapq.heappop(self.idle)


def create_fair_queue(now: datetime.timedelta) -> FairQueue[T]:
    """Create an empty queue at a reading of the monotonic clock."""
    return FairQueue(now)
