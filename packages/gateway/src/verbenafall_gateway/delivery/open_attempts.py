"""Open attempts and the routing of link messages to them."""

import datetime
import queue
import threading

from verbenafall_core import event_log
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import metrics as metrics_lib
from verbenafall_gateway import event_catalogue
from verbenafall_gateway.choice import endpoint_view
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import direct_delivery

_AttemptMessage = (
    messages.Accepted
    | messages.Refused
    | messages.Chunk
    | messages.End
    | messages.Failed
    | messages.CancelConfirmed
)


class OpenAttempt:
    """An attempt that waits for messages from one link.

    Only one thread handles events at a time. The link thread does so while a
    receiver is offered. The first event that it cannot handle withdraws the
    receiver and is queued, as are all later events until the request thread
    finds the queue empty and offers a receiver again.
    """

    def __init__(
        self,
        attempt_id: str,
        instance: str,
        link: endpoint_view.LinkPort,
    ) -> None:
        """Create an attempt without events."""
        self.attempt_id = attempt_id
        self.instance = instance
        self.link = link
        self.events: queue.SimpleQueue[attempt_events.AttemptEvent] = (
            queue.SimpleQueue()
        )
        self.lock = threading.Lock()
        self.receiver: direct_delivery.Receiver | None = None

    def next_event(
        self,
        limit: datetime.timedelta,
        receiver: direct_delivery.Receiver | None = None,
    ) -> attempt_events.AttemptEvent | None:
        """Wait for the next event; return None if the limit has passed.

        Args:
            limit: Maximum time to wait.
            receiver: Delivers chunks on the link thread during the wait.
        """
        if receiver is not None:
            event = self.offer_receiver(receiver)
            if event is not None:
                return event
        try:
            if limit <= datetime.timedelta():
                return self.events.get_nowait()
            return self.events.get(timeout=limit.total_seconds())
        except queue.Empty:
            return None if receiver is None else self.withdraw_receiver()

    def offer_receiver(
        self, receiver: direct_delivery.Receiver
    ) -> attempt_events.AttemptEvent | None:
        """Allow delivery by the link thread, unless an event is queued.

        Returns the queued event, if any.
        """
        with self.lock:
            try:
                return self.events.get_nowait()
            except queue.Empty:
                self.receiver = receiver
                return None

    def withdraw_receiver(self) -> attempt_events.AttemptEvent | None:
        """Stop delivery by the link thread.

        Returns the event that was queued in the meantime, if any.
        """
        with self.lock:
            self.receiver = None
        try:
            return self.events.get_nowait()
        except queue.Empty:
            return None

    def deliver(self, event: attempt_events.AttemptEvent) -> None:
        """Handle or queue an event on the link thread, without waiting."""
        with self.lock:
            receiver, self.receiver = self.receiver, None
            if receiver is None or not isinstance(event, messages.Chunk):
                self.events.put(event)
                return
            result = receiver.try_deliver(event)
            if result is direct_delivery.WriteResult.COMPLETE:
                self.receiver = receiver
            elif result is direct_delivery.WriteResult.PARTIAL:
                self.events.put(attempt_events.PartialWrite())
            else:
                self.events.put(event)


class OpenAttempts:
    """The open attempts of this process by id."""

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        """Create an empty registry."""
        self.metrics = metrics
        self.lock = threading.Lock()
        self.attempts: dict[str, OpenAttempt] = {}

    def attach(self, router: link_router.LinkRouter) -> None:
        """Subscribe to attempt messages and to closed links."""
        router.subscribe(messages.Accepted, self.receive)
        router.subscribe(messages.Refused, self.receive)
        router.subscribe(messages.Chunk, self.receive)
        router.subscribe(messages.End, self.receive)
        router.subscribe(messages.Failed, self.receive)
        router.subscribe(messages.CancelConfirmed, self.receive)
        router.subscribe_close(self.on_close)

    def add(self, attempt: OpenAttempt) -> None:
        """Start routing messages to an attempt."""
        with self.lock:
            self.attempts[attempt.attempt_id] = attempt

    def remove(self, attempt: OpenAttempt) -> None:
        """Stop routing messages to an attempt; later ones are dropped."""
        with self.lock:
            self.attempts.pop(attempt.attempt_id, None)

    def receive(
        self, link: endpoint_view.LinkPort, message: _AttemptMessage
    ) -> None:
        """Route a message to its attempt if that is open on this link.

        Otherwise the message is late: it is counted, logged and dropped.
        """
        with self.lock:
            attempt = self.attempts.get(message.attempt_id)
        if attempt is None or attempt.link is not link:
            self.metrics.count("attempt.late_messages")
            event_log.emit(
                event_catalogue.LATE_MESSAGE,
                attempt=message.attempt_id,
                kind=type(message).__name__,
            )
            return
        attempt.deliver(message)

    def abandon(self) -> None:
        """Deliver Abandoned to all attempts."""
        with self.lock:
            affected = list(self.attempts.values())
        for attempt in affected:
            attempt.deliver(attempt_events.Abandoned())

    def on_close(self, link: endpoint_view.LinkPort, reason: str) -> None:
        """Deliver LinkClosed to all attempts on a link."""
        with self.lock:
            affected = [
                attempt
                for attempt in self.attempts.values()
                if attempt.link is link
            ]
        for attempt in affected:
            attempt.deliver(attempt_events.LinkClosed(reason))


def create_open_attempts(metrics: metrics_lib.Metrics) -> OpenAttempts:
    """Create an empty registry."""
    return OpenAttempts(metrics)
