"""A loopback proxy in front of an engine, which can reset channels."""

import contextlib
import socket
import threading

from common import wire


class Proxy:
    """Forwards channels to one server.

    Attributes:
        reset_after: Bytes of an answer after which its channel is reset, 0
            for never.
        resets: Number of channels that were reset.
    """

    def __init__(self, server: tuple[str, int]) -> None:
        """Start to listen on a free port."""
        self.server = server
        self.reset_after = 0
        self.resets = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept channels until the process ends."""
        while True:
            near, _ = self.listener.accept()
            threading.Thread(
                target=self.connect, args=(near,), daemon=True
            ).start()

    def connect(self, near: socket.socket) -> None:
        """Connect to the server and forward in both directions."""
        try:
            far = socket.create_connection(self.server, 2)
        except OSError:
            wire.reset(near)
            return
        channel = Channel(near, far)
        threading.Thread(
            target=self.forward, args=(channel, near, far), daemon=True
        ).start()
        self.forward(channel, far, near)

    def forward(
        self, channel: "Channel", source: socket.socket, target: socket.socket
    ) -> None:
        """Forward bytes in one direction; reset both sides at the limit."""
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                target.sendall(data)
                if source is channel.near:
                    channel.answered = 0
                    continue
                channel.answered += len(data)
                if self.reset_after and channel.answered >= self.reset_after:
                    self.resets += 1
                    channel.reset()
                    return
        channel.close()


class Channel:
    """Both sides of a channel.

    Attributes:
        answered: Bytes of the answer to the last request so far.
    """

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        """Create a channel of two connected sockets."""
        self.near = near
        self.far = far
        self.answered = 0

    def reset(self) -> None:
        """Reset both sides."""
        wire.reset(self.near)
        wire.reset(self.far)

    def close(self) -> None:
        """Close both sides."""
        for end in (self.near, self.far):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()
