"""HTTP server for WSGI applications, based on cheroot."""

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

REQUEST_READ_TIMEOUT: Final = datetime.timedelta(seconds=10)
SOCKET_TIMEOUT: Final = datetime.timedelta(seconds=10)
# The application refuses bodies over its own, lower limit, but reads and
# discards them up to this one: closing a connection with unread data resets it,
# and the client may lose the response.
MAX_READ_BYTES: Final = 8 * 1024 * 1024
MAX_HEADER_BYTES: Final = 64 * 1024
BACKLOG: Final = 1024
MAX_KEEP_ALIVE_CONNECTIONS: Final = 4096
# Key in the WSGI environment of a function that returns whether the client has
# closed its connection.
IS_DISCONNECTED: Final = "verbenafall.client_gone"
# Key in the WSGI environment of the writer for parts of the response body that
# do not pass through the application's iterable.
BODY_WRITER: Final = "verbenafall.body_writer"

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class HttpServerError(Exception):
    """The server cannot listen on its address."""


class LineSource(Protocol):
    """Stream from which header lines are read."""

    def readline(self) -> bytes:
        """Return the next line including its line break."""


class RecordingLineSource:
    """Records the lines that are read from a stream."""

    def __init__(self, source: LineSource) -> None:
        """Wrap a stream."""
        self.source = source
        self.lines: list[bytes] = []

    def readline(self) -> bytes:
        """Return and record the next line."""
        line = self.source.readline()
        self.lines.append(line)
        return line


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Rejects headers that are ambiguous about where the body ends."""

    def __call__(self, rfile: LineSource, hdict: Any = None) -> Any:
        """Read and check the headers; cheroot answers a ValueError with 400."""
        recording = RecordingLineSource(rfile)
        headers = super().__call__(recording, hdict)
        problem = request_framing.find_problem(recording.lines)
        if problem:
            raise ValueError(problem)
        return headers


class DeadlineSocketIO(socket.SocketIO):
    """Reads from a socket with one deadline for the complete request.

    With only a timeout for each read, a client could occupy a thread by sending
    one byte at a time.
    """

    def __init__(self, sock: socket.socket, clock: clock_lib.Clock) -> None:
        """Wrap a socket; no deadline is set yet."""
        super().__init__(sock, "rb")
        self.sock = sock
        self.clock = clock
        self.deadline: datetime.timedelta | None = None

    def readinto(self, buffer: Any) -> int | None:
        """Read available data, waiting until the deadline.

        Raises:
            TimeoutError: The deadline has passed.
        """
        if self.deadline is None:
            return super().readinto(buffer)
        remaining = self.deadline - self.clock.monotonic()
        if remaining <= datetime.timedelta():
            raise TimeoutError("timed out")
        self.sock.settimeout(remaining.total_seconds())
        try:
            return super().readinto(buffer)
        finally:
            self.sock.settimeout(SOCKET_TIMEOUT.total_seconds())


class DeadlineReader(makefile.StreamReader):
    """Buffered reader with a deadline for the current request."""

    def __init__(self, sock: socket.socket, clock: clock_lib.Clock) -> None:
        """Wrap a socket."""
        super().__init__(sock, "rb")
        self.source = DeadlineSocketIO(sock, clock)
        # cheroot's reader creates its own raw stream, so the buffered reader
        # below it is initialised again with the source.
        super(makefile.StreamReader, self).__init__(self.source)


class GatewayRequest(cheroot_server.HTTPRequest):
    """A request with strict header checks, JSON errors and a read deadline.

    Attributes:
        nowait_socket: Socket for write_nowait(), created at its first call.
        unsent: Bytes of a part that write_nowait() could not send.
    """

    header_reader = StrictHeaderReader()
    nowait_socket: body_writer.NowaitSocket | None = None
    unsent = b""

    def parse_request(self) -> None:
        """Set the read deadline, then read the request line and headers."""
        source: DeadlineSocketIO = self.conn.rfile.source
        source.deadline = self.server.clock.monotonic() + REQUEST_READ_TIMEOUT
        super().parse_request()

    def read_request_headers(self) -> bool:
        """Read and check the headers; return False if an error was sent."""
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
        """Answer the request, which is open until its last byte is sent."""
        self.server.activity.record_start()
        try:
            super().respond()
        finally:
            if self.nowait_socket is not None:
                self.nowait_socket.close()
            self.server.activity.record_end()

    def send_headers(self) -> None:
        """Decide whether to close the connection, then send the headers."""
        if (b"Connection", b"close") in self.outheaders:
            self.close_connection = True
        if self.chunked_read and not getattr(self.rfile, "closed", True):
            # The unread rest of a chunked body would be parsed as a request.
            self.close_connection = True
        super().send_headers()

    def write(self, chunk: bytes) -> None:
        """Send a part of the body, after the rest of the one before it.

        cheroot's buffered writer is bypassed: it is written in Python and takes
        longer for a token than the system call. It is empty between two parts.
        """
        self.flush()
        body_writer.send_all(self.conn.socket, self.encode_body(chunk))

    def write_nowait(self, chunk: bytes) -> direct_delivery.WriteResult:
        """Send as much of a part of the body as possible without blocking.

        The next flush() sends the rest of a partially sent part. The caller
        must ensure that no other thread writes at the same time.
        """
        if self.unsent or not self.sent_headers:
            return direct_delivery.WriteResult.NOT_WRITTEN
        if self.nowait_socket is None:
            self.nowait_socket = body_writer.NowaitSocket(self.conn.socket)
        data = self.encode_body(chunk)
        sent = self.nowait_socket.send(data)
        write_result = body_writer.classify_send(sent, len(data))
        if write_result is direct_delivery.WriteResult.PARTIAL:
            self.unsent = data[sent:]
        return write_result

    def flush(self) -> None:
        """Send the rest of a partially sent part; may block."""
        if self.unsent:
            unsent, self.unsent = self.unsent, b""
            body_writer.send_all(self.conn.socket, unsent)

    def encode_body(self, chunk: bytes) -> bytes:
        """Return a part of the body in the transfer coding of the response."""
        return encode_chunk(chunk) if self.chunked_write else chunk

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send an error of the server itself as a JSON error."""
        status_code = int(str(status)[:3])
        outcome = (
            outcomes.Outcome.UNKNOWN
            if status_code == 500
            else outcomes.Outcome.NOT_RUN
        )
        body = json.dumps(
            answers.error_body(outcome, "bad_request", msg or str(status), None)
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


def encode_chunk(data: bytes) -> bytes:
    """Return data as a chunk of the chunked transfer coding.

    Empty data gives no chunk, since an empty chunk would end the body.
    """
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


class GatewayConnection(cheroot_server.HTTPConnection):
    """A connection that reads each request with a deadline."""

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


class ConnectionAccessGateway(wsgi.Gateway_10):
    """WSGI adapter of cheroot that gives applications access to the connection.

    Applications can check whether the client has closed the connection, and
    write to it directly.
    """

    # cheroot's type stubs declare that get_environ returns nothing.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment with IS_DISCONNECTED and BODY_WRITER."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore
        connection = self.req.conn.socket
        environ[IS_DISCONNECTED] = lambda: is_closed_by_peer(connection)
        environ[BODY_WRITER] = self.req
        return environ


def is_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether the peer has closed a connection; does not block.

    A peer that has closed only its sending side counts as disconnected, since
    the two cases cannot be distinguished.
    """
    poller = select.poll()
    try:
        poller.register(connection, select.POLLIN)
        if not poller.poll(0):
            return False
        # An empty read means a closed connection, data the next request.
        return not connection.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True


class GatewayHttpServer(wsgi.Server):
    """cheroot's server with the gateway's connections and limits."""

    ConnectionClass = GatewayConnection
    max_request_body_size = MAX_READ_BYTES
    max_request_header_size = MAX_HEADER_BYTES
    keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS

    clock: clock_lib.Clock
    activity: activity_lib.Activity

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log a warning or an error of cheroot as an event."""
        if level >= logging.WARNING:
            event_log.emit(
                event_catalogue.HTTP_SERVER_ERROR,
                error=msg,
                unexpected=traceback,
            )


class HttpServer:
    """Serves a WSGI application on one address with a pool of threads."""

    def __init__(self, server: GatewayHttpServer) -> None:
        """Wrap a server that is not listening yet."""
        self.server = server
        self.thread = threading.Thread(
            target=server.serve, name="http", daemon=True
        )

    def start(self) -> None:
        """Bind the address and serve on a new thread.

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
        """Wait for open requests up to the limit, then stop the server."""
        self.server.activity.wait_idle(limit)
        self.server.stop()
        self.thread.join(limit.total_seconds())

    def address(self) -> addresses.Address:
        """Return the address to which the server is bound."""
        host, port = self.server.bind_addr
        return addresses.Address(host, port)


def create_http_server(
    address: addresses.Address,
    app: WsgiApp,
    threads: int,
    clock: clock_lib.Clock,
    activity: activity_lib.Activity,
) -> HttpServer:
    """Create a server that is not listening yet.

    Args:
        address: Address to listen on; port 0 selects a free port.
        app: The WSGI application.
        threads: Maximum number of requests served at the same time.
        clock: Measures the deadlines for reading requests.
        activity: Counts the open requests.
    """
    server = GatewayHttpServer(
        (address.host, address.port),
        app,
        numthreads=threads,
        max=threads,
        request_queue_size=BACKLOG,
        timeout=int(SOCKET_TIMEOUT.total_seconds()),
    )
    server.gateway = ConnectionAccessGateway
    server.clock = clock
    server.activity = activity
    return HttpServer(server)
