"""Loopback proxy that disturbs the connections through it."""

import contextlib
import enum
import socket
import struct
import threading
import time
import urllib.parse

DELAY_SECONDS = 0.3
IDLE_SECONDS = 30.0


class Mode(enum.Enum):
    """What happens to the bytes of all connections.

    DEAF: Bytes reach the server, its answers are dropped.
    """

    PASS = "pass"
    SLOW = "slow"
    SILENT = "silent"
    RESET = "reset"
    DEAF = "deaf"


class Proxy:
    """Forwards connections to one server.

    Attributes:
        mode: Applies to bytes that arrive from now on.
    """

    def __init__(self, server_url: str) -> None:
        """Start to listen on a free port."""
        parts = urllib.parse.urlsplit(server_url)
        assert parts.hostname
        assert parts.port
        self.server = (parts.hostname, parts.port)
        self.mode = Mode.PASS
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections until closed."""
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.mode is Mode.RESET:
                reset(client)
                continue
            threading.Thread(
                target=self.connect, args=(client,), daemon=True
            ).start()

    def connect(self, client: socket.socket) -> None:
        """Connect to the server and forward in both directions."""
        try:
            server = socket.create_connection(self.server, 2.0)
        except OSError:
            reset(client)
            return
        for source, target, answers in (
            (client, server, False),
            (server, client, True),
        ):
            threading.Thread(
                target=self.forward, args=(source, target, answers), daemon=True
            ).start()

    def forward(
        self, source: socket.socket, target: socket.socket, answers: bool
    ) -> None:
        """Forward bytes in one direction until either side closes."""
        with contextlib.suppress(OSError):
            source.settimeout(IDLE_SECONDS)
            while data := source.recv(65536):
                if self.mode is Mode.RESET:
                    reset(source)
                    reset(target)
                    return
                if self.mode is Mode.SILENT or (
                    answers and self.mode is Mode.DEAF
                ):
                    continue
                if answers and self.mode is Mode.SLOW:
                    time.sleep(DELAY_SECONDS)
                target.sendall(data)
        for end in (source, target):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()

    def close(self) -> None:
        """Stop accepting connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    connection.close()
