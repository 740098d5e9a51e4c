"""Interface of the platform adapter for the steering sidecar."""

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
from verbenafall_core.object_store import store_era
from verbenafall_core.routes import model


class SidecarPorts(NamedTuple):
    """External systems that a steering sidecar uses.

    Attributes:
        gateways: Link addresses of the gateways by name.
        rank_at: Returns the port to the rank on an engine's address.
        era: The store's era, shared by all store calls of the process.
    """

    configurations: collection.Collection[model.Configuration]
    endpoints: collection.Collection[endpoints.Endpoint]
    store: port.RecordStore
    gateways: collection.Collection[addresses.Address]
    rank_at: Callable[[addresses.Address], rank_port.RankPort]
    era: store_era.StoreEra


class SidecarAdapter(Protocol):
    """A module that connects a sidecar to a platform."""

    def create_sidecar_ports(
        self, client: http_client.HttpClient, store_url: str
    ) -> SidecarPorts:
        """Return the ports to the platform with its object store at a URL."""


def load_adapter(module: str) -> SidecarAdapter:
    """Import the adapter module named in the settings.

    Raises:
        ImportError: The module does not exist or cannot be imported.
    """
    return cast(SidecarAdapter, importlib.import_module(module))
