"""HTTP server: cheroot carrying the werkzeug applications."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import json
import logging
import select
import socket
import threading
from typing import Any
from typing import Final
from typing import Protocol

from cheroot import makefile
from cheroot import server as cheroot_server
from cheroot import wsgi

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import identifiers
from verbenafall_core import outcomes
from verbenafall_gateway import event_catalogue
from verbenafall_gateway.client_http import answers
from verbenafall_gateway.client_http import body_writer
from verbenafall_gateway.client_http import request_framing
from verbenafall_gateway.delivery import activity as activity_lib
from verbenafall_gateway.delivery import direct_delivery

BODY_LIMIT: Final = datetime.timedelta(seconds=10)
SOCKET_LIMIT: Final = datetime.timedelta(seconds=10)
# The application refuses bodies over its own limit. Somewhat larger ones are
# read and discarded, since closing a connection with unread data resets it
# and the client may lose the answer.
MAX_READ_BYTES: Final = 8 * 1024 * 1024
MAX_HEADER_BYTES: Final = 64 * 1024
BACKLOG: Final = 1024
KEPT_CONNECTIONS: Final = 4096
# Key of the WSGI environment: a function that returns whether the client has
# closed its connection.
CLIENT_GONE: Final = "verbenafall.client_gone"
# Key of the WSGI environment: the writer of the answer's body, for parts that
# do not come through the application's iterable.
BODY_WRITER: Final = "verbenafall.body_writer"

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class HttpServerError(Exception):
    """The server cannot listen."""


class LineSource(Protocol):
    """The part of a stream that header lines are read from."""

    def readline(self) -> bytes:
        """Return the next line."""


class RecordingLines:
    """Keeps the lines that are read through it."""

    def __init__(self, source: LineSource) -> None:
        """Wrap a stream."""
        self.source = source
        self.lines: list[bytes] = []

    def readline(self) -> bytes:
        """Return and keep the next line."""
        line = self.source.readline()
        self.lines.append(line)
        return line


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Refuses headers that leave open where the body ends."""

    def __call__(self, rfile: LineSource, hdict: Any = None) -> Any:
        """Read the headers; a ValueError makes cheroot answer with 400."""
        recording = RecordingLines(rfile)
        headers = super().__call__(recording, hdict)
        problem = request_framing.find_problem(recording.lines)
        if problem:
            raise ValueError(problem)
        return headers


class DeadlineSocketIO(socket.SocketIO):
    """Reads from a socket up to a deadline for the whole request.

    A timeout per read alone lets a client hold a thread by sending one byte
    at a time.
    """

    def __init__(self, sock: socket.socket, clock: clock_lib.Clock) -> None:
        """Wrap a socket; there is no deadline yet."""
        super().__init__(sock, "rb")
        self.sock = sock
        self.clock = clock
        self.deadline: datetime.timedelta | None = None

    def readinto(self, buffer: Any) -> int | None:
        """Read what has arrived."""
        if self.deadline is None:
            return super().readinto(buffer)
        remaining = self.deadline - self.clock.monotonic()
        if remaining <= datetime.timedelta():
            raise TimeoutError("timed out")
        self.sock.settimeout(remaining.total_seconds())
        try:
            return super().readinto(buffer)
        finally:
            self.sock.settimeout(SOCKET_LIMIT.total_seconds())


class DeadlineReader(makefile.StreamReader):
    """Buffered reader with a deadline for the request that is read."""

    def __init__(self, sock: socket.socket, clock: clock_lib.Clock) -> None:
        """Wrap a socket."""
        super().__init__(sock, "rb")
        self.source = DeadlineSocketIO(sock, clock)
        # cheroot's reader has no parameter for the raw stream.
        super(makefile.StreamReader, self).__init__(self.source)


class GatewayRequest(cheroot_server.HTTPRequest):
    """A request with strict framing, JSON errors and a read deadline."""

    header_reader = StrictHeaderReader()
    nowait: body_writer.NowaitSocket | None = None
    unsent = b""

    def parse_request(self) -> None:
        """Read the request line and headers."""
        source: DeadlineSocketIO = self.conn.rfile.source
        source.deadline = self.server.clock.monotonic() + BODY_LIMIT
        super().parse_request()

    def read_request_headers(self) -> bool:
        """Read the headers; return whether the request can be served."""
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        if (
            b"Transfer-Encoding" in self.inheaders
            and self.response_protocol != "HTTP/1.1"
        ):
            self.simple_response(
                "400 Bad Request", "HTTP/1.0 has no Transfer-Encoding"
            )
            return False
        return True

    def respond(self) -> None:
        """Answer; the request counts as open until the last byte is sent."""
        self.server.activity.enter()
        try:
            super().respond()
        finally:
            if self.nowait is not None:
                self.nowait.close()
            self.server.activity.leave()

    def send_headers(self) -> None:
        """Send the headers; close where the application asks for it."""
        if (b"Connection", b"close") in self.outheaders:
            self.close_connection = True
        if self.chunked_read and not getattr(self.rfile, "closed", True):
            # The rest of a chunked body would be read as the next request.
            self.close_connection = True
        super().send_headers()

    def write(self, chunk: bytes) -> None:
        """Send a part of the body.

        cheroot's buffered writer, written in Python, takes longer for a
        token than the system call; it holds nothing between two parts.
        """
        self.flush()
        body_writer.send_all(self.conn.socket, self.code(chunk))

    def write_nowait(self, chunk: bytes) -> direct_delivery.WriteResult:
        """Send a part of the body as far as this is possible at once.

        The rest of a part is kept and is sent by the next flush. The caller
        makes sure that no other thread writes meanwhile.
        """
        if self.unsent or not self.sent_headers:
            return direct_delivery.WriteResult.NOT_WRITTEN
        if self.nowait is None:
            self.nowait = body_writer.NowaitSocket(self.conn.socket)
        data = self.code(chunk)
        sent = self.nowait.send(data)
        handover = body_writer.judge(sent, len(data))
        if handover is direct_delivery.WriteResult.PARTIAL:
            self.unsent = data[sent:]
        return handover

    def flush(self) -> None:
        """Send the rest of a part, waiting for room."""
        if self.unsent:
            unsent, self.unsent = self.unsent, b""
            body_writer.send_all(self.conn.socket, unsent)

    def code(self, chunk: bytes) -> bytes:
        """Return a part of the body as it is sent."""
        return frame(chunk) if self.chunked_write else chunk

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send an error of the server itself in the form of all errors."""
        number = int(str(status)[:3])
        outcome = (
            outcomes.Outcome.UNKNOWN
            if number == 500
            else outcomes.Outcome.NOT_RUN
        )
        body = json.dumps(
            answers.build_error(
                outcome, "bad_request", msg or str(status), None
            )
        ).encode()
        self.close_connection = True
        head = (
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
            f"Content-Type: {answers.JSON_TYPE}\r\n"
            f"{answers.REQUEST_ID_HEADER}: {identifiers.new_request_id()}\r\n"
            "Connection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError as error:
            event_log.emit(event_catalogue.HTTP_SERVER_ERROR, error=error)


def frame(data: bytes) -> bytes:
    """Return data as a chunk of a body in chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


class GatewayConnection(cheroot_server.HTTPConnection):
    """A connection whose reads have a deadline."""

    RequestHandlerClass = GatewayRequest

    def __init__(
        self,
        server: "GatewayHttpServer",
        sock: socket.socket,
        makefile: Any = makefile.MakeFile,
    ) -> None:
        """Wrap a connected socket."""
        super().__init__(server, sock, makefile)
        self.rfile = DeadlineReader(sock, server.clock)


class ClientWatchGateway(wsgi.Gateway_10):
    """A WSGI gateway that lets the application notice a lost client."""

    # cheroot's type stubs declare that get_environ returns nothing.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment of a request."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore
        connection = self.req.conn.socket
        environ[CLIENT_GONE] = lambda: is_closed_by_peer(connection)
        environ[BODY_WRITER] = self.req
        return environ


def is_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether a peer has closed a connection; does not wait.

    A peer that has only closed its sending side counts as gone, since the
    two cannot be told apart.
    """
    poller = select.poll()
    try:
        poller.register(connection, select.POLLIN)
        if not poller.poll(0):
            return False
        # Data that waits is the client's next request.
        return not connection.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True


class GatewayHttpServer(wsgi.Server):
    """cheroot's server with the gateway's connections."""

    ConnectionClass = GatewayConnection
    max_request_body_size = MAX_READ_BYTES
    max_request_header_size = MAX_HEADER_BYTES
    keep_alive_conn_limit = KEPT_CONNECTIONS

    clock: clock_lib.Clock
    activity: activity_lib.Activity

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Write an error of the server to the log."""
        if level >= logging.WARNING:
            event_log.emit(
                event_catalogue.HTTP_SERVER_ERROR,
                error=msg,
                unexpected=traceback,
            )


class HttpServer:
    """Serves one application on one address, each request on a thread."""

    def __init__(self, server: GatewayHttpServer) -> None:
        """Wrap a server that does not yet listen."""
        self.server = server
        self.thread = threading.Thread(
            target=server.serve, name="http", daemon=True
        )

    def start(self) -> None:
        """Listen and serve.

        Raises:
            HttpServerError: The address cannot be bound.
        """
        try:
            self.server.prepare()
        except OSError as error:
            raise HttpServerError(
                f"cannot listen on {self.server.bind_addr}: {error}"
            ) from error
        self.thread.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Finish open requests within the limit, then close."""
        self.server.activity.wait_idle(limit)
        self.server.stop()
        self.thread.join(limit.total_seconds())

    def address(self) -> addresses.Address:
        """Return the bound address."""
        host, port = self.server.bind_addr
        return addresses.Address(host, port)


def create_http_server(
    address: addresses.Address,
    app: WsgiApp,
    threads: int,
    clock: clock_lib.Clock,
    activity: activity_lib.Activity,
) -> HttpServer:
    """Create a server that does not yet listen.

    Args:
        address: Where to listen; port 0 picks a free one.
        app: The WSGI application.
        threads: Requests served at once.
        clock: For the deadline of slow requests.
        activity: Counts the open requests.
    """
    server = GatewayHttpServer(
        (address.host, address.port),
        app,
        numthreads=threads,
        max=threads,
        request_queue_size=BACKLOG,
        timeout=int(SOCKET_LIMIT.total_seconds()),
    )
    server.gateway = ClientWatchGateway
    server.clock = clock
    server.activity = activity
    return HttpServer(server)
