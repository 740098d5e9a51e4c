"""Open requests of this gateway and the other gateways by endpoint."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Final
from typing import NamedTuple

# Counts that a gateway has not updated within this time are ignored.
MAX_AGE_SECONDS: Final = 2.0


class PeerLoad(NamedTuple):
    """Open requests of another gateway, by endpoint id."""

    open: Mapping[str, int]
    received_at: float


class PeerLoads:
    """Open requests of this gateway and its peers by endpoint.

    Not thread-safe: call it on the event loop only.

    Attributes:
        own: Counts of this gateway, which it reports to its peers.
        listed_gateways: Gateways with a record in the store, plus this one.
        is_listed: Whether this gateway's own record was read from the store, so
            that the other gateways can know of it.
        changed: Called after `own` has changed.
    """

    def __init__(self) -> None:
        """Create the counts of a gateway without peers."""
        self.by_peer: dict[str, PeerLoad] = {}
        self.own: Mapping[str, int] = {}
        self.listed_gateways = 1
        self.is_listed = False
        self.changed: Callable[[], None] | None = None

    def set_own_load(self, open_requests: Mapping[str, int]) -> None:
        """Store the counts of this gateway and call `changed`."""
        self.own = open_requests
        if self.changed is not None:
            self.changed()

    def record_peer_load(
        self, peer: str, open_requests: Mapping[str, int], now: float
    ) -> None:
        """Store the counts of another gateway."""
        self.by_peer[peer] = PeerLoad(open_requests, now)

    def set_gateway_count(self, count: int, is_listed: bool) -> None:
        """Set the number of gateways in the store, including this one.

        Args:
            count: Number of gateways.
            is_listed: Whether this gateway is in the store.
        """
        self.listed_gateways = max(1, count)
        self.is_listed = is_listed

    def remove_peer(self, peer: str) -> None:
        """Drop the counts of a gateway that is no longer linked."""
        self.by_peer.pop(peer, None)

    def load_of(self, endpoint_id: str, now: float) -> int:
        """Return the open requests of other gateways at an endpoint."""
        return sum(
            load.open.get(endpoint_id, 0)
            for load in self.by_peer.values()
            if now - load.received_at < MAX_AGE_SECONDS
        )

    def gateways(self) -> int:
        """Return the number of gateways, including unreachable ones."""
        return max(self.listed_gateways, self.live_gateways())

    def is_informed(self) -> bool:
        """Return whether this gateway has a linked peer, or no peer at all."""
        alone = self.is_listed and self.listed_gateways == 1
        return alone or self.live_gateways() > 1

    def live_gateways(self) -> int:
        """Return the number of gateways that report counts, plus this one."""
        return len(self.by_peer) + 1

    def age(self, now: float) -> float:
        """Return the age of the oldest known counts, in seconds."""
        return max(
            (now - load.received_at for load in self.by_peer.values()),
            default=0.0,
        )


def create_peer_loads() -> PeerLoads:
    """Create the counts of a gateway without peers."""
    return PeerLoads()
