"""Port to the platform's list of live and leaving instances.

The list lags behind the actual state of the instances.
"""

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
    """A gateway or sidecar in the list.

    Attributes:
        role: "gateway" or "sidecar".
        service: Service of a sidecar's endpoint; empty for a gateway.
        address: Link address of a sidecar, or HTTP address of a gateway.
    """

    name: str
    role: str
    data_centre: str
    service: str
    address: addresses.Address
    state: InstanceState


class ListFailure(NamedTuple):
    """Why the list could not be read."""

    message: str


class InstanceList(Protocol):
    """Reads the platform's list."""

    def read(
        self,
    ) -> returns.result.Result[tuple[Instance, ...], ListFailure]:
        """Return all instances in the list."""
