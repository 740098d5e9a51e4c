"""HTTP adapter for orders to an engine and for the state of its ranks."""

import datetime
from typing import Any
from typing import Final
from typing import NotRequired
from typing import TypedDict

import msgspec
import returns.result

from verbenafall_core import addresses
from verbenafall_core import http_client
from verbenafall_core import json_documents
from verbenafall_core.expert_maps import switch
from verbenafall_sidecar.orders import order_port

CALL_TIMEOUT: Final = datetime.timedelta(seconds=2)
# A prepare order includes loading weights, at the rate of the weight store.
PREPARE_TIMEOUT: Final = datetime.timedelta(seconds=30)
MIN_BUSY_DELAY: Final = datetime.timedelta(seconds=1)
NO_DELAY: Final = datetime.timedelta()

STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
STATUS_BUSY: Final = 503


class _Armed(TypedDict):
    step: int
    map_version: int


class _State(TypedDict):
    group: str
    ranks: list[int]
    map_version: int
    prepared: list[int]
    armed: _Armed | None
    step: int
    epoch: int
    rank_step_ms: list[float]
    expert_load: list[float]


class _Error(TypedDict):
    error: str
    epoch: NotRequired[int]
    retry_after_ms: NotRequired[int]


class HttpOrderPort:
    """Port to the engine at one address."""

    def __init__(
        self, client: http_client.HttpClient, address: addresses.Address
    ) -> None:
        """Create a port; connections are opened by the first call."""
        self.client = client
        self.base = f"http://{address}"

    def read_state(self) -> order_port.StateResult:
        """Return the current state of the ranks."""
        return self.call("GET", "/v1/state", b"", CALL_TIMEOUT)

    def send_order(
        self, order: switch.Order, placement: tuple[int, ...]
    ) -> order_port.StateResult:
        """Send an order and return the state after it."""
        body = msgspec.json.encode({**order._asdict(), "placement": placement})
        is_prepare = order.kind is switch.OrderKind.PREPARE
        timeout = PREPARE_TIMEOUT if is_prepare else CALL_TIMEOUT
        return self.call("POST", "/v1/orders", body, timeout)

    def call(
        self, method: str, path: str, body: bytes, timeout: datetime.timedelta
    ) -> order_port.StateResult:
        """Send a request that is answered with the state of the ranks."""
        headers = (("Content-Type", "application/json"),) if body else ()
        # Orders are idempotent, so libcurl may repeat one when a connection
        # that was kept open turns out to be closed.
        request = http_client.HttpRequest(
            method,
            self.base + path,
            headers,
            body,
            timeout,
            single_use_connection=False,
        )
        result = self.client.call(request)
        if isinstance(result, returns.result.Failure):
            return _fail(
                order_port.FailureKind.UNCERTAIN, result.failure().message
            )
        return parse_response(result.unwrap())


def parse_response(
    response: http_client.HttpResponse,
) -> order_port.StateResult:
    """Convert an HTTP response to a state or a failure."""
    try:
        if response.status == STATUS_OK:
            return returns.result.Success(_parse_state(response.body))
        error = json_documents.decode(response.body, _Error)
    except json_documents.JsonError as problem:
        message = f"HTTP {response.status}: {problem}"
        return _fail(order_port.FailureKind.INVALID, message)
    return _parse_error(response.status, error)


def _parse_state(body: bytes) -> order_port.EngineState:
    state = json_documents.decode(body, _State)
    armed = state["armed"]
    return order_port.EngineState(
        group=state["group"],
        ranks=tuple(state["ranks"]),
        map_version=state["map_version"],
        prepared=tuple(state["prepared"]),
        armed_step=armed["step"] if armed else 0,
        step=state["step"],
        epoch=state["epoch"],
        rank_step_ms=tuple(state["rank_step_ms"]),
        expert_load=tuple(state["expert_load"]),
        armed_version=armed["map_version"] if armed else 0,
    )


def _parse_error(status: int, error: _Error) -> order_port.StateResult:
    name = error["error"]
    if status == STATUS_CONFLICT and name == "fenced":
        message = f"engine is at epoch {error.get('epoch')}"
        return _fail(order_port.FailureKind.FENCED, message)
    if status == STATUS_CONFLICT and name == "not_prepared":
        return _fail(order_port.FailureKind.NOT_PREPARED, name)
    if status == STATUS_BUSY:
        wait = datetime.timedelta(milliseconds=error.get("retry_after_ms", 0))
        delay = max(wait, MIN_BUSY_DELAY)
        return _fail(order_port.FailureKind.BUSY, name, delay)
    message = f"HTTP {status}: {name}"
    return _fail(order_port.FailureKind.INVALID, message)


def _fail(
    kind: order_port.FailureKind,
    message: str,
    delay: datetime.timedelta = NO_DELAY,
) -> returns.result.Result[Any, order_port.OrderFailure]:
    return returns.result.Failure(order_port.OrderFailure(kind, message, delay))


def create_http_order_port(
    client: http_client.HttpClient, address: addresses.Address
) -> order_port.OrderPort:
    """Create a port to the engine at an address without calling it."""
    return HttpOrderPort(client, address)
