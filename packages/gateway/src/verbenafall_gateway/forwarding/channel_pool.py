"""Kept connections to endpoints."""

import asyncio
from typing import Final

from verbenafall_core import endpoints
from verbenafall_gateway.forwarding import endpoint_channel

# Two round trips between data centres and the endpoint's own delay stay far
# below; an endpoint that is cut off is noticed within it.
CONNECT_LIMIT_SECONDS: Final = 0.4
# Endpoints drop idle connections after some seconds.
LONGEST_IDLE_SECONDS: Final = 2.0
MOST_IDLE_PER_ENDPOINT: Final = 16


class ConnectError(Exception):
    """No connection could be opened; nothing was sent."""


class ChannelPool:
    """Opens connections and keeps those that can be used again."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, attempt_header: str
    ) -> None:
        """Create a pool without connections."""
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
            fresh: Whether a kept connection must not be used. A request on a
                connection that the endpoint closes at that moment may or may
                not have run.

        Raises:
            ConnectError: There is no connection.
        """
        kept = self.idle.get(endpoint.id, [])
        while kept and not fresh:
            channel = kept.pop()
            if channel.can_be_kept(self.loop.time(), LONGEST_IDLE_SECONDS):
                return channel
            channel.abort()
        try:
            async with asyncio.timeout(CONNECT_LIMIT_SECONDS):
                _, channel = await self.loop.create_connection(
                    lambda: endpoint_channel.EndpointChannel(
                        self.loop, self.attempt_header
                    ),
                    endpoint.address.host,
                    endpoint.address.port,
                )
        except TimeoutError as error:
            raise ConnectError("connecting took too long") from error
        except OSError as error:
            raise ConnectError(str(error)) from error
        self.opened += 1
        return channel

    def release(
        self,
        endpoint: endpoints.Endpoint,
        channel: endpoint_channel.EndpointChannel,
    ) -> None:
        """Keep a connection whose answer is complete, else close it."""
        if not channel.can_be_kept(self.loop.time(), LONGEST_IDLE_SECONDS):
            channel.abort()
            return
        kept = self.idle.setdefault(endpoint.id, [])
        if len(kept) >= MOST_IDLE_PER_ENDPOINT:
            channel.abort()
            return
        kept.append(channel)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = self.loop.time()
        for endpoint_id, kept in list(self.idle.items()):
            good = []
            for channel in kept:
                if channel.can_be_kept(now, LONGEST_IDLE_SECONDS):
                    good.append(channel)
                else:
                    channel.abort()
            if good:
                self.idle[endpoint_id] = good
            else:
                del self.idle[endpoint_id]

    def close(self) -> None:
        """Close all idle connections."""
        for kept in self.idle.values():
            for channel in kept:
                channel.abort()
        self.idle.clear()
