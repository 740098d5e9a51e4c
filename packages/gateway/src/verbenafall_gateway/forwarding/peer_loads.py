"""Open requests of the other gateways, as they tell; event loop only."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Final
from typing import NamedTuple

# Counts of a gateway that has been silent this long say nothing any more.
MAX_AGE_SECONDS: Final = 2.0


class PeerLoad(NamedTuple):
    """What another gateway has open, by endpoint id."""

    open: Mapping[str, int]
    received_at: float


class PeerLoads:
    """Counts of the other gateways, and those to tell them.

    Attributes:
        changed: Called when the own counts have changed.
    """

    def __init__(self) -> None:
        """Create counts without peers."""
        self.by_peer: dict[str, PeerLoad] = {}
        self.own: Mapping[str, int] = {}
        self.max_gateways = 1
        self.changed: Callable[[], None] | None = None

    def set_own_load(self, open_requests: Mapping[str, int]) -> None:
        """Take the own counts."""
        self.own = open_requests
        if self.changed is not None:
            self.changed()

    def record_peer_load(
        self, peer: str, open_requests: Mapping[str, int], now: float
    ) -> None:
        """Take the counts of another gateway."""
        self.by_peer[peer] = PeerLoad(open_requests, now)

    def set_gateway_count(self, count: int) -> None:
        """Take how many gateways there are, with this one."""
        self.max_gateways = max(1, count)

    def remove_peer(self, peer: str) -> None:
        """Drop the counts of a gateway that is gone."""
        self.by_peer.pop(peer, None)

    def load_of(self, endpoint_id: str, now: float) -> int:
        """Return the requests that other gateways have open there."""
        return sum(
            load.open.get(endpoint_id, 0)
            for load in self.by_peer.values()
            if now - load.received_at < MAX_AGE_SECONDS
        )

    def gateways(self) -> int:
        """Return how many gateways there may be, with those out of reach."""
        return max(self.max_gateways, self.live_gateways())

    def live_gateways(self) -> int:
        """Return how many gateways are heard of, with this one."""
        return len(self.by_peer) + 1

    def age(self, now: float) -> float:
        """Return the age of the oldest counts in use, in seconds."""
        return max(
            (now - load.received_at for load in self.by_peer.values()),
            default=0.0,
        )


def create_peer_loads() -> PeerLoads:
    """Create counts without peers."""
    return PeerLoads()
