"""Endpoints that the platform lists."""

from typing import NamedTuple

from verbenafall_core import addresses


class Endpoint(NamedTuple):
    """A listed endpoint.

    Attributes:
        id: Unique among the endpoints of all services.
        slots: Requests that it runs at once, 0 if not told.
        draining: It takes no new requests.
    """

    id: str
    service: str
    address: addresses.Address
    data_centre: str
    slots: int
    draining: bool
