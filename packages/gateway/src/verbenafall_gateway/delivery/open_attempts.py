"""Attempts in progress, and the delivery of link messages to them."""

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

    Either the link thread or the request thread handles events, never both:
    the link thread only while a receiver is offered. The first event that it
    does not handle withdraws the receiver and is queued, as are all later
    ones until the request thread finds the queue empty and offers again.
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
        """Wait for the next event; None when the limit has passed.

        Args:
            limit: How long to wait.
            receiver: Takes chunks on the link thread during the wait.
        """
        if receiver is not None:
            event = self.offer(receiver)
            if event is not None:
                return event
        try:
            if limit <= datetime.timedelta():
                return self.events.get_nowait()
            return self.events.get(timeout=limit.total_seconds())
        except queue.Empty:
            return None if receiver is None else self.withdraw()

    def offer(
        self, receiver: direct_delivery.Receiver
    ) -> attempt_events.AttemptEvent | None:
        """Let the link thread deliver, unless an event waits; return that."""
        with self.lock:
            try:
                return self.events.get_nowait()
            except queue.Empty:
                self.receiver = receiver
                return None

    def withdraw(self) -> attempt_events.AttemptEvent | None:
        """Stop delivery by the link thread; return an event of meanwhile."""
        with self.lock:
            self.receiver = None
        try:
            return self.events.get_nowait()
        except queue.Empty:
            return None

    def deliver(self, event: attempt_events.AttemptEvent) -> None:
        """Hand over an event on the link thread; does not wait."""
        with self.lock:
            receiver, self.receiver = self.receiver, None
            if receiver is None or not isinstance(event, messages.Chunk):
                self.events.put(event)
                return
            handover = receiver.try_deliver(event)
            if handover is direct_delivery.WriteResult.COMPLETE:
                self.receiver = receiver
            elif handover is direct_delivery.WriteResult.PARTIAL:
                self.events.put(attempt_events.Unsent())
            else:
                self.events.put(event)


class OpenAttempts:
    """The attempts of this process by id."""

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        """Create the registry without attempts."""
        self.metrics = metrics
        self.lock = threading.Lock()
        self.attempts: dict[str, OpenAttempt] = {}

    def attach(self, router: link_router.LinkRouter) -> None:
        """Receive the messages about attempts."""
        router.subscribe(messages.Accepted, self.receive)
        router.subscribe(messages.Refused, self.receive)
        router.subscribe(messages.Chunk, self.receive)
        router.subscribe(messages.End, self.receive)
        router.subscribe(messages.Failed, self.receive)
        router.subscribe(messages.CancelConfirmed, self.receive)
        router.subscribe_close(self.on_close)

    def add(self, attempt: OpenAttempt) -> None:
        """Deliver messages to an attempt from now on."""
        with self.lock:
            self.attempts[attempt.attempt_id] = attempt

    def remove(self, attempt: OpenAttempt) -> None:
        """Drop later messages for an attempt."""
        with self.lock:
            self.attempts.pop(attempt.attempt_id, None)

    def receive(
        self, link: endpoint_view.LinkPort, message: _AttemptMessage
    ) -> None:
        """Hand a message to its attempt, if that is open on this link."""
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

    def on_close(self, link: endpoint_view.LinkPort, reason: str) -> None:
        """Tell the attempts on a link that it has closed."""
        with self.lock:
            concerned = [
                attempt
                for attempt in self.attempts.values()
                if attempt.link is link
            ]
        for attempt in concerned:
            attempt.deliver(attempt_events.LinkClosed(reason))


def create_open_attempts(metrics: metrics_lib.Metrics) -> OpenAttempts:
    """Create the registry without attempts."""
    return OpenAttempts(metrics)
