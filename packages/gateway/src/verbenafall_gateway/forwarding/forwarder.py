"""A gateway that forwards: listeners, followers, planned stop."""

import asyncio
from collections.abc import Callable
import datetime
import functools
import random
import signal
from typing import Any
from typing import Final

import returns.pipeline

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import metrics as metrics_lib
from verbenafall_core.object_store import follower
from verbenafall_core.routes import model
from verbenafall_gateway.forwarding import admission as admission_lib
from verbenafall_gateway.forwarding import channel_pool
from verbenafall_gateway.forwarding import client_channel
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import exchange as exchange_lib
from verbenafall_gateway.forwarding import forwarder_settings
from verbenafall_gateway.forwarding import http_messages
from verbenafall_gateway.forwarding import own_record
from verbenafall_gateway.forwarding import peer_links
from verbenafall_gateway.forwarding import peer_loads
from verbenafall_gateway.forwarding import ports as ports_lib
from verbenafall_gateway.forwarding import rank_holds
from verbenafall_gateway.forwarding import rank_slowdowns
from verbenafall_gateway.forwarding import repeat_allowance
from verbenafall_gateway.forwarding import store_listeners

SWEEP_SECONDS: Final = 0.25
BACKLOG: Final = 1024
# A watch that has gone silent is noticed after this and the call limit, which
# together stay below the time after which the platform expects it.
WATCH_WAIT: Final = datetime.timedelta(seconds=1.8)
# Gateways come and go rarely.
RECORDS_WAIT: Final = datetime.timedelta(seconds=10)
# Connections of clients that the balancer still sends are accepted this long
# after a stop began: two checks a second apart have then failed.
LISTEN_AFTER_STOP_SECONDS: Final = 3.0
# Left of the stop limit when open requests are cut off.
EXIT_SECONDS: Final = 0.3
# Settings that SIGHUP changes; the others need a restart.
CHANGEABLE: Final = frozenset(
    {"repeat_ratio", "repeat_extra", "repeat_window", "stop_limit"}
)
# Requests wait in the gateways' lines, where those that can be on time go
# first; an engine's own queue takes them as they come.
ENGINE_LOAD_PER_SLOT: Final = 1.0
# A plain service answers within tens of milliseconds, so a short queue there
# costs less than a free slot.
PLAIN_LOAD_PER_SLOT: Final = 1.5
# Limits before a configuration is known.
FIRST_LIMITS: Final = model.ClientLimits(
    16 * 1024,
    4 * 1024 * 1024,
    datetime.timedelta(seconds=3),
    datetime.timedelta(seconds=15),
)


class Forwarder:
    """A gateway process that forwards."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: forwarder_settings.ForwarderSettings,
        ports: ports_lib.GatewayPorts,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Build all parts; nothing is started."""
        self.loop = loop
        self.settings = settings
        self.configuration = configuration_state.create_configuration_state()
        self.directory = endpoint_directory.create_endpoint_directory()
        self.peers = peer_loads.create_peer_loads()
        self.paces = rank_slowdowns.create_rank_slowdowns()
        self.admission = admission_lib.create_admission(
            loop,
            self.directory,
            self.peers,
            self.paces,
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
            repeat_allowance.create_repeat_allowance(repeat_limits(settings)),
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
            self.paces,
            self.holds,
            self.admission.serve_all_queues,
        )
        self.configuration.changed = self.take_configuration
        self.directory.leaving_changed = self.links.announce_leaving
        self.record = own_record.OwnRecord(
            ports.store, settings.name, settings.link_listen
        )
        self.channels: set[client_channel.ClientChannel] = set()
        self.checks: set[client_channel.ClientChannel] = set()
        self.followers: list[follower.Follower[Any]] = [
            follower.create_follower(
                "configuration",
                ports.configurations,
                store_listeners.ConfigurationListener(loop, self.configuration),
                WATCH_WAIT,
            ),
            follower.create_follower(
                "endpoints",
                ports.endpoints,
                store_listeners.EndpointListener(
                    loop, self.directory, self.admission
                ),
                WATCH_WAIT,
            ),
            follower.create_follower(
                "gateways",
                ports.gateways,
                store_listeners.RecordListener(loop, self.links),
                RECORDS_WAIT,
            ),
        ]
        self.draining = False
        self.stopping = asyncio.Event()

    def take_configuration(self) -> None:
        """Follow what a new configuration says."""
        configuration = self.configuration.configuration
        if configuration is not None:
            for service in configuration.services.values():
                if service.engine is not None and service.engine.layout:
                    self.admission.track_liveness(service.name)
        self.links.announce_configuration()

    def reload(
        self, read: Callable[[], forwarder_settings.ForwarderSettingsResult]
    ) -> None:
        """Read the settings again and put in force what can change."""
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
            after_restart=",".join(sorted(changed - CHANGEABLE)),
        )

    def load_per_slot(self, service: str) -> float:
        """Return the open requests for each slot that endpoints get."""
        configuration = self.configuration.configuration
        known = configuration.services.get(service) if configuration else None
        if known is not None and known.engine is not None:
            return ENGINE_LOAD_PER_SLOT
        return PLAIN_LOAD_PER_SLOT

    def limits(self) -> model.ClientLimits:
        """Return what clients may send."""
        configuration = self.configuration.configuration
        return configuration.limits if configuration else FIRST_LIMITS

    def is_ready(self) -> bool:
        """Return whether the balancer should send clients."""
        return (
            not self.draining
            and self.configuration.configuration is not None
            and self.directory.loaded
        )

    async def serve(self) -> None:
        """Serve until `stopping` is set, then finish open requests."""
        listeners = [
            await self.listen(
                self.settings.client_listen, self.exchange.serve, self.channels
            ),
            await self.listen(
                self.settings.readiness_listen,
                self.answer_check,
                self.checks,
            ),
        ]
        self.links.start()
        for item in self.followers:
            item.start()
        self.record.start()
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
        """Accept connections whose requests a handler answers."""
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
            backlog=BACKLOG,
        )

    async def answer_check(
        self,
        client: client_channel.ClientChannel,
        request: http_messages.Request,
    ) -> None:
        """Tell the balancer whether this gateway takes clients."""
        del request
        status = 200 if self.is_ready() else 503
        client.send_answer(http_messages.Answer(status, (), b""))

    async def sweep_forever(self) -> None:
        """Enforce time limits of idle and slow connections."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Close connections that are over their time."""
        now = self.loop.time()
        limits = self.limits()
        self.directory.expire(now)
        self.pool.sweep()
        for channel in list(self.channels):
            if channel.task is not None or channel.requests:
                continue
            waited = now - channel.stage_since
            if channel.reading_head or channel.reading_body:
                limit = limits.header_timeout
                if channel.reading_body:
                    limit += limits.idle_timeout
                if waited > limit.total_seconds():
                    channel.reject(408)
            elif waited > limits.idle_timeout.total_seconds():
                channel.close()
        self.exchange.leave_slow_ranks()
        self.admission.refuse_stalled_queues()
        self.admission.refuse_expired()
        self.admission.serve_all_queues()

    async def drain(self, clients: asyncio.Server) -> None:
        """Finish open requests; clients move to other gateways."""
        self.draining = True
        began = self.loop.time()
        end = began + self.settings.stop_limit.total_seconds() - EXIT_SECONDS
        event_log.emit(
            event_catalogue.FORWARDER_DRAINING, open=self.open_requests()
        )
        while self.loop.time() < end:
            waited = self.loop.time() - began
            for channel in list(self.channels):
                channel.last_answer = True
                if waited > LISTEN_AFTER_STOP_SECONDS and is_idle(channel):
                    channel.close()
            if waited > LISTEN_AFTER_STOP_SECONDS and not self.channels:
                break
            await asyncio.sleep(0.05)
        clients.close()
        event_log.emit(
            event_catalogue.FORWARDER_STOPPED, open=self.open_requests()
        )

    def open_requests(self) -> int:
        """Return how many requests are being answered."""
        return sum(channel.task is not None for channel in self.channels)


def is_idle(channel: client_channel.ClientChannel) -> bool:
    """Return whether a connection has no request, read or being read."""
    return (
        channel.task is None
        and not channel.requests
        and not channel.reading_head
        and not channel.reading_body
    )


def repeat_limits(
    settings: forwarder_settings.ForwarderSettings,
) -> repeat_allowance.RepeatLimits:
    """Return the limits of repeats that the settings state."""
    return repeat_allowance.RepeatLimits(
        settings.repeat_ratio,
        settings.repeat_extra,
        settings.repeat_window.total_seconds(),
    )


def run_forwarder(
    settings: forwarder_settings.ForwarderSettings,
    ports: ports_lib.GatewayPorts,
    metrics: metrics_lib.Metrics,
    read_again: Callable[[], forwarder_settings.ForwarderSettingsResult],
) -> None:
    """Serve until a planned stop has ended.

    Args:
        settings: Checked settings.
        ports: The outside systems.
        metrics: Where measurements go.
        read_again: Reads the settings anew, for SIGHUP.
    """
    random.seed()
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    forwarder = Forwarder(loop, settings, ports, metrics)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, forwarder.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, forwarder.reload, read_again)
    try:
        loop.run_until_complete(forwarder.serve())
    finally:
        loop.close()
