"""What an adapter gives to a sidecar that steers."""

from collections.abc import Callable
import importlib
from typing import NamedTuple
from typing import Protocol
from typing import cast

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core import http_client
from verbenafall_core.expert_maps import rank_port
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import port
from verbenafall_core.routes import model


class SidecarPorts(NamedTuple):
    """The outside systems of a sidecar.

    Attributes:
        gateways: Link addresses of the gateways, by name.
        rank_at: Returns the port to the rank of an engine.
    """

    configurations: collection.Collection[model.Configuration]
    endpoints: collection.Collection[endpoints.Endpoint]
    store: port.RecordStore
    gateways: collection.Collection[addresses.Address]
    rank_at: Callable[[addresses.Address], rank_port.RankPort]


class SidecarAdapter(Protocol):
    """A module that speaks to a platform."""

    def create_sidecar_ports(
        self, client: http_client.HttpClient, store_url: str
    ) -> SidecarPorts:
        """Return the ports to a platform whose store is at a URL."""


def load_adapter(module: str) -> SidecarAdapter:
    """Import the adapter that the settings name.

    Raises:
        ImportError: There is no such module.
    """
    return cast(SidecarAdapter, importlib.import_module(module))
