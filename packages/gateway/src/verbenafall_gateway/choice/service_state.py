"""Whether this gateway takes new work; shared by readiness and requests."""

import enum
import threading
from typing import Protocol

from verbenafall_core import link_router as link_router_lib
from verbenafall_core import messages
from verbenafall_core.bundles import model


class Phase(enum.StrEnum):
    """Phase of a gateway's life.

    SERVING: Takes new work.
    LEAVING: Not ready any more, but still takes work, until the balancer has
        noticed.
    REFUSING: Refuses new work and finishes what is open.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"


class Bundles(model.BundleView, Protocol):
    """The part of the bundle service that the gateway uses."""

    def not_ready_reason(self) -> str:
        """Return why no new work is taken, or an empty text."""

    def heartbeat_fields(self) -> tuple[int, int, bool]:
        """Return version in force, pending version, and confirmed."""

    def rejected(self) -> tuple[messages.RejectedBundle, ...]:
        """Return the versions that were refused, with reasons."""

    def attach(self, link_router: link_router_lib.LinkRouter) -> None:
        """Receive the bundle messages of links."""

    def poll_now(self) -> None:
        """Read the bundle head from the store soon."""


class ServiceState:
    """Phase and readiness of this process."""

    def __init__(self, bundles: Bundles) -> None:
        """Create the state of a serving gateway."""
        self.bundles = bundles
        self.lock = threading.Lock()
        self.phase = Phase.SERVING

    def enter(self, phase: Phase) -> None:
        """Go over to another phase."""
        with self.lock:
            self.phase = phase

    def not_ready_reason(self) -> str:
        """Return why readiness is withdrawn, or an empty text."""
        if self.phase is not Phase.SERVING:
            return "draining"
        return self.bundles.not_ready_reason()

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat for all links."""
        draining = self.phase is not Phase.SERVING
        return messages.Heartbeat(*self.bundles.heartbeat_fields(), draining)


def create_service_state(bundles: Bundles) -> ServiceState:
    """Create the state of a serving gateway."""
    return ServiceState(bundles)
