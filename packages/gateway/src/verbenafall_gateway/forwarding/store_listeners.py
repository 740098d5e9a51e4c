"""Pass updates from the object store to the event loop."""

import asyncio
from collections.abc import Callable

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core.object_store import collection
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import admission as admission_lib
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import peer_links


class ConfigurationListener:
    """Passes configurations from the follower's thread to the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        state: configuration_state.ConfigurationState,
    ) -> None:
        """Create a listener that updates a configuration state."""
        self.loop = loop
        self.state = state

    def on_batch(
        self,
        batch: collection.Batch[model.Configuration],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Offer each configuration of the batch to the state."""
        del complete, after_outage
        for item in batch.items:
            if item.value is not None:
                self.loop.call_soon_threadsafe(
                    self.state.offer, item.value, "store"
                )

    def on_outage(self) -> None:
        """Keep the configuration in force during the outage."""


class EndpointListener:
    """Passes endpoint entries from the follower's thread to the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        directory: endpoint_directory.EndpointDirectory,
        admission: admission_lib.Admission,
        applied: Callable[[], None],
    ) -> None:
        """Create a listener that updates a directory of endpoints.

        Args:
            loop: The event loop.
            directory: Updated on each batch.
            admission: Serves its queues after that.
            applied: Called in between.
        """
        self.loop = loop
        self.applied = applied
        self.directory = directory
        self.admission = admission

    def on_batch(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Schedule the update of the directory on the event loop."""
        self.loop.call_soon_threadsafe(
            self.apply, batch, complete, after_outage
        )

    def apply(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Update the directory and place queued requests."""
        self.directory.apply(batch, complete, after_outage, self.loop.time())
        self.applied()
        self.admission.serve_all_queues()

    def on_outage(self) -> None:
        """Keep the known endpoints during the outage."""
        self.loop.call_soon_threadsafe(self.directory.mark_store_lost)


class RecordListener:
    """Passes gateway records from the follower's thread to the event loop."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, peers: peer_links.PeerLinks
    ) -> None:
        """Create a listener that updates the links to other gateways."""
        self.loop = loop
        self.peers = peers

    def on_batch(
        self,
        batch: collection.Batch[addresses.Address],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Schedule the update of the links on the event loop."""
        del after_outage
        # Taken here, as the event loop may apply it much later.
        read_at = self.loop.time()
        self.loop.call_soon_threadsafe(
            self.peers.apply_records, batch, complete, read_at
        )

    def on_outage(self) -> None:
        """Keep the known gateways during the outage."""
