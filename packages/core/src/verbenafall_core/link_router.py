"""Hands what happens on links to the services that asked for it."""

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
    """Subscribers by message kind. Subscribe before the links start.

    Subscribers run on the I/O thread of the links and must not block.
    """

    def __init__(self) -> None:
        """Create a router without subscribers."""
        self.by_kind: dict[type[Any], list[Callable[..., None]]] = (
            collections.defaultdict(list)
        )
        self.open_subscribers: list[OnOpen] = []
        self.close_subscribers: list[OnClose] = []

    def subscribe(
        self, kind: type[M], receive: Callable[[link_lib.Link, M], None]
    ) -> None:
        """Call a function for each message of a kind."""
        self.by_kind[kind].append(receive)

    def subscribe_open(self, receive: OnOpen) -> None:
        """Call a function for each link that opens."""
        self.open_subscribers.append(receive)

    def subscribe_close(self, receive: OnClose) -> None:
        """Call a function for each link that closes."""
        self.close_subscribers.append(receive)

    def on_open(self, link: link_lib.Link) -> None:
        """Tell the subscribers of an open link."""
        for receive in self.open_subscribers:
            receive(link)

    def on_message(
        self, link: link_lib.Link, message: messages.Message
    ) -> None:
        """Tell the subscribers of a message."""
        for receive in self.by_kind.get(type(message), ()):
            receive(link, message)

    def on_close(self, link: link_lib.Link, reason: str) -> None:
        """Tell the subscribers of a closed link."""
        for receive in self.close_subscribers:
            try:
                receive(link, reason)
            except Exception as error:  # The others must learn of it too.
                event_log.emit(
                    event_catalogue.LINK_HANDLER_FAILED,
                    peer=link.address,
                    error=repr(error),
                )


def create_link_router() -> LinkRouter:
    """Create a router without subscribers."""
    return LinkRouter()
