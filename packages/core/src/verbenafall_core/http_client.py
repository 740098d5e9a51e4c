"""Blocking HTTP calls with pycurl, with a timeout and without retries."""

import datetime
import io
import threading
from typing import Any
from typing import Final
from typing import NamedTuple

import pycurl
import returns.result

MAX_RESPONSE_BYTES: Final = 8 * 1024 * 1024
MAX_HEADER_BYTES: Final = 256 * 1024
CONNECT_TIMEOUT: Final = datetime.timedelta(seconds=1)

_NOT_SENT_ERRORS: Final = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)

Headers = tuple[tuple[str, str], ...]


class HttpRequest(NamedTuple):
    """An HTTP request.

    Attributes:
        single_use_connection: Whether to use a new connection and close it
            afterwards. libcurl repeats a request on its own if a reused
            connection turns out to be closed, so requests that must not run
            twice need this.
    """

    method: str
    url: str
    headers: Headers
    body: bytes
    timeout: datetime.timedelta
    single_use_connection: bool


class HttpResponse(NamedTuple):
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


class HttpFailure(NamedTuple):
    """A call without a complete response.

    Attributes:
        sent: Whether the server may have received the request.
    """

    sent: bool
    message: str


class HeaderLines:
    """Collects the header lines of a response, also of interim ones.

    Attributes:
        lines: The lines so far, with the status lines.
        size: Their length in bytes.
    """

    def __init__(self) -> None:
        """Create a collector without lines."""
        self.lines: list[bytes] = []
        self.size = 0

    def add(self, line: bytes) -> int:
        """Add a line; 0 makes libcurl abort the transfer."""
        self.size += len(line)
        if self.size > MAX_HEADER_BYTES:
            return 0
        self.lines.append(line)
        return len(line)


class HttpClient:
    """Makes HTTP calls; each thread reuses its own connections."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self.local = threading.local()

    def call(
        self, request: HttpRequest
    ) -> returns.result.Result[HttpResponse, HttpFailure]:
        """Send a request and wait for the response or the timeout."""
        handle = self.reset_handle()
        body = io.BytesIO()
        header_lines = HeaderLines()

        def write(data: bytes) -> int:
            if body.tell() + len(data) > MAX_RESPONSE_BYTES:
                return 0  # Makes libcurl abort the transfer.
            return body.write(data)

        apply_request(handle, request)
        handle.setopt(pycurl.WRITEFUNCTION, write)
        handle.setopt(pycurl.HEADERFUNCTION, header_lines.add)
        try:
            handle.perform()
        except pycurl.error as error:
            return returns.result.Failure(to_http_failure(handle, error))
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        headers = parse_headers(header_lines.lines)
        return returns.result.Success(
            HttpResponse(status, headers, body.getvalue())
        )

    def reset_handle(self) -> pycurl.Curl:
        """Return the calling thread's handle, reset to its defaults."""
        handle: pycurl.Curl | None = getattr(self.local, "handle", None)
        if handle is None:
            handle = pycurl.Curl()
            self.local.handle = handle
        handle.reset()
        return handle


def apply_request(handle: pycurl.Curl, request: HttpRequest) -> None:
    """Set the options of a curl handle for a request."""
    handle.setopt(pycurl.URL, request.url)
    handle.setopt(pycurl.CUSTOMREQUEST, request.method)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.NOPROXY, "*")
    handle.setopt(pycurl.FOLLOWLOCATION, 0)
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    timeout_ms = max(1, int(request.timeout.total_seconds() * 1000))
    connect_ms = int(CONNECT_TIMEOUT.total_seconds() * 1000)
    handle.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, min(timeout_ms, connect_ms))
    lines = [f"{name}: {value}" for name, value in request.headers]
    # An empty Expect header keeps libcurl from waiting for "100 Continue".
    handle.setopt(pycurl.HTTPHEADER, [*lines, "Expect:"])
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        handle.setopt(pycurl.POSTFIELDS, request.body)
    if request.method == "HEAD":
        handle.setopt(pycurl.NOBODY, 1)
    if request.single_use_connection:
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.FORBID_REUSE, 1)


def to_http_failure(handle: pycurl.Curl, error: pycurl.error) -> HttpFailure:
    """Convert a libcurl error, and find out whether the request was sent."""
    arguments: tuple[Any, ...] = error.args
    code, message = arguments[:2]
    before_transfer = handle.getinfo(pycurl.PRETRANSFER_TIME) == 0
    sent = code not in _NOT_SENT_ERRORS and not before_transfer
    return HttpFailure(sent, f"{message} (libcurl error {code})")


def parse_headers(lines: list[bytes]) -> Headers:
    """Return the headers of the final response, skipping interim ones."""
    headers: list[tuple[str, str]] = []
    for raw in lines:
        line = raw.decode("latin-1").strip()
        if line.startswith("HTTP/"):
            headers.clear()
        elif ":" in line:
            name, value = line.split(":", 1)
            headers.append((name.strip().lower(), value.strip()))
    return tuple(headers)


def create_http_client() -> HttpClient:
    """Create a client without connections."""
    return HttpClient()
