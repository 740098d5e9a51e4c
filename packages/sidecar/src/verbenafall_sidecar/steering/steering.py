"""A sidecar that steers: agent of its rank, links, and the lead at times."""

import datetime
import random
import threading
from typing import Any
from typing import Final
import uuid

import returns.pipeline

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import endpoints
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import periodic
from verbenafall_core.expert_maps import demand
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import follower
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

CHECK_INTERVAL: Final = datetime.timedelta(milliseconds=100)
LEADING_INTERVAL: Final = datetime.timedelta(milliseconds=250)
# A rank whose sidecar has had no link for this time is ordered directly, which
# costs more and shows no counts.
DIRECT_AFTER: Final = datetime.timedelta(milliseconds=300)
# Sidecars claim the lead one after the other, so that one claim suffices.
CLAIM_DELAY_PER_RANK: Final = datetime.timedelta(milliseconds=60)
CLAIM_PAUSE: Final = datetime.timedelta(seconds=1)
WATCH_WAIT: Final = datetime.timedelta(seconds=10)
LAYOUT_PAUSE: Final = datetime.timedelta(milliseconds=500)
# Gateways forget paces that are not repeated.
PACES_REPEAT: Final = datetime.timedelta(seconds=1)
MILLISECOND: Final = datetime.timedelta(milliseconds=1)
ROLE: Final = "sidecar"
GATEWAY_ROLE: Final = "gateway"


class GatewayListener:
    """Takes the records of the gateways while leading."""

    def __init__(self, steering: "Steering") -> None:
        """Create a listener for a sidecar."""
        self.steering = steering

    def on_batch(
        self,
        batch: collection.Batch[addresses.Address],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Hand over the records that were read."""
        del after_outage
        self.steering.on_gateways(batch, complete)

    def on_outage(self) -> None:
        """Keep what is known."""


class Steering:
    """All parts of a sidecar that steers its rank."""

    def __init__(
        self,
        settings: steering_settings.SteeringSettings,
        ports: ports_lib.SidecarPorts,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        generator: random.Random,
    ) -> None:
        """Build all parts; nothing is started."""
        self.metrics = metrics
        self.settings = settings
        self.ports = ports
        self.clock = clock
        self.generator = generator
        self.lock = threading.RLock()
        self.listener: rank_agent.RankListener | None = None
        self.listener_link: link_lib.Link | None = None
        self.agent = rank_agent.create_rank_agent(
            ports.rank_at(settings.engine), clock, lambda: self.listener
        )
        self.maps = rank_messages.ReceivedMaps()
        self.leader: group_leader.GroupLeader | None = None
        self.peers: dict[link_lib.Link, rank_peers.LinkPeer] = {}
        self.unlinked_since: dict[addresses.Address, datetime.timedelta] = {}
        self.direct: dict[addresses.Address, rank_peers.DirectPeer] = {}
        self.followers: list[follower.Follower[Any]] = []
        self.gateways: dict[str, addresses.Address] = {}
        self.gateway_links: set[link_lib.Link] = set()
        self.paces_due = datetime.timedelta()
        self.paces_told: tuple[tuple[str, float], ...] = ()
        self.listed: dict[str, endpoints.Endpoint] = {}
        self.layout: model.ExpertLayout | None = None
        self.layout_due = datetime.timedelta()
        self.claim_due = datetime.timedelta()
        self.leading_due = datetime.timedelta()
        router = link_router.create_link_router()
        router.subscribe(messages.Leading, self.on_leading)
        router.subscribe(messages.RankOrder, self.on_order)
        router.subscribe(messages.RankStatus, self.on_status)
        router.subscribe(messages.RankCounts, self.on_counts)
        router.subscribe_open(self.on_open)
        router.subscribe_close(self.on_close)
        hello = messages.Hello(
            messages.PROTOCOL_VERSION,
            settings.name,
            ROLE,
            settings.data_centre,
            settings.service,
        )
        self.links = link_lib.create_link_loop(
            hello,
            lambda: messages.Heartbeat(0, 0, True, False),
            router,
            clock,
        )
        self.task = periodic.create_periodic_task(
            "steering", CHECK_INTERVAL, self.check, generator
        )

    def start(self) -> None:
        """Listen and serve the rank.

        Raises:
            LinkError: The address cannot be listened on.
        """
        self.links.listen(self.settings.link_listen)
        self.links.start()
        self.agent.start()
        self.task.start()
        event_log.emit(
            event_catalogue.STEERING_STARTED,
            links=self.settings.link_listen,
            service=self.settings.service,
        )

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop all parts."""
        self.task.stop(limit)
        self.resign()
        self.agent.stop(limit)
        self.links.stop(limit)
        event_log.emit(event_catalogue.STEERING_STOPPED)

    # The lead.

    def check(self) -> None:
        """Claim the lead when nobody leads, or tell the others."""
        now = self.clock.monotonic()
        with self.lock:
            leader = self.leader
            report = self.agent.report
            if leader is not None:
                if self.agent.term > leader.term:
                    self.step_down(self.agent.term)
                    return
                self.agent.note_leader(leader.term, rank_agent.COUNT_INTERVAL)
                self.read_layout(now)
                self.order_directly(now)
                if now >= self.leading_due:
                    self.leading_due = now + LEADING_INTERVAL
                    self.tell_leading(leader.term)
                self.tell_paces(leader, now)
                return
            if report is None or self.agent.is_led():
                self.claim_due = datetime.timedelta()
                return
            if not self.claim_due:
                self.claim_due = now + CLAIM_DELAY_PER_RANK * report.rank
            if now >= self.claim_due:
                self.claim_due = now + CLAIM_PAUSE
                self.claim(report)

    def claim(self, report: rank_state.RankReport) -> None:
        """Try to take the lead."""
        group = f"{self.settings.service}.{report.group}"
        holder = f"{self.settings.name}/{uuid.uuid4().hex}"
        term = group_term.take_term(self.ports.store, group, holder)
        if isinstance(term, group_term.Claim):
            event_log.emit(
                event_catalogue.TERM_REFUSED, group=group, reason=term.value
            )
            return
        event_log.emit(
            event_catalogue.TERM_TAKEN, group=group, term=term, rank=report.rank
        )
        self.lead(term)

    def lead(self, term: int) -> None:
        """Begin to lead under a term."""
        if not self.agent.note_leader(term):
            return
        self.leader = group_leader.GroupLeader(
            term,
            self.own_rank,
            lambda: self.layout,
            self.clock,
            self.metrics,
            self.step_down,
        )
        self.listener_link = None
        own = rank_peers.OwnPeer(self.agent, self.settings.engine.host)
        self.listener = rank_peers.OwnListener(self.leader, own)
        self.leader.start()
        self.agent.tell_again()
        self.followers = [
            follower.create_follower(
                "endpoints",
                self.ports.endpoints,
                self,
                WATCH_WAIT,
                self.generator,
            ),
            follower.create_follower(
                "gateways",
                self.ports.gateways,
                GatewayListener(self),
                WATCH_WAIT,
                self.generator,
            ),
        ]
        for item in self.followers:
            item.start()

    def own_rank(self) -> int:
        """Return the rank beside this process, -1 while it is not known."""
        report = self.agent.report
        return -1 if report is None else report.rank

    def order_directly(self, now: datetime.timedelta) -> None:
        """Reach the ranks whose sidecars have no link."""
        leader = self.leader
        if leader is None:
            return
        linked = {link.address.host for link in self.peers}
        linked.add(self.settings.link_listen.host)
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
                self.ports.rank_at(address), address.host, self.clock, leader
            )
            self.direct[address] = peer
            peer.agent.start()

    def step_down(self, term: int) -> None:
        """End the lead after a higher term was heard of."""
        with self.lock:
            if self.leader is None or term <= self.leader.term:
                return
            event_log.emit(
                event_catalogue.TERM_LOST, term=self.leader.term, higher=term
            )
            self.resign()
            self.agent.note_leader(term)

    def resign(self) -> None:
        """End the lead."""
        with self.lock:
            if self.leader is None:
                return
            self.leader.stop()
            self.leader = None
            self.listener = None
            for item in self.followers:
                item.stop(datetime.timedelta())
            self.followers = []
            for peer in self.direct.values():
                peer.close()
            self.direct.clear()
            self.unlinked_since.clear()
            self.listed.clear()
            self.peers.clear()
            self.gateway_links.clear()
            self.links.set_targets(set())

    def tell_leading(self, term: int) -> None:
        """Tell all linked sidecars who leads."""
        report = self.agent.report
        if report is None:
            return
        links = list(self.peers)
        counting = count_plan.choose_counting(len(links) + 1)
        with self.links.joined():
            for number, link in enumerate(links):
                interval = count_plan.interval_of(counting, number)
                link.send(
                    messages.Leading(
                        report.group, term, interval // MILLISECOND
                    )
                )

    def tell_paces(
        self, leader: group_leader.GroupLeader, now: datetime.timedelta
    ) -> None:
        """Tell the gateways how fast each rank is, when it has changed."""
        report = self.agent.report
        paces = leader.paces()
        if report is None or (
            paces == self.paces_told and now < self.paces_due
        ):
            return
        self.paces_due = now + PACES_REPEAT
        self.paces_told = paces
        message = messages.RankPaces(report.group, leader.term, paces)
        with self.links.joined():
            for link in list(self.gateway_links):
                link.send(message)

    def read_layout(self, now: datetime.timedelta) -> None:
        """Read the declared layout of the service's engines once."""
        if self.layout is not None or now < self.layout_due:
            return
        self.layout_due = now + LAYOUT_PAUSE
        result = self.ports.configurations.read_all()
        if not returns.pipeline.is_successful(result):
            return
        for item in result.unwrap().items:
            service = (
                item.value.services.get(self.settings.service)
                if item.value
                else None
            )
            if service is not None and service.engine is not None:
                self.layout = service.engine.layout

    # Listed endpoints, while leading; on the follower's thread.

    def on_batch(
        self,
        batch: collection.Batch[endpoints.Endpoint],
        complete: bool,
        after_outage: bool,
    ) -> None:
        """Link with the sidecars of all listed engines of the service."""
        del after_outage
        with self.lock:
            if self.leader is None:
                return
            if complete:
                self.listed.clear()
            for item in batch.items:
                if item.value is None:
                    self.listed.pop(item.name, None)
                elif item.value.service == self.settings.service:
                    self.listed[item.name] = item.value
            self.set_targets()

    def on_gateways(
        self, batch: collection.Batch[addresses.Address], complete: bool
    ) -> None:
        """Link with the gateways, which are told how ranks are doing."""
        with self.lock:
            if self.leader is None:
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
        own = self.settings.link_listen
        sidecars = {
            addresses.Address(endpoint.address.host, own.port)
            for endpoint in self.listed.values()
        }
        self.links.set_targets((sidecars | set(self.gateways.values())) - {own})

    def on_outage(self) -> None:
        """Keep what is known."""

    # Links; on their I/O thread.

    def on_open(self, link: link_lib.Link) -> None:
        """Tell a sidecar that has just been linked who leads."""
        with self.lock:
            leader, report = self.leader, self.agent.report
            if leader is None or report is None or not link.outgoing:
                return
            if link.peer is not None and link.peer.role == GATEWAY_ROLE:
                self.gateway_links.add(link)
                self.paces_due = datetime.timedelta()
                return
            self.peers[link] = rank_peers.LinkPeer(report.group, link)
            link.send(messages.Leading(report.group, leader.term))
            self.leading_due = datetime.timedelta()

    def on_close(self, link: link_lib.Link, reason: str) -> None:
        """Forget a link."""
        del reason
        with self.lock:
            self.gateway_links.discard(link)
            peer = self.peers.pop(link, None)
            if peer is not None and self.leader is not None:
                self.leader.put(group_leader.Gone(peer))
            if self.listener_link is link:
                self.listener_link = None
                self.listener = None

    def on_leading(
        self, link: link_lib.Link, message: messages.Leading
    ) -> None:
        """Follow a leader, unless a higher term is known."""
        with self.lock:
            if self.leader is not None and message.term > self.leader.term:
                self.step_down(message.term)
            interval = message.count_interval_ms * MILLISECOND
            if not self.agent.note_leader(message.term, interval):
                report = self.agent.report
                if report is not None:
                    # Tells the sender of the higher term.
                    link.send(
                        rank_messages.encode_news(
                            rank_agent.RankNews(
                                report, self.agent.term, 0, 0, ()
                            )
                        )
                    )
                return
            if self.leader is None and self.listener_link is not link:
                self.listener_link = link
                self.listener = rank_peers.LinkListener(message.group, link)
                self.agent.tell_again()

    def on_order(
        self, link: link_lib.Link, message: messages.RankOrder
    ) -> None:
        """Hand an order to the agent."""
        order = self.maps.decode_order(message)
        if order is not None:
            self.agent.accept(order)
            return
        event_log.emit(
            event_catalogue.ORDER_REFUSED,
            kind=message.kind,
            term=message.term,
            version=message.version,
            known_term=self.agent.term,
            reason="base map not known",
        )
        report = self.agent.report
        if report is not None:
            link.send(
                rank_messages.encode_news(
                    rank_agent.RankNews(
                        report, self.agent.term, 0, message.version, ()
                    )
                )
            )

    def on_status(
        self, link: link_lib.Link, message: messages.RankStatus
    ) -> None:
        """Hand a rank's state to the leader."""
        with self.lock:
            leader, peer = self.leader, self.peers.get(link)
        if leader is None or peer is None:
            return
        if message.impossible_version:
            peer.base = None
        leader.put(group_leader.News(peer, rank_messages.decode_news(message)))

    def on_counts(
        self, link: link_lib.Link, message: messages.RankCounts
    ) -> None:
        """Hand a rank's counts to the leader."""
        with self.lock:
            leader, known = self.leader, link in self.peers
        if leader is not None and known:
            leader.put(
                group_leader.Counts(
                    message.epoch,
                    demand.ChosenCounts(message.indices, message.counts),
                )
            )


def create_steering(
    settings: steering_settings.SteeringSettings,
    ports: ports_lib.SidecarPorts,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    generator: random.Random | None = None,
) -> Steering:
    """Build a sidecar that steers; nothing is started."""
    return Steering(
        settings, ports, clock, metrics, generator or random.Random()
    )
