"""A sidecar that steers: agent of its rank, links, and the lead at times."""

import datetime
import random
import threading
from typing import Final
import uuid

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import link_loop
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import periodic
from verbenafall_core.expert_maps import rank_state
from verbenafall_sidecar.steering import event_catalogue
from verbenafall_sidecar.steering import group_term
from verbenafall_sidecar.steering import leadership as leadership_lib
from verbenafall_sidecar.steering import ports as ports_lib
from verbenafall_sidecar.steering import rank_agent
from verbenafall_sidecar.steering import rank_messages
from verbenafall_sidecar.steering import rank_peers
from verbenafall_sidecar.steering import steering_settings

CHECK_INTERVAL: Final = datetime.timedelta(milliseconds=100)
# Sidecars claim the lead one after the other, so that one claim suffices.
CLAIM_DELAY_PER_RANK: Final = datetime.timedelta(milliseconds=60)
CLAIM_PAUSE: Final = datetime.timedelta(seconds=1)
MILLISECOND: Final = datetime.timedelta(milliseconds=1)
ROLE: Final = "sidecar"


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
        self.leadership: leadership_lib.Leadership | None = None
        self.claim_due = datetime.timedelta()
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
        self.links = link_loop.create_link_loop(
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
            report = self.agent.report
            if self.leadership is not None:
                if self.agent.term > self.leadership.term:
                    self.step_down(self.agent.term)
                    return
                self.agent.note_leader(
                    self.leadership.term, rank_agent.COUNT_INTERVAL
                )
                self.leadership.check(now)
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
        self.leadership = leadership_lib.create_leadership(
            term,
            leadership_lib.Setup(
                self.settings,
                self.ports,
                self.agent,
                self.links,
                self.clock,
                self.metrics,
                self.generator,
                self.lock,
                self.step_down,
            ),
        )
        self.listener_link = None
        self.listener = self.leadership.own_listener
        self.leadership.start()
        self.agent.tell_again()

    def step_down(self, term: int) -> None:
        """End the lead after a higher term was heard of."""
        with self.lock:
            if self.leadership is None or term <= self.leadership.term:
                return
            event_log.emit(
                event_catalogue.TERM_LOST,
                term=self.leadership.term,
                higher=term,
            )
            self.resign()
            self.agent.note_leader(term)

    def resign(self) -> None:
        """End the lead."""
        with self.lock:
            if self.leadership is None:
                return
            self.leadership.stop()
            self.leadership = None
            self.listener = None

    # Links; on their I/O thread.

    def on_open(self, link: link_lib.Link) -> None:
        """Let the lead know of a link that it has asked for."""
        with self.lock:
            if self.leadership is not None and link.outgoing:
                self.leadership.add_link(link)

    def on_close(self, link: link_lib.Link, reason: str) -> None:
        """Forget a link."""
        del reason
        with self.lock:
            if self.leadership is not None:
                self.leadership.remove_link(link)
            if self.listener_link is link:
                self.listener_link = None
                self.listener = None

    def on_leading(
        self, link: link_lib.Link, message: messages.Leading
    ) -> None:
        """Follow a leader, unless a higher term is known."""
        with self.lock:
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
            if self.leadership is None and self.listener_link is not link:
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
            leadership = self.leadership
        if leadership is not None:
            leadership.take_status(link, message)

    def on_counts(
        self, link: link_lib.Link, message: messages.RankCounts
    ) -> None:
        """Hand a rank's counts to the leader."""
        with self.lock:
            leadership = self.leadership
        if leadership is not None:
            leadership.take_counts(link, message)


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
