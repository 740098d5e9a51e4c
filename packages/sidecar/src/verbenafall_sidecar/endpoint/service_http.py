"""Plain service over HTTP."""

import datetime

import returns.pipeline

from verbenafall_core import http_client
from verbenafall_core import messages
from verbenafall_sidecar.delivery import transfers
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import http_forwarding
from verbenafall_sidecar.endpoint import http_probe


class PlainAnswerSink:
    """Collects a plain answer and hands it over when it is complete."""

    def __init__(self, sink: endpoint_port.CallSink) -> None:
        """Create a sink without data."""
        self.sink = sink
        self.parts: list[bytes] = []
        self.size = 0
        self.problem = ""

    def on_data(self, _status: int, data: bytes) -> bool:
        """Keep a part of the body."""
        self.size += len(data)
        if self.size > http_client.MAX_RESPONSE_BYTES:
            self.problem = (
                f"the answer exceeds {http_client.MAX_RESPONSE_BYTES} bytes"
            )
            return False
        self.parts.append(data)
        return True

    def on_done(self, result: transfers.TransferResult) -> None:
        """Hand over the answer or the failure."""
        if not returns.pipeline.is_successful(result):
            failure = result.failure()
            message = self.problem or failure.message
            self.sink.on_failure(
                endpoint_port.CallFailure(failure.sent, message)
            )
            return
        head = result.unwrap()
        headers = http_forwarding.response_headers(head.headers)
        self.sink.on_end(
            endpoint_port.CallEnd(
                head.status, headers, b"".join(self.parts), ""
            )
        )


class HttpPlainService:
    """A plain service at a URL."""

    def __init__(self, url: str, loop: transfers.TransferLoop) -> None:
        """Create the adapter; the loop must be running before calls."""
        self.url = url
        self.loop = loop

    def begin(
        self,
        dispatch: messages.Dispatch,
        limit: datetime.timedelta,
        sink: endpoint_port.CallSink,
    ) -> endpoint_port.Call:
        """Begin a call."""
        request = http_client.HttpRequest(
            dispatch.method,
            self.url + dispatch.path,
            http_forwarding.request_headers(dispatch, dispatch.request_id),
            dispatch.body,
            limit,
            single_use_connection=not dispatch.idempotent,
        )
        return self.loop.begin(request, PlainAnswerSink(sink))

    def probe(self) -> endpoint_port.CallFailure | None:
        """Connect to the service without a request.

        Any request would count as work of the service.
        """
        return http_probe.connect(self.url)


def create_http_plain_service(
    url: str, loop: transfers.TransferLoop
) -> HttpPlainService:
    """Create the adapter; the loop must be running before calls."""
    return HttpPlainService(url, loop)
