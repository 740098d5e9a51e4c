"""Divides the gateways' links between the services (no I/O)."""

from collections.abc import Mapping
import math
from typing import Final

# With fewer gateways, uneven load on the gateways would cause equally uneven
# load on the endpoints.
MIN_GATEWAYS_PER_ENDPOINT: Final = 4
# A retry needs a second endpoint, even while another one restarts.
MIN_ENDPOINTS_PER_SERVICE: Final = 3
# Enough to determine the ratio to less than one link in any fleet.
BISECTION_STEPS: Final = 40


def divide_links(
    endpoints: Mapping[str, int], gateways: int, links_per_gateway: int
) -> dict[str, int]:
    """Return the total number of links of all gateways for each service.

    A service gets links in proportion to its number of endpoints, so that
    all sidecars have about the same number of links. Each service gets at
    least minimum_links(), even if that exceeds links_per_gateway.

    Args:
        endpoints: Number of live endpoints by service; above zero.
        gateways: Number of live gateways; above zero.
        links_per_gateway: Target mean number of links per gateway.
    """
    minimum = {
        service: minimum_links(count, gateways)
        for service, count in endpoints.items()
    }
    target_total = links_per_gateway * gateways
    low, high = 0.0, float(gateways)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if (
            sum(_scaled_links(endpoints, minimum, middle).values())
            <= target_total
        ):
            low = middle
        else:
            high = middle
    if sum(_scaled_links(endpoints, minimum, high).values()) <= target_total:
        low = high
    return _scaled_links(endpoints, minimum, low)


def minimum_links(endpoints: int, gateways: int) -> int:
    """Return the fewest links that a service may have.

    This is what its endpoints or the gateways need, whichever is more.
    """
    for_endpoints = endpoints * min(MIN_GATEWAYS_PER_ENDPOINT, gateways)
    for_gateways = gateways * min(MIN_ENDPOINTS_PER_SERVICE, endpoints)
    return max(for_endpoints, for_gateways)


def _scaled_links(
    endpoints: Mapping[str, int], minimum: Mapping[str, int], ratio: float
) -> dict[str, int]:
    """Return the links of each service at a ratio of links per endpoint."""
    return {
        service: max(minimum[service], math.floor(ratio * count))
        for service, count in endpoints.items()
    }
