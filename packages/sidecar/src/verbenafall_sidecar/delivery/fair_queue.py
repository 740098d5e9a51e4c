"""Weighted fair queue over teams, with usage that decays over time.

Serving an item charges its team the item's cost divided by the team's shares,
and the team with the lowest decayed usage is served next. While all teams
have items, they are therefore served in proportion to their shares.

All usages decay by the same factor, so their order does not depend on time.
Instead of decaying every stored usage, new charges are multiplied by a scale
that grows with time, which keeps the heaps valid.
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
NEGLIGIBLE_USAGE: Final = 0.01
# Rescale well before 2.0 ** exponent overflows a float.
MAX_SCALE_EXPONENT: Final = 500.0
MIN_COMPACT_SIZE: Final = 64


class PoppedItem(NamedTuple, Generic[T]):
    """An item removed from the queue to be served."""

    team: str
    item: T


class QueueEntry(NamedTuple, Generic[T]):
    """A queued item with its cost."""

    item: T
    cost: float


class Team(Generic[T]):
    """State of a team that has queued items or non-negligible usage.

    Attributes:
        usage: Usage multiplied by the queue's scale.
        version: Version of the team's valid heap entry; entries with another
            version are stale.
    """

    def __init__(self, name: str) -> None:
        """Create a team with one share and no usage."""
        self.name = name
        self.shares = 1
        self.usage = 0.0
        self.version = 0
        self.entries: collections.OrderedDict[str, QueueEntry[T]] = (
            collections.OrderedDict()
        )


# Scaled usage, version and name of a team.
HeapEntry = tuple[float, int, str]


class FairQueue(Generic[T]):
    """Items of many teams; not thread-safe.

    Attributes:
        active: Heap of teams with items, by usage; may hold stale entries.
        idle: Heap of teams without items, by usage; may hold stale entries.
        active_shares: Sum of the shares of all teams with items.
    """

    def __init__(self, now: datetime.timedelta) -> None:
        """Create an empty queue; now is the monotonic time."""
        self.scale_origin = now
        self.teams: dict[str, Team[T]] = {}
        self.team_by_key: dict[str, str] = {}
        self.active: list[HeapEntry] = []
        self.idle: list[HeapEntry] = []
        self.version = 0
        self.active_shares = 0

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self.team_by_key)

    def push(
        self,
        key: str,
        team_name: str,
        shares: int,
        cost: float,
        item: T,
        now: datetime.timedelta,
    ) -> None:
        """Add an item; its key must not be in the queue."""
        self.remove_idle(now)
        team = self.teams.get(team_name)
        if team is None:
            team = self.teams[team_name] = Team(team_name)
        if team.entries:
            self.active_shares += shares - team.shares
        else:
            self.active_shares += shares
        team.shares = shares
        team.entries[key] = QueueEntry(item, cost)
        self.team_by_key[key] = team_name
        if len(team.entries) == 1:
            self.push_on_heap(team)

    def pop(self, now: datetime.timedelta) -> PoppedItem[T] | None:
        """Remove and return the oldest item of the team with lowest usage."""
        self.remove_idle(now)
        while self.active:
            _, version, name = heapq.heappop(self.active)
            team = self.teams.get(name)
            if team is None or team.version != version:
                continue
            key, entry = team.entries.popitem(last=False)
            del self.team_by_key[key]
            # Call scale() first, as it may rescale the stored usages.
            scale = self.scale(now)
            team.usage += entry.cost / team.shares * scale
            self.update_heaps(team)
            return PoppedItem(name, entry.item)
        return None

    def remove(self, key: str) -> T | None:
        """Remove an item without charging its team; return None if absent."""
        name = self.team_by_key.pop(key, None)
        if name is None:
            return None
        team = self.teams[name]
        entry = team.entries.pop(key)
        if not team.entries:
            self.update_heaps(team)
        return entry.item

    def count_queued(self, team_name: str) -> int:
        """Return the number of queued items of a team."""
        team = self.teams.get(team_name)
        return len(team.entries) if team else 0

    def team_usage(self, team_name: str, now: datetime.timedelta) -> float:
        """Return the decayed usage of a team."""
        scale = self.scale(now)
        team = self.teams.get(team_name)
        return team.usage / scale if team else 0.0

    def scale(self, now: datetime.timedelta) -> float:
        """Return the factor by which usage charged now is multiplied.

        Rescales all stored usages when the factor gets too large.
        """
        exponent = (now - self.scale_origin) / HALF_LIFE
        if exponent > MAX_SCALE_EXPONENT:
            self.rescale(2.0**-exponent, now)
            return 1.0
        return float(2.0**exponent)

    def rescale(self, factor: float, now: datetime.timedelta) -> None:
        """Reset the scale to 1 at now, multiplying stored usages by factor."""
        self.scale_origin = now
        for team in self.teams.values():
            team.usage *= factor
        self.active = [(u * factor, s, t) for u, s, t in self.active]
        self.idle = [(u * factor, s, t) for u, s, t in self.idle]

    def update_heaps(self, team: Team[T]) -> None:
        """Update the heaps after the team was served or became idle."""
        if not team.entries:
            self.active_shares -= team.shares
        self.push_on_heap(team)

    def push_on_heap(self, team: Team[T]) -> None:
        """Push the team on its heap, which makes its older entries stale."""
        self.version += 1
        team.version = self.version
        heap = self.active if team.entries else self.idle
        heapq.heappush(heap, (team.usage, team.version, team.name))
        if len(heap) > 2 * len(self.teams) + MIN_COMPACT_SIZE:
            self.compact(heap)

    def compact(self, heap: list[HeapEntry]) -> None:
        """Remove stale entries, so that cancelled items do not grow a heap."""
        versions = {team.version for team in self.teams.values()}
        heap[:] = [entry for entry in heap if entry[1] in versions]
        heapq.heapify(heap)

    def remove_idle(self, now: datetime.timedelta) -> None:
        """Remove teams without items whose usage has become negligible."""
        limit = NEGLIGIBLE_USAGE * self.scale(now)
        while self.idle:
            usage, version, name = self.idle[0]
            team = self.teams.get(name)
            if team is not None and team.version == version:
                if usage >= limit:
                    return
                del self.teams[name]
            heapq.heappop(self.idle)


def create_fair_queue(now: datetime.timedelta) -> FairQueue[T]:
    """Create an empty queue; now is the monotonic time."""
    return FairQueue(now)
