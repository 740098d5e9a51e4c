"""Engine stand-in for latency measurements: one thread and steady steps.

All streams of an engine get a token in each step, and the steps follow a fixed
schedule. The other stand-ins use a thread per stream, whose delays would hide
those of the measured path.
"""

import argparse
import json
import math
import selectors
import socket
import time
from typing import Final

READ_BYTES: Final = 64 * 1024
HEAD_END: Final = b"\r\n\r\n"
STREAM_HEAD: Final = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK: Final = b"0\r\n\r\n"
LOAD_REPORT: Final = {
    "as_of_ms": 0,
    "in_flight": 0,
    "queued": 0,
    "kv_used": 0,
    "expert_load": [0],
}


class Connection:
    """A client's connection, with at most one stream at a time.

    Attributes:
        common_fields: Fields of all events of the stream.
        index: Number of tokens sent on the stream.
        token_count: Length of the stream in tokens, 0 if none is open.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a connected socket."""
        self.sock = sock
        self.buffer = b""
        self.common_fields: dict[str, object] = {}
        self.index = 0
        self.token_count = 0

    def send_token(self) -> None:
        """Send the next token; after the last one, end the stream."""
        data = self.encode_event(f" w{self.index}", self.index, None)
        self.index += 1
        if self.index >= self.token_count:
            self.token_count = 0
            data += self.encode_event("", None, "length")
            data += encode_chunk(b"data: [DONE]\n\n") + LAST_CHUNK
        self.sock.sendall(data)

    def encode_event(
        self, text: str, index: int | None, finish: str | None
    ) -> bytes:
        """Return a server-sent event, encoded as a chunk of the body."""
        choice = {
            "index": 0,
            "delta": {"content": text} if text else {},
            "finish_reason": finish,
        }
        body = self.common_fields | {"choices": [choice]}
        if index is not None:
            body["token_index"] = index
        return encode_chunk(f"data: {json.dumps(body)}\n\n".encode())

    def answer_requests(self) -> None:
        """Answer all complete requests in the buffer."""
        while HEAD_END in self.buffer:
            head, rest = self.buffer.split(HEAD_END, 1)
            length = parse_content_length(head)
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.answer(head.split(b" ", 2)[1], rest[:length])

    def answer(self, path: bytes, body: bytes) -> None:
        """Answer a request; a chat stream gets its first token next step."""
        if path == b"/v1/chat/completions":
            request = json.loads(body)
            self.common_fields = {
                "id": "run",
                "object": "chat.completion.chunk",
                "created": 0,
                "model": request["model"],
            }
            self.index = 0
            self.token_count = int(request["max_tokens"])
            self.sock.sendall(STREAM_HEAD)
            return
        data = json.dumps(LOAD_REPORT).encode()
        self.sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(data), data)
        )


def encode_chunk(data: bytes) -> bytes:
    """Encode data as one chunk of an HTTP body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def parse_content_length(head: bytes) -> int:
    """Return the Content-Length of a message head, 0 if it has none."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


class Engine:
    """Serves one engine's connections."""

    def __init__(
        self, address: tuple[str, int], step_seconds: float, phase: float
    ) -> None:
        """Listen on an address.

        Args:
            address: Host and port.
            step_seconds: Time from one step to the next.
            phase: Offset of the steps, as a fraction of a step.
        """
        self.phase = phase
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server(address, backlog=512)
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.connections: set[Connection] = set()
        self.step_seconds = step_seconds

    def run(self) -> None:
        """Run steps on schedule and handle requests between them, forever."""
        steps = math.ceil(time.monotonic() / self.step_seconds)
        due = (steps + self.phase) * self.step_seconds
        while True:
            wait = due - time.monotonic()
            if wait <= 0:
                self.step()
                due += self.step_seconds
                continue
            for key, _ in self.selector.select(wait):
                if key.data is None:
                    self.accept()
                else:
                    self.read(key.data)

    def step(self) -> None:
        """Send one token on each open stream."""
        for connection in list(self.connections):
            if connection.token_count:
                try:
                    connection.send_token()
                except OSError:
                    self.close_connection(connection)

    def accept(self) -> None:
        """Accept a connection."""
        sock, _ = self.listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock)
        self.connections.add(connection)
        self.selector.register(sock, selectors.EVENT_READ, connection)

    def read(self, connection: Connection) -> None:
        """Read available data and answer the requests that it completes."""
        try:
            data = connection.sock.recv(READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self.close_connection(connection)
            return
        connection.buffer += data
        connection.answer_requests()

    def close_connection(self, connection: Connection) -> None:
        """Close a connection and remove it from the engine."""
        self.connections.discard(connection)
        self.selector.unregister(connection.sock)
        connection.sock.close()


def main() -> None:
    """Run an engine with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("--step-ms", type=float, required=True)
    parser.add_argument("--phase", type=float, required=True)
    arguments = parser.parse_args()
    host, _, port = arguments.address.rpartition(":")
    step_seconds = arguments.step_ms / 1000
    Engine((host, int(port)), step_seconds, arguments.phase).run()


if __name__ == "__main__":
    main()
