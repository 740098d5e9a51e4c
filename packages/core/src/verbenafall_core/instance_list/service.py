"""Kernel service that follows the instance list."""

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
    """Polls the list and keeps the last good one.

    Subscribers are called on the polling thread, one change at a time.

    Attributes:
        instances: The last good list, sorted by name; empty before the first.
        known: Whether a list has been read since the start.
    """

    def __init__(
        self, source: port.InstanceList, generator: random.Random
    ) -> None:
        """Create a service that does not poll yet."""
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
        """Start to poll."""
        self.task.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Stop after the poll that is running."""
        self.task.stop(limit)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call back with the whole list on each change.

        A list that is already known is passed on at once, on the calling
        thread.
        """
        with self.lock:
            self.subscribers.append(subscriber)
            if self.known:
                tell(subscriber, self.instances)

    def poll(self) -> None:
        """Read the list once and tell subscribers of a change."""
        result = self.source.read()
        if not returns.pipeline.is_successful(result):
            self.note_failure(result.failure())
            return
        if self.failing:
            self.failing = False
            event_log.emit(event_catalogue.INSTANCE_LIST_READABLE)
        listed = result.unwrap()
        if listed is not self.listed:
            self.replace(tuple(sorted(listed)))
            self.listed = listed

    def note_failure(self, failure: port.ListFailure) -> None:
        """Keep the last list; poll again at once after the first failure.

        One lost answer must not delay the news of a leaving endpoint by an
        interval.
        """
        if not self.failing:
            self.task.run_now()
            event_log.emit(
                event_catalogue.INSTANCE_LIST_UNREADABLE, error=failure.message
            )
        self.failing = True

    def replace(self, instances: Instances) -> None:
        """Keep a good list; tell subscribers if it is another one."""
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
                tell(subscriber, instances)


def tell(subscriber: Subscriber, instances: Instances) -> None:
    """Pass a list on; a subscriber's error does not keep it from others."""
    try:
        subscriber(instances)
    except Exception as error:  # The other subscribers need the list too.
        event_log.emit(
            event_catalogue.INSTANCE_SUBSCRIBER_FAILED, error=repr(error)
        )


def changed_names(before: Instances, after: Instances) -> list[str]:
    """Return the sorted names of instances that differ between two lists."""
    return sorted({entry.name for entry in set(before) ^ set(after)})


def create_instance_list_service(
    source: port.InstanceList, generator: random.Random | None = None
) -> InstanceListService:
    """Create a service that does not poll yet."""
    return InstanceListService(source, generator or random.Random())
