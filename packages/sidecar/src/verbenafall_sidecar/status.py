"""Answers status requests of peers."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from verbenafall_core import link as link_lib
from verbenafall_core import messages


class BundleStatus(Protocol):
    """Source of the bundle fields of a status reply."""

    def heartbeat_fields(self) -> tuple[int, int, bool]:
        """Return version in force, pending version, and whether confirmed."""

    def not_ready_reason(self) -> str:
        """Return why no new work is accepted, empty if it is accepted."""

    def rejected(self) -> tuple[messages.RejectedBundle, ...]:
        """Return the bundle versions that failed verification."""


class WorkState(NamedTuple):
    """State of the sidecar and its endpoint in a status reply."""

    draining: bool
    endpoint_up: bool


def build_reply(
    request: messages.StatusRequest,
    hello: messages.Hello,
    bundles: BundleStatus,
    work: WorkState,
    groups: tuple[messages.GroupStatus, ...],
) -> messages.StatusReply:
    """Combine the states of bundles, work and groups in a reply."""
    in_force, pending, _ = bundles.heartbeat_fields()
    reason = find_not_ready_reason(bundles, work)
    return messages.StatusReply(
        request.token,
        hello.instance,
        hello.role,
        hello.data_centre,
        hello.service,
        in_force,
        pending,
        tuple(bundles.rejected()),
        not reason,
        reason,
        work.draining,
        groups,
    )


def find_not_ready_reason(bundles: BundleStatus, work: WorkState) -> str:
    """Return why no new work is accepted, empty if it is accepted."""
    if work.draining:
        return "draining"
    if not work.endpoint_up:
        return "endpoint_down"
    return bundles.not_ready_reason()


class StatusResponder:
    """Answers status requests with the state at that moment."""

    def __init__(
        self,
        hello: messages.Hello,
        bundles: BundleStatus,
        read_work: Callable[[], WorkState],
        read_groups: Callable[[], tuple[messages.GroupStatus, ...]],
    ) -> None:
        """Create a responder.

        Args:
            hello: Identity of this process.
            bundles: Source of the bundle fields.
            read_work: Returns the state of the sidecar and its endpoint.
            read_groups: Returns the status of each rank group.
        """
        self.hello = hello
        self.bundles = bundles
        self.read_work = read_work
        self.read_groups = read_groups

    def on_request(
        self, link: link_lib.Link, request: messages.StatusRequest
    ) -> None:
        """Answer a request; called on the I/O thread of the links."""
        link.send(
            build_reply(
                request,
                self.hello,
                self.bundles,
                self.read_work(),
                self.read_groups(),
            )
        )


def create_status_responder(
    hello: messages.Hello,
    bundles: BundleStatus,
    read_work: Callable[[], WorkState],
    read_groups: Callable[[], tuple[messages.GroupStatus, ...]],
) -> StatusResponder:
    """Create a responder that reads the state for each request."""
    return StatusResponder(hello, bundles, read_work, read_groups)
