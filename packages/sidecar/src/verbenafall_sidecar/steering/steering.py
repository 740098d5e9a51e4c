"""Steering sidecar: a rank agent, links, and leadership when elected."""

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
# Sidecars try to become leader in the order of their ranks, so that they do
# not compete for the term.
CLAIM_DELAY_PER_RANK: Final = datetime.timedelta(milliseconds=60)
CLAIM_RETRY_INTERVAL: Final = datetime.timedelta(seconds=1)
# Time to release a held group before a planned stop. The other sidecars notice
# that the leader is gone after nearly as long.
RELEASE_LIMIT: Final = datetime.timedelta(seconds=1)
MILLISECOND: Final = datetime.timedelta(milliseconds=1)
ROLE: Final = "sidecar"


class Steering:
    """Runs the agent of a rank and the election of its group's leader."""

    def __init__(
        self,
        settings: steering_settings.SteeringSettings,
        ports: ports_lib.SidecarPorts,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        generator: random.Random,
    ) -> None:
        """Create all parts; nothing is started."""
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
        router.subscribe(messages.RankDemand, self.on_counts)
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
        """Listen for links and start all threads.

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
        """Stop leading and stop all parts; each may take the time limit.

        A group that this sidecar holds is released first.
        """
        self.finish_switch(min(limit, RELEASE_LIMIT))
        self.task.stop(limit)
        self.resign()
        self.agent.stop(limit)
        self.links.stop(limit)
        event_log.emit(event_catalogue.STEERING_STOPPED)

    # Leadership.

    def check(self) -> None:
        """Run the due tasks of the leadership, or claim it if nobody leads."""
        now = self.clock.monotonic()
        with self.lock:
            report = self.agent.report
            if self.leadership is not None:
                if report is not None and report.group != self.leadership.group:
                    event_log.emit(
                        event_catalogue.GROUP_CHANGED,
                        before=self.leadership.group,
                        group=report.group,
                    )
                    self.resign()
                    return
                if self.agent.term > self.leadership.term:
                    self.step_down(self.agent.term)
                    return
                self.agent.accept_leader(
                    self.leadership.term, rank_agent.COUNT_INTERVAL
                )
                self.leadership.run_due_tasks(now)
                return
            if report is None or self.agent.has_leader():
                self.claim_due = datetime.timedelta()
                return
            if not self.claim_due:
                self.claim_due = now + CLAIM_DELAY_PER_RANK * report.rank
            if now >= self.claim_due:
                self.claim_due = now + CLAIM_RETRY_INTERVAL
                self.claim_term(report)

    def claim_term(self, report: rank_state.RankReport) -> None:
        """Try to acquire a term, and start to lead under it."""
        group = f"{self.settings.service}.{report.group}"
        holder = f"{self.settings.name}/{uuid.uuid4().hex}"
        term = group_term.acquire_term(self.ports.store, group, holder)
        if isinstance(term, group_term.ClaimFailure):
            event_log.emit(
                event_catalogue.TERM_REFUSED, group=group, reason=term.value
            )
            return
        event_log.emit(
            event_catalogue.TERM_TAKEN, group=group, term=term, rank=report.rank
        )
        self.start_leadership(group_term.Claim(group, holder, term))

    def start_leadership(self, claim: group_term.Claim) -> None:
        """Start to lead under a term, unless a higher one is known."""
        if not self.agent.accept_leader(claim.term):
            return
        self.leadership = leadership_lib.create_leadership(
            claim,
            leadership_lib.Dependencies(
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
        self.listener = self.leadership.local_listener
        self.leadership.start()
        self.agent.resend_all()

    def step_down(self, term: int) -> None:
        """Stop leading if a term is higher than the one of this leadership."""
        with self.lock:
            if self.leadership is None or term <= self.leadership.term:
                return
            event_log.emit(
                event_catalogue.TERM_LOST,
                term=self.leadership.term,
                higher=term,
            )
            self.resign()
            self.agent.accept_leader(term)

    def finish_switch(self, limit: datetime.timedelta) -> None:
        """Release the group, if this sidecar leads, within a limit."""
        with self.lock:
            leadership = self.leadership
        if leadership is not None and not leadership.leader.finish(limit):
            event_log.emit(
                event_catalogue.GROUP_LEFT_HELD,
                phase=leadership.leader.switch.phase,
                term=leadership.term,
            )

    def resign(self) -> None:
        """Stop leading, if this sidecar leads."""
        with self.lock:
            if self.leadership is None:
                return
            self.leadership.stop()
            self.leadership = None
            self.listener = None

    # Callbacks of the links, on their I/O thread.

    def on_open(self, link: link_lib.Link) -> None:
        """Add an outgoing link to the leadership."""
        with self.lock:
            if self.leadership is not None and link.outgoing:
                self.leadership.add_link(link)

    def on_close(self, link: link_lib.Link, reason: str) -> None:
        """Remove a closed link; send no updates if it was the leader's."""
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
        """Follow the leader of this sidecar's group.

        A leader of another group, or one with a lower term, gets the group and
        the term that are known here.
        """
        with self.lock:
            report = self.agent.report
            if report is None:
                return
            if message.group != report.group:
                link.send(self.encode_own_status(report))
                return
            self.step_down(message.term)
            interval = message.count_interval_ms * MILLISECOND
            if not self.agent.accept_leader(message.term, interval):
                # The higher term makes the sender step down.
                link.send(self.encode_own_status(report))
                return
            if self.leadership is None and self.listener_link is not link:
                self.listener_link = link
                self.listener = rank_peers.LinkListener(message.group, link)
                self.agent.resend_all()

    def on_order(
        self, link: link_lib.Link, message: messages.RankOrder
    ) -> None:
        """Pass an order to the agent.

        Refuse it if it is for another group or its map cannot be built.
        """
        report = self.agent.report
        if report is None or message.group != report.group:
            self.log_refused_order(message, "group")
            return
        order = self.maps.decode_order(message)
        if order is not None:
            self.agent.accept(order)
            return
        self.log_refused_order(message, "base map unknown")
        link.send(self.encode_own_status(report, message.version))

    def log_refused_order(
        self, message: messages.RankOrder, reason: str
    ) -> None:
        """Log an order that is not passed to the agent."""
        event_log.emit(
            event_catalogue.ORDER_REFUSED,
            kind=message.kind,
            term=message.term,
            version=message.version,
            known_term=self.agent.term,
            reason=reason,
        )

    def encode_own_status(
        self, report: rank_state.RankReport, impossible_version: int = 0
    ) -> messages.RankStatus:
        """Return the message with the group and the term known here."""
        return rank_messages.encode_update(
            rank_agent.RankUpdate(
                report, self.agent.term, 0, impossible_version, ()
            )
        )

    def on_status(
        self, link: link_lib.Link, message: messages.RankStatus
    ) -> None:
        """Pass a rank's state to the leadership, if there is one."""
        with self.lock:
            leadership = self.leadership
        if leadership is not None:
            leadership.handle_status(link, message)

    def on_counts(
        self, link: link_lib.Link, message: messages.RankDemand
    ) -> None:
        """Pass a rank's counts to the leadership, if there is one."""
        with self.lock:
            leadership = self.leadership
        if leadership is not None:
            leadership.handle_counts(link, message)


def create_steering(
    settings: steering_settings.SteeringSettings,
    ports: ports_lib.SidecarPorts,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    generator: random.Random | None = None,
) -> Steering:
    """Create a steering sidecar; nothing is started."""
    return Steering(
        settings, ports, clock, metrics, generator or random.Random()
    )
