"""What an adapter gives to a sidecar that steers."""

import importlib
from typing import NamedTuple
from typing import Protocol
from typing import cast

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core import http_client
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import port
from verbenafall_core.routes import model
from verbenafall_sidecar.steering import rank_port


class SidecarPorts(NamedTuple):
    """The outside systems of a sidecar."""

    configurations: collection.Collection[model.Configuration]
    endpoints: collection.Collection[endpoints.Endpoint]
    store: port.ObjectStore
    rank: rank_port.RankPort


class SidecarAdapter(Protocol):
    """A module that speaks to a platform."""

    def create_sidecar_ports(
        self,
        client: http_client.HttpClient,
        store_url: str,
        engine: addresses.Address,
    ) -> SidecarPorts:
        """Return the ports to a platform and to the engine beside."""


def load_adapter(module: str) -> SidecarAdapter:
    """Import the adapter that the settings name.

    Raises:
        ImportError: There is no such module.
    """
    return cast(SidecarAdapter, importlib.import_module(module))
