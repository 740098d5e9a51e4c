"""A stand-in for the platform's store, on a real socket."""

from http import server
import json
import threading
import urllib.parse

PAGE_SIZE = 2
ERA_HEADER = "Store-Era"


class Raw:
    """Text of a value that the JSON encoder would not write."""

    def __init__(self, text):
        self.text = text


def encode(content):
    """Encode a response, with raw values as they are."""
    values = []

    def replace(value):
        values.append(value.text)
        return f"raw value {len(values) - 1}"

    data = json.dumps(content, default=replace).encode()
    for number, text in enumerate(values):
        data = data.replace(f'"raw value {number}"'.encode(), text, 1)
    return data


class StandinStore:
    """Stores objects by kind and name, with one revision counter.

    Attributes:
        log: All changes, as (revision, kind, object, removed).
        next_statuses: Statuses of the next calls, which have no effect.
        drop_next_response: Whether the next call takes effect without a
            response.
        oldest: Watches after an earlier revision get the status 410.
        era: Stated in all responses; grows with each restore.
        stated_eras: Header values of the next responses, in place of the era;
            None for a response without the header.
    """

    def __init__(self):
        self.condition = threading.Condition()
        self.revision = 10
        self.objects = {}
        self.log = []
        self.next_statuses = []
        self.drop_next_response = False
        self.oldest = 0
        self.era = 1
        self.stated_eras = []
        self.calls = []
        standin = self

        class Handler(server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or "null")
                status, content, era = standin.handle_call(
                    self.command, self.path, body
                )
                if standin.drop_next_response:
                    standin.drop_next_response = False
                    self.close_connection = True
                    return
                data = encode(content)
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                if era is not None:
                    self.send_header(ERA_HEADER, era)
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = handle_call  # noqa: N815

            def log_message(self, *args):
                del args

        self.server = server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.url = f"http://127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def put(self, kind, name, spec):
        """Write an object as the operator or an engine would."""
        with self.condition:
            return self.store(kind, name, spec)

    def remove(self, kind, name):
        with self.condition:
            self.revision += 1
            found = self.objects[kind].pop(name)
            metadata = found["metadata"] | {"revision": self.revision}
            removed = found | {"metadata": metadata}
            self.log.append((self.revision, kind, removed, True))
            self.condition.notify_all()

    def restore(self, changes):
        """Return to the state before the latest changes, in a new era.

        Their revisions are given out again. Waiting watches go on.
        """
        with self.condition:
            kept = max(0, len(self.log) - changes)
            self.revision -= len(self.log) - kept
            self.oldest = min(self.oldest, self.revision)
            self.log = self.log[:kept]
            self.objects = {}
            for _, kind, stored, removed in self.log:
                name = stored["metadata"]["name"]
                if removed:
                    del self.objects[kind][name]
                else:
                    self.objects.setdefault(kind, {})[name] = stored
            self.era += 1

    def store(self, kind, name, spec):
        self.revision += 1
        stored = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self.log.append((self.revision, kind, stored, False))
        self.condition.notify_all()
        return stored

    def handle_call(self, method, path, body):
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        segments = [
            urllib.parse.unquote(segment)
            for segment in parts.path.split("/")[3:]
        ]
        with self.condition:
            self.calls.append((method, parts.path, query))
            status, content = self.serve(method, segments, body, query)
            stated = self.stated_eras.pop(0) if self.stated_eras else self.era
            return status, content, stated

    def serve(self, method, segments, body, query):
        if self.next_statuses:
            return self.next_statuses.pop(0), {}
        if method == "GET" and len(segments) == 1:
            return self.read_kind(segments[0], query)
        if method == "POST":
            return self.create(segments[0], body)
        return self.handle_object(method, *segments[:2], body, query)

    def read_kind(self, kind, query):
        if "watch" in query:
            return self.watch(kind, int(query["watch"]), query)
        names = sorted(self.objects.get(kind, {}))
        names = [name for name in names if name > query.get("after", "")]
        return 200, {
            "items": [self.objects[kind][name] for name in names[:PAGE_SIZE]],
            "has-more": len(names) > PAGE_SIZE,
            "as-of": self.revision,
        }

    def watch(self, kind, since, query):
        if since < self.oldest or since > self.revision:
            return 410, {}
        self.condition.wait_for(
            lambda: self.changes(kind, since), int(query["wait-ms"]) / 1000
        )
        return 200, {
            "events": self.changes(kind, since),
            "as-of": self.revision,
        }

    def changes(self, kind, since):
        return [
            {"object": stored, "removed": removed}
            for revision, changed, stored, removed in self.log
            if changed == kind and revision > since
        ]

    def create(self, kind, body):
        name = body["metadata"]["name"]
        if name in self.objects.get(kind, {}):
            return 409, self.objects[kind][name]
        return 200, self.store(kind, name, body["spec"])

    def handle_object(self, method, kind, name, body, query):
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return 404, {}
        if method == "GET":
            return 200, found
        metadata = body["metadata"] if body else query
        expected = metadata.get("revision")
        if expected and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.store(kind, name, body["spec"])
