"""Remembers when parts of requests were last sound; no I/O.

The memory is limited. Past the limit, the team with the most parts loses its
oldest one, so that no team can displace the parts of the others.
"""

import collections
from typing import Final
from typing import Generic
from typing import TypeVar

MAX_SOUND_PARTS: Final = 32768

K = TypeVar("K")


class SoundParts(Generic[K]):
    """Times at which parts were last sound, in seconds of one clock.

    Attributes:
        times: Time of each part.
        owners: Team that first had the part, empty if a peer reported it.
        by_owner: Parts of each team, the oldest first.
        by_count: Teams by the number of their parts.
        most: The largest number of parts that a team has.
    """

    def __init__(self) -> None:
        """Create an empty memory."""
        self.times: dict[K, float] = {}
        self.owners: dict[K, str] = {}
        self.by_owner: dict[str, collections.OrderedDict[K, None]] = {}
        self.by_count: dict[int, dict[str, None]] = {}
        self.most = 0

    def record(self, part: K, at: float, owner: str) -> None:
        """Record that a part was sound; an earlier time has no effect."""
        known = self.times.get(part)
        if known is not None and at <= known:
            return
        self.times[part] = at
        if known is not None:
            self.by_owner[self.owners[part]].move_to_end(part)
            return
        self.owners[part] = owner
        parts = self.by_owner.setdefault(owner, collections.OrderedDict())
        parts[part] = None
        self.move_owner(owner, len(parts) - 1)
        if len(self.times) > MAX_SOUND_PARTS:
            self.drop_one()

    def move_owner(self, owner: str, count_before: int) -> None:
        """Update the index after a team's number of parts changed by one."""
        teams = self.by_count.get(count_before, {})
        teams.pop(owner, None)
        if not teams:
            self.by_count.pop(count_before, None)
        count = len(self.by_owner[owner])
        self.by_count.setdefault(count, {})[owner] = None
        if count > self.most or self.most not in self.by_count:
            self.most = count

    def drop_one(self) -> None:
        """Forget the oldest part of a team that has the most parts."""
        owner = next(iter(self.by_count[self.most]))
        part, _ = self.by_owner[owner].popitem(last=False)
        del self.times[part]
        del self.owners[part]
        self.move_owner(owner, self.most)


def create_sound_parts() -> SoundParts[K]:
    """Create an empty memory."""
    return SoundParts()
