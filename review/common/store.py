"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

from collections.abc import Callable
from http import server
import json
import threading
import time
from typing import Any
import urllib.parse

PAGE_SIZE = 500


class Store:
    """Objects by kind and name with one revision counter.

    Attributes:
        url: Address of the store, as host:port.
    """

    def __init__(self) -> None:
        """Start to serve on a free loopback port."""
        self.changed = threading.Condition()
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.log: list[tuple[int, str, dict[str, Any], bool]] = []
        standin = self

        class Handler(server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_call(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or "null")
                status, content = standin.call(self.command, self.path, body)
                data = json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = handle_call  # noqa: N815

            def log_message(self, *_args: Any) -> None:
                """Write no log."""

        class Server(server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_args: Any) -> None:
                """Callers may end at any time."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.url = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(
            target=self.server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or an engine does."""
        with self.changed:
            self.write(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        with self.changed:
            found = self.objects.get(kind, {}).pop(name, None)
            if found is None:
                return
            self.revision += 1
            metadata = {**found["metadata"], "revision": self.revision}
            self.log.append(
                (self.revision, kind, {**found, "metadata": metadata}, True)
            )
            self.changed.notify_all()

    def write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Store an object unless it is unchanged; the caller has the lock."""
        known = self.objects.get(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        now = time.time_ns() // 1_000_000
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else now,
                "finalizers": [],
                "deletion-pending": False,
            },
            "spec": spec,
            "status": {},
        }
        self.objects.setdefault(kind, {})[name] = stored
        self.log.append((self.revision, kind, stored, False))
        self.changed.notify_all()
        return stored

    def call(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Serve one call; return status and content."""
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        words = [urllib.parse.unquote(w) for w in parts.path.split("/")[3:]]
        if not parts.path.startswith("/api/objects/") or not words:
            return 404, {"error": "no such call"}
        with self.changed:
            if len(words) == 1:
                if method == "POST":
                    return self.create(words[0], body)
                return self.read_kind(words[0], query)
            return self.serve_object(method, words[0], words[1], body, query)

    def read_kind(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        """List a kind, or wait for its changes."""
        if "watch" in query:
            since = int(query["watch"])
            if since > self.revision:
                return 410, {"error": "unknown revision"}
            self.wait_for(
                lambda: self.changes(kind, since),
                int(query.get("wait-ms", "0")) / 1000,
            )
            return 200, {
                "events": self.changes(kind, since),
                "as-of": self.revision,
            }
        names = sorted(self.objects.get(kind, {}))
        names = [name for name in names if name > query.get("after", "")]
        return 200, {
            "items": [self.objects[kind][n] for n in names[:PAGE_SIZE]],
            "has-more": len(names) > PAGE_SIZE,
            "as-of": self.revision,
        }

    def wait_for(self, ready: Callable[[], Any], seconds: float) -> None:
        """Wait until something is ready, for some seconds at most."""
        end = time.monotonic() + seconds
        while not ready() and time.monotonic() < end:
            self.changed.wait(max(0.0, end - time.monotonic()))

    def changes(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Return the events of a kind after a revision."""
        return [
            {"object": stored, "removed": removed}
            for revision, changed, stored, removed in self.log
            if changed == kind and revision > since
        ]

    def create(self, kind: str, body: Any) -> tuple[int, Any]:
        """Create an object that does not exist yet."""
        name = body["metadata"]["name"]
        found = self.objects.get(kind, {}).get(name)
        if found is not None:
            return 409, found
        return 200, self.write(kind, name, body.get("spec"))

    def serve_object(
        self,
        method: str,
        kind: str,
        name: str,
        body: Any,
        query: dict[str, str],
    ) -> tuple[int, Any]:
        """Read, replace or delete one object."""
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return 404, {"error": "no such object"}
        if method == "GET":
            return 200, found
        expected = (body or {}).get("metadata", {}).get("revision")
        expected = expected or query.get("revision")
        if expected and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.write(kind, name, body.get("spec"))

    def close(self) -> None:
        """Stop to serve."""
        self.server.shutdown()
        self.server.server_close()
