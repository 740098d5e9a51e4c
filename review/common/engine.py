"""A stand-in for an engine; what it answers is a function of the case."""

from collections.abc import Callable
import contextlib
import socket
import threading
import time

from common import store as store_lib
from common import wire

Script = Callable[["Engine", "wire.Connection", wire.Message], bool]


class Engine:
    """Listens on a loopback address and serves requests by a script.

    The script writes the answer and returns whether to keep the channel.

    Attributes:
        born: Start of this lifetime in Unix milliseconds.
        crashed: Whether this lifetime has ended by a crash.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: store_lib.Store,
        script: Script,
        address: tuple[str, int] = ("127.0.0.1", 0),
        slots: int = 6,
    ) -> None:
        """Start to listen; the entry is written by register()."""
        self.name = name
        self.service = service
        self.store = store
        self.script = script
        self.slots = slots
        self.born = time.time_ns() // 1_000_000
        self.crashed = False
        self.channels: set[socket.socket] = set()
        self.listener = socket.create_server(address, backlog=256)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def register(self, state: str = "ready") -> None:
        """Write the entry in the store."""
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": "cba-norte",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold-remaining-ms": 0,
                "sequence": 1,
                "born": self.born,
            },
        )

    def accept(self) -> None:
        """Accept channels until closed."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self.serve, args=(sock,), daemon=True
            ).start()

    def serve(self, sock: socket.socket) -> None:
        """Serve the requests of one channel."""
        self.channels.add(sock)
        connection = wire.Connection(sock)
        with contextlib.suppress(OSError, ValueError), sock:
            while (request := connection.read()) is not None:
                if not request.complete:
                    break
                if not self.is_expected(request):
                    sock.sendall(self.misdirected())
                    continue
                if not self.script(self, connection, request):
                    break
        self.channels.discard(sock)

    def is_expected(self, request: wire.Message) -> bool:
        """Return whether a request names this engine, or none."""
        name = request.headers.get("verbenafall-expect-instance", self.name)
        return name == self.name

    def misdirected(self) -> bytes:
        """Encode the answer to a request that names another engine."""
        return wire.head(
            "HTTP/1.1 421 Misdirected Request",
            {"Verbenafall-Instance-Id": self.name, "Content-Length": "0"},
        )

    def crash(self) -> None:
        """End as a crashed process does: all channels are reset."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.channels):
            wire.reset(sock)

    def answer(
        self,
        request: wire.Message,
        status: str,
        body: bytes,
        **headers: str,
    ) -> bytes:
        """Encode a whole answer with the engine's signature."""
        attempt = request.headers.get("verbenafall-attempt-id", "")
        return (
            wire.head(
                f"HTTP/1.1 {status}",
                {
                    "Verbenafall-Attempt-Id": attempt,
                    "Verbenafall-Engine-Signature": f"{self.name}.{attempt}",
                    "Content-Length": str(len(body)),
                    **{k.replace("_", "-"): v for k, v in headers.items()},
                },
            )
            + body
        )

    def rejection(
        self, request: wire.Message, status: str, **headers: str
    ) -> bytes:
        """Encode an answer that says that the request was not run."""
        attempt = request.headers.get("verbenafall-attempt-id", "")
        return wire.head(
            f"HTTP/1.1 {status}",
            {
                "Verbenafall-Attempt-Id": attempt,
                "Verbenafall-Not-Executed": "1",
                "Content-Length": "0",
                **{k.replace("_", "-"): v for k, v in headers.items()},
            },
        )
