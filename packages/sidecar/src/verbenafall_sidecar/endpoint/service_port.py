"""Port to a plain service beside this sidecar."""

from typing import Protocol

from verbenafall_sidecar.endpoint import endpoint_port


class PlainService(endpoint_port.Endpoint, Protocol):
    """A plain service; its answers are handed over only when complete."""
