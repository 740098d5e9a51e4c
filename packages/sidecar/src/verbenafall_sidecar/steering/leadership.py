"""Connects the leader of a rank group with its ranks and the gateways.

Exists while this sidecar leads under one term. Follows the lists of engines
and gateways, keeps links to them, passes updates and counts of the ranks to
the leader, and calls the engines of those ranks whose sidecars have no link.
"""

from collections.abc import Callable
import datetime
import random
import threading
from typing import Any
from typing import Final
from typing import NamedTuple

import returns.pipeline

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import endpoints
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import link_loop
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import periodic
from verbenafall_core.expert_maps import demand_levels
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import follower
from verbenafall_core.object_store import known_items
from verbenafall_core.object_store import records
from verbenafall_core.routes import model
from verbenafall_sidecar.steering import count_plan
from verbenafall_sidecar.steering import event_catalogue
from verbenafall_sidecar.steering import group_leader
from verbenafall_sidecar.steering import group_term
from verbenafall_sidecar.steering import ports as ports_lib
from verbenafall_sidecar.steering import rank_agent
from verbenafall_sidecar.steering import rank_messages
from verbenafall_sidecar.steering import rank_peers
from verbenafall_sidecar.steering import steering_settings

ANNOUNCE_INTERVAL: Final = datetime.timedelta(milliseconds=250)
# A rank whose sidecar has had no link for this time gets its orders by direct
# calls to its engine, which cost more and bring no counts.
DIRECT_ORDER_DELAY: Final = datetime.timedelta(milliseconds=300)
WATCH_WAIT: Final = datetime.timedelta(seconds=10)
# Time after a restore of the store in which running engines have written their
# entries again.
ENTRY_RETENTION: Final = datetime.timedelta(seconds=2)
LAYOUT_RETRY_INTERVAL: Final = datetime.timedelta(milliseconds=500)
# Gateways discard slowdowns that are not sent again.
SLOWDOWNS_RESEND_INTERVAL: Final = datetime.timedelta(seconds=1)
# Sidecars and engines of other groups are asked for their group again after
# this time, as groups are formed anew.
OTHER_GROUP_RETRY_INTERVAL: Final = datetime.timedelta(seconds=10)
TERM_CHECK_INTERVAL: Final = datetime.timedelta(milliseconds=250)
MILLISECOND: Final = datetime.timedelta(milliseconds=1)
GATEWAY_ROLE: Final = "gateway"


class Dependencies(NamedTuple):
    """Objects of the sidecar that a leadership uses.

    Attributes:
        lock: Guards the state of the sidecar; re-entrant.
        step_down: Called with the term of a newer leader.
    """

    settings: steering_settings.SteeringSettings
    ports: ports_lib.SidecarPorts
    agent: rank_agent.RankAgent
    links: link_loop.LinkLoop
    clock: clock_lib.Clock
    metrics: metrics_lib.Metrics
    generator: random.Random
    lock: threading.RLock
    step_down: Callable[[int], None]


class GatewayListener:
    """Passes changes in the list of gateways to a leadership."""

    def __init__(self, leadership: "Leadership") -> None:
        """Create a listener for a leadership."""
        self.leadership = leadership

    def on_batch(
        self,
        batch: collection.Batch[addresses.Address],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Pass on the records that were read."""
        del after_outage
        self.leadership.on_gateways(batch, complete)

    def on_outage(self) -> None:
        """Keep the known records."""


class Leadership:
    """Leadership of a group under one term; the lock guards its state.

    The engines of the service may belong to several groups.

    Attributes:
        group: Name of the group, unique within its service.
        group_id: Name of the group, unique among all services.
        other_groups_until: Sidecars and engines of other groups, with the time
            until which they are not called.
    """

    def __init__(
        self, claim: group_term.Claim, dependencies: Dependencies
    ) -> None:
        """Create a leadership whose threads are not started."""
        self.term = claim.term
        self.group_id = claim.group
        self.group = claim.group.removeprefix(
            f"{dependencies.settings.service}."
        )
        self.dependencies = dependencies
        self.stopped = False
        self.leader = group_leader.GroupLeader(
            self.group,
            claim.term,
            self.own_rank,
            lambda: self.layout,
            dependencies.clock,
            dependencies.metrics,
            dependencies.step_down,
            self.request_hold,
        )
        self.local_listener = rank_peers.LocalListener(
            self.leader,
            rank_peers.LocalPeer(
                dependencies.agent, dependencies.settings.engine.host
            ),
        )
        self.peers: dict[link_lib.Link, rank_peers.LinkPeer] = {}
        self.gateway_links: set[link_lib.Link] = set()
        self.unlinked_since: dict[addresses.Address, datetime.timedelta] = {}
        self.direct_peers: dict[addresses.Address, rank_peers.DirectPeer] = {}
        self.other_groups_until: dict[
            addresses.Address, datetime.timedelta
        ] = {}
        self.gateways: known_items.KnownItems[addresses.Address] = (
            known_items.create_known_items(records.GATEWAY_RECORD_RETENTION)
        )
        self.listed_endpoints: known_items.KnownItems[endpoints.Endpoint] = (
            known_items.create_known_items(ENTRY_RETENTION)
        )
        self.layout: model.ExpertLayout | None = None
        self.layout_due = datetime.timedelta()
        self.announcement_due = datetime.timedelta()
        self.slowdowns_due = datetime.timedelta()
        self.sent_slowdowns: tuple[tuple[str, float], ...] = ()
        read_delay = follower.spread_reads(
            dependencies.ports.era,
            lambda: len(self.gateways.by_name),
            dependencies.generator,
        )
        self.followers: list[follower.Follower[Any]] = [
            follower.create_follower(
                "endpoints",
                dependencies.ports.endpoints,
                self,
                WATCH_WAIT,
                dependencies.generator,
                read_delay,
                dependencies.ports.era,
            ),
            follower.create_follower(
                "gateways",
                dependencies.ports.gateways,
                GatewayListener(self),
                WATCH_WAIT,
                dependencies.generator,
                read_delay,
                dependencies.ports.era,
            ),
        ]
        self.term_record = group_term.TermRecord(
            claim,
            dependencies.ports.store,
            dependencies.ports.era,
            dependencies.clock,
            dependencies.generator,
        )
        # A store call may take longer than the leader may be silent, so it
        # has its own thread.
        self.term_task = periodic.create_periodic_task(
            "term-record",
            TERM_CHECK_INTERVAL,
            self.term_record.run_once,
            dependencies.generator,
        )

    def start(self) -> None:
        """Start the leader and follow the lists of engines and gateways."""
        self.leader.start()
        self.term_task.start()
        for item in self.followers:
            item.start()

    def stop(self) -> None:
        """Stop all threads without waiting and drop all link targets.

        The caller holds the lock.
        """
        self.stopped = True
        self.leader.stop()
        self.term_task.stop(datetime.timedelta())
        for item in self.followers:
            item.stop(datetime.timedelta())
        for peer in self.direct_peers.values():
            peer.close()
        self.dependencies.links.set_targets(set())

    def run_due_tasks(self, now: datetime.timedelta) -> None:
        """Read the layout, call unlinked engines, and send what is due.

        The caller holds the lock.
        """
        self.read_layout(now)
        self.update_direct_peers(now)
        if now >= self.announcement_due:
            self.announcement_due = now + ANNOUNCE_INTERVAL
            self.announce_leader(now)
        self.send_slowdowns(now)

    def own_rank(self) -> int:
        """Return the rank of this sidecar's engine, -1 while it is unknown."""
        report = self.dependencies.agent.report
        return -1 if report is None else report.rank

    def request_hold(self, order: rank_state.RankOrder) -> bool:
        """Ask a random gateway to hold the group; return whether it was asked.

        The gateway sends the order to the engine in place of this sidecar's
        agent, which sends it only if no effect shows in time.
        """
        with self.dependencies.lock:
            links = list(self.gateway_links)
        if not links:
            return False
        engine = self.dependencies.settings.engine
        return self.dependencies.generator.choice(links).send(
            messages.RankHold(
                self.group_id,
                engine.host,
                engine.port,
                order.term,
                order.epoch,
                order.step,
            )
        )

    def update_direct_peers(self, now: datetime.timedelta) -> None:
        """Call the engines whose sidecars lack a link; close other peers."""
        for address, peer in self.direct_peers.items():
            report = peer.agent.report
            if report is not None and report.group != self.group:
                self.mark_other_group(address, now)
        linked = {link.address.host for link in self.peers}
        linked.add(self.dependencies.settings.link_listen.host)
        engines = {
            endpoint.address
            for endpoint in self.engines()
            if endpoint.address.host not in linked
            and not self.is_in_other_group(endpoint.address, now)
        }
        for address in list(self.direct_peers):
            if address not in engines:
                self.direct_peers.pop(address).close()
        for address in list(self.unlinked_since):
            if address not in engines:
                del self.unlinked_since[address]
        for address in engines:
            since = self.unlinked_since.setdefault(address, now)
            if address in self.direct_peers or now - since < DIRECT_ORDER_DELAY:
                continue
            event_log.emit(event_catalogue.RANK_DIRECT, engine=address)
            peer = rank_peers.DirectPeer(
                self.dependencies.ports.rank_at(address),
                address.host,
                self.dependencies.clock,
                self.leader,
            )
            self.direct_peers[address] = peer
            peer.agent.start()

    def mark_other_group(
        self, address: addresses.Address, now: datetime.timedelta
    ) -> None:
        """Leave out a sidecar or an engine of another group for a time."""
        self.other_groups_until[address] = now + OTHER_GROUP_RETRY_INTERVAL

    def is_in_other_group(
        self, address: addresses.Address, now: datetime.timedelta
    ) -> bool:
        """Return whether a sidecar or an engine is left out."""
        return now < self.other_groups_until.get(address, datetime.timedelta())

    def announce_leader(self, now: datetime.timedelta) -> None:
        """Send the term, and how often to report counts, to linked sidecars."""
        links = [
            link
            for link in self.peers
            if not self.is_in_other_group(link.address, now)
        ]
        layout = self.layout
        sampling = count_plan.choose_sampling(
            len(links),
            layout.sets * layout.experts if layout else 0,
            self.dependencies.settings.link_rate,
        )
        with self.dependencies.links.batch_sends():
            for number, link in enumerate(links):
                interval = count_plan.choose_interval(sampling, number)
                link.send(
                    messages.Leading(
                        self.group, self.term, interval // MILLISECOND
                    )
                )

    def send_slowdowns(self, now: datetime.timedelta) -> None:
        """Send slowdowns to the gateways after a change, and periodically."""
        slowdowns = self.leader.slowdowns()
        if slowdowns == self.sent_slowdowns and now < self.slowdowns_due:
            return
        self.slowdowns_due = now + SLOWDOWNS_RESEND_INTERVAL
        self.sent_slowdowns = slowdowns
        message = messages.RankSlowdowns(self.group_id, self.term, slowdowns)
        with self.dependencies.links.batch_sends():
            for link in list(self.gateway_links):
                link.send(message)

    def read_layout(self, now: datetime.timedelta) -> None:
        """Read the service's declared layout, until it was found once."""
        if self.layout is not None or now < self.layout_due:
            return
        self.layout_due = now + LAYOUT_RETRY_INTERVAL
        result = self.dependencies.ports.configurations.read_all()
        if not returns.pipeline.is_successful(result):
            return
        for item in result.unwrap().items:
            service = (
                item.value.services.get(self.dependencies.settings.service)
                if item.value
                else None
            )
            if service is not None and service.engine is not None:
                self.layout = service.engine.layout

    # Opened and closed links. The caller holds the lock.

    def add_link(self, link: link_lib.Link) -> None:
        """Add an outgoing link, to a gateway or to the sidecar of a rank."""
        if link.peer is not None and link.peer.role == GATEWAY_ROLE:
            self.gateway_links.add(link)
            self.slowdowns_due = datetime.timedelta()
            return
        self.peers[link] = rank_peers.LinkPeer(self.group, link)
        link.send(messages.Leading(self.group, self.term))
        self.announcement_due = datetime.timedelta()

    def remove_link(self, link: link_lib.Link) -> None:
        """Remove a closed link, and its rank from the leader."""
        self.gateway_links.discard(link)
        peer = self.peers.pop(link, None)
        if peer is not None:
            self.leader.put(group_leader.PeerLost(peer))

    # Messages from ranks, on the I/O thread of the links.

    def handle_status(
        self, link: link_lib.Link, message: messages.RankStatus
    ) -> None:
        """Queue a rank's state for the leader if its link is known."""
        with self.dependencies.lock:
            peer = self.peers.get(link)
            if message.group != self.group:
                self.mark_other_group(
                    link.address, self.dependencies.clock.monotonic()
                )
        if peer is None:
            return
        if message.impossible_version:
            peer.base = None
        self.leader.put(
            group_leader.UpdateReceived(
                peer, rank_messages.decode_update(message)
            )
        )

    def handle_counts(
        self, link: link_lib.Link, message: messages.RankDemand
    ) -> None:
        """Queue a rank's counts for the leader if its link is known."""
        with self.dependencies.lock:
            known = link in self.peers
        if known and message.group == self.group:
            self.leader.put(
                group_leader.CountsReceived(
                    message.epoch,
                    demand_levels.decode(
                        demand_levels.DemandLevels(
                            message.length, message.unit, message.levels
                        )
                    ),
                )
            )

    # Listed endpoints and gateways, on the followers' threads.

    def on_batch(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Update the links to the sidecars of the service's listed engines."""
        del after_outage
        with self.dependencies.lock:
            if self.stopped:
                return
            now = self.dependencies.clock.monotonic()
            self.listed_endpoints.apply(batch, complete, now)
            self.set_targets()

    def on_gateways(
        self, batch: collection.Batch[addresses.Address], complete: bool
    ) -> None:
        """Update the links to the gateways, which receive the slowdowns."""
        with self.dependencies.lock:
            if self.stopped:
                return
            now = self.dependencies.clock.monotonic()
            self.gateways.apply(batch, complete, now)
            self.set_targets()

    def engines(self) -> list[endpoints.Endpoint]:
        """Return the listed engines of this sidecar's service."""
        return [
            endpoint
            for endpoint in self.listed_endpoints.by_name.values()
            if endpoint.service == self.dependencies.settings.service
        ]

    def set_targets(self) -> None:
        """Make the other sidecars and all gateways the targets of the links."""
        own = self.dependencies.settings.link_listen
        sidecars = {
            addresses.Address(endpoint.address.host, own.port)
            for endpoint in self.engines()
        }
        self.dependencies.links.set_targets(
            (sidecars | set(self.gateways.by_name.values())) - {own}
        )

    def on_outage(self) -> None:
        """Keep the known records."""


def create_leadership(
    claim: group_term.Claim, dependencies: Dependencies
) -> Leadership:
    """Create a leadership whose threads are not started."""
    return Leadership(claim, dependencies)
