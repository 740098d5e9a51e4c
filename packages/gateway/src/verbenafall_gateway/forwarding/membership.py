"""Decides among how many gateways a common limit is divided; no I/O.

The shares of all gateways must not add up to more than the whole, whichever of
them reach the store or each other. So a gateway uses a share only

- after each recorded gateway has told it over a link that it counts it, or
  after so long that one which has not read its record uses no share any more,
  and
- while its own knowledge of the records is recent.

One whose record has disappeared is counted until it must have noticed that.
"""

from collections.abc import Iterable
from typing import Final

# Time for which a gateway that cannot read the records uses its share. It
# exceeds the time between two reads and the usual outages of the store.
RECORDS_LIFETIME_SECONDS: Final = 30.0
# Time after which a gateway that reads no records uses no share any more, also
# if it or the reader was frozen for some seconds.
SHARE_EXPIRY_SECONDS: Final = 45.0
# Time without a link after which the record of a gateway is removed. One that
# still runs writes it again.
ABSENCE_SECONDS: Final = 60.0


class Membership:
    """The gateways that share a common limit, as one of them knows them.

    Times are in seconds of one clock. Not thread-safe.

    Attributes:
        name: Name of this gateway.
        recorded: Names of the gateways with a record in the store.
        linked: Names of the gateways with an open link.
        left_at: When another gateway was last known to be recorded or linked,
            for those that are not any more.
        unlinked_at: When the recorded gateways without a link were first seen
            so, or their records were last removed.
        counted_by: Names of the gateways that have said that they count this
            one.
        read_at: When the records were last read.
        recorded_at: When this gateway's own record was first read.
        has_joined: Whether all other gateways count this one.
    """

    def __init__(self, name: str) -> None:
        """Create the membership of a gateway that knows no other one."""
        self.name = name
        self.recorded: frozenset[str] = frozenset()
        self.linked: set[str] = set()
        self.left_at: dict[str, float] = {}
        self.unlinked_at: dict[str, float] = {}
        self.counted_by: set[str] = set()
        self.read_at: float | None = None
        self.recorded_at: float | None = None
        self.has_joined = False

    def apply_records(self, names: Iterable[str], read_at: float) -> None:
        """Replace the names of the recorded gateways.

        A gateway whose own record is missing has to join again.
        """
        before = self.recorded
        self.recorded = frozenset(names)
        self.read_at = read_at
        for name in before - self.recorded - self.linked:
            self.left_at[name] = read_at
        self.track_unlinked(read_at)
        if self.name not in self.recorded:
            self.recorded_at = None
            self.has_joined = False
            self.counted_by.clear()
        elif self.recorded_at is None:
            self.recorded_at = read_at

    def add_link(self, name: str) -> None:
        """Count a gateway to which a link has opened."""
        self.linked.add(name)
        self.unlinked_at.pop(name, None)

    def remove_link(self, name: str, now: float) -> None:
        """Record that the link to a gateway has closed."""
        self.linked.discard(name)
        if name not in self.recorded:
            self.left_at[name] = now
        self.track_unlinked(now)

    def track_unlinked(self, now: float) -> None:
        """Update since when recorded gateways have no link."""
        unlinked = self.recorded - self.linked - {self.name}
        self.unlinked_at = {
            name: self.unlinked_at.get(name, now) for name in unlinked
        }

    def take_absent(self, now: float) -> list[str]:
        """Return the gateways whose records this one must remove now.

        Of the gateways that are linked with each other, the first by name
        removes them. If most gateways are absent, this one is rather cut off.
        """
        absent = [
            name
            for name, since in self.unlinked_at.items()
            if now - since >= ABSENCE_SECONDS
        ]
        if (
            not absent
            or self.name not in self.recorded
            or len(absent) > max(1, len(self.recorded) // 2)
            or min(self.linked & self.recorded, default=self.name) < self.name
        ):
            return []
        for name in absent:
            self.unlinked_at[name] = now
        return absent

    def record_counted_by(self, name: str) -> None:
        """Record that another gateway counts this one."""
        self.counted_by.add(name)

    def counted(self, now: float) -> frozenset[str]:
        """Return the names of the gateways that may use a share."""
        for name, left_at in list(self.left_at.items()):
            if now - left_at >= SHARE_EXPIRY_SECONDS:
                del self.left_at[name]
        return self.recorded | self.linked | self.left_at.keys() | {self.name}

    def sharing(self, now: float) -> int | None:
        """Return among how many gateways a common limit is divided.

        None if this gateway may not use a share.
        """
        if (
            self.recorded_at is None
            or self.read_at is None
            or now - self.read_at >= RECORDS_LIFETIME_SECONDS
        ):
            return None
        counted = self.counted(now)
        if not self.has_joined:
            self.has_joined = (
                counted <= self.counted_by | {self.name}
                or now - self.recorded_at >= SHARE_EXPIRY_SECONDS
            )
        return len(counted) if self.has_joined else None


def create_membership(name: str) -> Membership:
    """Create the membership of a gateway that knows no other one."""
    return Membership(name)
