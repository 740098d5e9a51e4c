"""Keeps links with the endpoints that the instance list calls for."""

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
    """The part of the instance list service that is used here."""

    instances: tuple[port.Instance, ...]

    def subscribe(
        self, subscriber: Callable[[tuple[port.Instance, ...]], None]
    ) -> None:
        """Call back with the whole list on each change."""


class TargetKeeper(Protocol):
    """The part of the link service that is used here."""

    def set_targets(self, wanted: set[addresses.Address]) -> None:
        """Keep links to exactly these addresses."""


class LinkTargets:
    """Follows the instance list."""

    def __init__(
        self,
        gateway: str,
        data_centre: str,
        links_per_gateway: int,
        source: InstanceSource,
        links: TargetKeeper,
        view: endpoint_view.EndpointView,
        generator: random.Random,
    ) -> None:
        """Create a service that is not yet running."""
        self.gateway = gateway
        self.data_centre = data_centre
        self.links_per_gateway = links_per_gateway
        self.source = source
        self.links = links
        self.view = view
        self.chosen: frozenset[addresses.Address] = frozenset()
        self.chosen_from: tuple[port.Instance, ...] | None = None
        self.empty = False
        self.lock = threading.Lock()
        self.task = periodic.create_periodic_task(
            "link-targets", INTERVAL, self.apply, generator
        )

    def start(self) -> None:
        """Start to follow the list."""
        self.subscribe_to_changes()
        self.task.start()

    def subscribe_to_changes(self) -> None:
        """Apply each change of the list at once.

        Waiting for the next interval would add up to 1.25 s to the time for
        which a leaving endpoint still gets work.
        """
        self.source.subscribe(lambda _instances: self.apply())

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop following the list; links stay as they are."""
        self.task.stop(limit)

    def apply(self) -> None:
        """Bring links and routing in line with the list.

        A link that carries attempts stays until they have ended, also when
        its endpoint is leaving or gone from the list: closing it would
        truncate their answers.
        """
        with self.lock:
            self.apply_locked()

    def apply_locked(self) -> None:
        """Apply the list; called with the lock held."""
        instances = self.source.instances
        if not instances and self.chosen:
            self.report_empty()
            return
        self.empty = False
        # The choice works out the links of all gateways.
        if instances != self.chosen_from:
            self.chosen = subsetting.choose_targets(
                self.gateway,
                self.data_centre,
                instances,
                self.links_per_gateway,
            )
            self.chosen_from = instances
        chosen = self.chosen
        # Routing must stop before the busy links are looked up, or an
        # attempt could begin on a link that is about to be closed.
        self.view.set_routable(chosen)
        self.links.set_targets(set(chosen | self.view.busy_addresses()))

    def report_empty(self) -> None:
        """Write to the log once that the list has become empty."""
        if not self.empty:
            event_log.emit(event_catalogue.INSTANCE_LIST_EMPTY)
        self.empty = True


def create_link_targets(
    gateway: str,
    data_centre: str,
    links_per_gateway: int,
    source: InstanceSource,
    links: TargetKeeper,
    view: endpoint_view.EndpointView,
    generator: random.Random | None = None,
) -> LinkTargets:
    """Create a service that is not yet running."""
    return LinkTargets(
        gateway,
        data_centre,
        links_per_gateway,
        source,
        links,
        view,
        generator or random.Random(),
    )
