"""What a sidecar does while it leads its rank group under one term.

It follows the listed engines and the gateways, keeps links to them, hands to
the leader what the ranks tell, and orders ranks directly whose sidecars have
no link.
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
from verbenafall_core.expert_maps import demand
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import follower
from verbenafall_core.routes import model
from verbenafall_sidecar.steering import count_plan
from verbenafall_sidecar.steering import event_catalogue
from verbenafall_sidecar.steering import group_leader
from verbenafall_sidecar.steering import ports as ports_lib
from verbenafall_sidecar.steering import rank_agent
from verbenafall_sidecar.steering import rank_messages
from verbenafall_sidecar.steering import rank_peers
from verbenafall_sidecar.steering import steering_settings

LEADING_INTERVAL: Final = datetime.timedelta(milliseconds=250)
# A rank whose sidecar has had no link for this time is ordered directly, which
# costs more and shows no counts.
DIRECT_AFTER: Final = datetime.timedelta(milliseconds=300)
WATCH_WAIT: Final = datetime.timedelta(seconds=10)
LAYOUT_PAUSE: Final = datetime.timedelta(milliseconds=500)
# Gateways forget slowdowns that are not repeated.
PACES_REPEAT: Final = datetime.timedelta(seconds=1)
MILLISECOND: Final = datetime.timedelta(milliseconds=1)
GATEWAY_ROLE: Final = "gateway"


class Setup(NamedTuple):
    """What a leadership works with.

    Attributes:
        lock: Guards all that the sidecar knows; re-entrant.
        step_down: Called with a higher term that was heard of.
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
    """Takes the records of the gateways while leading."""

    def __init__(self, leadership: "Leadership") -> None:
        """Create a listener for a leadership."""
        self.leadership = leadership

    def on_batch(
        self,
        batch: collection.Batch[addresses.Address],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Hand over the records that were read."""
        del after_outage
        self.leadership.on_gateways(batch, complete)

    def on_outage(self) -> None:
        """Keep what is known."""


class Leadership:
    """The lead of a group under one term; the lock guards what it knows."""

    def __init__(self, term: int, setup: Setup) -> None:
        """Create a lead whose threads are not yet running."""
        self.term = term
        self.setup = setup
        self.stopped = False
        self.leader = group_leader.GroupLeader(
            term,
            self.own_rank,
            lambda: self.layout,
            setup.clock,
            setup.metrics,
            setup.step_down,
            self.ask_for_hold,
        )
        self.own_listener = rank_peers.OwnListener(
            self.leader,
            rank_peers.OwnPeer(setup.agent, setup.settings.engine.host),
        )
        self.peers: dict[link_lib.Link, rank_peers.LinkPeer] = {}
        self.gateway_links: set[link_lib.Link] = set()
        self.unlinked_since: dict[addresses.Address, datetime.timedelta] = {}
        self.direct: dict[addresses.Address, rank_peers.DirectPeer] = {}
        self.gateways: dict[str, addresses.Address] = {}
        self.listed: dict[str, endpoints.Endpoint] = {}
        self.layout: model.ExpertLayout | None = None
        self.layout_due = datetime.timedelta()
        self.leading_due = datetime.timedelta()
        self.paces_due = datetime.timedelta()
        self.paces_told: tuple[tuple[str, float], ...] = ()
        self.followers: list[follower.Follower[Any]] = [
            follower.create_follower(
                "endpoints",
                setup.ports.endpoints,
                self,
                WATCH_WAIT,
                setup.generator,
            ),
            follower.create_follower(
                "gateways",
                setup.ports.gateways,
                GatewayListener(self),
                WATCH_WAIT,
                setup.generator,
            ),
        ]

    def start(self) -> None:
        """Begin to lead."""
        self.leader.start()
        for item in self.followers:
            item.start()

    def stop(self) -> None:
        """End the lead soon; hold the lock."""
        self.stopped = True
        self.leader.stop()
        for item in self.followers:
            item.stop(datetime.timedelta())
        for peer in self.direct.values():
            peer.close()
        self.setup.links.set_targets(set())

    def check(self, now: datetime.timedelta) -> None:
        """Do what is due; hold the lock."""
        self.read_layout(now)
        self.order_directly(now)
        if now >= self.leading_due:
            self.leading_due = now + LEADING_INTERVAL
            self.tell_leading()
        self.tell_paces(now)

    def own_rank(self) -> int:
        """Return the rank beside this process, -1 while it is not known."""
        report = self.setup.agent.report
        return -1 if report is None else report.rank

    def ask_for_hold(self, order: rank_state.RankOrder) -> bool:
        """Ask a gateway to hold the group; return whether one was asked."""
        with self.setup.lock:
            links = list(self.gateway_links)
            report = self.setup.agent.report
        if not links or report is None:
            return False
        engine = self.setup.settings.engine
        return self.setup.generator.choice(links).send(
            messages.RankHold(
                report.group,
                engine.host,
                engine.port,
                order.term,
                order.epoch,
                order.step,
            )
        )

    def order_directly(self, now: datetime.timedelta) -> None:
        """Reach the ranks whose sidecars have no link."""
        linked = {link.address.host for link in self.peers}
        linked.add(self.setup.settings.link_listen.host)
        engines = {
            endpoint.address
            for endpoint in self.listed.values()
            if endpoint.address.host not in linked
        }
        for address in list(self.direct):
            if address not in engines:
                self.direct.pop(address).close()
        for address in list(self.unlinked_since):
            if address not in engines:
                del self.unlinked_since[address]
        for address in engines:
            since = self.unlinked_since.setdefault(address, now)
            if address in self.direct or now - since < DIRECT_AFTER:
                continue
            event_log.emit(event_catalogue.RANK_DIRECT, engine=address)
            peer = rank_peers.DirectPeer(
                self.setup.ports.rank_at(address),
                address.host,
                self.setup.clock,
                self.leader,
            )
            self.direct[address] = peer
            peer.agent.start()

    def tell_leading(self) -> None:
        """Tell all linked sidecars who leads."""
        report = self.setup.agent.report
        if report is None:
            return
        links = list(self.peers)
        counting = count_plan.choose_sampling(len(links) + 1)
        with self.setup.links.joined():
            for number, link in enumerate(links):
                interval = count_plan.choose_interval(counting, number)
                link.send(
                    messages.Leading(
                        report.group, self.term, interval // MILLISECOND
                    )
                )

    def tell_paces(self, now: datetime.timedelta) -> None:
        """Tell the gateways how fast each rank is, when it has changed."""
        report = self.setup.agent.report
        slowdowns = self.leader.slowdowns()
        if report is None or (
            slowdowns == self.paces_told and now < self.paces_due
        ):
            return
        self.paces_due = now + PACES_REPEAT
        self.paces_told = slowdowns
        message = messages.RankSlowdowns(report.group, self.term, slowdowns)
        with self.setup.links.joined():
            for link in list(self.gateway_links):
                link.send(message)

    def read_layout(self, now: datetime.timedelta) -> None:
        """Read the declared layout of the service's engines once."""
        if self.layout is not None or now < self.layout_due:
            return
        self.layout_due = now + LAYOUT_PAUSE
        result = self.setup.ports.configurations.read_all()
        if not returns.pipeline.is_successful(result):
            return
        for item in result.unwrap().items:
            service = (
                item.value.services.get(self.setup.settings.service)
                if item.value
                else None
            )
            if service is not None and service.engine is not None:
                self.layout = service.engine.layout

    # Links; hold the lock.

    def add_link(self, link: link_lib.Link) -> None:
        """Take a link that was opened from here."""
        report = self.setup.agent.report
        if report is None:
            return
        if link.peer is not None and link.peer.role == GATEWAY_ROLE:
            self.gateway_links.add(link)
            self.paces_due = datetime.timedelta()
            return
        self.peers[link] = rank_peers.LinkPeer(report.group, link)
        link.send(messages.Leading(report.group, self.term))
        self.leading_due = datetime.timedelta()

    def remove_link(self, link: link_lib.Link) -> None:
        """Forget a link."""
        self.gateway_links.discard(link)
        peer = self.peers.pop(link, None)
        if peer is not None:
            self.leader.put(group_leader.Gone(peer))

    # What ranks tell; on the I/O thread of the links.

    def take_status(
        self, link: link_lib.Link, message: messages.RankStatus
    ) -> None:
        """Hand a rank's state to the leader."""
        with self.setup.lock:
            peer = self.peers.get(link)
        if peer is None:
            return
        if message.impossible_version:
            peer.base = None
        self.leader.put(
            group_leader.News(peer, rank_messages.decode_news(message))
        )

    def take_counts(
        self, link: link_lib.Link, message: messages.RankCounts
    ) -> None:
        """Hand a rank's counts to the leader."""
        with self.setup.lock:
            known = link in self.peers
        if known:
            self.leader.put(
                group_leader.Counts(
                    message.epoch,
                    demand.ChosenCounts(message.indices, message.counts),
                )
            )

    # Listed endpoints; on the followers' threads.

    def on_batch(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Link with the sidecars of all listed engines of the service."""
        del after_outage
        with self.setup.lock:
            if self.stopped:
                return
            if complete:
                self.listed.clear()
            for item in batch.items:
                if item.value is None:
                    self.listed.pop(item.name, None)
                elif item.value.service == self.setup.settings.service:
                    self.listed[item.name] = item.value
            self.set_targets()

    def on_gateways(
        self, batch: collection.Batch[addresses.Address], complete: bool
    ) -> None:
        """Link with the gateways, which are told how ranks are doing."""
        with self.setup.lock:
            if self.stopped:
                return
            if complete:
                self.gateways.clear()
            for item in batch.items:
                if item.value is None:
                    self.gateways.pop(item.name, None)
                else:
                    self.gateways[item.name] = item.value
            self.set_targets()

    def set_targets(self) -> None:
        """Keep links to the other sidecars and to the gateways."""
        own = self.setup.settings.link_listen
        sidecars = {
            addresses.Address(endpoint.address.host, own.port)
            for endpoint in self.listed.values()
        }
        self.setup.links.set_targets(
            (sidecars | set(self.gateways.values())) - {own}
        )

    def on_outage(self) -> None:
        """Keep what is known."""


def create_leadership(term: int, setup: Setup) -> Leadership:
    """Create a lead whose threads are not yet running."""
    return Leadership(term, setup)
