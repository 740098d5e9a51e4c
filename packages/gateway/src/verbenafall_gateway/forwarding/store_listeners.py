"""Hands what the store's followers read to the event loop."""

import asyncio

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core.object_store import collection
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import admission as admission_lib
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import peer_links


class ConfigurationListener:
    """Hands configurations from the follower's thread to the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        state: configuration_state.ConfigurationState,
    ) -> None:
        """Create a listener for a state."""
        self.loop = loop
        self.state = state

    def on_batch(
        self,
        batch: collection.Batch[model.Configuration],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Offer each configuration that was read."""
        del complete, after_outage
        for item in batch.items:
            if item.value is not None:
                self.loop.call_soon_threadsafe(
                    self.state.offer, item.value, "store"
                )

    def on_outage(self) -> None:
        """Keep what is in force."""


class EndpointListener:
    """Hands the list of endpoints to the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        directory: endpoint_directory.EndpointDirectory,
        admission: admission_lib.Admission,
    ) -> None:
        """Create a listener for a directory."""
        self.loop = loop
        self.directory = directory
        self.admission = admission

    def on_batch(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Take what the store lists."""
        self.loop.call_soon_threadsafe(
            self.apply, batch, complete, after_outage
        )

    def apply(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Update the directory; waiting requests may now have a place."""
        self.directory.apply(batch, complete, after_outage, self.loop.time())
        self.admission.serve_all_queues()

    def on_outage(self) -> None:
        """Keep what is known."""


class RecordListener:
    """Hands the records of gateways to the event loop."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, peers: peer_links.PeerLinks
    ) -> None:
        """Create a listener for the links."""
        self.loop = loop
        self.peers = peers

    def on_batch(
        self,
        batch: collection.Batch[addresses.Address],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Take the records that were read."""
        del after_outage
        self.loop.call_soon_threadsafe(
            self.peers.apply_records, batch, complete
        )

    def on_outage(self) -> None:
        """Keep what is known."""
