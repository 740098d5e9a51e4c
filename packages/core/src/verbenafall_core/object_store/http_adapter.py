"""Object store over HTTP, see docs/platform_interfaces.md."""

import datetime
from typing import Any
from typing import Final
from typing import NamedTuple
import urllib.parse

import msgspec
import returns.pipeline
import returns.result

from verbenafall_core import http_client
from verbenafall_core import json_documents
from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era

CALL_TIMEOUT: Final = datetime.timedelta(seconds=2)
# Names of response headers are in lower case.
_ERA_HEADER: Final = "store-era"

_KIND_BY_STATUS: Final = {
    304: port.FailureKind.MISSING,
    404: port.FailureKind.MISSING,
    408: port.FailureKind.UNCERTAIN,
    412: port.FailureKind.CONFLICT,
    429: port.FailureKind.THROTTLED,
    503: port.FailureKind.UNAVAILABLE,
}


class StoreResponse(NamedTuple):
    """A successful response, and the era of the state that it is about."""

    era: int
    headers: http_client.Headers
    body: bytes


ResponseResult = returns.result.Result[StoreResponse, port.StoreFailure]


class ListedObject(msgspec.Struct):
    """One object in a list response; JSON has its value in base64."""

    name: str
    version: int
    value: bytes


class HttpObjectStore:
    """Object store over HTTP; only reads reuse connections.

    Attributes:
        era: The store's era, as seen by the calls of this process.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        url: str,
        timeout: datetime.timedelta,
        era: store_era.StoreEra,
    ) -> None:
        """Create an adapter; the URL of the store has no path."""
        self.client = client
        self.url = url
        self.timeout = timeout
        self.era = era

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
        return self.put(name, value, ("If-None-Match", "*")).bind(
            lambda response: parse_object(name, response, value)
        )

    def update(
        self, name: str, value: bytes, expected_version: int
    ) -> port.ObjectResult:
        """Replace a value; CONFLICT if the version differs."""
        if self.era.is_past(expected_version):
            return fail_as_past(name)
        return (
            self.put(name, value, match_version(expected_version))
            .bind(lambda response: check_era(name, expected_version, response))
            .bind(lambda response: parse_object(name, response, value))
        )

    def delete(self, name: str, expected_version: int) -> port.DeleteResult:
        """Delete an object; CONFLICT if the version differs."""
        if self.era.is_past(expected_version):
            return fail_as_past(name)
        headers = (match_version(expected_version),)
        result = self.call(
            "DELETE", object_path(name), headers, b"", self.timeout
        )
        return result.bind(
            lambda response: check_era(name, expected_version, response)
        ).map(lambda _response: None)

    def watch(
        self, name: str, known_version: int, wait: datetime.timedelta
    ) -> port.ObjectResult:
        """Return an object as soon as its version exceeds the known one."""
        was_past = self.era.is_past(known_version)
        # Any object of the current era is newer than one of an earlier era.
        number = 0 if was_past else revisions.number_of(known_version)
        wait_ms = wait // datetime.timedelta(milliseconds=1)
        query = f"watch_after={number}&wait_ms={wait_ms}"
        path = f"{object_path(name)}?{query}"
        result = self.call("GET", path, (), b"", wait + self.timeout)
        if not was_past and self.era.is_past(known_version):
            # The store may have compared the number with one of a new era.
            return self.read(name)
        return result.bind(
            lambda response: parse_object(name, response, response.body)
        )

    def put(
        self, name: str, value: bytes, condition: tuple[str, str]
    ) -> ResponseResult:
        """Write a value if the condition in a header holds."""
        if len(value) > port.MAX_VALUE_BYTES:
            return fail(
                port.FailureKind.INVALID,
                f"value of {len(value)} bytes exceeds {port.MAX_VALUE_BYTES}",
            )
        headers = (condition, ("Content-Type", "application/octet-stream"))
        return self.call("PUT", object_path(name), headers, value, self.timeout)

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
        era_before = self.era.current
        result = self.client.call(request)
        if not returns.pipeline.is_successful(result):
            failure = result.failure()
            kind = port.FailureKind.UNAVAILABLE
            if failure.sent:
                kind = port.FailureKind.UNCERTAIN
            return fail(kind, f"{method} {path}: {failure.message}")
        response = result.unwrap()
        stated = dict(response.headers).get(_ERA_HEADER, "")
        era = self.era.receive(stated, era_before)
        if era is None:
            kind = port.FailureKind.UNCERTAIN
            if method == "GET":
                kind = port.FailureKind.UNAVAILABLE
            return fail(kind, f"{method} {path}: response of era {stated}")
        if 200 <= response.status < 300:
            return returns.result.Success(
                StoreResponse(era, response.headers, response.body)
            )
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


def match_version(expected_version: int) -> tuple[str, str]:
    """Return the header for a write on the condition of a version."""
    return "If-Match", f'"{revisions.number_of(expected_version)}"'


def check_era(
    name: str, expected_version: int, response: StoreResponse
) -> ResponseResult:
    """Return the response to a conditional write if its era is the expected.

    The store compares only its own numbers. If it was restored since the
    version was read, it may have compared the number of another version.
    """
    if response.era == revisions.era_of(expected_version):
        return returns.result.Success(response)
    return fail(
        port.FailureKind.UNCERTAIN,
        f"{name}: the store was restored before the write",
    )


def fail_as_past(name: str) -> returns.result.Result[Any, port.StoreFailure]:
    """Return the result of a write that expects a version of a past era."""
    return fail(
        port.FailureKind.CONFLICT, f"{name}: the store was restored since"
    )


def parse_object(
    name: str, response: StoreResponse, value: bytes
) -> port.ObjectResult:
    """Return an object with the version from the response's ETag.

    Without a version, the result of a write is not known, so the call counts
    as one without a response.
    """
    etag = dict(response.headers).get("etag", "")
    number = revisions.parse_number(etag.removeprefix("W/").strip('"'))
    if number is None:
        return fail(
            port.FailureKind.UNCERTAIN,
            f"{name}: ETag {etag!r} is not a version",
        )
    version = revisions.create_revision(response.era, number)
    return returns.result.Success(port.StoredObject(name, version, value))


def parse_list(response: StoreResponse) -> port.ListResult:
    """Return the objects in a list response."""
    try:
        listed = json_documents.decode(response.body, list[ListedObject])
    except json_documents.JsonError as error:
        return fail(
            port.FailureKind.UNCERTAIN, f"malformed list of objects: {error}"
        )
    if not all(revisions.is_number(entry.version) for entry in listed):
        return fail(
            port.FailureKind.UNCERTAIN, "list of objects without versions"
        )
    return returns.result.Success(
        tuple(
            port.StoredObject(
                entry.name,
                revisions.create_revision(response.era, entry.version),
                entry.value,
            )
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
    era: store_era.StoreEra | None = None,
) -> port.ObjectStore:
    """Create an adapter; the URL of the store has no path.

    Without a given era, the adapter has one of its own.
    """
    return HttpObjectStore(
        client, url, timeout, era or store_era.create_store_era()
    )
