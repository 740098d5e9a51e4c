"""Generates a load of many concurrent chat streams in one thread.

The time of a token is the time at which its bytes are received.
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
TOKEN_MARK: Final = b'"content":'
END_MARK: Final = b"[DONE]"
TIMEOUT_SECONDS: Final = 60.0


class Load(NamedTuple):
    """Streams that start one after the other.

    Attributes:
        streams: Number of streams.
        tokens: Tokens per stream.
        spread_seconds: Time over which the streams are started.
        seed: Number that distinguishes the prompts and request ids of loads.
    """

    streams: int
    tokens: int
    spread_seconds: float
    seed: int


class Timings(NamedTuple):
    """Results of a load; latencies are in milliseconds.

    Attributes:
        first: Time to the first token of each stream that got one.
        between: Times between consecutive tokens of a stream, measured after
            the last stream was started.
        longest_gaps: Longest of these times for each stream.
        tokens: Number of received tokens.
        reads: Number of socket reads.
        failed: Streams without a complete answer.
        seconds: Duration of the load.
    """

    first: list[float]
    between: list[float]
    longest_gaps: list[float]
    tokens: int
    reads: int
    failed: int
    seconds: float


class Stream:
    """Client side of one chat stream."""

    def __init__(self, address: addresses.Address, request: bytes) -> None:
        """Connect and send the request."""
        self.sock = socket.create_connection(address, timeout=10)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.started = time.monotonic()
        self.sock.sendall(request)
        self.sock.setblocking(False)
        self.remainder = b""
        self.received: list[float] = []
        self.done = False

    def read(self) -> bool:
        """Read available data; return whether the stream is still open."""
        data = self.sock.recv(READ_BYTES)
        now = time.monotonic()
        text = self.remainder + data
        self.received += [now] * text.count(TOKEN_MARK)
        # A token mark may be split over two reads, but must be counted once.
        cut = max(
            text.rfind(TOKEN_MARK) + len(TOKEN_MARK),
            len(text) - len(TOKEN_MARK) + 1,
        )
        self.remainder = text[cut:]
        self.done = self.done or END_MARK in text
        return bool(data) and not self.done


def build_request(load: Load, number: int) -> bytes:
    """Return the bytes of the HTTP request of a stream."""
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
    """Run a load, spread round-robin over targets; return its timings."""
    selector = selectors.DefaultSelector()
    streams: list[Stream] = []
    open_count = 0
    reads = 0
    load_started = time.monotonic()
    while len(streams) < load.streams or open_count:
        now = time.monotonic()
        if now - load_started > TIMEOUT_SECONDS:
            break
        number = len(streams)
        due = load_started + load.spread_seconds * number / load.streams
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
    seconds = time.monotonic() - load_started
    for stream in streams:
        stream.sock.close()
    selector.close()
    return summarize(streams, load, reads, seconds)


def summarize(
    streams: list[Stream], load: Load, reads: int, seconds: float
) -> Timings:
    """Compute the timings of a load from its streams."""
    first: list[float] = []
    between: list[float] = []
    longest_gaps: list[float] = []
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
        longest_gaps.append(max(gaps, default=0.0))
    tokens = sum(len(stream.received) for stream in streams)
    failed = sum(
        not stream.done or len(stream.received) != load.tokens
        for stream in streams
    )
    return Timings(first, between, longest_gaps, tokens, reads, failed, seconds)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values, or 0 if there are none.

    Args:
        values: Values in any order.
        share: Percentile as a fraction from 0 to 1.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
