"""Instance list over HTTP, see docs/platform_interfaces.md."""

import datetime
from typing import Final

import msgspec
import returns.pipeline
import returns.result

from verbenafall_core import addresses
from verbenafall_core import http_client
from verbenafall_core.instance_list import port

# A poll interval, a call that hangs and its repetition fit into the 3 s after
# which a leaving endpoint must get no new work.
CALL_LIMIT: Final = datetime.timedelta(seconds=1)
HTTP_OK: Final = 200
HTTP_NOT_MODIFIED: Final = 304

ReadResult = returns.result.Result[tuple[port.Instance, ...], port.ListFailure]


class ListedInstance(msgspec.Struct):
    """One instance as the platform lists it."""

    name: str
    role: str
    data_centre: str
    service: str
    address: str
    state: port.InstanceState


class HttpInstanceList:
    """Reads the list by HTTP, with conditional requests where it has an ETag.

    At 980 instances each whole answer has 115 kB, more than the 3 kB a second
    that a node may spend on control, and parsing one a second takes more than
    a percent of a core. An unchanged answer is not parsed again either.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        url: str,
        limit: datetime.timedelta,
    ) -> None:
        """Create an adapter for a list at a URL without a path."""
        self.client = client
        self.url = url
        self.limit = limit
        self.last_body: bytes | None = None
        self.last_result: ReadResult = fail("the list was never read")
        self.etag = ""

    def read(self) -> ReadResult:
        """Return all instances in the list."""
        condition = (("If-None-Match", self.etag),) if self.etag else ()
        request = http_client.HttpRequest(
            "GET", f"{self.url}/instances", condition, b"", self.limit, False
        )
        result = self.client.call(request)
        if not returns.pipeline.is_successful(result):
            return fail(result.failure().message)
        answer = result.unwrap()
        if answer.status == HTTP_NOT_MODIFIED and condition:
            return self.last_result
        if answer.status != HTTP_OK:
            return fail(f"HTTP status {answer.status}")
        if answer.body != self.last_body:
            self.last_result = parse_list(answer.body)
            self.last_body = answer.body
        self.etag = usable_etag(answer.headers, self.last_result)
        return self.last_result


def usable_etag(headers: http_client.Headers, result: ReadResult) -> str:
    """Return the tag for the next conditional request, empty for none.

    A malformed list is asked for whole again, so that a fault in one answer
    cannot stay for as long as the tag does.
    """
    if not returns.pipeline.is_successful(result):
        return ""
    return dict(headers).get("etag", "")


def parse_list(body: bytes) -> ReadResult:
    """Read the list; one malformed entry makes the whole list unusable.

    A list without the malformed entry would make its instance look removed.
    """
    try:
        listed = msgspec.json.decode(body, type=list[ListedInstance])
    except msgspec.DecodeError as error:
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
    """Return a failed result."""
    return returns.result.Failure(port.ListFailure(message))


def create_http_instance_list(
    client: http_client.HttpClient,
    url: str,
    limit: datetime.timedelta = CALL_LIMIT,
) -> port.InstanceList:
    """Create an adapter for a list at a URL without a path."""
    return HttpInstanceList(client, url, limit)
