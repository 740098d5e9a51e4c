"""Blocking HTTP calls with pycurl, with a timeout and without retries."""

import datetime
import io
import threading
from typing import Any
from typing import Final
from typing import NamedTuple

import pycurl
import returns.result

from verbenafall_core import answer_heads

MAX_RESPONSE_BYTES: Final = 8 * 1024 * 1024
MAX_HEADER_BYTES: Final = 256 * 1024
CONNECT_TIMEOUT: Final = datetime.timedelta(seconds=1)

_NOT_SENT_ERRORS: Final = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
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
    """Reads the header lines of a response, also of interim ones.

    libcurl accepts heads that are not those of an answer.

    Attributes:
        headers: Headers of the last head, with names in lower case.
        size: Length of all lines in bytes.
        version: HTTP version of the last head.
        status: Its status code.
        fault: Why it is no answer; empty if it is one so far.
        in_trailers: Whether the head is complete, so that further lines are
            trailers, which are dropped.
    """

    def __init__(self) -> None:
        """Create a reader without lines."""
        self.headers: list[tuple[str, str]] = []
        self.size = 0
        self.version = ""
        self.status = 0
        self.fault = ""
        self.in_trailers = False

    def add(self, line: bytes) -> int:
        """Read a line; 0 makes libcurl abort the transfer."""
        self.size += len(line)
        if self.size > MAX_HEADER_BYTES:
            self.fault = f"headers exceed {MAX_HEADER_BYTES} bytes"
        else:
            self.fault = self.read(line.decode("latin-1")) or ""
        return 0 if self.fault else len(line)

    def read(self, line: str) -> str | None:
        """Read a line and return what is wrong with it."""
        text = line.rstrip("\r\n")
        if not text:
            self.in_trailers = True
            return answer_heads.find_framing_fault(
                self.version, self.status, self.headers
            )
        if text.startswith("HTTP/"):
            self.in_trailers = False
            self.headers.clear()
            version, _, rest = text.removeprefix("HTTP/").partition(" ")
            code = rest.split(" ", 1)[0]
            self.version = version
            self.status = int(code) if code.isdecimal() else 0
            return answer_heads.find_status_fault(version, self.status)
        name, _, value = text.partition(":")
        value = value.strip(" \t")
        if not self.in_trailers:
            self.headers.append((name.lower(), value))
        return answer_heads.find_header_fault(name, value)


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
            return returns.result.Failure(
                to_http_failure(handle, error, header_lines.fault)
            )
        return returns.result.Success(
            HttpResponse(
                header_lines.status,
                tuple(header_lines.headers),
                body.getvalue(),
            )
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


def to_http_failure(
    handle: pycurl.Curl, error: pycurl.error, fault: str = ""
) -> HttpFailure:
    """Convert a libcurl error, and find out whether the request was sent.

    Args:
        handle: The handle of the call.
        error: The error.
        fault: Why the response is no answer, empty if that is not the cause.
    """
    arguments: tuple[Any, ...] = error.args
    code, message = arguments[:2]
    before_transfer = handle.getinfo(pycurl.PRETRANSFER_TIME) == 0
    sent = code not in _NOT_SENT_ERRORS and not before_transfer
    problem = f"no answer: {fault}" if fault else message
    return HttpFailure(sent, f"{problem} (libcurl error {code})")


def create_http_client() -> HttpClient:
    """Create a client without connections."""
    return HttpClient()
