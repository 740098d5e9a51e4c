"""Divides the requests of a route among its services; pure."""

from collections.abc import Sequence

from verbenafall_core.routes import model


def pick_service(shares: Sequence[model.ServiceShare], draw: float) -> str:
    """Return the service for a draw from 0 to 1."""
    total = sum(share.weight for share in shares)
    if total <= 0:
        return shares[0].service
    remaining = draw * total
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service
