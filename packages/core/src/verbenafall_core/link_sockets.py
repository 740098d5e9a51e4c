"""Opens the non-blocking sockets of links."""

import socket
from typing import Final

from verbenafall_core import addresses

BACKLOG: Final = 1024


class LinkError(Exception):
    """A listening socket could not be opened."""


def open_listener(address: addresses.Address) -> socket.socket:
    """Return a socket that listens on an address.

    Raises:
        LinkError: The address cannot be bound.
    """
    listener = socket.socket(address_family(address), socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
    except OSError as error:
        listener.close()
        raise LinkError(f"cannot listen on {address}: {error}") from error
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def start_connect(address: addresses.Address) -> socket.socket:
    """Start a non-blocking connect; errors are raised on first use."""
    sock = socket.socket(address_family(address), socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.connect_ex((address.host, address.port))
    return sock


def address_family(address: addresses.Address) -> socket.AddressFamily:
    """Return the socket family of an address."""
    return socket.AF_INET6 if ":" in address.host else socket.AF_INET
