"""Status of this gateway and of the sidecars that it is linked to."""

import datetime
import itertools
import threading
from typing import Any
from typing import Final
from typing import NamedTuple

from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_gateway.choice import endpoint_view
from verbenafall_gateway.choice import service_state

COLLECT_TIMEOUT: Final = datetime.timedelta(milliseconds=500)


class Identity(NamedTuple):
    """Name and data centre of this gateway."""

    instance: str
    data_centre: str


class CollectedStatuses(NamedTuple):
    """Status replies of the linked sidecars.

    Attributes:
        silent: Instances that did not reply in time.
    """

    replies: tuple[messages.StatusReply, ...]
    silent: tuple[str, ...]


class Status:
    """Answers status requests of peers and collects the status of sidecars."""

    def __init__(
        self,
        identity: Identity,
        state: service_state.ServiceState,
        view: endpoint_view.EndpointView,
    ) -> None:
        """Create the service without open collections."""
        self.identity = identity
        self.state = state
        self.view = view
        self.tokens = itertools.count(1)
        self.changed = threading.Condition()
        self.open_collections: dict[int, dict[str, messages.StatusReply]] = {}

    def attach(self, router: link_router.LinkRouter) -> None:
        """Subscribe to the status messages of all links."""
        router.subscribe(messages.StatusRequest, self.on_request)
        router.subscribe(messages.StatusReply, self.on_reply)

    def start(self) -> None:
        """Do nothing; status is collected on request."""

    def stop(self, limit: datetime.timedelta) -> None:
        """Do nothing; open collections end at their own limits."""

    def on_request(
        self, link: endpoint_view.LinkPort, request: messages.StatusRequest
    ) -> None:
        """Send the status of this gateway to a peer."""
        link.send(self.own_status(request.token))

    def on_reply(
        self, link: endpoint_view.LinkPort, reply: messages.StatusReply
    ) -> None:
        """Add a reply to its collection; drop it if that has ended."""
        if link.peer is None:
            return
        with self.changed:
            collection = self.open_collections.get(reply.token)
            if collection is not None:
                collection[link.peer.instance] = reply
                self.changed.notify_all()

    def own_status(self, token: int) -> messages.StatusReply:
        """Return the status of this gateway as a reply to a request."""
        in_force, pending, _ = self.state.bundles.heartbeat_fields()
        reason = self.state.not_ready_reason()
        return messages.StatusReply(
            token=token,
            instance=self.identity.instance,
            role="gateway",
            data_centre=self.identity.data_centre,
            service="",
            in_force=in_force,
            pending=pending,
            rejected=self.state.bundles.rejected(),
            ready=not reason,
            not_ready_reason=reason,
            draining=self.state.phase is not service_state.Phase.SERVING,
            groups=(),
        )

    def collect(
        self, limit: datetime.timedelta = COLLECT_TIMEOUT
    ) -> CollectedStatuses:
        """Request the status of all linked sidecars; wait up to the limit."""
        token = next(self.tokens)
        replies: dict[str, messages.StatusReply] = {}
        with self.changed:
            self.open_collections[token] = replies
        links = self.view.links()
        expected = {
            link.peer.instance for link in links if link.peer is not None
        }
        try:
            for link in links:
                link.send(messages.StatusRequest(token))
            with self.changed:
                self.changed.wait_for(
                    lambda: expected <= replies.keys(), limit.total_seconds()
                )
                received = dict(replies)
        finally:
            with self.changed:
                del self.open_collections[token]
        return CollectedStatuses(
            tuple(received[name] for name in sorted(received)),
            tuple(sorted(expected - received.keys())),
        )


def status_body(reply: messages.StatusReply) -> dict[str, Any]:
    """Return the JSON object of one process for the admin status."""
    fields = reply._asdict()
    del fields["token"]
    fields["rejected"] = [item._asdict() for item in reply.rejected]
    fields["groups"] = [item._asdict() for item in reply.groups]
    return fields


def create_status(
    identity: Identity,
    state: service_state.ServiceState,
    view: endpoint_view.EndpointView,
) -> Status:
    """Create the service without open collections."""
    return Status(identity, state, view)
