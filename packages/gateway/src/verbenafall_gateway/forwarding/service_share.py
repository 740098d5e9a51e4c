"""Weighted choice among the services of a route; pure functions."""

from collections.abc import Sequence

from verbenafall_core.routes import model


def pick_service(shares: Sequence[model.ServiceShare], draw: float) -> str:
    """Return a service chosen by weight.

    If all weights are zero, the first service is chosen.

    Args:
        shares: Services of the route with their weights.
        draw: Random number from 0 to 1.
    """
    total = sum(share.weight for share in shares)
    if total <= 0:
        return shares[0].service
    remaining = draw * total
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service
