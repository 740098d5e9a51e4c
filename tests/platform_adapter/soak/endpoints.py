"""Endpoints of the soak: they answer, misbehave, leave and come back."""

from collections.abc import Callable
import contextlib
import random
import socket
import struct
import threading
import time

from forwarding import forwarding_fakes as fakes
from platform_adapter import standin_store
from platform_adapter.soak import clients as clients_lib
from platform_adapter.soak import findings
from platform_adapter.soak import records as records_lib

ENTRY_KIND = "servers"
SLOTS = 4
EVENT_SECONDS = 0.04
WORK_SECONDS = 0.03
# Time between the announcement that an endpoint leaves and its end.
DRAIN_SECONDS = 2.5
CRASH_SECONDS = 1.0
# Shares of the requests that an endpoint refuses, and that it breaks off.
REFUSE_SHARE = 0.02
BREAK_SHARE = 0.01


class SoakEndpoint:
    """One endpoint with its entry in the store.

    Attributes:
        leaving: Set when the endpoint is about to end.
        open: Requests that are being run.
        says_it_leaves: Whether its answers say so.
        paused_until: Until when it turns requests away.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: standin_store.StandinStore,
        records: records_lib.Records,
        generator: random.Random,
        on_crash: Callable[["SoakEndpoint"], None],
    ) -> None:
        """Start to listen and write the entry.

        Args:
            name: Id of the endpoint.
            service: Service in its entry.
            store: Where the entry is.
            records: Receives what it runs.
            generator: Draws what it refuses and breaks off.
            on_crash: Called after a deadly request crashed it.
        """
        self.on_crash = on_crash
        self.name = name
        self.service = service
        self.store = store
        self.records = records
        self.generator = generator
        self.born = time.time_ns() // 1_000_000
        self.lock = threading.Lock()
        self.connections: set[socket.socket] = set()
        self.leaving = threading.Event()
        self.open = 0
        self.says_it_leaves = False
        self.paused_until = 0.0
        self.state = ""
        # Guards the entry.
        self.entry_lock = threading.Lock()
        self.backend = fakes.ScriptedEndpoint(self.serve)
        self.announce("ready")

    def announce(self, state: str) -> None:
        """Write the entry."""
        with self.entry_lock:
            self.state = state
            self.write_entry()

    def write_entry(self) -> None:
        """Write the entry in the current state; the caller holds the lock."""
        self.store.put(
            ENTRY_KIND,
            self.name,
            {
                "service": self.service,
                "address": str(self.backend.address),
                "zone": "z1",
                "slots": SLOTS,
                "state": self.state,
                "born": self.born,
            },
        )

    def announce_again(self) -> None:
        """Write the entry again after a restore of the store."""
        with self.entry_lock:
            if not self.leaving.is_set():
                self.write_entry()

    def remove_if_gone(self) -> None:
        """Remove a copied entry of this endpoint if it has ended."""
        with self.entry_lock:
            if self.leaving.is_set():
                self.remove_entry()

    def remove_entry(self) -> None:
        """Remove the entry if it is this one; the caller holds the lock."""
        with self.store.condition:
            found = self.store.objects.get(ENTRY_KIND, {}).get(self.name)
            if found is not None and found["spec"]["born"] == self.born:
                self.store.remove(ENTRY_KIND, self.name)

    def draw(self) -> float:
        """Return a random number from 0 to 1; the threads share it."""
        with self.lock:
            return self.generator.random()

    def serve(self, _backend, connection, request) -> bool:
        """Answer one request; return whether to keep the connection."""
        with self.lock:
            self.connections.add(connection)
        attempt = request.headers.get("verbenafall-attempt-id", "")
        expected = request.headers.get("verbenafall-expect-instance")
        if expected not in (None, self.name):
            return self.refuse(connection, attempt, 421)
        now = time.monotonic()
        self.records.add(
            records_lib.Arrival(attempt, self.name, self.born, now)
        )
        if now < self.paused_until:
            return self.turn_away(connection, attempt, self.paused_until - now)
        if self.draw() < REFUSE_SHARE:
            return self.refuse(connection, attempt, 503)
        prompt = request.headers.get("verbenafall-prompt-prefix", "")
        if request.target == clients_lib.DEADLY_TARGET:
            return self.crash("request", attempt)
        if clients_lib.DEADLY_PART in prompt:
            return self.crash("part", attempt)
        started = time.monotonic()
        first = int(request.headers.get("last-event-id", "-1")) + 1
        broken = self.draw() < BREAK_SHARE
        delivered = False
        with self.lock:
            self.open += 1
        try:
            if request.target.startswith(("/stream/", "/resumable/")):
                self.send_stream(connection, attempt, first, broken)
            else:
                time.sleep(WORK_SECONDS)
                if not broken:
                    connection.sendall(self.plain_answer(attempt))
            delivered = not broken
        finally:
            self.records.add(
                records_lib.Run(
                    attempt,
                    self.name,
                    request.target,
                    started,
                    first,
                    delivered,
                    broken or self.leaving.is_set(),
                )
            )
            with self.lock:
                self.open -= 1
        return delivered

    def crash(self, cause: str, attempt: str) -> bool:
        """End as the answer to a request begins."""
        time.sleep(WORK_SECONDS)
        if not self.leaving.is_set():
            self.records.add(
                records_lib.DeadlyCrash(
                    cause, attempt, self.name, time.monotonic()
                )
            )
            self.end()
            self.on_crash(self)
        return False

    def head(self, attempt: str, status: int, extra: str) -> bytes:
        """Encode the head of an answer."""
        return (
            f"HTTP/1.1 {status} X\r\nVerbenafall-Attempt-Id: {attempt}\r\n"
            f"{extra}\r\n"
        ).encode()

    def leaving_header(self, attempt: str) -> str:
        """Return the header that says that the endpoint leaves, if it does."""
        if not self.says_it_leaves:
            return ""
        self.state_in_answer(attempt, 0.0)
        return "Server-Leaving: 1\r\n"

    def state_in_answer(self, attempt: str, pause: float) -> None:
        """Record what an answer says of the endpoint."""
        self.records.add(
            records_lib.Statement(
                attempt, self.name, self.born, time.monotonic(), pause
            )
        )

    def turn_away(self, connection, attempt: str, pause: float) -> bool:
        """Answer that the endpoint wants no requests for some seconds."""
        self.state_in_answer(attempt, pause)
        extra = (
            "Verbenafall-Not-Executed: 1\r\nContent-Length: 0\r\n"
            f"Retry-After: {pause:.2f}\r\n"
        )
        connection.sendall(self.head(attempt, 503, extra))
        return True

    def refuse(self, connection, attempt: str, status: int) -> bool:
        """Answer that the request was not run."""
        connection.sendall(
            self.head(
                attempt,
                status,
                "Verbenafall-Not-Executed: 1\r\nContent-Length: 0\r\n",
            )
        )
        return True

    def plain_answer(self, attempt: str) -> bytes:
        """Encode an answer that is not a stream."""
        body = findings.expected_body(attempt)
        extra = (
            f"Verbenafall-Engine-Signature: {self.name}\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{self.leaving_header(attempt)}"
        )
        return self.head(attempt, 200, extra) + body

    def send_stream(
        self, connection, attempt: str, first: int, broken: bool
    ) -> None:
        """Send the events from a number on; break off in the middle if told."""
        extra = (
            f"Verbenafall-Engine-Signature: {self.name}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n"
            f"{self.leaving_header(attempt)}"
        )
        connection.sendall(self.head(attempt, 200, extra))
        count = findings.events_of(attempt)
        for number in range(first, count):
            if broken and number >= count // 2:
                return
            time.sleep(EVENT_SECONDS)
            connection.sendall(fakes.chunk(findings.event(attempt, number)))
        if not broken:
            connection.sendall(b"0\r\n\r\n")

    def drain(self) -> None:
        """Announce the end, wait, remove the entry and end."""
        self.announce("draining")
        time.sleep(DRAIN_SECONDS)
        self.end()
        with self.entry_lock:
            self.remove_entry()

    def end(self) -> None:
        """Stop listening and reset the connections."""
        self.leaving.set()
        self.backend.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
                connection.shutdown(socket.SHUT_RDWR)
