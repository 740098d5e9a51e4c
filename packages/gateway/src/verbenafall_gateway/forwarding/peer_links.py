"""Links between gateways: open requests, configurations, leaving endpoints."""

import asyncio
from collections.abc import Callable
import datetime
import threading
from typing import Final

import msgspec

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import link_loop
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core.object_store import collection
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import peer_loads
from verbenafall_gateway.forwarding import rank_holds
from verbenafall_gateway.forwarding import rank_slowdowns

ROLE: Final = "gateway"
# Counts change with every request; those within this time go together.
COUNTS_INTERVAL_SECONDS: Final = 0.03
# Counts are sent this often without a change, so that peers know their age.
COUNTS_REPEAT_SECONDS: Final = 0.5


class PeerLinks:
    """Keeps links with all other gateways.

    Link callbacks run on the links' thread and hand over to the event loop;
    everything else runs on the event loop.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: clock_lib.Clock,
        name: str,
        data_centre: str,
        listen: addresses.Address,
        configuration: configuration_state.ConfigurationState,
        directory: endpoint_directory.EndpointDirectory,
        loads: peer_loads.PeerLoads,
        paces: rank_slowdowns.RankSlowdowns,
        holds: rank_holds.RankHolds,
        loads_changed: Callable[[], None],
    ) -> None:
        """Create links that are not yet open."""
        self.loop = loop
        self.name = name
        self.listen_address = listen
        self.configuration = configuration
        self.directory = directory
        self.loads = loads
        self.paces = paces
        self.loads_changed = loads_changed
        self.records: dict[str, addresses.Address] = {}
        self.lock = threading.Lock()
        self.counts_timer: asyncio.TimerHandle | None = None
        self.repeat_timer: asyncio.TimerHandle | None = None
        router = link_router.create_link_router()
        router.subscribe_open(self.on_open)
        router.subscribe_close(self.on_close)
        router.subscribe(messages.OpenRequests, self.on_counts)
        router.subscribe(messages.ConfigurationVersion, self.on_version)
        router.subscribe(messages.ConfigurationRequest, self.on_request)
        router.subscribe(messages.ConfigurationText, self.on_text)
        router.subscribe(messages.EndpointLeaving, self.on_leaving)
        router.subscribe(messages.RankPaces, self.on_paces)
        router.subscribe(messages.RankHold, holds.on_hold)
        hello = messages.Hello(
            messages.PROTOCOL_VERSION, name, ROLE, data_centre, ""
        )
        self.links = link_loop.create_link_loop(
            hello, self.heartbeat, router, clock
        )

    def start(self) -> None:
        """Listen for other gateways.

        Raises:
            LinkError: The address cannot be listened on.
        """
        self.links.listen(self.listen_address)
        self.links.start()
        self.loads.changed = self.schedule_counts
        self.schedule_counts()

    def stop(self, limit: datetime.timedelta) -> None:
        """Close all links."""
        self.loads.changed = None
        for timer in (self.counts_timer, self.repeat_timer):
            if timer is not None:
                timer.cancel()
        self.links.stop(limit)

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat; bundles are not used here."""
        return messages.Heartbeat(0, 0, True, False)

    # Records of the other gateways, from the follower.

    def apply_records(
        self, batch: collection.Batch[addresses.Address], complete: bool
    ) -> None:
        """Keep links to the gateways that have a record.

        Of two gateways the one with the lower address opens the link.
        """
        if complete:
            self.records.clear()
        for item in batch.items:
            if item.value is None:
                self.records.pop(item.name, None)
            else:
                self.records[item.name] = item.value
        others = {
            address
            for name, address in self.records.items()
            if name != self.name and address != self.listen_address
        }
        self.loads.set_gateway_count(len(others) + 1)
        self.links.set_targets(
            {item for item in others if self.listen_address < item}
        )

    # Sending; on the event loop.

    def schedule_counts(self) -> None:
        """Send the own counts soon."""
        if self.counts_timer is None:
            self.counts_timer = self.loop.call_later(
                COUNTS_INTERVAL_SECONDS, self.send_counts
            )

    def send_counts(self) -> None:
        """Send the own counts now, and again when nothing changes."""
        self.counts_timer = None
        self.send_to_all(messages.OpenRequests(tuple(self.loads.own.items())))
        if self.repeat_timer is not None:
            self.repeat_timer.cancel()
        self.repeat_timer = self.loop.call_later(
            COUNTS_REPEAT_SECONDS, self.schedule_counts
        )

    def announce_configuration(self) -> None:
        """Tell all gateways which version is in force here."""
        self.send_to_all(
            messages.ConfigurationVersion(self.configuration.version())
        )

    def announce_leaving(self, leaving: dict[str, int]) -> None:
        """Tell all gateways which endpoints take no more requests."""
        self.send_to_all(messages.EndpointLeaving(tuple(leaving.items())))

    def send_to_all(self, message: messages.Message) -> None:
        """Send a message to all linked gateways."""
        with self.links.joined():
            for link in self.links.open_links():
                if is_gateway(link):
                    link.send(message)

    # Receiving; on the links' thread.

    def on_open(self, link: link_lib.Link) -> None:
        """Tell a gateway that has just been linked what is known."""
        if not is_gateway(link):
            return
        link.send(messages.ConfigurationVersion(self.configuration.version()))
        leaving = dict(self.directory.leaving)
        if leaving:
            link.send(messages.EndpointLeaving(tuple(leaving.items())))
        link.send(messages.OpenRequests(tuple(dict(self.loads.own).items())))

    def on_close(self, link: link_lib.Link, reason: str) -> None:
        """Forget the counts of a gateway."""
        del reason
        if link.peer is not None:
            self.loop.call_soon_threadsafe(
                self.loads.remove_peer, link.peer.instance
            )

    def on_counts(
        self, link: link_lib.Link, message: messages.OpenRequests
    ) -> None:
        """Take another gateway's counts."""
        if link.peer is not None:
            self.loop.call_soon_threadsafe(
                self.take_counts, link.peer.instance, dict(message.counts)
            )

    def take_counts(self, peer: str, counts: dict[str, int]) -> None:
        """Take counts; waiting requests may now have a place."""
        self.loads.record_peer_load(peer, counts, self.loop.time())
        self.loads_changed()

    def on_version(
        self, link: link_lib.Link, message: messages.ConfigurationVersion
    ) -> None:
        """Ask for a configuration that is newer than the own one."""
        known = self.configuration.version()
        if message.version > known:
            link.send(messages.ConfigurationRequest(known))
        elif message.version < known:
            link.send(messages.ConfigurationVersion(known))

    def on_request(
        self, link: link_lib.Link, message: messages.ConfigurationRequest
    ) -> None:
        """Send the configuration in force if it is newer."""
        configuration = self.configuration.configuration
        if configuration is None or configuration.version <= message.newer_than:
            return
        link.send(
            messages.ConfigurationText(
                configuration.version, msgspec.msgpack.encode(configuration)
            )
        )

    def on_text(
        self, link: link_lib.Link, message: messages.ConfigurationText
    ) -> None:
        """Put a configuration of another gateway in force."""
        try:
            configuration = msgspec.msgpack.decode(
                message.text, type=model.Configuration
            )
        except msgspec.DecodeError as error:
            event_log.emit(
                event_catalogue.PEER_CONFIGURATION_UNREADABLE,
                peer=link.address,
                version=message.version,
                error=error,
            )
            return
        self.loop.call_soon_threadsafe(
            self.configuration.offer, configuration, f"{link.address}"
        )

    def on_leaving(
        self, link: link_lib.Link, message: messages.EndpointLeaving
    ) -> None:
        """Take that endpoints take no more requests."""
        del link
        self.loop.call_soon_threadsafe(
            self.directory.merge_leaving, dict(message.endpoints)
        )

    def on_paces(
        self, link: link_lib.Link, message: messages.RankPaces
    ) -> None:
        """Take how fast the ranks of a group are."""
        del link
        self.loop.call_soon_threadsafe(
            self.take_paces, message.group, message.term, dict(message.paces)
        )

    def take_paces(
        self, group: str, term: int, paces: dict[str, float]
    ) -> None:
        """Take paces; they decide where requests go."""
        self.paces.record(group, term, paces, self.loop.time())


def is_gateway(link: link_lib.Link) -> bool:
    """Return whether the peer of a link is a gateway."""
    return link.peer is not None and link.peer.role == ROLE
