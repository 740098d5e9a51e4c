"""Load of many open chat streams, read by one thread.

Each token is timed when its bytes are received.
"""

import itertools
import selectors
import socket
import time
from typing import Final
from typing import NamedTuple

import bench_fleet
from verbenafall_core import addresses

READ_BYTES: Final = 64 * 1024
MARK: Final = b'"content":'
DONE: Final = b"[DONE]"
LIMIT_SECONDS: Final = 60.0


class Load(NamedTuple):
    """A number of streams that start one after the other.

    Attributes:
        spread_seconds: Time over which the streams are started.
    """

    streams: int
    tokens: int
    spread_seconds: float
    seed: int


class Timings(NamedTuple):
    """What the streams of a load have shown, in milliseconds.

    Attributes:
        between: Times between tokens while all streams are open.
        largest: The longest of them for each stream.
        reads: Reads that returned bytes.
        failed: Streams without a complete answer.
    """

    first: list[float]
    between: list[float]
    largest: list[float]
    tokens: int
    reads: int
    failed: int
    seconds: float


class Stream:
    """One open stream."""

    def __init__(self, address: addresses.Address, request: bytes) -> None:
        """Connect and send the request."""
        self.sock = socket.create_connection(address, timeout=10)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.started = time.monotonic()
        self.sock.sendall(request)
        self.sock.setblocking(False)
        self.tail = b""
        self.received: list[float] = []
        self.done = False

    def read(self) -> bool:
        """Read what has arrived; return whether the stream is open."""
        data = self.sock.recv(READ_BYTES)
        now = time.monotonic()
        text = self.tail + data
        self.received += [now] * text.count(MARK)
        # A mark may be split over two reads; it must not be counted twice.
        cut = max(text.rfind(MARK) + len(MARK), len(text) - len(MARK) + 1)
        self.tail = text[cut:]
        self.done = self.done or DONE in text
        return bool(data) and not self.done


def build_request(load: Load, number: int) -> bytes:
    """Return the bytes of a chat request."""
    body = bench_fleet.to_json(
        {
            "model": "model-0",
            "messages": [
                {"role": "user", "content": f"quote {load.seed}-{number}"}
            ],
            "max_tokens": load.tokens,
            "stream": True,
        }
    )
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {bench_fleet.CREDENTIAL}\r\n"
        f"X-Request-Id: {load.seed}-{number}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def run_load(targets: list[addresses.Address], load: Load) -> Timings:
    """Run a load over some addresses in turn; return its timings."""
    selector = selectors.DefaultSelector()
    streams: list[Stream] = []
    open_count = 0
    reads = 0
    began = time.monotonic()
    while len(streams) < load.streams or open_count:
        now = time.monotonic()
        if now - began > LIMIT_SECONDS:
            break
        number = len(streams)
        due = began + load.spread_seconds * number / load.streams
        if number < load.streams and now >= due:
            request = build_request(load, number)
            stream = Stream(targets[number % len(targets)], request)
            streams.append(stream)
            selector.register(stream.sock, selectors.EVENT_READ, stream)
            open_count += 1
            continue
        wait = max(0.0, due - now) if number < load.streams else 0.5
        for key, _ in selector.select(wait):
            reads += 1
            if not key.data.read():
                selector.unregister(key.data.sock)
                key.data.sock.close()
                open_count -= 1
    seconds = time.monotonic() - began
    for stream in streams:
        stream.sock.close()
    selector.close()
    return summarize(streams, load, reads, seconds)


def summarize(
    streams: list[Stream], load: Load, reads: int, seconds: float
) -> Timings:
    """Return the timings of all streams."""
    first: list[float] = []
    between: list[float] = []
    largest: list[float] = []
    all_started = streams[-1].started
    for stream in streams:
        times = stream.received
        if times:
            first.append(1000 * (times[0] - stream.started))
        gaps = [
            1000 * (after - before)
            for before, after in itertools.pairwise(times)
            if before >= all_started
        ]
        between += gaps
        largest.append(max(gaps, default=0.0))
    tokens = sum(len(stream.received) for stream in streams)
    failed = sum(
        not stream.done or len(stream.received) != load.tokens
        for stream in streams
    )
    return Timings(first, between, largest, tokens, reads, failed, seconds)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values, 0 without any."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
