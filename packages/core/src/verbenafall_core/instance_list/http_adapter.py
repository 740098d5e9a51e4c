"""Instance list over HTTP, see docs/platform_interfaces.md."""

import datetime
from typing import Final

import msgspec
import returns.pipeline
import returns.result

from verbenafall_core import addresses
from verbenafall_core import http_client
from verbenafall_core import json_documents
from verbenafall_core.instance_list import port

# A poll interval, a call that times out and its retry fit into 3 s, after which
# a leaving endpoint must not get new work.
CALL_TIMEOUT: Final = datetime.timedelta(seconds=1)
HTTP_OK: Final = 200
HTTP_NOT_MODIFIED: Final = 304

ReadResult = returns.result.Result[tuple[port.Instance, ...], port.ListFailure]


class ListedInstance(msgspec.Struct):
    """JSON object of an instance in the platform's list."""

    name: str
    role: str
    data_centre: str
    service: str
    address: str
    state: port.InstanceState


class HttpInstanceList:
    """Reads the list over HTTP, by conditional requests if it has an ETag.

    At 980 instances a complete response is 115 kB, while a node may use 3 kB
    a second for control traffic, and parsing one response a second takes more
    than 1% of a core. A body that is equal to the last one is therefore not
    parsed again.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        url: str,
        timeout: datetime.timedelta,
    ) -> None:
        """Create an adapter; the URL of the platform has no path."""
        self.client = client
        self.url = url
        self.timeout = timeout
        self.last_body: bytes | None = None
        self.last_result: ReadResult = fail("the list has not been read yet")
        self.etag = ""

    def read(self) -> ReadResult:
        """Return all instances; the last result again if it is unchanged."""
        condition = (("If-None-Match", self.etag),) if self.etag else ()
        request = http_client.HttpRequest(
            "GET", f"{self.url}/instances", condition, b"", self.timeout, False
        )
        result = self.client.call(request)
        if not returns.pipeline.is_successful(result):
            return fail(result.failure().message)
        response = result.unwrap()
        if response.status == HTTP_NOT_MODIFIED and condition:
            return self.last_result
        if response.status != HTTP_OK:
            return fail(f"HTTP status {response.status}")
        if response.body != self.last_body:
            self.last_result = parse_list(response.body)
            self.last_body = response.body
        self.etag = usable_etag(response.headers, self.last_result)
        return self.last_result


def usable_etag(headers: http_client.Headers, result: ReadResult) -> str:
    """Return the ETag for the next request, or "" if that is unconditional.

    After a malformed list, the next request is unconditional; otherwise one
    corrupt response would remain in effect until the ETag changes.
    """
    if not returns.pipeline.is_successful(result):
        return ""
    return dict(headers).get("etag", "")


def parse_list(body: bytes) -> ReadResult:
    """Decode the list, and reject all of it if one entry is malformed.

    If the entry were left out, its instance would look removed.
    """
    try:
        listed = json_documents.decode(body, list[ListedInstance])
    except json_documents.JsonError as error:
        return fail(f"malformed list: {error}")
    instances = []
    for entry in listed:
        address = addresses.parse_address(entry.address)
        if not returns.pipeline.is_successful(address):
            return fail(f"instance {entry.name!r}: {address.failure()}")
        instances.append(
            port.Instance(
                entry.name,
                entry.role,
                entry.data_centre,
                entry.service,
                address.unwrap(),
                entry.state,
            )
        )
    return returns.result.Success(tuple(instances))


def fail(message: str) -> ReadResult:
    """Return the result of a failed read."""
    return returns.result.Failure(port.ListFailure(message))


def create_http_instance_list(
    client: http_client.HttpClient,
    url: str,
    timeout: datetime.timedelta = CALL_TIMEOUT,
) -> port.InstanceList:
    """Create an adapter; the URL of the platform has no path."""
    return HttpInstanceList(client, url, timeout)
