"""Ports of a forwarding gateway that a platform adapter implements."""

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
from verbenafall_gateway.forwarding import dialect


class GatewayPorts(NamedTuple):
    """The external systems of a gateway.

    Attributes:
        gateways: Link addresses of the gateways, by name.
        rank_at: Returns the port to the rank of an engine.
        era: The store's era, shared by all store calls of the process.
    """

    configurations: collection.Collection[model.Configuration]
    endpoints: collection.Collection[endpoints.Endpoint]
    store: port.RecordStore
    gateways: collection.Collection[addresses.Address]
    dialect: dialect.Dialect
    rank_at: Callable[[addresses.Address], rank_port.RankPort]
    era: store_era.StoreEra


class GatewayAdapter(Protocol):
    """A module that connects a gateway to a platform."""

    def create_gateway_ports(
        self, client: http_client.HttpClient, store_url: str
    ) -> GatewayPorts:
        """Return the ports to the platform whose object store is at a URL."""


def load_adapter(module: str) -> GatewayAdapter:
    """Import the adapter module named in the settings.

    Raises:
        ImportError: The module does not exist.
    """
    return cast(GatewayAdapter, importlib.import_module(module))
