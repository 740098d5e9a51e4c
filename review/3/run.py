"""A part of a prompt crashes engines; seventeen shared parts precede it."""

import os
import pathlib
import sys
import time
from typing import Any

from common import case
from common import crashing
from common import deployment as deployment_lib
from common import engine as engine_lib
from common import wire

DEADLY_PART = "dead0001"
# Shared parts of all prompts: the turns of one conversation, as an example.
SHARED_PARTS = int(os.environ.get("PARTS", "17"))
EVENTS = 6
EVENT_SECONDS = 0.04


class DeepPart(crashing.Play):
    """Streams of one caller; some have a deadly part as last shared one."""

    def route(self) -> dict[str, Any]:
        """Return the route of all streams."""
        return deployment_lib.route(
            "draft",
            "streaming",
            self.service,
            crashing.DEADLINE_MS,
            **{
                "max-attempts": 2,
                "stream-resume": True,
                "sticky-sessions": True,
                "itl-target-ms": 120,
            },
        )

    def encode(self, attempt: str, number: int, deadly: bool) -> bytes:
        """Encode a request; sound ones have another last shared part."""
        parts = [f"c0de{index:04x}:40" for index in range(SHARED_PARTS)]
        parts.append(f"{DEADLY_PART if deadly else '50c0aaaa'}:200")
        parts.append(f"{attempt}:30")
        body = f"{number:08d}".encode()
        return (
            wire.head(
                "POST /draft/x HTTP/1.1",
                {
                    "Host": deployment_lib.HOST,
                    "Verbenafall-Attempt-Id": attempt,
                    "Verbenafall-Model": "m",
                    "Verbenafall-Token-Counts": f"{SHARED_PARTS * 40 + 230},24",
                    "Verbenafall-Prompt-Prefix": ",".join(parts),
                    "Verbenafall-Deadline-Ms": str(crashing.DEADLINE_MS),
                    "Verbenafall-Key": deployment_lib.KEY,
                    "Content-Length": str(len(body)),
                },
            )
            + body
        )

    def is_deadly(self, request: wire.Message) -> bool:
        """Return whether a prompt has the deadly part."""
        return DEADLY_PART in request.headers["verbenafall-prompt-prefix"]

    def run_request(
        self,
        engine: engine_lib.Engine,
        connection: wire.Connection,
        request: wire.Message,
        crash: bool,
    ) -> bool:
        """Write a stream, or crash before its first byte."""
        time.sleep(EVENT_SECONDS)
        if crash:
            self.crash(engine)
            return False
        attempt = request.headers["verbenafall-attempt-id"]
        connection.sock.sendall(
            wire.head(
                "HTTP/1.1 200 OK",
                {
                    "Verbenafall-Attempt-Id": attempt,
                    "Verbenafall-Engine-Signature": f"{engine.name}.{attempt}",
                    "Content-Type": "text/event-stream",
                    "Transfer-Encoding": "chunked",
                },
            )
        )
        first = int(request.headers.get("last-event-id", "-1")) + 1
        for number in range(first, EVENTS):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            connection.sock.sendall(wire.chunk(event))
            time.sleep(EVENT_SECONDS)
        connection.sock.sendall(wire.chunk(b""))
        return True


if __name__ == "__main__":
    FOLDER = pathlib.Path(__file__).resolve().parent
    sys.exit(
        case.main(
            lambda trouble, record: DeepPart(trouble, record).run(), FOLDER
        )
    )
