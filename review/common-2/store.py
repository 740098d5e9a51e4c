"""A stand-in for the platform's store: objects by kind, lists and watches.

Engines report to /engines/ID, which stands for their own way to the store; an
entry goes after three intervals without a report.
"""

import http.server
import json
import threading
import time
import urllib.parse

PAGE = 500


class Store:
    """The store, served on a free port of 127.0.0.1."""

    def __init__(self, heartbeat_s):
        self.heartbeat_s = heartbeat_s
        self.condition = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.log = []
        self.reported = {}
        self.cut_engines = set()
        self.changes = []
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"null")
                status, content = store.call(self.command, self.path, body)
                data = json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", "1")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = serve  # noqa: N815

            def log_message(self, *args):
                del args

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                """Ignore callers that closed their channel."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        for target in (self.server.serve_forever, self.lapse):
            threading.Thread(target=target, daemon=True).start()

    def lapse(self):
        """Remove the entries of silent engines."""
        while True:
            time.sleep(0.1)
            with self.condition:
                now = time.monotonic()
                for name, at in list(self.reported.items()):
                    if now - at > 3 * self.heartbeat_s:
                        del self.reported[name]
                        self.remove("servers", name)

    def put(self, kind, name, spec):
        """Write an object as the operator does."""
        with self.condition:
            return self.write(kind, name, spec)

    def write(self, kind, name, spec):
        self.revision += 1
        found = self.objects.setdefault(kind, {}).get(name)
        created = found["metadata"]["created"] if found else self.revision
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deletion-pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = stored
        self.append(kind, stored, False)
        return stored

    def remove(self, kind, name):
        self.revision += 1
        found = self.objects[kind].pop(name)
        metadata = found["metadata"] | {"revision": self.revision}
        self.append(kind, found | {"metadata": metadata}, True)

    def append(self, kind, stored, removed):
        self.log.append((self.revision, kind, stored, removed))
        self.changes.append(
            (time.monotonic(), kind, stored["metadata"]["name"], removed)
        )
        self.condition.notify_all()

    def call(self, method, path, body):
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = [
            urllib.parse.unquote(item)
            for item in parts.path.strip("/").split("/")
        ]
        with self.condition:
            if names[0] == "engines":
                return self.take_report(names[1], body)
            names = names[2:]
            if method == "GET" and len(names) == 1:
                return self.read_kind(names[0], query)
            if method == "POST":
                return self.create(names[0], body)
            return self.handle(method, names[0], names[1], body, query)

    def take_report(self, name, spec):
        """Take an engine's report; one that is cut off gets no answer."""
        if name in self.cut_engines:
            return 503, {}
        self.reported[name] = time.monotonic()
        found = self.objects.get("servers", {}).get(name)
        if found is None or found["spec"] | {"sequence": 0} != spec | {
            "sequence": 0
        }:
            self.write("servers", name, spec)
        return 200, {}

    def read_kind(self, kind, query):
        if "watch" in query:
            since = int(query["watch"])
            self.condition.wait_for(
                lambda: self.since(kind, since),
                int(query.get("wait-ms", 0)) / 1000,
            )
            return 200, {
                "events": self.since(kind, since),
                "as-of": self.revision,
            }
        names = sorted(self.objects.get(kind, {}))
        names = [name for name in names if name > query.get("after", "")]
        return 200, {
            "items": [self.objects[kind][name] for name in names[:PAGE]],
            "has-more": len(names) > PAGE,
            "as-of": self.revision,
        }

    def since(self, kind, revision):
        return [
            {"object": stored, "removed": removed}
            for number, changed, stored, removed in self.log
            if changed == kind and number > revision
        ]

    def create(self, kind, body):
        name = body["metadata"]["name"]
        found = self.objects.get(kind, {}).get(name)
        if found is not None:
            return 409, found
        return 200, self.write(kind, name, body["spec"])

    def handle(self, method, kind, name, body, query):
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return 404, {}
        if method == "GET":
            return 200, found
        expected = (body["metadata"] if body else query).get("revision")
        if expected and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if body["spec"] == found["spec"]:
            return 200, found
        return 200, self.write(kind, name, body["spec"])
