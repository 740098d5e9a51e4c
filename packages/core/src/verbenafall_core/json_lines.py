"""Writes log lines to standard output without ever blocking the caller."""

import atexit
import collections
import os
import threading
from typing import Any
from typing import Final

import msgspec

# Lines that wait for a reader that is behind; more are counted and dropped.
MAX_WAITING: Final = 20_000
# Lines within this time leave in one write.
WRITE_INTERVAL_SECONDS: Final = 0.1
STDOUT: Final = 1


class LineWriter:
    """Collects lines and writes them on a thread of its own.

    Attributes:
        dropped: Lines that were dropped since the last write.
    """

    def __init__(self, descriptor: int) -> None:
        """Create a writer to a file descriptor."""
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        self.closed = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="log-writer", daemon=True
        )

    def start(self) -> None:
        """Start the thread; what waits at the exit is written then."""
        self.thread.start()
        atexit.register(self.close)

    def put(self, fields: dict[str, Any]) -> None:
        """Queue a line, or count it as dropped."""
        if len(self.lines) >= MAX_WAITING:
            self.dropped += 1
            return
        self.lines.append(encode_line(fields))

    def run(self) -> None:
        """Write until closed."""
        while not self.closed.wait(WRITE_INTERVAL_SECONDS):
            self.write()

    def write(self) -> None:
        """Write what waits; blocks while the reader is behind."""
        dropped, self.dropped = self.dropped, 0
        waiting = [self.lines.popleft() for _ in range(len(self.lines))]
        if dropped:
            waiting.append(
                encode_line({"name": "log_lines_dropped", "lines": dropped})
            )
        data = b"".join(waiting)
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                self.closed.wait(WRITE_INTERVAL_SECONDS)
            except OSError:
                return  # Nobody reads any more, and there is no other place.

    def close(self) -> None:
        """Write what waits and stop."""
        self.closed.set()
        self.thread.join(WRITE_INTERVAL_SECONDS * 5)
        self.write()


def encode_line(fields: dict[str, Any]) -> bytes:
    """Return a JSON object as a line; unknown types become text."""
    return msgspec.json.encode(fields, enc_hook=str) + b"\n"


def create_line_writer(descriptor: int = STDOUT) -> LineWriter:
    """Create a writer that is not yet running."""
    return LineWriter(descriptor)
