"""Writes to the socket of a client, with and without blocking."""

import socket

from verbenafall_gateway.delivery import direct_delivery


class NowaitSocket:
    """Sends on a connection without blocking.

    A Python socket with a timeout waits until it is writable before it calls
    send(), even with MSG_DONTWAIT. So this class sends on a duplicate of the
    socket without a timeout, which has to be closed separately.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a socket, which is duplicated at the first send."""
        self.sock = sock
        self.duplicate: socket.socket | None = None

    def send(self, data: bytes) -> int:
        """Return the number of bytes sent; after an error, that is 0.

        The error occurs again when the request thread writes.
        """
        try:
            if self.duplicate is None:
                self.duplicate = self.sock.dup()
                self.duplicate.settimeout(0)
            return self.duplicate.send(data, socket.MSG_DONTWAIT)
        except OSError:
            return 0

    def close(self) -> None:
        """Close the duplicate; the connection stays open."""
        if self.duplicate is not None:
            self.duplicate.close()


def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all data; each send blocks up to the socket's timeout.

    Raises:
        OSError: The connection is lost, or the peer does not read.
    """
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[sock.send(remaining) :]


def classify_send(sent: int, size: int) -> direct_delivery.WriteResult:
    """Return whether none, some or all bytes of a part were sent."""
    if sent == 0:
        return direct_delivery.WriteResult.NOT_WRITTEN
    if sent < size:
        return direct_delivery.WriteResult.PARTIAL
    return direct_delivery.WriteResult.COMPLETE
