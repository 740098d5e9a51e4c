"""Clients of the soak: they keep connections open and repeat as told."""

import contextlib
import random
import socket
import threading
import time

from forwarding import forwarding_fakes as fakes
from platform_adapter.soak import gateways as gateways_lib
from platform_adapter.soak import records as records_lib

HOST = "soak.example"
KEY = "soak-key"
KEEP_SHARE = 0.8
LEAVE_SHARE = 0.03
PAUSE_SECONDS = 0.05
# Parts that requests share; the deadly one crashes each endpoint.
SOUND_PARTS = ("a1", "b2", "c3", "d4", "e5")
DEADLY_PART = "dead"
# Target of the request that crashes each endpoint whatever its parts.
DEADLY_TARGET = records_lib.RequestKind.LOOKUP + "deadly"
LIMIT_SECONDS = {True: 4.0, False: 2.0}
KINDS = tuple(records_lib.RequestKind)


class Client:
    """A client that sends one request at a time on kept connections."""

    def __init__(
        self,
        name: str,
        balancer: gateways_lib.Balancer,
        records: records_lib.Records,
        generator: random.Random,
        stopped: threading.Event,
        deadly: records_lib.DeadlyShares = records_lib.NOTHING_DEADLY,
    ) -> None:
        """Create a client that is not yet running."""
        self.deadly = deadly
        # Of its own, so that the share changes no other draw.
        self.parts_generator = random.Random(name)
        self.name = name
        self.balancer = balancer
        self.records = records
        self.generator = generator
        self.stopped = stopped
        self.connection: socket.socket | None = None
        self.gateway = ""
        self.sent = 0
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Send requests until stopped."""
        while not self.stopped.is_set():
            kind = self.generator.choice(KINDS)
            status, retry_after = self.request(kind)
            if status == 503:
                self.stopped.wait(min(retry_after, 1.0))
                self.request(kind)
            self.stopped.wait(self.generator.uniform(0, PAUSE_SECONDS))
        self.drop()

    def drop(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def connect(self) -> None:
        """Use the kept connection or open one to a gateway."""
        if self.connection is not None:
            if self.generator.random() < KEEP_SHARE:
                return
            self.drop()
        gateway = self.balancer.choose()
        self.gateway = gateway.lifetime
        address = (gateway.client.host, gateway.client.port)
        self.connection = socket.create_connection(address, 1.0)

    def draw_prompt(self, attempt: str) -> str:
        """Return the parts of a prompt."""
        parts = [self.parts_generator.choice(SOUND_PARTS)]
        if self.parts_generator.random() < self.deadly.part:
            parts.append(DEADLY_PART)
        return ",".join(f"{part}:40" for part in (*parts, f"own-{attempt}"))

    def draw_request(
        self, kind: records_lib.RequestKind, attempt: str
    ) -> tuple[str, str]:
        """Return the target and the prompt of a request."""
        if self.deadly.request and (
            self.parts_generator.random() < self.deadly.request
        ):
            return DEADLY_TARGET, "own:40"
        return kind + attempt, self.draw_prompt(attempt)

    def request(self, kind: records_lib.RequestKind) -> tuple[int, float]:
        """Send one attempt; return its status and the time to come back."""
        try:
            self.connect()
        except OSError:
            return 0, 0.0
        assert self.connection is not None
        limit = LIMIT_SECONDS[kind.streaming]
        self.sent += 1
        attempt = f"{self.name}-{self.sent}"
        target, prompt = self.draw_request(kind, attempt)
        leaves = self.generator.random() < LEAVE_SHARE
        self.connection.settimeout(0.1 if leaves else limit + 1.0)
        answer = fakes.ClientAnswer(0, {}, b"", False)
        sent_at = time.monotonic()
        left = False
        try:
            self.connection.sendall(
                fakes.request_bytes(
                    target,
                    host=HOST,
                    attempt=attempt,
                    Verbenafall_Attempt_Id=attempt,
                    Verbenafall_Deadline_Ms=str(int(limit * 1000)),
                    Verbenafall_Key=KEY,
                    Verbenafall_Prompt_Prefix=prompt,
                )
            )
            answer = fakes.read_answer(self.connection)
        except TimeoutError:
            left = True
        except (OSError, ValueError, IndexError):
            left = False
        self.records.add(
            records_lib.Attempt(
                attempt,
                kind,
                self.gateway,
                sent_at,
                time.monotonic(),
                sent_at + limit,
                answer.status,
                answer.complete,
                answer.body,
                answer.headers.get("verbenafall-engine-signature", ""),
                left or leaves,
            )
        )
        if not answer.complete or answer.headers.get("connection") == "close":
            self.drop()
        retry_after = 0.0
        with contextlib.suppress(ValueError):
            retry_after = float(answer.headers.get("retry-after", "0"))
        return answer.status, retry_after
