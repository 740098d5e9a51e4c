"""Service that polls the instance list and notifies its subscribers."""

from collections.abc import Callable
import datetime
import random
import threading
from typing import Final

import returns.pipeline

from verbenafall_core import event_log
from verbenafall_core import periodic
from verbenafall_core.instance_list import event_catalogue
from verbenafall_core.instance_list import port

POLL_INTERVAL: Final = datetime.timedelta(seconds=1)

Instances = tuple[port.Instance, ...]
Subscriber = Callable[[Instances], None]


class InstanceListService:
    """Polls the list and keeps the last valid one.

    Subscribers are called on the polling thread, one change at a time.

    Attributes:
        instances: The last valid list, sorted by name; empty before the first
            read.
        listed: The last list as the source returned it, compared by identity:
            the HTTP adapter returns the same object if nothing changed.
        known: Whether a list has been read since the start.
    """

    def __init__(
        self, source: port.InstanceList, generator: random.Random
    ) -> None:
        """Create a service that is not yet polling."""
        self.source = source
        self.instances: Instances = ()
        self.listed: Instances | None = None
        self.known = False
        self.failing = False
        self.lock = threading.RLock()
        self.subscribers: list[Subscriber] = []
        self.task = periodic.create_periodic_task(
            "instance-list", POLL_INTERVAL, self.poll, generator
        )

    def start(self) -> None:
        """Start polling."""
        self.task.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop; wait up to the limit for a poll that is running."""
        self.task.stop(limit)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call the subscriber with the complete list after each change.

        If a list is already known, call it at once, on the calling thread.
        """
        with self.lock:
            self.subscribers.append(subscriber)
            if self.known:
                notify(subscriber, self.instances)

    def poll(self) -> None:
        """Read the list once and notify subscribers of a change."""
        result = self.source.read()
        if not returns.pipeline.is_successful(result):
            self.handle_failure(result.failure())
            return
        if self.failing:
            self.failing = False
            event_log.emit(event_catalogue.INSTANCE_LIST_READABLE)
        listed = result.unwrap()
        if listed is not self.listed:
            self.replace(tuple(sorted(listed)))
            self.listed = listed

    def handle_failure(self, failure: port.ListFailure) -> None:
        """Keep the last list; after the first failure, poll again at once.

        Otherwise one lost response would delay the notice of a leaving endpoint
        by a poll interval.
        """
        if not self.failing:
            self.task.run_now()
            event_log.emit(
                event_catalogue.INSTANCE_LIST_UNREADABLE, error=failure.message
            )
        self.failing = True

    def replace(self, instances: Instances) -> None:
        """Store a valid list; notify subscribers if it has changed."""
        with self.lock:
            if self.known and instances == self.instances:
                return
            before, self.instances = self.instances, instances
            self.known = True
            event_log.emit(
                event_catalogue.INSTANCE_LIST_CHANGED,
                size=len(instances),
                changed=",".join(changed_names(before, instances)),
            )
            for subscriber in self.subscribers:
                notify(subscriber, instances)


def notify(subscriber: Subscriber, instances: Instances) -> None:
    """Call a subscriber; log an error that it raises."""
    try:
        subscriber(instances)
    except Exception as error:  # The others must still be called.
        event_log.emit(
            event_catalogue.INSTANCE_SUBSCRIBER_FAILED, error=repr(error)
        )


def changed_names(before: Instances, after: Instances) -> list[str]:
    """Return the sorted names of instances that differ between two lists."""
    return sorted({entry.name for entry in set(before) ^ set(after)})


def create_instance_list_service(
    source: port.InstanceList, generator: random.Random | None = None
) -> InstanceListService:
    """Create a service that is not yet polling."""
    return InstanceListService(source, generator or random.Random())
