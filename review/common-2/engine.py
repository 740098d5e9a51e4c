"""A stand-in for one engine of the platform, as a process of its own.

    engine.py SETTINGS

SETTINGS is a JSON file. The engine reports itself to the store stand-in,
serves requests with slots and a queue, and writes one JSON line for each
arrival, run, end and crash to the file `record`.

SIGUSR1 makes it leave: it reports `draining`, says so in its answers, serves on
for `drain_s` and exits, whatever is under way.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import signal
import sys
import threading
import time
import urllib.request

CRLF = b"\r\n"


class Engine:
    """One engine: requests in, answers out."""

    def __init__(self, settings):
        self.settings = settings
        self.id = settings["id"]
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.running = 0
        self.waiting = []
        self.leaving = False
        self.sequence = 0
        self.server = None
        self.record = open(settings["record"], "a", encoding="utf-8")  # noqa: SIM115

    def note(self, what, **fields):
        """Write a line of the record, in one write."""
        line = {"at": time.monotonic(), "engine": self.id, "what": what}
        self.record.write(json.dumps(line | fields) + "\n")
        self.record.flush()

    # Registration in the store.

    def entry(self):
        settings = self.settings
        self.sequence += 1
        entry = {
            "service": settings["service"],
            "address": f"{settings['host']}:"
            f"{settings.get('listed_port', settings['port'])}",
            "zone": settings["zone"],
            "version": "v1",
            "slots": settings["slots"],
            "state": "draining" if self.leaving else "ready",
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
        }
        if settings.get("born", True):
            entry["born"] = self.born
        return entry

    def report(self):
        """Write the entry once; what the store doesn't take is written later."""
        request = urllib.request.Request(
            f"{self.settings['store']}/engines/{self.id}",
            json.dumps(self.entry()).encode(),
            method="PUT",
        )
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        try:
            opener.open(request, timeout=1).read()
        except OSError:
            return

    def report_forever(self):
        time.sleep(self.settings.get("first_report_s", 0))
        while True:
            self.report()
            time.sleep(self.settings["heartbeat_s"])

    def leave(self):
        if self.leaving:
            return
        self.leaving = True
        self.note("leaves")
        threading.Thread(target=self.report, daemon=True).start()
        asyncio.get_running_loop().call_later(
            self.settings["drain_s"], self.exit
        )

    def exit(self):
        """End whatever is under way; nothing listens any more by then."""
        self.server.close()
        self.note("exits", running=self.running)
        asyncio.get_running_loop().call_later(0.1, os._exit, 0)

    # Requests.

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(CRLF + CRLF)
        arrived = time.monotonic()
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, found, value = line.partition(":")
            if found:
                headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
        if target == self.settings.get("health", "/health"):
            status = 503 if self.leaving else 200
            await self.answer(writer, status, headers, b"", [])
            return True
        request = headers.get("verbenafall-attempt-id", "")
        self.note(
            "arrives",
            request=request,
            method=method,
            target=target,
            tenant=headers.get("verbenafall-tenant"),
            digest=hashlib.sha256(body).hexdigest()[:16],
            received=arrived,
        )
        expected = headers.get("verbenafall-expect-instance")
        if expected not in (None, self.id):
            await self.reject(writer, 421, headers, [])
            return True
        pause = self.settings.get("pause_s", 0)
        left = pause - (arrived - self.started)
        if left > 0:
            await self.reject(
                writer, 503, headers, [("Retry-After", f"{left:.1f}")]
            )
            return True
        work = asyncio.ensure_future(
            self.take(writer, request, target, headers, body)
        )
        while not work.done():
            await asyncio.wait({work}, timeout=0.02)
            if reader.at_eof() and not work.done():
                work.cancel()
                self.note("dropped", request=request)
                return False
        return work.result()

    async def take(self, writer, request, target, headers, body):
        """Wait for a slot and run a request; return whether to go on."""
        if not await self.take_slot():
            await self.reject(writer, 503, headers, [])
            return True
        try:
            return await self.work(writer, request, target, headers, body)
        finally:
            self.free_slot()

    async def take_slot(self):
        if self.running < self.settings["slots"]:
            self.running += 1
            return True
        if len(self.waiting) >= self.settings["queue"]:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def free_slot(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def is_deadly(self, target, headers, body):
        """Return whether a request crashes each engine that begins it."""
        deadly = self.settings.get("deadly")
        if deadly is None:
            return False
        if "part" in deadly:
            prefix = headers.get("verbenafall-prompt-prefix", "")
            return deadly["part"] in [
                item.partition(":")[0] for item in prefix.split(",")[:-1]
            ]
        return (
            target == deadly["target"]
            and body.decode("latin-1") == deadly["body"]
        )

    def crash(self, request):
        self.note("crashes", request=request, running=self.running)
        os.kill(os.getpid(), signal.SIGKILL)

    def is_unframed(self, request, route):
        """Return whether an answer ends with its channel, without a length."""
        if route.get("framing") != "close":
            return False
        draw = int(hashlib.sha256(request.encode()).hexdigest()[8:16], 16)
        return draw / 2**32 < self.settings.get("unframed_share", 1.0)

    async def work(self, writer, request, target, headers, body):
        """Run a request and write its answer; return whether to go on."""
        prefix = "/" + target.split("/")[1] + "/"
        route = self.settings["routes"][prefix]
        self.note("runs", request=request, target=target)
        unframed = self.is_unframed(request, route)
        deadly = self.is_deadly(target, headers, body)
        if deadly and not route.get("crash_after_events"):
            await asyncio.sleep(route["work_s"])
            self.crash(request)
        if route["kind"] == "stream":
            await self.stream(writer, request, headers, route, deadly)
        else:
            await asyncio.sleep(route["work_s"])
            text = f"{self.id} {request} ".encode() * route.get("repeat", 20)
            if unframed:
                writer.write(self.head(200, headers, [], None))
                for start in range(0, len(text), 64):
                    writer.write(text[start : start + 64])
                    await writer.drain()
                    await asyncio.sleep(route.get("gap_s", 0))
                self.note("done", request=request, bytes=len(text))
            else:
                self.note("done", request=request, bytes=len(text))
                await self.answer(writer, 200, headers, text, [])
        return not unframed

    async def stream(self, writer, request, headers, route, deadly):
        """Write events; with an `id` and how many there are in all.

        With a deadly request the engine crashes once it has begun to write.
        """
        first = int(headers.get("last-event-id") or 0) + 1
        seed = int(hashlib.sha256(request.encode()).hexdigest()[:8], 16)
        low, high = route["events"]
        last = low + seed % (high - low + 1)
        close = self.is_unframed(request, route)
        extra = [("Content-Type", "text/event-stream")]
        await asyncio.sleep(route["work_s"])
        length = None if close else "chunked"
        writer.write(self.head(200, headers, extra, length))
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: {number} of {last} {request}\n\n"
            data = event.encode()
            if not close:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
            if number < last:
                await asyncio.sleep(route["gap_s"])
            if deadly and number - first + 1 == route["crash_after_events"]:
                self.crash(request)
        if not close:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.note("done", request=request, events=last)

    def head(self, status, headers, extra, length):
        """Return a head; length None says nothing of where the body ends."""
        reason = {200: "OK", 421: "Misdirected Request", 503: "Unavailable"}
        lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
        if "verbenafall-attempt-id" in headers:
            name = headers["verbenafall-attempt-id"]
            lines.append(f"Verbenafall-Attempt-Id: {name}")
        if status == 200:
            lines.append(f"Verbenafall-Engine-Signature: {self.id}.1")
        if self.leaving:
            lines.append("Server-Leaving: 1")
        if self.settings.get("limit") is not None:
            lines.append(f"Server-Limit: {self.settings['limit']}")
        lines += [f"{name}: {value}" for name, value in extra]
        if length is None:
            lines.append("Connection: close")
        elif length == "chunked":
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def answer(self, writer, status, headers, body, extra):
        writer.write(self.head(status, headers, extra, len(body)) + body)
        await writer.drain()

    async def reject(self, writer, status, headers, extra):
        """Answer that the request has not run."""
        self.note(
            "rejects",
            request=headers.get("verbenafall-attempt-id", ""),
            status=status,
        )
        extra = [
            ("Verbenafall-Not-Executed", "1"),
            ("Verbenafall-Instance-Id", self.id),
            *extra,
        ]
        await asyncio.sleep(self.settings.get("reject_s", 0))
        await self.answer(writer, status, headers, b"", extra)


async def main():
    settings = json.loads(pathlib.Path(sys.argv[1]).read_text())
    engine = Engine(settings)
    engine.server = await asyncio.start_server(
        engine.serve, settings["host"], settings["port"], backlog=512
    )
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, engine.leave)
    engine.note("starts", born=engine.born)
    threading.Thread(target=engine.report_forever, daemon=True).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
