"""Micro-kernel: registry and lifecycle of the services of a process.

Services are registered and looked up by name, started in the order of
registration and stopped in the reverse order.
"""

from collections.abc import Callable
import datetime
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from verbenafall_core import clock as clock_lib

T = TypeVar("T")


class KernelError(Exception):
    """A service name is unknown, in use, or bound to another type."""


class Service(Protocol):
    """A component of a process that is started and stopped."""

    def start(self) -> None:
        """Start the service; called once."""

    def stop(self, limit: datetime.timedelta) -> None:
        """Finish open work within the limit, then stop."""


class StopFailure(NamedTuple):
    """An error that a service raised while it was being stopped."""

    service: str
    error: BaseException


class Kernel:
    """The services of one process, by name."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Create a kernel without services."""
        self.clock = clock
        self.services: dict[str, Service] = {}
        self.started: list[str] = []

    def register(self, name: str, service: Service) -> None:
        """Add a service.

        Raises:
            KernelError: The name is in use.
        """
        if name in self.services:
            raise KernelError(f"service {name!r} is already registered")
        self.services[name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service registered under a name.

        Raises:
            KernelError: There is no such service, or it is of another type.
        """
        service = self.services.get(name)
        if service is None:
            raise KernelError(f"no service is registered as {name!r}")
        if not isinstance(service, kind):
            raise KernelError(
                f"service {name!r} is a {type(service).__name__},"
                f" not a {kind.__name__}"
            )
        return service

    def start(self) -> None:
        """Start all services; if one fails, stop those already started."""
        for name, service in self.services.items():
            try:
                service.start()
            except BaseException:
                self.stop(datetime.timedelta())
                raise
            self.started.append(name)

    def stop(self, limit: datetime.timedelta) -> list[StopFailure]:
        """Stop the started services in reverse order.

        The limit applies to all services together. An error in one service
        does not prevent the others from being stopped.
        """
        deadline = self.clock.monotonic() + limit
        failures: list[StopFailure] = []
        while self.started:
            name = self.started.pop()
            remaining = max(
                deadline - self.clock.monotonic(), datetime.timedelta()
            )
            failures.extend(
                _stop_service(name, self.services[name].stop, remaining)
            )
        return failures


def _stop_service(
    name: str,
    stop: Callable[[datetime.timedelta], None],
    limit: datetime.timedelta,
) -> list[StopFailure]:
    try:
        stop(limit)
    except Exception as error:  # Other services must still be stopped.
        return [StopFailure(name, error)]
    return []


def create_kernel(clock: clock_lib.Clock) -> Kernel:
    """Create a kernel without services."""
    return Kernel(clock)
