"""Adapter for plain services over HTTP."""

import datetime

import returns.pipeline

from verbenafall_core import http_client
from verbenafall_core import messages
from verbenafall_sidecar.delivery import transfers
from verbenafall_sidecar.endpoint import endpoint_port
from verbenafall_sidecar.endpoint import http_forwarding
from verbenafall_sidecar.endpoint import http_probe


class BufferingSink:
    """Buffers a response and reports it when it is complete."""

    def __init__(self, sink: endpoint_port.CallSink) -> None:
        """Create a sink with an empty buffer."""
        self.sink = sink
        self.body = bytearray()
        self.size_error = ""

    def on_data(self, _status: int, data: bytes) -> bool:
        """Buffer a part of the body; abort above the maximum size."""
        if len(self.body) + len(data) > http_client.MAX_RESPONSE_BYTES:
            self.size_error = (
                f"the response exceeds {http_client.MAX_RESPONSE_BYTES} bytes"
            )
            return False
        self.body += data
        return True

    def on_done(self, result: transfers.TransferResult) -> None:
        """Report the response or the failure."""
        if not returns.pipeline.is_successful(result):
            failure = result.failure()
            message = self.size_error or failure.message
            self.sink.on_failure(
                endpoint_port.CallFailure(failure.sent, message)
            )
            return
        head = result.unwrap()
        headers = http_forwarding.response_headers(head.headers)
        self.sink.on_response(
            endpoint_port.CallResponse(
                head.status, headers, bytes(self.body), ""
            )
        )


class HttpPlainService:
    """Client of the plain service at a URL."""

    def __init__(self, url: str, loop: transfers.TransferLoop) -> None:
        """Create the adapter; the loop must be running before calls."""
        self.url = url
        self.loop = loop

    def start_call(
        self,
        dispatch: messages.Dispatch,
        limit: datetime.timedelta,
        sink: endpoint_port.CallSink,
    ) -> endpoint_port.Call:
        """Start a call; the request id is passed on as X-Request-Id."""
        request = http_client.HttpRequest(
            dispatch.method,
            self.url + dispatch.path,
            http_forwarding.request_headers(dispatch, dispatch.request_id),
            dispatch.body,
            limit,
            single_use_connection=not dispatch.idempotent,
        )
        return self.loop.start_transfer(request, BufferingSink(sink))

    def probe(self) -> endpoint_port.CallFailure | None:
        """Check that the service accepts connections.

        No request is sent, as the service would process it as work.
        """
        return http_probe.check_connection(self.url)


def create_http_plain_service(
    url: str, loop: transfers.TransferLoop
) -> HttpPlainService:
    """Create the adapter; the loop must be running before calls."""
    return HttpPlainService(url, loop)
