"""Replies to status requests on links."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from verbenafall_core import link as link_lib
from verbenafall_core import messages


class BundleStatus(Protocol):
    """What the status says about bundles."""

    def heartbeat_fields(self) -> tuple[int, int, bool]:
        """Return the version in force, the pending one, and confirmed."""

    def not_ready_reason(self) -> str:
        """Return why no new work is taken, empty when it is."""

    def rejected(self) -> tuple[messages.RejectedBundle, ...]:
        """Return the bundle versions that were refused."""


class WorkState(NamedTuple):
    """What the status says about the endpoint and the process."""

    draining: bool
    endpoint_up: bool


def build_reply(
    request: messages.StatusRequest,
    hello: messages.Hello,
    bundles: BundleStatus,
    work: WorkState,
    groups: tuple[messages.GroupStatus, ...],
) -> messages.StatusReply:
    """Return the reply to a status request."""
    in_force, pending, _ = bundles.heartbeat_fields()
    reason = find_reason(bundles, work)
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


def find_reason(bundles: BundleStatus, work: WorkState) -> str:
    """Return why this sidecar takes no new work, empty when it does."""
    if work.draining:
        return "draining"
    if not work.endpoint_up:
        return "endpoint_down"
    return bundles.not_ready_reason()


class StatusResponder:
    """Answers status requests."""

    def __init__(
        self,
        hello: messages.Hello,
        bundles: BundleStatus,
        read_work: Callable[[], WorkState],
        read_groups: Callable[[], tuple[messages.GroupStatus, ...]],
    ) -> None:
        """Create a responder."""
        self.hello = hello
        self.bundles = bundles
        self.read_work = read_work
        self.read_groups = read_groups

    def on_request(
        self, link: link_lib.Link, request: messages.StatusRequest
    ) -> None:
        """Answer a request; runs on the I/O thread of the links."""
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
    """Create a responder."""
    return StatusResponder(hello, bundles, read_work, read_groups)
