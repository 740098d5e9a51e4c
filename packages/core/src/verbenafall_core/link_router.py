"""Passes link events to the services that subscribed to them."""

import collections
from collections.abc import Callable
from typing import Any
from typing import TypeVar

from verbenafall_core import event_catalogue
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import messages

M = TypeVar("M")
OnOpen = Callable[[link_lib.Link], None]
OnClose = Callable[[link_lib.Link, str], None]


class LinkRouter:
    """Calls the subscribers of link events; subscribe before the links start.

    Subscribers are called on the I/O thread of the links and must not block.
    """

    def __init__(self) -> None:
        """Create a router without subscribers."""
        self.message_subscribers: dict[type[Any], list[Callable[..., None]]] = (
            collections.defaultdict(list)
        )
        self.open_subscribers: list[OnOpen] = []
        self.close_subscribers: list[OnClose] = []

    def subscribe(
        self, kind: type[M], callback: Callable[[link_lib.Link, M], None]
    ) -> None:
        """Call a function for each message of a kind."""
        self.message_subscribers[kind].append(callback)

    def subscribe_open(self, callback: OnOpen) -> None:
        """Call a function for each link that opens."""
        self.open_subscribers.append(callback)

    def subscribe_close(self, callback: OnClose) -> None:
        """Call a function for each link that closes."""
        self.close_subscribers.append(callback)

    def on_open(self, link: link_lib.Link) -> None:
        """Notify the subscribers of an opened link."""
        for callback in self.open_subscribers:
            callback(link)

    def on_message(
        self, link: link_lib.Link, message: messages.Message
    ) -> None:
        """Pass a message to the subscribers of its kind."""
        for callback in self.message_subscribers.get(type(message), ()):
            callback(link, message)

    def on_close(self, link: link_lib.Link, reason: str) -> None:
        """Notify the subscribers of a closed link."""
        for callback in self.close_subscribers:
            try:
                callback(link, reason)
            except Exception as error:  # Others must be notified, too.
                event_log.emit(
                    event_catalogue.LINK_HANDLER_FAILED,
                    peer=link.address,
                    error=repr(error),
                )


def create_link_router() -> LinkRouter:
    """Create a router without subscribers."""
    return LinkRouter()
