"""Endpoints as listed by the platform."""

from typing import NamedTuple

from verbenafall_core import addresses


class Endpoint(NamedTuple):
    """An endpoint in the platform's list.

    Attributes:
        id: Unique among the endpoints of all services.
        slots: Number of requests that it runs concurrently, 0 if unknown.
        draining: Whether it accepts no new requests.
        started_at: Start of its process in Unix milliseconds, None if unknown.
            It may start again under the same id.
    """

    id: str
    service: str
    address: addresses.Address
    data_centre: str
    slots: int
    draining: bool
    started_at: int | None = None
