"""A stand-in for one of the platform's model engines, on a real socket."""

from http import server
import json
import threading

from steering import rank_model
from verbenafall_core.expert_maps import rank_state

KINDS = {
    "prepare": rank_state.OrderKind.PREPARE,
    "retention": rank_state.OrderKind.HOLD,
    "arm": rank_state.OrderKind.ARM,
    "disarm": rank_state.OrderKind.DISARM,
    "go": rank_state.OrderKind.RELEASE,
}
STATUSES = {
    rank_state.OrderAnswer.ACCEPTED: 202,
    rank_state.OrderAnswer.CONFLICT: 409,
    rank_state.OrderAnswer.FENCED: 412,
}


class StandinEngine:
    """Serves the engine API for one rank of a rank_model.ModelGroup.

    Attributes:
        unanswered: Number of next calls that take effect but get no response.
        unreadable: Whether responses are not valid JSON.
    """

    def __init__(self, rank):
        self.rank = rank
        self.unanswered = 0
        self.unreadable = False
        self.counts = [[1, 2], [3, 4]]
        self.closed = threading.Event()
        engine = self

        class Handler(server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or "null")
                status, content = engine.handle_call(
                    self.command, self.path, body
                )
                if engine.unanswered:
                    engine.unanswered -= 1
                    engine.closed.wait(5)
                    self.close_connection = True
                    return
                data = json.dumps(content).encode()
                if engine.unreadable:
                    data = b"\xff\xfe{"
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = handle_call  # noqa: N815

            def log_message(self, *args):
                del args

        self.server = server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def close(self):
        self.closed.set()
        self.server.shutdown()
        self.server.server_close()

    def handle_call(self, method, path, body):
        if method == "POST":
            return self.handle_order(body)
        if path.startswith("/api/report"):
            return 200, self.report()
        if path.endswith("lists=1"):
            return 200, {"expert-map": [[0, 1], [2]], "prepared": None}
        return 200, {
            "step": self.rank.step,
            "epoch": self.rank.epoch,
            "counts": self.counts,
        }

    def handle_order(self, body):
        kind = KINDS.get(body["operation"])
        if kind is None:
            return 400, {}
        answer = self.rank.handle_order(
            rank_state.RankOrder(
                kind,
                body["fencing-token"],
                body["epoch"],
                body.get("version", 0),
                body.get("step", 0),
                body.get("expert-map", ()),
            )
        )
        return STATUSES[answer], {}

    def report(self):
        rank = self.rank
        return {
            "group": {
                "name": "g0",
                "epoch": rank.epoch,
                "rank": rank.number,
                "state": "open",
            },
            "size": rank.size,
            "step": rank.step,
            "expert-map": rank.map_version,
            "prepared": {"version": rank.prepared} if rank.prepared else None,
            "armed": {"version": rank.armed.version, "step": rank.armed.step}
            if rank.armed
            else None,
            "held": rank.held,
            "pace": 1.0,
        }


def create_standin_engine():
    """Return an engine whose rank is the only one of its group."""
    return StandinEngine(rank_model.ModelGroup(1).ranks[0])
