"""HTTP/1.1 messages as the stand-ins send and read them."""

import contextlib
import socket
import struct
from typing import NamedTuple


class Message(NamedTuple):
    """A request or an answer.

    Attributes:
        first: The words of the first line.
        complete: Whether the whole body was received.
    """

    first: tuple[str, ...]
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first[1])


class Connection:
    """Reads messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Create a reader of a connected socket."""
        self.sock = sock
        self.data = b""

    def more(self) -> bool:
        """Receive some bytes; return False at the end."""
        try:
            received = self.sock.recv(262144)
        except ConnectionError:
            return False
        self.data += received
        return bool(received)

    def read(self) -> Message | None:
        """Read a message, None if the channel ends before its head does."""
        while b"\r\n\r\n" not in self.data:
            if not self.more():
                return None
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body, complete = self.read_body(headers)
        first = tuple(lines[0].split(" ", 2))
        return Message(first, headers, body, complete)

    def read_body(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        """Read a body with a length or in chunks."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return self.read_chunks()
        length = int(headers.get("content-length", "0"))
        while len(self.data) < length:
            if not self.more():
                return self.data, False
        body, self.data = self.data[:length], self.data[length:]
        return body, True

    def read_chunks(self) -> tuple[bytes, bool]:
        """Read chunks up to the last one."""
        body = b""
        while True:
            while b"\r\n" not in self.data:
                if not self.more():
                    return body, False
            line, _, self.data = self.data.partition(b"\r\n")
            size = int(line.split(b";")[0], 16)
            while len(self.data) < size + 2:
                if not self.more():
                    return body + self.data[:size], False
            body += self.data[:size]
            self.data = self.data[size + 2 :]
            if size == 0:
                return body, True


def head(first: str, headers: dict[str, str]) -> bytes:
    """Encode the head of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Encode a chunk; without data, the last one."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def reset(sock: socket.socket) -> None:
    """Close a channel with a reset, also while another thread reads it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        # Ends a recv() that would keep the socket open; sends nothing.
        sock.shutdown(socket.SHUT_RD)
    sock.close()
