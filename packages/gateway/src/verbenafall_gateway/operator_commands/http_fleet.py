"""Access to the running processes through the gateways' admin addresses."""

from concurrent import futures
import datetime
from typing import Final

import msgspec
import returns.result

from verbenafall_core import addresses
from verbenafall_core import http_client
from verbenafall_core import json_documents
from verbenafall_core import messages
from verbenafall_core.bundles import roll
from verbenafall_core.instance_list import port as instance_port

CALL_TIMEOUT: Final = datetime.timedelta(seconds=2)
MAX_CONCURRENT_CALLS: Final = 32

_StatusResult = returns.result.Result[tuple[messages.StatusReply, ...], str]


class HttpFleet:
    """Finds the gateways in the instance list and calls each of them."""

    def __init__(
        self,
        client: http_client.HttpClient,
        instance_list: instance_port.InstanceList,
    ) -> None:
        """Create access to the fleet in an instance list."""
        self.client = client
        self.instance_list = instance_list

    def read(self) -> roll.FleetView:
        """Read the instance list and the statuses of all processes."""
        listed = self.instance_list.read()
        if not isinstance(listed, returns.result.Success):
            problem = f"instance list: {listed.failure().message}"
            return roll.FleetView(None, (), (problem,))
        instances = listed.unwrap()
        gateways = find_gateways(instances)
        with futures.ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
            results = list(pool.map(self.read_gateway, gateways))
        statuses: dict[str, messages.StatusReply] = {}
        problems = []
        for result in results:
            if isinstance(result, returns.result.Success):
                for status in result.unwrap():
                    statuses[status.instance] = status
            else:
                problems.append(result.failure())
        ordered = tuple(statuses[name] for name in sorted(statuses))
        return roll.FleetView(instances, ordered, tuple(problems))

    def notify(self) -> None:
        """Request that the gateways read the bundle head now.

        Errors are ignored: a gateway that is not reached reads the head at its
        next poll.
        """
        listed = self.instance_list.read()
        if not isinstance(listed, returns.result.Success):
            return
        gateways = find_gateways(listed.unwrap())
        with futures.ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
            list(pool.map(self.notify_gateway, gateways))

    def notify_gateway(self, gateway: instance_port.Instance) -> None:
        """Request that one gateway read the bundle head now."""
        self.client.call(
            admin_request("POST", gateway.address, "/-/bundle-poll")
        )

    def read_gateway(self, gateway: instance_port.Instance) -> _StatusResult:
        """Read the status of a gateway and of the sidecars linked to it."""
        result = self.client.call(
            admin_request("GET", gateway.address, "/-/status")
        )
        if not isinstance(result, returns.result.Success):
            problem = f"{gateway.name}: {result.failure().message}"
            return returns.result.Failure(problem)
        answer = result.unwrap()
        if answer.status != 200:
            return returns.result.Failure(
                f"{gateway.name}: status request failed with HTTP status"
                f" {answer.status}"
            )
        return decode_status(gateway.name, answer.body)


def find_gateways(
    instances: tuple[instance_port.Instance, ...],
) -> list[instance_port.Instance]:
    """Return the gateways, including leaving ones, which still serve."""
    return [instance for instance in instances if instance.role == "gateway"]


def admin_request(
    method: str, address: addresses.Address, path: str
) -> http_client.HttpRequest:
    """Return a request to an admin address."""
    return http_client.HttpRequest(
        method, f"http://{address}{path}", (), b"", CALL_TIMEOUT, False
    )


def decode_status(gateway: str, body: bytes) -> _StatusResult:
    """Decode a gateway's response to a status request."""
    try:
        document = json_documents.decode(body, dict)
        replies = tuple(_decode_reply(entry) for entry in document["processes"])
    except (json_documents.JsonError, KeyError, TypeError) as error:
        return returns.result.Failure(f"{gateway}: malformed status: {error!r}")
    return returns.result.Success(replies)


def _decode_reply(entry: dict[str, object]) -> messages.StatusReply:
    fields: dict[str, object] = {"token": 0, **entry}
    for name, kind in (
        ("rejected", messages.RejectedBundle),
        ("groups", messages.GroupStatus),
    ):
        items = fields[name]
        if not isinstance(items, list):
            raise TypeError(f"{name} is not a list")
        fields[name] = [[item[key] for key in kind._fields] for item in items]
    return msgspec.convert(
        [fields[key] for key in messages.StatusReply._fields],
        messages.StatusReply,
    )


def create_http_fleet(
    client: http_client.HttpClient,
    instance_list: instance_port.InstanceList,
) -> roll.Fleet:
    """Create access to the fleet in an instance list."""
    return HttpFleet(client, instance_list)
