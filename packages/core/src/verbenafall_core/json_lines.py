"""Writes log lines to standard output without blocking the caller."""

import atexit
import collections
import os
import threading
from typing import Any
from typing import Final

import msgspec

# Lines queued for a slow reader; further lines are counted and dropped.
MAX_QUEUED_LINES: Final = 20_000
# Lines queued within this interval are written together.
WRITE_INTERVAL_SECONDS: Final = 0.1
STDOUT: Final = 1


class LineWriter:
    """Queues lines and writes them on its own thread.

    Attributes:
        dropped: Number of lines dropped since the last write.
    """

    def __init__(self, descriptor: int) -> None:
        """Create a writer for a file descriptor; start() starts the thread."""
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        self.closed = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="log-writer", daemon=True
        )

    def start(self) -> None:
        """Start the thread, and flush the queue when the process exits."""
        self.thread.start()
        atexit.register(self.close)

    def put(self, fields: dict[str, Any]) -> None:
        """Queue a line; if the queue is full, drop and count it."""
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.lines.append(encode_line(fields))

    def run(self) -> None:
        """Write the queued lines at each interval until closed."""
        while not self.closed.wait(WRITE_INTERVAL_SECONDS):
            self.write()

    def write(self) -> None:
        """Write the queued lines; block while the reader is slow."""
        dropped, self.dropped = self.dropped, 0
        queued = [self.lines.popleft() for _ in range(len(self.lines))]
        if dropped:
            queued.append(
                encode_line({"name": "log_lines_dropped", "lines": dropped})
            )
        data = b"".join(queued)
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                self.closed.wait(WRITE_INTERVAL_SECONDS)
            except OSError:
                return  # The reader is gone, and there is no other output.

    def close(self) -> None:
        """Stop the thread, then write the lines still queued."""
        self.closed.set()
        self.thread.join(WRITE_INTERVAL_SECONDS * 5)
        self.write()


def encode_line(fields: dict[str, Any]) -> bytes:
    """Encode fields as a JSON line; values of unknown types become text."""
    return msgspec.json.encode(fields, enc_hook=str) + b"\n"


def create_line_writer(descriptor: int = STDOUT) -> LineWriter:
    """Create a writer whose thread is not yet running."""
    return LineWriter(descriptor)
