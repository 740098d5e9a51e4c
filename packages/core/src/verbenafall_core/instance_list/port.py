"""Port to the platform's lagging list of live and leaving instances."""

import enum
from typing import NamedTuple
from typing import Protocol

import returns.result

from verbenafall_core import addresses


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(NamedTuple):
    """An instance of the system.

    Attributes:
        role: "gateway" or "sidecar".
        service: Service of a sidecar's endpoint, else empty.
        address: Link address of a sidecar, HTTP address of a gateway.
    """

    name: str
    role: str
    data_centre: str
    service: str
    address: addresses.Address
    state: InstanceState


class ListFailure(NamedTuple):
    """The list could not be read."""

    message: str


class InstanceList(Protocol):
    """Reads the platform's list."""

    def read(
        self,
    ) -> returns.result.Result[tuple[Instance, ...], ListFailure]:
        """Return all instances in the list."""
