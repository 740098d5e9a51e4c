"""Writing to the socket of a client, with and without waiting."""

import socket

from verbenafall_gateway.delivery import direct_delivery


class NowaitSocket:
    """Sends on a connection without waiting.

    A socket object with a timeout waits until there is room before it calls
    the system, whatever the flags. So this uses a second object for the same
    connection, which has to be closed as well.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a socket; nothing is opened before the first call."""
        self.sock = sock
        self.second: socket.socket | None = None

    def send(self, data: bytes) -> int:
        """Return how many bytes were sent; 0 also for an error.

        The error shows again when the request thread writes.
        """
        try:
            if self.second is None:
                self.second = self.sock.dup()
                self.second.settimeout(0)
            return self.second.send(data, socket.MSG_DONTWAIT)
        except OSError:
            return 0

    def close(self) -> None:
        """Close the second object; the connection stays open."""
        if self.second is not None:
            self.second.close()


def send_all(sock: socket.socket, data: bytes) -> None:
    """Send data, waiting for room up to the socket's timeout.

    Raises:
        OSError: The connection is lost, or its peer does not read.
    """
    rest = memoryview(data)
    while rest:
        rest = rest[sock.send(rest) :]


def judge(sent: int, size: int) -> direct_delivery.WriteResult:
    """Return how much of a part was sent."""
    if sent == 0:
        return direct_delivery.WriteResult.NOT_WRITTEN
    if sent < size:
        return direct_delivery.WriteResult.PARTIAL
    return direct_delivery.WriteResult.COMPLETE
