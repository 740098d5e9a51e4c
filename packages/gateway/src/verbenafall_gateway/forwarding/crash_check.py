"""Finds out whether an endpoint crashed after a connection to it has ended."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
from typing import Final

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core import event_log
from verbenafall_gateway.forwarding import event_catalogue

# Several round trips; requests wait for the result before they are repeated.
CHECK_TIMEOUT_SECONDS: Final = 0.2


class EndpointState(enum.StrEnum):
    """State of an endpoint after it has closed a connection.

    CRASHED: Nothing listens on its address.
    LISTENING: It accepts connections, so that only the one was closed.
    UNREACHABLE: It does not answer, as behind a network partition.
    """

    CRASHED = "crashed"
    LISTENING = "listening"
    UNREACHABLE = "unreachable"


Connect = Callable[[addresses.Address], Awaitable[None]]


async def connect_once(address: addresses.Address) -> None:
    """Open a connection and close it without sending anything.

    Raises:
        OSError: The connection was refused or failed in another way.
    """
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.close()


class CrashCheck:
    """Checks endpoints, each of them once for all attempts that end together.

    Used on the event loop only.

    Attributes:
        connect: Opens a connection to an address and closes it.
        running: Checks without a result yet, by endpoint id.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connect: Connect
    ) -> None:
        """Create a check that was not run yet."""
        self.loop = loop
        self.connect = connect
        self.running: dict[str, asyncio.Task[EndpointState]] = {}

    async def check(self, endpoint: endpoints.Endpoint) -> EndpointState:
        """Return the state of an endpoint that has closed a connection."""
        task = self.running.get(endpoint.id)
        if task is None:
            task = self.loop.create_task(self.run(endpoint))
            self.running[endpoint.id] = task
        return await asyncio.shield(task)

    async def run(self, endpoint: endpoints.Endpoint) -> EndpointState:
        """Connect to an endpoint and log its state."""
        try:
            state, reason = await self.find_state(endpoint.address)
        finally:
            del self.running[endpoint.id]
        event_log.emit(
            event_catalogue.ENDPOINT_CHECKED,
            endpoint=endpoint.id,
            service=endpoint.service,
            state=state,
            reason=reason,
        )
        return state

    async def find_state(
        self, address: addresses.Address
    ) -> tuple[EndpointState, str]:
        """Return the state of the endpoint at an address, with the reason."""
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                await self.connect(address)
        except ConnectionRefusedError as error:
            return EndpointState.CRASHED, str(error)
        except OSError as error:  # Includes the timeout.
            return EndpointState.UNREACHABLE, repr(error)
        return EndpointState.LISTENING, ""


def create_crash_check(
    loop: asyncio.AbstractEventLoop, connect: Connect = connect_once
) -> CrashCheck:
    """Create a check that connects over TCP by default."""
    return CrashCheck(loop, connect)
