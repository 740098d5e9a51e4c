"""Updates this gateway's links from the instance list."""

from collections.abc import Callable
import datetime
import random
import threading
from typing import Final
from typing import Protocol

from verbenafall_core import addresses
from verbenafall_core import event_log
from verbenafall_core import periodic
from verbenafall_core.instance_list import port
from verbenafall_gateway import event_catalogue
from verbenafall_gateway.choice import endpoint_view
from verbenafall_gateway.links import subsetting

INTERVAL: Final = datetime.timedelta(seconds=1)


class InstanceSource(Protocol):
    """The instance list operations that are used here."""

    instances: tuple[port.Instance, ...]

    def subscribe(
        self, subscriber: Callable[[tuple[port.Instance, ...]], None]
    ) -> None:
        """Call the subscriber with the complete list on each change."""


class LinkService(Protocol):
    """The link service operations that are used here."""

    def set_targets(self, wanted: set[addresses.Address]) -> None:
        """Open and close links so that exactly these addresses are linked."""


class LinkTargets:
    """Updates links and routing when the instance list changes."""

    def __init__(
        self,
        gateway: str,
        data_centre: str,
        links_per_gateway: int,
        source: InstanceSource,
        links: LinkService,
        view: endpoint_view.EndpointView,
        generator: random.Random,
    ) -> None:
        """Create a service that has not been started."""
        self.gateway = gateway
        self.data_centre = data_centre
        self.links_per_gateway = links_per_gateway
        self.source = source
        self.links = links
        self.view = view
        self.chosen: frozenset[addresses.Address] = frozenset()
        self.chosen_from: tuple[port.Instance, ...] | None = None
        self.empty_logged = False
        self.lock = threading.Lock()
        self.task = periodic.create_periodic_task(
            "link-targets", INTERVAL, self.apply, generator
        )

    def start(self) -> None:
        """Apply the list periodically and on each change."""
        self.subscribe_to_changes()
        self.task.start()

    def subscribe_to_changes(self) -> None:
        """Apply each change of the list immediately.

        Waiting for the next interval would add up to 1.25 s to the time
        during which a leaving endpoint still gets work.
        """
        self.source.subscribe(lambda _instances: self.apply())

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop the periodic task; existing links stay open."""
        self.task.stop(limit)

    def apply(self) -> None:
        """Update links and routing from the list.

        A link with open attempts is kept until they have ended, even if its
        endpoint is leaving or no longer listed: closing it would truncate
        their answers.
        """
        with self.lock:
            self.apply_locked()

    def apply_locked(self) -> None:
        """Apply the list; the caller holds the lock.

        Once endpoints have been chosen, an empty list is ignored and the
        last list stays in use.
        """
        instances = self.source.instances
        if not instances and self.chosen:
            self.log_empty_list()
            return
        self.empty_logged = False
        # choose_targets() is costly: it computes the links of all gateways.
        if instances != self.chosen_from:
            self.chosen = subsetting.choose_targets(
                self.gateway,
                self.data_centre,
                instances,
                self.links_per_gateway,
            )
            self.chosen_from = instances
        chosen = self.chosen
        # Update routing before looking up busy links. Otherwise, an attempt
        # could start on a link that is about to be closed.
        self.view.set_routable(chosen)
        self.links.set_targets(set(chosen | self.view.busy_addresses()))

    def log_empty_list(self) -> None:
        """Log that the list is empty, once until it has entries again."""
        if not self.empty_logged:
            event_log.emit(event_catalogue.INSTANCE_LIST_EMPTY)
        self.empty_logged = True


def create_link_targets(
    gateway: str,
    data_centre: str,
    links_per_gateway: int,
    source: InstanceSource,
    links: LinkService,
    view: endpoint_view.EndpointView,
    generator: random.Random | None = None,
) -> LinkTargets:
    """Create a service that has not been started."""
    return LinkTargets(
        gateway,
        data_centre,
        links_per_gateway,
        source,
        links,
        view,
        generator or random.Random(),
    )
