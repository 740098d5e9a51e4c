"""Case 10: a channel to an engine is reset within a long answer."""

import asyncio
import contextlib
import pathlib
import socket
import struct
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import deployment as lib  # noqa: E402

LENGTH_S = 20
ROUTES = {"/export/": {"kind": "plain", "work_s": 0.1, "repeat": 120_000}}
# `reset_conns` at its page's figures: one machine, half of its channels; four
# times in the day.
RESETS_AT_S = (4.0, 7.0, 10.0, 13.0)
RESET_SHARE = 0.5
PIECE = 65536
PIECE_S = 0.015


class Proxy:
    """Passes bytes between the gateways and an engine, at a steady pace."""

    def __init__(self, engine, port):
        self.engine = engine
        self.port = port
        self.open = set()
        self.resets = 0

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        try:
            there = await asyncio.open_connection("127.0.0.1", self.engine)
        except OSError:
            writer.transport.abort()
            return
        self.open.add(writer)
        copies = [
            asyncio.ensure_future(self.copy(reader, there[1], 0)),
            asyncio.ensure_future(self.copy(there[0], writer, PIECE_S)),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        self.open.discard(writer)
        for copy in copies:
            copy.cancel()
        writer.close()
        there[1].close()

    async def copy(self, reader, writer, pause):
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE):
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(pause)

    def reset_some(self):
        """Reset half of the channels that are open, the oldest first."""
        channels = list(self.open)
        for writer in channels[: max(1, int(RESET_SHARE * len(channels)))]:
            found = writer.get_extra_info("socket")
            if found is None:
                continue
            found.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
            self.resets += 1


async def trouble(proxy, start):
    for at in RESETS_AT_S:
        await asyncio.sleep(start + at - time.monotonic())
        proxy.reset_some()


async def load(deployment, start):
    tasks = []
    while time.monotonic() < start + LENGTH_S - 4:
        headers = {"Verbenafall-Key": "key-a", "Verbenafall-Deadline-Ms": 5000}
        tasks.append(
            asyncio.ensure_future(
                deployment.ask(
                    deployment.pick(), "GET", f"/export/{len(tasks)}", headers
                )
            )
        )
        await asyncio.sleep(0.07)
    await asyncio.gather(*tasks)


def judge(deployment):
    """Return the answers with bytes that are no answer in the protocol."""
    failures = []
    for answer in deployment.sent:
        stray = answer.get("stray")
        if stray is not None:
            failures.append(
                f"MIXED: {answer['request']} got 200 and then, after"
                f" {len(answer['body'])} bytes of its body, where a chunk is"
                f" due: {stray!r}"
            )
    return failures


def main():
    deployment = lib.Deployment(
        lib.configuration(
            [lib.route("export", "/export/", "idempotent", "reports")],
            ["reports"],
            [{"name": "tenant-a", "api-keys": ["key-a"]}],
        ),
        gateways=2,
        case=HERE,
    )
    proxies = []
    for number in range(1, 4):
        port = lib.free_port("127.0.0.1")
        engine = deployment.add_engine(
            f"i-000{number}",
            service="reports",
            routes=ROUTES,
            listed_port=port,
        )
        proxies.append(Proxy(engine.settings["port"], port))
    deployment.start()
    start = time.monotonic()

    async def play():
        for proxy in proxies:
            await proxy.start()
        parts = [load(deployment, start)]
        if lib.trouble():
            parts.append(trouble(proxies[0], start))
        await asyncio.gather(*parts)

    asyncio.run(play())
    failures = judge(deployment)
    text = (
        f"{len(deployment.sent)} requests,"
        f" {sum(item['complete'] for item in deployment.sent)} complete answers;"
        f" {proxies[0].resets} channels reset"
    )
    deployment.finish(1 if failures else 0, text, failures)


if __name__ == "__main__":
    main()
