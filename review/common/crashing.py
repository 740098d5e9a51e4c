"""Plays traffic in which some requests crash each engine that runs them."""

import itertools
import socket
import sys
import threading
import time
from typing import Any

from common import client as client_lib
from common import deployment as deployment_lib
from common import engine as engine_lib
from common import wire

GATEWAYS = 2
# An engine that has crashed is back after this time, under its id.
DOWN_SECONDS = 2.0
# Pause between two requests of each kind at each gateway.
SOUND_PAUSE_SECONDS = 0.06
DEADLY_PAUSE_SECONDS = 1.5
WARM_UP_SECONDS = 3.0
TRAFFIC_SECONDS = 45.0
DEADLINE_MS = 4000
# The bound `contact-ms`.
CONTACT_SECONDS = 3.0
MAX_ARRIVALS = 3
# Sound requests that the rule compares, at least, and the share of them.
MIN_COMPARED = 20
MIN_SHARE = 0.5


class Play:
    """One run; a case defines the requests and what the engines do.

    Attributes:
        engine_count: Number of engines.
        free_crashes: Crashes after which the rule counts arrivals.
        compares_sound: Whether the rule of sound requests applies.
        trouble: Whether deadly requests crash engines.
        crashes: Times of the crashes.
        arrivals: Times at which deadly requests reached engines.
        sound: Outcomes of the other requests.
        sound_sent: When the other requests were sent.
        begun: Attempts that an engine has begun to answer.
        deadly_from: When the first deadly request was sent.
        traffic_end: When the last request was sent.
    """

    engine_count = 4
    free_crashes = 5
    compares_sound = True
    service = "drafter"

    def __init__(self, trouble: bool, record: deployment_lib.Record) -> None:
        """Create the deployment and its engines; no gateway is started."""
        self.trouble = trouble
        self.record = record
        self.lock = threading.Lock()
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self.sound: list[client_lib.Outcome] = []
        self.sound_sent: dict[str, float] = {}
        self.begun: set[str] = set()
        self.deadly_from = self.traffic_end = 0.0
        self.numbers = itertools.count()
        self.ended = threading.Event()
        self.deployment = deployment_lib.Deployment(GATEWAYS, record)
        self.deployment.configure(7, [self.route()])
        # Each machine has an address of its own, so that no other channel can
        # take the port of an engine that is down.
        self.engines = [
            self.start_engine(number, (deployment_lib.free_host(), 0))
            for number in range(self.engine_count)
        ]

    # Defined by each case.

    def route(self) -> dict[str, Any]:
        """Return the route of all requests."""
        raise NotImplementedError

    def encode(self, attempt: str, number: int, deadly: bool) -> bytes:
        """Encode a request."""
        raise NotImplementedError

    def is_deadly(self, request: wire.Message) -> bool:
        """Return whether a request crashes engines."""
        raise NotImplementedError

    def run_request(
        self,
        engine: engine_lib.Engine,
        connection: wire.Connection,
        request: wire.Message,
        crash: bool,
    ) -> bool:
        """Answer a request, or crash; return whether to keep the channel."""
        raise NotImplementedError

    # Engines.

    def start_engine(
        self, number: int, address: tuple[str, int]
    ) -> engine_lib.Engine:
        """Start an engine and write its entry."""
        engine = engine_lib.Engine(
            f"i-{number}",
            self.service,
            self.deployment.store,
            self.serve,
            address,
        )
        engine.register()
        return engine

    def serve(
        self,
        engine: engine_lib.Engine,
        connection: wire.Connection,
        request: wire.Message,
    ) -> bool:
        """Serve one request of a channel."""
        deadly = self.is_deadly(request)
        attempt = request.headers["verbenafall-attempt-id"]
        if deadly:
            with self.lock:
                self.arrivals.append(time.monotonic())
            self.record.add(f"{engine.name} gets deadly {attempt}")
        else:
            with self.lock:
                self.begun.add(attempt)
        return self.run_request(
            engine, connection, request, deadly and self.trouble
        )

    def crash(self, engine: engine_lib.Engine) -> None:
        """Crash an engine, which is back later."""
        with self.lock:
            if engine.crashed:
                return
            engine.crashed = True
            number = self.engines.index(engine)
            self.crashes.append(time.monotonic())
        self.record.add(f"{engine.name} crashes")
        engine.crash()
        thread = threading.Thread(
            target=self.start_again, args=(engine, number), daemon=True
        )
        thread.start()

    def start_again(self, engine: engine_lib.Engine, number: int) -> None:
        """Start an engine again under its id and address."""
        if not self.ended.wait(DOWN_SECONDS):
            self.engines[number] = self.start_engine(number, engine.address)
            self.record.add(f"{engine.name} is back")

    # Clients.

    def send(self, gateway: deployment_lib.Gateway, deadly: bool) -> None:
        """Send one request on a new channel and record its outcome."""
        attempt = client_lib.new_attempt()
        data = self.encode(attempt, next(self.numbers), deadly)
        if not deadly:
            with self.lock:
                self.sound_sent[attempt] = time.monotonic()
        try:
            with socket.create_connection(gateway.front, 1) as sock:
                sock.settimeout(DEADLINE_MS / 1000 + 1)
                sock.sendall(data)
                outcome = client_lib.read_outcome(
                    wire.Connection(sock), attempt
                )
        except OSError:
            outcome = client_lib.Outcome(attempt, 0, {}, b"", False)
        kind = "deadly" if deadly else "sound"
        whole = "whole" if outcome.complete else "cut"
        self.record.add(
            f"{gateway.name} {kind} {attempt} ends {outcome.status} {whole}"
        )
        if not deadly:
            with self.lock:
                self.sound.append(outcome)

    def send_forever(
        self, gateway: deployment_lib.Gateway, pause: float, deadly: bool
    ) -> None:
        """Send requests at a steady rate until the traffic ends."""
        while not self.ended.wait(pause):
            threading.Thread(
                target=self.send, args=(gateway, deadly), daemon=True
            ).start()

    def start_clients(self, pause: float, deadly: bool) -> None:
        """Start to send requests to all gateways, one after the other."""
        for gateway in self.deployment.gateways:
            threading.Thread(
                target=self.send_forever,
                args=(gateway, pause, deadly),
                daemon=True,
            ).start()
            time.sleep(pause / GATEWAYS)

    # The run.

    def run(self) -> int:
        """Play the traffic; return 1 if the rule was broken, else 0."""
        try:
            self.deployment.start()
            time.sleep(1)
            self.start_clients(SOUND_PAUSE_SECONDS, False)
            time.sleep(WARM_UP_SECONDS)
            self.deadly_from = time.monotonic()
            self.start_clients(DEADLY_PAUSE_SECONDS, True)
            time.sleep(TRAFFIC_SECONDS)
            self.traffic_end = time.monotonic()
            self.ended.set()
            time.sleep(1)
        finally:
            self.ended.set()
            self.deployment.close()
        return self.judge()

    def share_begun(self, start: float, end: float) -> tuple[int, float]:
        """Return how many sound requests were sent, and the share begun."""
        sent = [a for a, at in self.sound_sent.items() if start <= at < end]
        begun = sum(attempt in self.begun for attempt in sent)
        return len(sent), begun / max(len(sent), 1)

    def judge(self) -> int:
        """Apply the rules to what clients and engines have seen."""
        late: list[float] = []
        starved = False
        text = f"{len(self.crashes)} crashes, {len(self.arrivals)} arrivals"
        if len(self.crashes) >= self.free_crashes:
            counted_from = self.crashes[self.free_crashes - 1]
            start = counted_from + CONTACT_SECONDS
            late = [at for at in self.arrivals if at > start]
            before = self.share_begun(0.0, self.deadly_from)
            during = self.share_begun(
                counted_from + 2 * CONTACT_SECONDS, self.traffic_end - 1
            )
            starved = (
                self.compares_sound
                and min(before[0], during[0]) >= MIN_COMPARED
                and during[1] < MIN_SHARE * before[1]
            )
            text += (
                f" of deadly requests, {len(late)} of them later than"
                f" {CONTACT_SECONDS:g} s after crash {self.free_crashes}"
                f" (allowed: {MAX_ARRIVALS}); {during[1]:.0%} of"
                f" {during[0]} sound requests begun from"
                f" {2 * CONTACT_SECONDS:g} s after it, {before[1]:.0%} of"
                f" {before[0]} before"
            )
        lost = sum(not (o.status == 200 and o.complete) for o in self.sound)
        text += (
            f"; {lost} of {len(self.sound)} sound requests were cut or not"
            " served"
        )
        if len(late) > MAX_ARRIVALS:
            text += "; BUDGET is broken"
        if starved:
            text += "; LOST is broken"
        self.record.add(text)
        sys.stdout.write(f"{text}\n")
        if lost == len(self.sound):
            raise deployment_lib.CannotRunError("nothing was served")
        return int(len(late) > MAX_ARRIVALS or starved)
