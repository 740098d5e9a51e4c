"""Case 10: a deadly request makes engines go dark instead of closing channels."""

import asyncio
import os
import pathlib
import random
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import deployment as lib  # noqa: E402

# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 80
ENGINES = 4
DEADLY_FROM_S, DEADLY_EVERY_S = 4.0, 5.0
BACK_AFTER_S = 3.0
DEADLY = {"target": "/draft/n1", "body": "an order that no engine survives"}
ROUTES = {
    "/draft/": {
        "kind": "stream",
        "work_s": 0.1,
        "gap_s": 0.05,
        "events": [8, 16],
    },
    "/book/": {"kind": "plain", "work_s": 0.4},
}
# "in more than three retries" breaks the rule.
MAX_RETRIES = 3


def headers_of(own):
    return {
        "Verbenafall-Key": "key-a",
        "Verbenafall-Deadline-Ms": 8000,
        "Verbenafall-Model": "m",
        "Verbenafall-Token-Counts": "714,80",
        "Verbenafall-Prompt-Prefix": f"5c1e07a2:40,{own}:674",
    }


async def sound_load(deployment, start):
    tasks = []
    number = 0
    while time.monotonic() < start + LENGTH_S - 4:
        number += 1
        own = f"{random.getrandbits(32):08x}"
        route = "book" if number % 2 else "draft"
        tasks.append(
            asyncio.ensure_future(
                deployment.ask(
                    deployment.pick(),
                    "POST",
                    f"/{route}/s{number}",
                    headers_of(own),
                    f"sound {number}".encode(),
                    tag="sound",
                )
            )
        )
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)


async def deadly_load(deployment, start):
    at = start + DEADLY_FROM_S
    tasks = []
    while at < start + LENGTH_S - 9:
        await asyncio.sleep(at - time.monotonic())
        tasks.append(
            asyncio.ensure_future(
                deployment.ask(
                    deployment.pick(),
                    "POST",
                    DEADLY["target"],
                    headers_of("e4402b7d"),
                    DEADLY["body"].encode(),
                    tag="deadly",
                )
            )
        )
        at += DEADLY_EVERY_S
    await asyncio.gather(*tasks)


class DarkProxy:
    """The network before an engine's machine: silent while that has no power.

    Channels that were open stay without a byte or an end, as their peer is
    gone; new ones get no answer until the machine is back.
    """

    def __init__(self, engine, port):
        self.engine = engine
        self.dark = False
        self.kept = []
        self.fill = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(1)
        self.listener.setblocking(False)
        self.port = port
        self.accepting = None
        self.tasks = set()

    def start(self, work):
        """Start a task and keep it from being collected."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def light_up(self):
        """Accept channels, dropping those that came while it was dark."""
        self.dark = False
        for channel in self.fill:
            channel.close()
        self.fill.clear()
        while True:
            try:
                self.listener.accept()[0].close()
            except BlockingIOError:
                break
        self.accepting = self.start(self.accept())

    def go_dark(self):
        """Let every channel hang, and no new one be established."""
        if self.dark:
            return
        self.dark = True
        self.accepting.cancel()
        for _ in range(4):  # A full queue drops the opening packets.
            channel = socket.socket()
            channel.setblocking(False)
            channel.connect_ex(("127.0.0.1", self.port))
            self.fill.append(channel)

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            channel, _ = await loop.sock_accept(self.listener)
            self.start(self.serve(channel))

    async def serve(self, channel):
        reader, writer = await asyncio.open_connection(sock=channel)
        try:
            there = await asyncio.open_connection("127.0.0.1", self.engine)
        except OSError:
            self.kept.append(writer)
            self.go_dark()
            return
        copies = [
            self.start(copy(reader, there[1])),
            self.start(copy(there[0], writer)),
        ]
        done, _ = await asyncio.wait(
            copies, return_when=asyncio.FIRST_COMPLETED
        )
        if copies[1] in done:  # Only a crash makes the engine close a channel.
            self.kept.append(writer)
            self.go_dark()
            return
        for item in copies:
            item.cancel()
        writer.close()
        there[1].close()


async def copy(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        return


async def supervise(deployment, proxies, start):
    """Start engines again some seconds after they have ended."""
    ended = {}
    while time.monotonic() < start + LENGTH_S:
        await asyncio.sleep(0.05)
        now = time.monotonic()
        for engine in deployment.engines.values():
            if engine.has_ended():
                proxies[engine.id].go_dark()
                at = ended.setdefault(engine.id, now)
                if now - at >= BACK_AFTER_S:
                    engine.start()
            elif engine.id in ended and is_listening(engine):
                del ended[engine.id]
                proxies[engine.id].light_up()


def is_listening(engine):
    with socket.socket() as channel:
        return not channel.connect_ex(("127.0.0.1", engine.settings["port"]))


def judge(deployment):
    lines = deployment.engine_lines()
    deadly = {
        item["request"] for item in deployment.sent if item["tag"] == "deadly"
    }
    crashes = [line["at"] for line in lines if line["what"] == "crashes"]
    arrivals = [
        line
        for line in lines
        if line["what"] == "arrives" and line["request"] in deadly
    ]
    text = f"{len(crashes)} crashes, {len(arrivals)} arrivals of the request"
    if len(crashes) < 3:
        return text, []
    since = crashes[2] + lib.BOUNDS["contact_s"]
    late = [line for line in arrivals if line["at"] > since]
    if len(late) <= MAX_RETRIES:
        return text, []
    cut = [
        item
        for item in deployment.sent
        if item["tag"] == "sound"
        and item["status"] != 503
        and not (item["status"] == 200 and item["complete"])
    ]
    return text, [
        f"BUDGET: {len(late)} arrivals later than 3 s after the third crash;"
        f" {len([at for at in crashes if at > since])} more crashes;"
        f" {len(cut)} sound requests that were taken failed"
    ]


def main():
    deployment = lib.Deployment(
        lib.configuration(
            [
                lib.route(
                    "draft",
                    "/draft/",
                    "streaming",
                    "writer",
                    **{"stream-resume": True, "itl-target-ms": 120},
                ),
                lib.route("book", "/book/", "non_idempotent", "writer"),
            ],
            ["writer"],
            [{"name": "tenant-a", "api-keys": ["key-a"]}],
        ),
        gateways=2,
        case=HERE,
    )
    proxies = {}
    for number in range(1, ENGINES + 1):
        port = lib.free_port("127.0.0.1")
        engine = deployment.add_engine(
            f"i-000{number}",
            service="writer",
            routes=ROUTES,
            listed_port=port,
            deadly=DEADLY if TROUBLE else None,
        )
        proxies[engine.id] = DarkProxy(engine.settings["port"], port)
    deployment.start()
    start = time.monotonic()

    async def play():
        for proxy in proxies.values():
            proxy.light_up()
        await asyncio.gather(
            sound_load(deployment, start),
            deadly_load(deployment, start),
            supervise(deployment, proxies, start),
        )

    asyncio.run(play())
    text, failures = judge(deployment)
    text = f"{len(deployment.sent)} requests; {text}"
    deployment.finish(1 if failures else 0, text, failures)


if __name__ == "__main__":
    main()
