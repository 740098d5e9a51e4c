"""Gateway process that forwards: setup, periodic work, reload and shutdown."""

import asyncio
from collections.abc import Callable
import datetime
import functools
import random
import signal
import traceback
from typing import Any
from typing import Final

import returns.pipeline

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import reload_signals
from verbenafall_core import stop_requests
from verbenafall_core.object_store import follower
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import absent_records
from verbenafall_gateway.forwarding import admission as admission_lib
from verbenafall_gateway.forwarding import channel_pool
from verbenafall_gateway.forwarding import client_channel
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import crash_suspects
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import endpoint_limits
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import exchange as exchange_lib
from verbenafall_gateway.forwarding import forwarder_settings
from verbenafall_gateway.forwarding import http_messages
from verbenafall_gateway.forwarding import membership
from verbenafall_gateway.forwarding import own_record
from verbenafall_gateway.forwarding import peer_links
from verbenafall_gateway.forwarding import peer_loads
from verbenafall_gateway.forwarding import ports as ports_lib
from verbenafall_gateway.forwarding import rank_holds
from verbenafall_gateway.forwarding import rank_slowdowns
from verbenafall_gateway.forwarding import repeat_allowance
from verbenafall_gateway.forwarding import store_listeners
from verbenafall_gateway.forwarding import suspect_record

# Interval of the checks of time limits.
SWEEP_SECONDS: Final = 0.25
# Interval of the checks whether a planned stop can end.
DRAIN_INTERVAL_SECONDS: Final = 0.05
LISTEN_BACKLOG: Final = 1024
# Duration of one watch call. An unresponsive store is detected after this plus
# the timeout of the call; the sum must stay below the time within which the
# platform expects it.
WATCH_WAIT: Final = datetime.timedelta(seconds=1.8)
# Changes in quick succession, as when all engines start, are read by one call.
CHANGE_PAUSE: Final = datetime.timedelta(milliseconds=100)
# Duration of one watch call for the gateway records, which rarely change.
RECORDS_WAIT: Final = datetime.timedelta(seconds=10)
# After a restart or a restore all gateways write their records, and each of
# them follows the records of all.
RECORDS_PAUSE: Final = datetime.timedelta(seconds=1)
# Minimum time after the start of a stop during which connections are still
# accepted: the external balancer stops sending clients after two failed
# readiness checks, one second apart.
LISTEN_AFTER_STOP_SECONDS: Final = 3.0
# Time for which a connection may stay idle after that, so that the request of
# a new one can arrive.
IDLE_AFTER_STOP_SECONDS: Final = 0.25
# Part of the stop limit that is reserved for the exit. Requests that are still
# open when it starts are abandoned.
EXIT_SECONDS: Final = 0.3
# Part of that for the answers of abandoned requests.
ABANDON_SECONDS: Final = 0.1
# Settings that SIGHUP applies; changes of the others need a restart.
RELOADABLE_SETTINGS: Final = frozenset(
    {"repeat_ratio", "repeat_extra", "repeat_window", "stop_limit"}
)
# Open requests per slot of an engine. Excess requests wait in the gateways'
# queues, which favour requests that can still meet their target; an engine's
# own queue is first-in, first-out.
ENGINE_LOAD_PER_SLOT: Final = 1.0
# The same for a service without engine, which answers within tens of
# milliseconds: a short queue there costs less than an idle slot.
PLAIN_LOAD_PER_SLOT: Final = 1.5
# Limits that apply until a configuration is known.
DEFAULT_LIMITS: Final = model.ClientLimits(
    16 * 1024,
    4 * 1024 * 1024,
    datetime.timedelta(seconds=3),
    datetime.timedelta(seconds=15),
)


HANDLED_SIGNALS: Final = (*stop_requests.STOP_SIGNALS, signal.SIGHUP)


class Forwarder:
    """A forwarding gateway: builds its parts and runs them.

    Attributes:
        channels: Connections of clients.
        readiness_channels: Connections to the readiness address.
        draining: Whether a planned stop has started.
        stopping: Set to start a planned stop.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: forwarder_settings.ForwarderSettings,
        ports: ports_lib.GatewayPorts,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Build all parts without starting any."""
        self.loop = loop
        self.settings = settings
        self.configuration = configuration_state.create_configuration_state()
        self.directory = endpoint_directory.create_endpoint_directory()
        self.peers = peer_loads.create_peer_loads()
        self.membership = membership.create_membership(settings.name)
        self.slowdowns = rank_slowdowns.create_rank_slowdowns()
        self.limits_of_endpoints = endpoint_limits.create_endpoint_limits(
            settings.name
        )
        self.suspects = crash_suspects.create_crash_suspects()
        self.suspects.is_informed = self.peers.is_informed
        self.admission = admission_lib.create_admission(
            loop,
            self.directory,
            self.peers,
            self.slowdowns,
            self.limits_of_endpoints,
            self.suspects,
            settings.data_centre,
            self.load_per_slot,
        )
        self.pool = channel_pool.ChannelPool(loop, ports.dialect.attempt_id)
        self.exchange = exchange_lib.Exchange(
            loop,
            ports.dialect,
            self.configuration,
            self.admission,
            self.pool,
            repeat_allowance.create_repeat_allowance(
                repeat_limits(settings),
                lambda: self.membership.sharing(loop.time()),
            ),
            metrics,
        )
        self.holds = rank_holds.create_rank_holds(ports.rank_at)
        self.links = peer_links.PeerLinks(
            loop,
            clock_lib.system_clock(),
            settings.name,
            settings.data_centre,
            settings.link_listen,
            self.configuration,
            self.directory,
            self.peers,
            self.membership,
            self.slowdowns,
            self.limits_of_endpoints,
            self.suspects,
            self.holds,
            self.admission.serve_all_queues,
        )
        self.suspects.tell = self.links.announce_parts
        self.suspects.suspected = self.exchange.stop_suspects
        self.suspect_record = suspect_record.SuspectRecord(
            ports.store,
            clock_lib.system_clock(),
            self.on_suspects_loaded,
        )
        self.suspects.learned = self.save_suspects
        self.admission.limits_changed = self.links.announce_limit
        self.configuration.changed = self.apply_configuration
        self.directory.is_known_service = self.configuration.has_service
        self.directory.leaving_changed = self.links.announce_leaving
        self.directory.stopping_changed = self.links.announce_stopping
        self.record = own_record.OwnRecord(
            ports.store,
            ports.era,
            settings.name,
            settings.link_listen,
            clock_lib.system_clock(),
            self.peers.gateways,
            random.Random(),
        )
        self.links.own_record_missing = self.record.record_missing
        self.absent_records = absent_records.create_absent_records(ports.store)
        self.channels: set[client_channel.ClientChannel] = set()
        self.readiness_channels: set[client_channel.ClientChannel] = set()
        read_delay = follower.spread_reads(
            ports.era, self.peers.gateways, random.Random()
        )
        self.followers: list[follower.Follower[Any]] = [
            follower.create_follower(
                "configuration",
                ports.configurations,
                store_listeners.ConfigurationListener(loop, self.configuration),
                WATCH_WAIT,
                read_delay=read_delay,
                era=ports.era,
                change_pause=CHANGE_PAUSE,
            ),
            follower.create_follower(
                "endpoints",
                ports.endpoints,
                store_listeners.EndpointListener(
                    loop,
                    self.directory,
                    self.admission,
                    self.exchange.end_lost_attempts,
                ),
                WATCH_WAIT,
                read_delay=read_delay,
                era=ports.era,
                change_pause=CHANGE_PAUSE,
            ),
            follower.create_follower(
                "gateways",
                ports.gateways,
                store_listeners.RecordListener(loop, self.links),
                RECORDS_WAIT,
                read_delay=read_delay,
                era=ports.era,
                change_pause=RECORDS_PAUSE,
            ),
        ]
        self.draining = False
        self.stopping = asyncio.Event()

    def apply_configuration(self) -> None:
        """Monitor services that run as rank groups; notify peers.

        Called when a new configuration is in force.
        """
        configuration = self.configuration.configuration
        if configuration is not None:
            for service in configuration.services.values():
                if service.engine is not None and service.engine.layout:
                    self.admission.track_liveness(service.name)
        self.directory.rebuild()
        self.links.announce_configuration()

    def on_suspects_loaded(self, reports: messages.PartReports) -> None:
        """Pass the stored suspects to the event loop; callable elsewhere."""
        self.loop.call_soon_threadsafe(self.merge_stored_suspects, reports)

    def merge_stored_suspects(self, reports: messages.PartReports) -> None:
        """Merge the stored suspects with those that are known here."""
        self.links.merge_part_reports(reports)
        self.save_suspects()

    def save_suspects(self) -> None:
        """Store the suspects for gateways that start without a peer."""
        self.suspect_record.save(self.links.all_part_reports())

    def reload(
        self, read: Callable[[], forwarder_settings.ForwarderSettingsResult]
    ) -> None:
        """Read the settings again and apply those that need no restart.

        Invalid settings are logged and leave the current ones in force.

        Args:
            read: Reads and checks the settings.
        """
        result = read()
        if not returns.pipeline.is_successful(result):
            event_log.emit(
                event_catalogue.SETTINGS_REJECTED,
                faults="; ".join(str(fault) for fault in result.failure()),
            )
            return
        before, after = self.settings, result.unwrap()
        changed = {
            name
            for name in before._fields
            if getattr(before, name) != getattr(after, name)
        }
        self.exchange.allowance.limits = repeat_limits(after)
        self.settings = after
        event_log.emit(
            event_catalogue.SETTINGS_RELOADED,
            changed=",".join(sorted(changed)),
            after_restart=",".join(sorted(changed - RELOADABLE_SETTINGS)),
        )

    def load_per_slot(self, service: str) -> float:
        """Return how many requests per slot a service's endpoints may have."""
        configuration = self.configuration.configuration
        known = configuration.services.get(service) if configuration else None
        if known is not None and known.engine is not None:
            return ENGINE_LOAD_PER_SLOT
        return PLAIN_LOAD_PER_SLOT

    def limits(self) -> model.ClientLimits:
        """Return the limits of client requests in force."""
        configuration = self.configuration.configuration
        return configuration.limits if configuration else DEFAULT_LIMITS

    def is_ready(self) -> bool:
        """Return whether the external balancer should send clients here."""
        return (
            not self.draining
            and self.configuration.configuration is not None
            and self.directory.loaded
        )

    async def serve(self) -> None:
        """Start all parts, serve until `stopping` is set, then drain."""
        listeners = [
            await self.listen(
                self.settings.client_listen, self.serve_client, self.channels
            ),
            await self.listen(
                self.settings.readiness_listen,
                self.answer_readiness_check,
                self.readiness_channels,
            ),
        ]
        self.links.start()
        for item in self.followers:
            item.start()
        self.record.start()
        self.suspect_record.start()
        event_log.emit(
            event_catalogue.FORWARDER_STARTED,
            client=self.settings.client_listen,
            readiness=self.settings.readiness_listen,
        )
        sweeper = self.loop.create_task(self.sweep_forever())
        await self.stopping.wait()
        await self.drain(listeners[0])
        sweeper.cancel()
        for item in self.followers:
            item.stop(datetime.timedelta())
        await self.loop.run_in_executor(None, self.record.stop)
        await self.loop.run_in_executor(None, self.suspect_record.stop)
        self.links.stop(datetime.timedelta(milliseconds=200))
        self.holds.stop()
        for listener in listeners:
            listener.close()

    async def listen(
        self,
        address: addresses.Address,
        handler: client_channel.Handler,
        channels: set[client_channel.ClientChannel],
    ) -> asyncio.Server:
        """Listen on an address and serve its requests with a handler."""
        return await self.loop.create_server(
            functools.partial(
                client_channel.ClientChannel,
                self.loop,
                handler,
                self.limits,
                channels,
            ),
            address.host,
            address.port,
            backlog=LISTEN_BACKLOG,
        )

    async def serve_client(
        self,
        client: client_channel.ClientChannel,
        request: http_messages.Request,
    ) -> None:
        """Forward a request; close its connection afterwards while stopping."""
        if self.draining:
            client.close_after_answer = True
        await self.exchange.serve(client, request)

    async def answer_readiness_check(
        self,
        client: client_channel.ClientChannel,
        request: http_messages.Request,
    ) -> None:
        """Answer 200 if the gateway is ready, else 503."""
        del request
        status = 200 if self.is_ready() else 503
        client.send_answer(http_messages.Answer(status, (), b""))

    async def sweep_forever(self) -> None:
        """Run sweep() periodically, also after it has failed."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            try:
                self.sweep()
            except Exception as error:  # Time limits must stay enforced.
                event_log.emit(
                    event_catalogue.SWEEP_FAILED,
                    error=repr(error),
                    place=traceback.format_exc(limit=-3),
                )

    def sweep(self) -> None:
        """Enforce the time limits of connections and of queued requests.

        Also moves streams off slow ranks and places queued requests while
        endpoints have capacity.
        """
        now = self.loop.time()
        limits = self.limits()
        self.directory.expire(now)
        self.limits_of_endpoints.retain(set(self.directory.listed))
        self.admission.pauses.forget_ended(now)
        self.exchange.statements.report_pauses(now)
        self.remove_absent_records(now)
        self.pool.sweep()
        for channel in list(self.channels):
            if channel.task is not None or channel.requests:
                continue
            waited = now - channel.waiting_since
            if channel.reading_head or channel.reading_body:
                limit = limits.header_timeout
                if channel.reading_body:
                    limit += limits.idle_timeout
                if waited > limit.total_seconds():
                    channel.reject(408)
            elif waited > limits.idle_timeout.total_seconds():
                channel.close()
        self.links.announce_trials(self.exchange.renew_trials())
        self.exchange.move_streams_off_slow_ranks()
        self.admission.refuse_stalled_queues()
        self.admission.refuse_expired()
        self.admission.serve_all_queues()

    def remove_absent_records(self, now: float) -> None:
        """Remove the records of gateways that are gone, in the background."""
        for name in self.membership.take_absent(now):
            self.loop.run_in_executor(
                None,
                self.absent_records.remove,
                name,
                self.links.records.by_name[name],
            )

    async def drain(self, clients: asyncio.Server) -> None:
        """Finish the open requests within the stop limit.

        Each answer closes its connection, so that clients reconnect to other
        gateways. Connections are still accepted meanwhile, as the external
        balancer may keep sending clients here if few other gateways are ready;
        requests that cannot finish in time are refused. After
        LISTEN_AFTER_STOP_SECONDS, when few clients should still come, streams
        are refused unless their deadline is in time, idle connections are
        closed, and the stop ends as soon as no connection is left.
        """
        self.draining = True
        started = self.loop.time()
        end = started + self.settings.stop_limit.total_seconds() - EXIT_SECONDS
        event_log.emit(
            event_catalogue.FORWARDER_DRAINING, open=self.open_requests()
        )
        self.admission.begin_stop(end, started + LISTEN_AFTER_STOP_SECONDS)
        for channel in self.channels:
            channel.close_after_answer = True
        while self.loop.time() < end:
            if self.loop.time() - started > LISTEN_AFTER_STOP_SECONDS:
                self.close_idle_channels()
                if not self.channels:
                    break
            await asyncio.sleep(DRAIN_INTERVAL_SECONDS)
        clients.close()
        # A request may still come while the process exits.
        self.admission.begin_stop(self.loop.time(), self.loop.time())
        left = self.open_requests()
        self.exchange.abandon_open_requests(started)
        end = self.loop.time() + ABANDON_SECONDS
        while self.has_unsent_answers() and self.loop.time() < end:
            await asyncio.sleep(ABANDON_SECONDS / 10)
        event_log.emit(event_catalogue.FORWARDER_STOPPED, open=left)

    def close_idle_channels(self) -> None:
        """Close the connections whose next request should have arrived."""
        now = self.loop.time()
        for channel in list(self.channels):
            if (
                is_idle(channel)
                and now - channel.waiting_since >= IDLE_AFTER_STOP_SECONDS
            ):
                channel.close()

    def has_unsent_answers(self) -> bool:
        """Return whether a request is open or an answer is not written."""
        return any(
            channel.task is not None
            or channel.transport.get_write_buffer_size() > 0
            for channel in self.channels
        )

    def open_requests(self) -> int:
        """Return the number of requests that are being answered."""
        return sum(channel.task is not None for channel in self.channels)


def is_idle(channel: client_channel.ClientChannel) -> bool:
    """Return whether a connection has no request, not even a partial one."""
    return (
        channel.task is None
        and not channel.requests
        and not channel.reading_head
        and not channel.reading_body
    )


def repeat_limits(
    settings: forwarder_settings.ForwarderSettings,
) -> repeat_allowance.RepeatLimits:
    """Convert the settings to the limits of repeats."""
    return repeat_allowance.RepeatLimits(
        settings.repeat_ratio,
        settings.repeat_extra,
        settings.repeat_window.total_seconds(),
    )


def run_forwarder(
    settings: forwarder_settings.ForwarderSettings,
    ports: ports_lib.GatewayPorts,
    metrics: metrics_lib.Metrics,
    read_settings: Callable[[], forwarder_settings.ForwarderSettingsResult],
) -> None:
    """Run a forwarder until SIGTERM or SIGINT, including the planned stop.

    Args:
        settings: Validated settings.
        ports: Adapters of the external systems.
        metrics: Receives counters and timings.
        read_settings: Reads the settings again; called on SIGHUP.
    """
    random.seed()
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    forwarder = Forwarder(loop, settings, ports, metrics)
    for number in stop_requests.STOP_SIGNALS:
        loop.add_signal_handler(number, forwarder.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, forwarder.reload, read_settings)
    reload_signals.accept_reloads()
    try:
        loop.run_until_complete(forwarder.serve())
    finally:
        # A further signal must not end the exit. Closing the loop would restore
        # the default actions, so it stays open until the process ends.
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
