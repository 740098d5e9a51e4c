"""Serves werkzeug handlers with cheroot.

A handler can break its connection, and can check whether the server is
stopping.
"""

from collections.abc import Callable
import contextlib
import datetime
import json
import socket
import sys
import threading
from typing import Any
from typing import Final

import cheroot.wsgi
import werkzeug.exceptions
import werkzeug.wrappers

from verbenafall_core import addresses
from verbenafall_core import stop_requests

_CONNECTION: Final = "verbenafall.connection"
_STOPPING: Final = "verbenafall.stopping"
STOP_LIMIT: Final = datetime.timedelta(seconds=5)
# cheroot closes idle connections above this number. Each peer keeps several.
IDLE_CONNECTIONS: Final = 1000

Request = werkzeug.wrappers.Request
Response = werkzeug.wrappers.Response
Handler = Callable[[Request], Response]


class ConnectionAccessGateway(cheroot.wsgi.Gateway_10):
    """Adds the connection and the stop event to the WSGI environment."""

    # cheroot's type stubs declare that get_environ returns None.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment with the added entries."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore
        environ[_CONNECTION] = self.req.conn.socket
        environ[_STOPPING] = self.req.server.stopping
        return environ


class HttpStandin:
    """An HTTP server with its own thread.

    Attributes:
        address: The address that the server is bound to.
        stopping: Set when open requests should end.
    """

    def __init__(
        self, address: addresses.Address, handler: Handler, threads: int
    ) -> None:
        """Bind the server to an address without serving yet."""
        self.server = cheroot.wsgi.Server(
            tuple(address),
            create_application(handler),
            numthreads=threads,
            request_queue_size=256,
            timeout=60,
            shutdown_timeout=int(STOP_LIMIT.total_seconds()),
        )
        self.server.gateway = ConnectionAccessGateway
        self.stopping = threading.Event()
        self.server.stopping = self.stopping  # type: ignore[attr-defined]
        self.server.keep_alive_conn_limit = IDLE_CONNECTIONS
        self.server.prepare()
        host, port = self.server.bind_addr[:2]
        self.address = addresses.Address(host, port)
        self.thread = threading.Thread(target=self.server.serve, daemon=True)

    @property
    def url(self) -> str:
        """Return the URL of the server, without a path."""
        return f"http://{self.address}"

    def start(self) -> None:
        """Start to serve requests."""
        self.thread.start()

    def stop(self, limit: datetime.timedelta = STOP_LIMIT) -> None:
        """Ask open requests to end, and wait for the server to stop."""
        self.stopping.set()
        self.server.stop()
        self.thread.join(limit.total_seconds())


def create_application(handler: Handler) -> Callable[..., Any]:
    """Wrap a handler; HTTP exceptions become JSON error responses."""

    @werkzeug.wrappers.Request.application
    def application(request: Request) -> Response:
        try:
            return handler(request)
        except werkzeug.exceptions.HTTPException as error:
            return json_response(
                {"error": error.description}, error.code or 500
            )

    return application


def create_standin(
    handler: Handler,
    address: addresses.Address = addresses.Address("127.0.0.1", 0),  # noqa: B008
    threads: int = 32,
) -> HttpStandin:
    """Bind a server, by default to a free port; it is not started."""
    return HttpStandin(address, handler, threads)


def json_response(value: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    body = json.dumps(value, separators=(",", ":"))
    return Response(body, status, content_type="application/json")


def read_json(request: Request) -> dict[str, Any]:
    """Return the JSON object in a request's body, empty for no body.

    Raises:
        werkzeug.exceptions.BadRequest: The body is not a JSON object.
    """
    try:
        value = json.loads(request.get_data() or b"{}")
    except ValueError as error:
        raise werkzeug.exceptions.BadRequest(str(error)) from error
    if not isinstance(value, dict):
        raise werkzeug.exceptions.BadRequest("the body is no JSON object")
    return value


def is_stopping(request: Request) -> bool:
    """Return whether the server is stopping.

    Requests that wait or stream must then end, because cheroot waits for open
    requests without a time limit.
    """
    stopping: threading.Event = request.environ[_STOPPING]
    return stopping.is_set()


def break_connection(request: Request) -> Response:
    """Close the connection of a request before its response is complete.

    Returns:
        A response for the handler to return; it does not reach the peer.
    """
    connection: socket.socket = request.environ[_CONNECTION]
    with contextlib.suppress(OSError):  # The peer may have closed it already.
        connection.shutdown(socket.SHUT_RDWR)
    return Response(status=500)


def serve_until_terminated(
    servers: dict[str, HttpStandin], close: Callable[[], None] = lambda: None
) -> None:
    """Run servers until SIGTERM; print their addresses as a JSON object.

    Args:
        servers: Servers by name.
        close: Ends waiting requests when the servers stop.
    """
    requests = stop_requests.create_stop_requests()
    requests.install()
    for server in servers.values():
        server.start()
    bound = {name: str(server.address) for name, server in servers.items()}
    sys.stdout.write(json.dumps(bound) + "\n")
    sys.stdout.flush()
    requests.wait()
    close()
    stop_threads = [
        threading.Thread(target=server.stop) for server in servers.values()
    ]
    for stop_thread in stop_threads:
        stop_thread.start()
    for stop_thread in stop_threads:
        stop_thread.join()
