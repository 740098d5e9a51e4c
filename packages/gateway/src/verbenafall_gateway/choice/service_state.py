"""Life-cycle phase and readiness of this gateway."""

import enum
import threading
from typing import Protocol

from verbenafall_core import link_router as link_router_lib
from verbenafall_core import messages
from verbenafall_core.bundles import model


class Phase(enum.StrEnum):
    """Life-cycle phase of a gateway.

    SERVING: Accepts new requests.
    LEAVING: Reports "not ready" but still accepts requests until the load
        balancer in front of it has stopped sending them.
    REFUSING: Refuses new requests and completes the open ones.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"


class Bundles(model.BundleView, Protocol):
    """The bundle service operations that the gateway uses."""

    def not_ready_reason(self) -> str:
        """Return why no new work is accepted, or an empty string."""

    def heartbeat_fields(self) -> tuple[int, int, bool]:
        """Return the version in force, the pending one, and "confirmed"."""

    def rejected(self) -> tuple[messages.RejectedBundle, ...]:
        """Return the rejected versions with their reasons."""

    def attach(self, link_router: link_router_lib.LinkRouter) -> None:
        """Subscribe to bundle messages on links."""

    def poll_now(self) -> None:
        """Trigger an early read of the bundle head from the store."""


class ServiceState:
    """Phase and readiness of this process, for readiness and requests."""

    def __init__(self, bundles: Bundles) -> None:
        """Create the state in phase SERVING."""
        self.bundles = bundles
        self.lock = threading.Lock()
        self.phase = Phase.SERVING

    def enter(self, phase: Phase) -> None:
        """Switch to another phase."""
        with self.lock:
            self.phase = phase

    def not_ready_reason(self) -> str:
        """Return why the gateway is not ready, or an empty string."""
        if self.phase is not Phase.SERVING:
            return "draining"
        return self.bundles.not_ready_reason()

    def heartbeat(self) -> messages.Heartbeat:
        """Build the heartbeat that is sent on all links."""
        draining = self.phase is not Phase.SERVING
        return messages.Heartbeat(*self.bundles.heartbeat_fields(), draining)


def create_service_state(bundles: Bundles) -> ServiceState:
    """Create the state in phase SERVING."""
    return ServiceState(bundles)
