"""Pool of connections to endpoints."""

import asyncio
from typing import Final

from verbenafall_core import endpoints
from verbenafall_gateway.forwarding import endpoint_channel

# Well above two round trips between data centres plus the endpoint's own
# delay, and short enough to detect an unreachable endpoint early.
CONNECT_TIMEOUT_SECONDS: Final = 0.4
# Endpoints close idle connections after a few seconds.
MAX_IDLE_SECONDS: Final = 2.0
MAX_IDLE_PER_ENDPOINT: Final = 16


class ConnectError(Exception):
    """A connection could not be opened, so nothing was sent."""


class ChannelPool:
    """Opens connections to endpoints and reuses idle ones."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, attempt_header: str
    ) -> None:
        """Create an empty pool.

        Args:
            loop: The event loop.
            attempt_header: Header in which endpoints repeat the request id.
        """
        self.loop = loop
        self.attempt_header = attempt_header
        self.idle: dict[str, list[endpoint_channel.EndpointChannel]] = {}
        self.opened = 0

    async def acquire(
        self, endpoint: endpoints.Endpoint, fresh: bool
    ) -> endpoint_channel.EndpointChannel:
        """Return a connection to an endpoint.

        Args:
            endpoint: Where to connect to.
            fresh: Whether to open a new connection even if one is idle. If
                the endpoint closes an idle connection just as a request is
                sent on it, the request may or may not have run; one that must
                not run twice therefore needs a new connection.

        Raises:
            ConnectError: The connection was refused or timed out.
        """
        channels = self.idle.get(endpoint.id, [])
        while channels and not fresh:
            channel = channels.pop()
            if channel.can_be_reused(self.loop.time(), MAX_IDLE_SECONDS):
                return channel
            channel.abort()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, channel = await self.loop.create_connection(
                    lambda: endpoint_channel.EndpointChannel(
                        self.loop, self.attempt_header
                    ),
                    endpoint.address.host,
                    endpoint.address.port,
                )
        except TimeoutError as error:
            raise ConnectError("connect timed out") from error
        except OSError as error:
            raise ConnectError(str(error)) from error
        self.opened += 1
        return channel

    def release(
        self,
        endpoint: endpoints.Endpoint,
        channel: endpoint_channel.EndpointChannel,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not channel.can_be_reused(self.loop.time(), MAX_IDLE_SECONDS):
            channel.abort()
            return
        channels = self.idle.setdefault(endpoint.id, [])
        if len(channels) >= MAX_IDLE_PER_ENDPOINT:
            channel.abort()
            return
        channels.append(channel)

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self.loop.time()
        for endpoint_id, channels in list(self.idle.items()):
            reusable = []
            for channel in channels:
                if channel.can_be_reused(now, MAX_IDLE_SECONDS):
                    reusable.append(channel)
                else:
                    channel.abort()
            if reusable:
                self.idle[endpoint_id] = reusable
            else:
                del self.idle[endpoint_id]

    def discard(self, endpoint_id: str) -> None:
        """Close the idle connections to an endpoint."""
        for channel in self.idle.pop(endpoint_id, ()):
            channel.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for channels in self.idle.values():
            for channel in channels:
                channel.abort()
        self.idle.clear()
