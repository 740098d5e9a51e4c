"""Interface between the sidecar and a plain service."""

from typing import Protocol

from verbenafall_sidecar.endpoint import endpoint_port


class PlainService(endpoint_port.Endpoint, Protocol):
    """A plain service; responses are delivered complete, without chunks."""
