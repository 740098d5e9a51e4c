"""Exchanges state with the other gateways over links.

The gateways share their counts of open requests, the configuration and which
endpoints accept no more requests. Leaders of rank groups use the same links
to request holds and to report the slowdown of each rank.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
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
from verbenafall_core.object_store import known_items
from verbenafall_core.object_store import records
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import crash_suspects
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import endpoint_limits
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import membership as membership_lib
from verbenafall_gateway.forwarding import peer_loads
from verbenafall_gateway.forwarding import rank_holds
from verbenafall_gateway.forwarding import rank_slowdowns

ROLE: Final = "gateway"
# Counts change with every request; changes within this time are sent in one
# message.
COUNTS_INTERVAL_SECONDS: Final = 0.03
# Unchanged counts are sent again after this time, as peers ignore counts that
# are too old.
COUNTS_REPEAT_SECONDS: Final = 0.5
MILLISECONDS_PER_SECOND: Final = 1000
# Reports of parts in one message; a report has up to 500 bytes.
MAX_REPORTS: Final = 1000


class PeerLinks:
    """Maintains links with all other gateways.

    Callbacks of the links (`on_*`) run on the links' thread and pass their
    work to the event loop; everything else runs on the event loop.

    Attributes:
        records: Link addresses of the gateways that are registered in the
            store, by name.
        own_record_missing: Called with a revision of the store that lacks this
            gateway's record.
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
        membership: membership_lib.Membership,
        slowdowns: rank_slowdowns.RankSlowdowns,
        limits: endpoint_limits.EndpointLimits,
        suspects: crash_suspects.CrashSuspects,
        holds: rank_holds.RankHolds,
        loads_changed: Callable[[], None],
    ) -> None:
        """Create the links without opening any.

        Args:
            loop: The event loop.
            clock: Time source of the links.
            name: Name of this gateway.
            data_centre: Data centre of this gateway.
            listen: Address on which to accept links.
            configuration: Configuration in force; updated by peers.
            directory: Known endpoints; updated by peers.
            loads: Counts of open requests of this gateway and its peers.
            membership: The gateways that share common limits.
            slowdowns: Slowdown of the ranks, as reported by their leaders.
            limits: Rate limits of the endpoints; updated by peers.
            suspects: Parts of prompts that may crash endpoints; updated by
                peers.
            holds: Sends the holds of leaders to engines.
            loads_changed: Called after the counts of a peer have changed.
        """
        self.loop = loop
        self.name = name
        self.listen_address = listen
        self.configuration = configuration
        self.directory = directory
        self.loads = loads
        self.membership = membership
        self.slowdowns = slowdowns
        self.limits = limits
        self.suspects = suspects
        self.loads_changed = loads_changed
        self.records: known_items.KnownItems[addresses.Address] = (
            known_items.create_known_items(records.GATEWAY_RECORD_RETENTION)
        )
        self.own_record_missing: Callable[[int], None] | None = None
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
        router.subscribe(messages.StoppingEndpoints, self.on_stopping)
        router.subscribe(messages.RankSlowdowns, self.on_slowdowns)
        router.subscribe(messages.EndpointLimits, self.on_limits)
        router.subscribe(messages.PartReports, self.on_part_reports)
        router.subscribe(messages.OpenTrials, self.on_open_trials)
        router.subscribe(messages.GatewayCounted, self.on_counted)
        router.subscribe(messages.RankHold, holds.on_hold)
        hello = messages.Hello(
            messages.PROTOCOL_VERSION, name, ROLE, data_centre, ""
        )
        self.links = link_loop.create_link_loop(
            hello, self.heartbeat, router, clock
        )

    def start(self) -> None:
        """Start to accept and open links, and send the first counts.

        Raises:
            LinkError: Cannot listen on the address.
        """
        self.links.listen(self.listen_address)
        self.links.start()
        self.loads.changed = self.schedule_counts
        self.schedule_counts()

    def stop(self, limit: datetime.timedelta) -> None:
        """Cancel the timers and close all links within a limit."""
        self.loads.changed = None
        for timer in (self.counts_timer, self.repeat_timer):
            if timer is not None:
                timer.cancel()
        self.links.stop(limit)

    def heartbeat(self) -> messages.Heartbeat:
        """Return a heartbeat; links between gateways carry no bundles."""
        return messages.Heartbeat(0, 0, True, False)

    # Gateway records, passed on by the follower of the store.

    def apply_records(
        self,
        batch: collection.Batch[addresses.Address],
        complete: bool,
        read_at: float,
    ) -> None:
        """Maintain links to the gateways that have a record.

        Of two gateways, the one with the lower address opens the link.

        Args:
            batch: Changed records; those without a value were deleted.
            complete: Whether the batch contains all records.
            read_at: When the batch was read, in seconds of the loop's clock.
        """
        before = self.membership.recorded
        now = datetime.timedelta(seconds=self.loop.time())
        self.records.apply(batch, complete, now)
        others = {
            address
            for name, address in self.records.by_name.items()
            if name != self.name and address != self.listen_address
        }
        self.loads.set_gateway_count(
            len(others) + 1, self.name in self.records.by_name
        )
        self.limits.set_gateways(tuple(self.records.by_name))
        self.membership.apply_records(self.records.by_name, read_at)
        self.confirm_counted(self.membership.recorded - before)
        if (
            self.name not in self.records.by_name
            and self.own_record_missing is not None
        ):
            self.own_record_missing(batch.revision)
        self.links.set_targets(
            {item for item in others if self.listen_address < item}
        )

    # Sending; runs on the event loop.

    def schedule_counts(self) -> None:
        """Send this gateway's counts after a short delay to batch changes."""
        if self.counts_timer is None:
            self.counts_timer = self.loop.call_later(
                COUNTS_INTERVAL_SECONDS, self.send_counts
            )

    def send_counts(self) -> None:
        """Send this gateway's counts and schedule their repetition."""
        self.counts_timer = None
        self.send_to_all(messages.OpenRequests(tuple(self.loads.own.items())))
        if self.repeat_timer is not None:
            self.repeat_timer.cancel()
        self.repeat_timer = self.loop.call_later(
            COUNTS_REPEAT_SECONDS, self.schedule_counts
        )

    def announce_configuration(self) -> None:
        """Notify all peers of the configuration version in force here."""
        self.send_to_all(
            messages.ConfigurationVersion(self.configuration.version())
        )

    def announce_leaving(self, leaving: dict[str, int]) -> None:
        """Notify all peers of endpoints that accept no more requests.

        Args:
            leaving: Revision of the store entry, by endpoint id.
        """
        self.send_to_all(messages.EndpointLeaving(tuple(leaving.items())))

    def announce_stopping(self, lives: dict[str, int | None]) -> None:
        """Notify all peers of endpoints that have said that they leave.

        Args:
            lives: Start of each endpoint, by id.
        """
        self.send_to_all(messages.StoppingEndpoints(tuple(lives.items())))

    def announce_limit(self, endpoint_id: str) -> None:
        """Send an endpoint's rate limit to all peers."""
        self.send_to_all(
            limits_message(
                {endpoint_id: self.limits.statements[endpoint_id]},
                self.loop.time(),
            )
        )

    def confirm_counted(self, names: frozenset[str]) -> None:
        """Tell linked gateways that they are counted here."""
        for link in self.links.open_links():
            if (
                is_gateway(link)
                and link.peer is not None
                and link.peer.instance in names
            ):
                link.send(messages.GatewayCounted())

    def announce_parts(self, keys: Sequence[crash_suspects.PartKey]) -> None:
        """Send what is known of some parts of prompts to all peers."""
        histories = {key: self.suspects.history_of(key) for key in keys}
        self.send_to_all(part_reports(histories, self.loop.time()))

    def announce_trials(self, parts: Sequence[crash_suspects.PartKey]) -> None:
        """Tell all peers that trials have no result yet."""
        if parts:
            self.send_to_all(messages.OpenTrials(tuple(parts)))

    def all_part_reports(self) -> messages.PartReports:
        """Return what is known of all parts that may crash endpoints."""
        return part_reports(dict(self.suspects.histories), self.loop.time())

    def send_to_all(self, message: messages.Message) -> None:
        """Send a message over all open links to gateways."""
        with self.links.batch_sends():
            for link in self.links.open_links():
                if is_gateway(link):
                    link.send(message)

    # Receiving; runs on the links' thread.

    def on_open(self, link: link_lib.Link) -> None:
        """Send the current state to a newly linked gateway."""
        if not is_gateway(link) or link.peer is None:
            return
        self.loop.call_soon_threadsafe(self.count_peer, link.peer.instance)
        link.send(messages.ConfigurationVersion(self.configuration.version()))
        leaving = self.directory.leaving_versions()
        if leaving:
            link.send(messages.EndpointLeaving(tuple(leaving.items())))
        stopping = dict(self.directory.stopping)
        if stopping:
            link.send(messages.StoppingEndpoints(tuple(stopping.items())))
        link.send(messages.OpenRequests(tuple(dict(self.loads.own).items())))
        statements = dict(self.limits.statements)
        if statements:
            link.send(limits_message(statements, self.loop.time()))
        for message in split_reports(self.all_part_reports()):
            link.send(message)

    def on_close(self, link: link_lib.Link, reason: str) -> None:
        """Discard the counts of a gateway whose link has closed."""
        del reason
        if is_gateway(link) and link.peer is not None:
            self.loop.call_soon_threadsafe(self.remove_peer, link.peer.instance)

    def count_peer(self, peer: str) -> None:
        """Count a newly linked gateway, and tell it so."""
        self.membership.add_link(peer)
        self.confirm_counted(frozenset({peer}))

    def remove_peer(self, peer: str) -> None:
        """Discard the counts of a gateway, and record that its link closed."""
        self.loads.remove_peer(peer)
        self.membership.remove_link(peer, self.loop.time())

    def on_counted(
        self, link: link_lib.Link, message: messages.GatewayCounted
    ) -> None:
        """Record that another gateway counts this one."""
        del message
        if link.peer is not None:
            self.loop.call_soon_threadsafe(
                self.membership.record_counted_by, link.peer.instance
            )

    def on_counts(
        self, link: link_lib.Link, message: messages.OpenRequests
    ) -> None:
        """Pass the counts of another gateway to the event loop."""
        if link.peer is not None:
            self.loop.call_soon_threadsafe(
                self.record_counts, link.peer.instance, dict(message.counts)
            )

    def record_counts(self, peer: str, counts: dict[str, int]) -> None:
        """Record the counts of a peer and place queued requests."""
        self.loads.record_peer_load(peer, counts, self.loop.time())
        self.loads_changed()

    def on_version(
        self, link: link_lib.Link, message: messages.ConfigurationVersion
    ) -> None:
        """Request a newer configuration, or announce that ours is newer."""
        known = self.configuration.version()
        if message.version > known:
            link.send(messages.ConfigurationRequest(known))
        elif message.version < known:
            link.send(messages.ConfigurationVersion(known))

    def on_request(
        self, link: link_lib.Link, message: messages.ConfigurationRequest
    ) -> None:
        """Send the configuration in force if the peer's is older."""
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
        """Offer a peer's configuration, which takes effect if it is newer."""
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
        """Record endpoints that accept no more requests."""
        del link
        self.loop.call_soon_threadsafe(
            self.directory.merge_leaving, dict(message.endpoints)
        )

    def on_stopping(
        self, link: link_lib.Link, message: messages.StoppingEndpoints
    ) -> None:
        """Record endpoints that have told a peer that they leave."""
        del link
        self.loop.call_soon_threadsafe(
            self.directory.merge_stopping, dict(message.lives)
        )

    def on_limits(
        self, link: link_lib.Link, message: messages.EndpointLimits
    ) -> None:
        """Pass rate limits that a peer knows to the event loop."""
        del link
        self.loop.call_soon_threadsafe(self.record_limits, message)

    def record_limits(self, message: messages.EndpointLimits) -> None:
        """Store the rate limits that are newer than the known ones."""
        now = self.loop.time()
        for endpoint_id, rate, age_ms in message.limits:
            self.limits.record(
                endpoint_id,
                endpoint_limits.Statement(
                    rate, now - age_ms / MILLISECONDS_PER_SECOND
                ),
            )
        self.loads_changed()

    def on_part_reports(
        self, link: link_lib.Link, message: messages.PartReports
    ) -> None:
        """Pass what a peer knows of parts of prompts to the event loop."""
        del link
        self.loop.call_soon_threadsafe(self.merge_part_reports, message)

    def merge_part_reports(self, message: messages.PartReports) -> None:
        """Merge what a peer knows of parts of prompts."""
        now = self.loop.time()
        self.suspects.merge_reports(
            {
                crash_suspects.PartKey(
                    report.service, report.part
                ): read_part_report(report, now)
                for report in message.reports
            },
            now,
        )

    def on_open_trials(
        self, link: link_lib.Link, message: messages.OpenTrials
    ) -> None:
        """Pass the open trials of a peer to the event loop."""
        del link
        self.loop.call_soon_threadsafe(self.renew_trials, message)

    def renew_trials(self, message: messages.OpenTrials) -> None:
        """Hold back trials of the parts that a peer tries."""
        now = self.loop.time()
        for service, part in message.parts:
            self.suspects.renew_trial(
                crash_suspects.PartKey(service, part), now
            )

    def on_slowdowns(
        self, link: link_lib.Link, message: messages.RankSlowdowns
    ) -> None:
        """Pass a leader's report of its ranks' slowdown to the event loop."""
        del link
        self.loop.call_soon_threadsafe(
            self.record_slowdowns,
            message.group,
            message.term,
            dict(message.slowdowns),
        )

    def record_slowdowns(
        self, group: str, term: int, slowdowns: dict[str, float]
    ) -> None:
        """Store the slowdowns, which placement takes into account."""
        self.slowdowns.record(group, term, slowdowns, self.loop.time())


def limits_message(
    statements: Mapping[str, endpoint_limits.Statement], now: float
) -> messages.EndpointLimits:
    """Return the message that tells statements and their age to a peer."""
    return messages.EndpointLimits(
        tuple(
            (
                endpoint_id,
                statement.rate,
                milliseconds(now - statement.at),
            )
            for endpoint_id, statement in statements.items()
        )
    )


def part_reports(
    histories: Mapping[crash_suspects.PartKey, crash_suspects.PartHistory],
    now: float,
) -> messages.PartReports:
    """Return the message that tells histories of parts to a peer."""
    return messages.PartReports(
        tuple(
            messages.PartReport(
                key.service,
                key.part,
                tuple(
                    (
                        crash.endpoint,
                        milliseconds(now - crash.at),
                        milliseconds(crash.waited),
                    )
                    for crash in history.crashes
                ),
                age_of(history.sound_at, now),
                age_of(history.trial_at, now),
            )
            for key, history in histories.items()
        )
    )


def split_reports(
    reports: messages.PartReports,
) -> list[messages.PartReports]:
    """Return reports as messages of limited length; none if there are none."""
    return [
        messages.PartReports(reports.reports[start : start + MAX_REPORTS])
        for start in range(0, len(reports.reports), MAX_REPORTS)
    ]


def read_part_report(
    report: messages.PartReport, now: float
) -> crash_suspects.PartHistory:
    """Return the history that a report tells."""
    return crash_suspects.PartHistory(
        tuple(
            crash_suspects.Crash(
                endpoint,
                time_before(now, age),
                waited / MILLISECONDS_PER_SECOND,
            )
            for endpoint, age, waited in report.crashes
        ),
        time_before(now, report.sound_age),
        time_before(now, report.trial_age),
    )


def age_of(at: float, now: float) -> int | None:
    """Return the milliseconds since a time, None if that is never."""
    if at == crash_suspects.NEVER:
        return None
    return milliseconds(now - at)


def milliseconds(seconds: float) -> int:
    """Return an age in whole milliseconds, at least 0."""
    return max(0, round(seconds * MILLISECONDS_PER_SECOND))


def time_before(now: float, age: int | None) -> float:
    """Return the time that lies some milliseconds back, never for None."""
    if age is None:
        return crash_suspects.NEVER
    return now - age / MILLISECONDS_PER_SECOND


def is_gateway(link: link_lib.Link) -> bool:
    """Return whether the peer of a link is a gateway."""
    return link.peer is not None and link.peer.role == ROLE
