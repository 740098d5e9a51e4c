"""Object store over HTTP, see docs/platform_interfaces.md."""

import datetime
from typing import Any
from typing import Final
import urllib.parse

import msgspec
import returns.pipeline
import returns.result

from verbenafall_core import http_client
from verbenafall_core.object_store import port

CALL_TIMEOUT: Final = datetime.timedelta(seconds=2)

_KIND_BY_STATUS: Final = {
    304: port.FailureKind.MISSING,
    404: port.FailureKind.MISSING,
    408: port.FailureKind.UNCERTAIN,
    412: port.FailureKind.CONFLICT,
    429: port.FailureKind.THROTTLED,
    503: port.FailureKind.UNAVAILABLE,
}

ResponseResult = returns.result.Result[
    http_client.HttpResponse, port.StoreFailure
]


class ListedObject(msgspec.Struct):
    """One object in a list response; JSON has its value in base64."""

    name: str
    version: int
    value: bytes


class HttpObjectStore:
    """Object store over HTTP; only reads reuse connections."""

    def __init__(
        self,
        client: http_client.HttpClient,
        url: str,
        timeout: datetime.timedelta,
    ) -> None:
        """Create an adapter; the URL of the store has no path."""
        self.client = client
        self.url = url
        self.timeout = timeout

    def read(self, name: str) -> port.ObjectResult:
        """Return an object; MISSING if it does not exist."""
        result = self.call("GET", object_path(name), (), b"", self.timeout)
        return result.bind(
            lambda response: parse_object(name, response, response.body)
        )

    def list_objects(self, prefix: str, limit: int) -> port.ListResult:
        """List up to limit objects with a name prefix, sorted by name."""
        query = urllib.parse.urlencode({"prefix": prefix, "limit": limit})
        result = self.call("GET", f"/objects?{query}", (), b"", self.timeout)
        return result.bind(parse_list)

    def create(self, name: str, value: bytes) -> port.ObjectResult:
        """Create an object; CONFLICT if it exists."""
        return self.put(name, value, ("If-None-Match", "*"))

    def update(
        self, name: str, value: bytes, expected_version: int
    ) -> port.ObjectResult:
        """Replace a value; CONFLICT if the version differs."""
        return self.put(name, value, ("If-Match", f'"{expected_version}"'))

    def delete(self, name: str, expected_version: int) -> port.DeleteResult:
        """Delete an object; CONFLICT if the version differs."""
        headers = (("If-Match", f'"{expected_version}"'),)
        result = self.call(
            "DELETE", object_path(name), headers, b"", self.timeout
        )
        return result.map(lambda _response: None)

    def watch(
        self, name: str, known_version: int, wait: datetime.timedelta
    ) -> port.ObjectResult:
        """Return an object as soon as its version exceeds the known one."""
        wait_ms = wait // datetime.timedelta(milliseconds=1)
        query = f"watch_after={known_version}&wait_ms={wait_ms}"
        path = f"{object_path(name)}?{query}"
        result = self.call("GET", path, (), b"", wait + self.timeout)
        return result.bind(
            lambda response: parse_object(name, response, response.body)
        )

    def put(
        self, name: str, value: bytes, condition: tuple[str, str]
    ) -> port.ObjectResult:
        """Write a value if the condition in a header holds."""
        if len(value) > port.MAX_VALUE_BYTES:
            return fail(
                port.FailureKind.INVALID,
                f"value of {len(value)} bytes exceeds {port.MAX_VALUE_BYTES}",
            )
        headers = (condition, ("Content-Type", "application/octet-stream"))
        result = self.call(
            "PUT", object_path(name), headers, value, self.timeout
        )
        return result.bind(lambda response: parse_object(name, response, value))

    def call(
        self,
        method: str,
        path: str,
        headers: http_client.Headers,
        body: bytes,
        timeout: datetime.timedelta,
    ) -> ResponseResult:
        """Make one call; any status other than 2xx is a failure.

        libcurl retries a request if the reused connection turns out to be
        closed. A retried conditional write could conflict with its own first
        try, so each write uses a new connection.
        """
        request = http_client.HttpRequest(
            method, self.url + path, headers, body, timeout, method != "GET"
        )
        result = self.client.call(request)
        if not returns.pipeline.is_successful(result):
            failure = result.failure()
            kind = port.FailureKind.UNAVAILABLE
            if failure.sent:
                kind = port.FailureKind.UNCERTAIN
            return fail(kind, f"{method} {path}: {failure.message}")
        response = result.unwrap()
        if 200 <= response.status < 300:
            return returns.result.Success(response)
        return fail(
            classify_status(response.status),
            f"{method} {path}: HTTP status {response.status}",
        )


def classify_status(status: int) -> port.FailureKind:
    """Return the kind of failure that an HTTP status stands for.

    A status stands for an unchanged object only if it guarantees that. A 500,
    502 or 504 may come from a proxy and says nothing about a write, so it is
    UNCERTAIN.
    """
    kind = _KIND_BY_STATUS.get(status)
    if kind is not None:
        return kind
    if 400 <= status < 500:
        return port.FailureKind.INVALID
    return port.FailureKind.UNCERTAIN


def object_path(name: str) -> str:
    """Return the URL path of an object."""
    return f"/objects/{urllib.parse.quote(name)}"


def parse_object(
    name: str, response: http_client.HttpResponse, value: bytes
) -> port.ObjectResult:
    """Return an object with the version from the response's ETag.

    Without a version, the result of a write is not known, so the call counts
    as one without a response.
    """
    etag = dict(response.headers).get("etag", "")
    version = etag.removeprefix("W/").strip('"')
    if not (version.isascii() and version.isdigit()):
        return fail(
            port.FailureKind.UNCERTAIN,
            f"{name}: ETag {etag!r} is not a version",
        )
    return returns.result.Success(port.StoredObject(name, int(version), value))


def parse_list(response: http_client.HttpResponse) -> port.ListResult:
    """Return the objects in a list response."""
    try:
        listed = msgspec.json.decode(response.body, type=list[ListedObject])
    except msgspec.DecodeError as error:
        return fail(
            port.FailureKind.UNCERTAIN, f"malformed list of objects: {error}"
        )
    return returns.result.Success(
        tuple(
            port.StoredObject(entry.name, entry.version, entry.value)
            for entry in listed
        )
    )


def fail(
    kind: port.FailureKind, message: str
) -> returns.result.Result[Any, port.StoreFailure]:
    """Return the result of a failed call."""
    return returns.result.Failure(port.StoreFailure(kind, message))


def create_http_object_store(
    client: http_client.HttpClient,
    url: str,
    timeout: datetime.timedelta = CALL_TIMEOUT,
) -> port.ObjectStore:
    """Create an adapter; the URL of the store has no path."""
    return HttpObjectStore(client, url, timeout)
