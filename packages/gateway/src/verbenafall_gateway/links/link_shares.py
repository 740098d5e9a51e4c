"""Pure division of a gateway's links between the services."""

from collections.abc import Mapping
import math
from typing import Final

# With fewer, gateways that differ in load make endpoints differ as much.
MIN_GATEWAYS_PER_ENDPOINT: Final = 4
# A retry needs a second endpoint also while another one restarts.
MIN_ENDPOINTS_PER_SERVICE: Final = 3
# Halvings that bring the common ratio below one link in any fleet.
RATIO_STEPS: Final = 40


def divide_links(
    endpoints: Mapping[str, int], gateways: int, links_per_gateway: int
) -> dict[str, int]:
    """Return the links of all gateways together for each service.

    Links are shared in proportion to the endpoints of a service, so that
    every sidecar has about as many links. Each service gets at least
    what its endpoints and its gateways need, also above links_per_gateway.

    Args:
        endpoints: Number of live endpoints, above zero, by service.
        gateways: Number of live gateways, above zero.
        links_per_gateway: Mean number of links of a gateway.
    """
    least = {
        service: least_links(count, gateways)
        for service, count in endpoints.items()
    }
    wanted = links_per_gateway * gateways
    low, high = 0.0, float(gateways)
    for _ in range(RATIO_STEPS):
        middle = (low + high) / 2
        if sum(_scale(endpoints, least, middle).values()) <= wanted:
            low = middle
        else:
            high = middle
    if sum(_scale(endpoints, least, high).values()) <= wanted:
        low = high
    return _scale(endpoints, least, low)


def least_links(endpoints: int, gateways: int) -> int:
    """Return the links that a service needs in any case."""
    for_endpoints = endpoints * min(MIN_GATEWAYS_PER_ENDPOINT, gateways)
    for_gateways = gateways * min(MIN_ENDPOINTS_PER_SERVICE, endpoints)
    return max(for_endpoints, for_gateways)


def _scale(
    endpoints: Mapping[str, int], least: Mapping[str, int], ratio: float
) -> dict[str, int]:
    """Return the links with a number of gateways for each endpoint."""
    return {
        service: max(least[service], math.floor(ratio * count))
        for service, count in endpoints.items()
    }
